//! Log lines for notices of the node.

use grebepin_catalog::{Effects, ItemSummary};
use grebepin_telemetry::{event, DirectoryMetrics, Event};

use crate::node::Notice;

/// Maximum number of item names in a log line.
const MAX_LOGGED_NAMES: usize = 20;

pub(super) fn log_notice(notice: &Notice, metrics: &DirectoryMetrics) {
    match notice {
        Notice::Founded => event!(Event::DirectoryFounded),
        Notice::Leads { term } => event!(Event::DirectoryLeads, term = term),
        Notice::Follows { term } => event!(Event::DirectoryFollows, term = term),
        Notice::Membership {
            index,
            voters,
            learners,
        } => event!(
            Event::DirectoryMembership,
            index = index,
            voters = voters.join(","),
            learners = learners
        ),
        Notice::MembershipRefused { error } => {
            event!(Event::DirectoryMembershipRefused, error = error);
        }
        Notice::Voters { voters, wanted } => {
            let which = match voters < wanted {
                true => Event::DirectoryShortOfVoters,
                false => Event::DirectoryHasVoters,
            };
            event!(which, voters = voters, wanted = wanted);
        }
        Notice::Replayed { index } => event!(Event::DirectoryReplayed, index = index),
        Notice::Effects {
            index,
            effects,
            is_leader,
        } => {
            log_items(*index, effects);
            log_evacuation(*index, effects);
            log_quarantine(*index, effects);
            record_shard_moves(effects, metrics);
            if *is_leader {
                log_servers(*index, effects);
            }
        }
        Notice::EvacuationDecided { id, index, outcome } => event!(
            Event::EvacuationDecided,
            call = id.0,
            index = index,
            outcome = outcome.name()
        ),
        Notice::AddressClaimed(decision) => event!(
            Event::AddressClaimed,
            address = decision.address,
            claimant = decision.claimant,
            holder = decision.holder,
            holder_silent_ms = decision.holder_silence.as_millis(),
            taken_over = decision.is_taken_over,
            refused = decision.refused
        ),
        Notice::SnapshotSaved { index, bytes } => {
            event!(Event::SnapshotSaved, index = index, bytes = bytes);
        }
        Notice::TornTailCut { bytes } => event!(Event::TornTailCut, bytes = bytes),
    }
}

fn log_items(index: u64, effects: &Effects) {
    if !effects.items.is_empty() {
        let summary = ItemSummary::of(&effects.items, MAX_LOGGED_NAMES);
        event!(
            Event::ItemsChanged,
            index = index,
            items = effects.items.len(),
            names = summary.names,
            versions = summary.versions,
            removed = summary.removed
        );
    }
    if let Some(error) = &effects.refused {
        event!(Event::ItemsRefused, index = index, reason = error);
    }
}

fn log_evacuation(index: u64, effects: &Effects) {
    if let Some(change) = &effects.evacuation {
        event!(
            Event::EvacuationSet,
            index = index,
            zone = change.zone,
            evacuated = change.evacuated
        );
    }
}

fn log_quarantine(index: u64, effects: &Effects) {
    for change in &effects.quarantine {
        event!(
            Event::QuarantineSet,
            index = index,
            fingerprint = change.fingerprint,
            quarantined = change.quarantined
        );
    }
}

fn record_shard_moves(effects: &Effects, metrics: &DirectoryMetrics) {
    for change in &effects.shards {
        metrics.note_shards(&change.service, change.assigned, change.shards.len());
    }
}

/// Log lines for servers and shards; written by the leader only.
fn log_servers(index: u64, effects: &Effects) {
    for id in &effects.instances {
        event!(Event::InstanceChanged, index = index, instance = id);
    }
    for change in effects
        .shards
        .iter()
        .filter(|change| !change.shards.is_empty())
    {
        event!(
            Event::ShardsMoved,
            index = index,
            service = change.service,
            instance = change.id,
            assigned = change.assigned,
            shards = change.shards.len(),
            ranges = ranges(&change.shards),
            fence = change.fence
        );
    }
}

/// Formats ascending numbers as ranges, such as `3-5,9`.
fn ranges(numbers: &[u16]) -> String {
    let mut ranges: Vec<(u16, u16)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == *number => *last = *number,
            _ => ranges.push((*number, *number)),
        }
    }
    let texts = ranges.into_iter().map(|(first, last)| match first == last {
        true => first.to_string(),
        false => format!("{first}-{last}"),
    });
    texts.collect::<Vec<String>>().join(",")
}
