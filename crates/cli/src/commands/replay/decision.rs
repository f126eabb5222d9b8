//! Descriptions of log entries' outcomes.

use grebepin_ownership::{Assigned, BootOutcome, BundleOutcome, Outcome, StandingOutcome};
use grebepin_schema::{Command, MemberRole, Membership, ServerName};

/// Describes a new membership.
pub(super) fn membership(membership: &Membership) -> String {
    let members: Vec<_> = membership
        .members
        .iter()
        .map(|member| {
            let role = match member.role {
                MemberRole::Voter => "voter",
                MemberRole::Learner => "learner",
                MemberRole::Observer => "observer",
            };
            format!("{role} {} in {}", member.replica, member.zone.as_str())
        })
        .collect();
    format!("members: {}", members.join(", "))
}

/// Describes the outcome of a command.
pub(super) fn outcome(command: &Command, outcome: &Outcome) -> String {
    match outcome {
        Outcome::Bundle(outcome) => bundle(outcome),
        Outcome::Assigned(assigned) => assignments(assigned),
        Outcome::Standing(outcome) => standing(outcome),
        Outcome::Boot(outcome) => boot(command, outcome),
    }
}

fn bundle(outcome: &BundleOutcome) -> String {
    match outcome {
        BundleOutcome::Accepted { record, repeated } => {
            let digest = record.digest.as_str();
            let again = if *repeated { " (sent again)" } else { "" };
            format!(
                "bundle version {} accepted{again}, digest {digest}",
                record.version
            )
        }
        BundleOutcome::Refused(refusal) => format!("bundle refused: {refusal}"),
    }
}

fn assignments(assigned: &Assigned) -> String {
    let accepted = assigned.accepted.iter().map(|one| {
        let from = name(&one.previous);
        let to = name(&one.server);
        let service = one.service.as_str();
        format!("{service}/{}: {from} -> {to}", one.shard)
    });
    let refused = assigned.refused.iter().map(|one| {
        let service = one.service.as_str();
        format!("{service}/{}: refused, {}", one.shard, one.reason)
    });
    accepted.chain(refused).collect::<Vec<_>>().join("; ")
}

fn name(server: &Option<ServerName>) -> &str {
    server.as_ref().map_or("none", |server| server.as_str())
}

fn standing(outcome: &StandingOutcome) -> String {
    match outcome {
        StandingOutcome::Set {
            server,
            standing,
            shards,
        } => format!(
            "server {} is {standing}, owns {shards} shards",
            server.as_str()
        ),
        StandingOutcome::UnknownServer { server } => unknown(server),
    }
}

fn boot(command: &Command, outcome: &BootOutcome) -> String {
    let boot = match command {
        Command::RegisterBoot(registered) => registered.boot,
        _ => 0,
    };
    match outcome {
        BootOutcome::Registered { server } => {
            format!(
                "server {} started anew (boot {boot}), fresh epochs",
                server.as_str()
            )
        }
        BootOutcome::Mismatch { server } => {
            format!(
                "start of server {} refused: another was recorded",
                server.as_str()
            )
        }
        BootOutcome::UnknownServer { server } => unknown(server),
    }
}

fn unknown(server: &ServerName) -> String {
    format!("refused: no server {}", server.as_str())
}
