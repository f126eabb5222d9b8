//! `grebepin status`: shows the control group's status, as reported by its leader or by one replica.

mod servers;

use std::fmt;

use grebepin_schema::{MemberRole, ReplicaRole, RouterStatus, ServerStanding, Status};
use serde::Serialize;

use crate::arguments;
use crate::error::CliError;
use crate::output::Format;
use crate::text::{milliseconds, TextTable};

/// Number of routers listed without `--all`, the slowest first.
const ROUTERS_SHOWN: usize = 10;

#[derive(Serialize)]
struct View {
    #[serde(flatten)]
    status: Status,
    #[serde(skip)]
    all: bool,
}

pub(crate) fn run(arguments: &arguments::Status, format: Format) -> Result<(), CliError> {
    let client = arguments.connection.client();
    let status = match arguments.replica {
        Some(address) => client.status_of(address)?,
        None => client.status()?,
    };
    let all = arguments.all;
    format.print(&View { status, all })
}

impl fmt::Display for View {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = &self.status;
        write_group(status, formatter)?;
        write_tolerated_losses(status, formatter)?;
        write_members(status, formatter)?;
        write_shards(status, formatter)?;
        servers::write(&status.servers, self.all, formatter)?;
        write_routers(status, self.all, formatter)
    }
}

fn write_group(status: &Status, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    let leader = match status.leader {
        Some(leader) => format!("leader {leader}"),
        None => "no leader known".to_owned(),
    };
    writeln!(
        formatter,
        "group {}: {leader}, term {}, committed {}, applied {}",
        status.group, status.term, status.commit, status.applied
    )?;
    if status.role != ReplicaRole::Leader {
        let role = status.role;
        writeln!(
            formatter,
            "seen by replica {}, {role}; may be old",
            status.replica
        )?;
    }
    match (&status.bundle_version, &status.bundle_digest) {
        (Some(version), Some(digest)) => {
            writeln!(
                formatter,
                "bundle: version {version}, digest {}",
                digest.as_str()
            )
        }
        _ => writeln!(formatter, "bundle: none accepted yet"),
    }
}

fn write_tolerated_losses(status: &Status, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    if status.role != ReplicaRole::Leader {
        return writeln!(
            formatter,
            "may now lose: only a leader knows, and none answered"
        );
    }
    let tolerated = &status.tolerated;
    let zones: Vec<_> = tolerated.zones.iter().map(|zone| zone.as_str()).collect();
    let zones = match zones.is_empty() {
        true => "no zone".to_owned(),
        false => format!("one zone of {}", zones.join(", ")),
    };
    writeln!(
        formatter,
        "may now lose: {} replica(s), {zones}",
        tolerated.replicas
    )?;
    if tolerated.replicas == 0 {
        writeln!(
            formatter,
            "WARNING: the next loss of a replica stops all changes"
        )?;
    }
    Ok(())
}

fn write_members(status: &Status, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    if status.members.is_empty() {
        return Ok(());
    }
    writeln!(formatter, "members:")?;
    let headings = [
        "replica",
        "role",
        "zone",
        "peer address",
        "matches",
        "behind",
        "heard",
    ];
    let mut table = TextTable::new(&headings);
    for entry in &status.members {
        let role = match entry.member.role {
            MemberRole::Voter => "voter",
            MemberRole::Learner => "learner",
            MemberRole::Observer => "observer",
        };
        table.row([
            entry.member.replica.to_string(),
            role.to_owned(),
            entry.member.zone.to_string(),
            entry.member.peer_address.to_string(),
            entry.match_index.to_string(),
            status
                .commit
                .0
                .saturating_sub(entry.match_index.0)
                .to_string(),
            milliseconds(entry.last_heard_ms),
        ]);
    }
    write!(formatter, "{table}")
}

fn write_shards(status: &Status, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        formatter,
        "shards: {} without an owner, {} being handed over",
        status.unowned_shards, status.moving_shards
    )?;
    let draining: Vec<_> = status
        .servers
        .iter()
        .filter(|server| server.standing == ServerStanding::Draining)
        .map(|server| format!("{} ({} shards left)", server.server.as_str(), server.shards))
        .collect();
    match draining.is_empty() {
        true => writeln!(formatter, "draining: none"),
        false => writeln!(formatter, "draining: {}", draining.join(", ")),
    }
}

fn write_routers(status: &Status, all: bool, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    let table_index = status.table_index.0;
    let behind = |router: &RouterStatus| table_index.saturating_sub(router.in_force.0);
    writeln!(
        formatter,
        "routers: {}, table at index {table_index}",
        status.routers.len()
    )?;
    if let Some(slowest) = &status.slowest_router {
        let name = slowest.router.as_str();
        writeln!(
            formatter,
            "slowest router: {name}, {} behind",
            behind(slowest)
        )?;
    }
    if status.routers.is_empty() {
        return Ok(());
    }
    let mut table = TextTable::new(&["router", "zone", "in force", "behind", "heard"]);
    let mut slowest_first: Vec<_> = status.routers.iter().collect();
    slowest_first.sort_by_key(|router| router.in_force);
    let shown = if all { usize::MAX } else { ROUTERS_SHOWN };
    for router in slowest_first.into_iter().take(shown) {
        table.row([
            router.router.to_string(),
            router.zone.to_string(),
            router.in_force.to_string(),
            behind(router).to_string(),
            milliseconds(router.last_heard_ms),
        ]);
    }
    write!(formatter, "{table}")
}
