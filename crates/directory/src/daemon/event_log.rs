//! Log lines for what the node decided.

use grebepin_catalog::Effects;
use grebepin_telemetry::{event, DirectoryMetrics, Event};

use crate::node::Notice;

/// Logs one notice.
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
        Notice::Effects { index, effects } => log_effects(*index, effects, metrics),
        Notice::TornTailCut { bytes } => event!(Event::TornTailCut, bytes = bytes),
    }
}

fn log_effects(index: u64, effects: &Effects, metrics: &DirectoryMetrics) {
    if !effects.items.is_empty() {
        let count = effects.items.len();
        let first = &effects.items[0].name;
        event!(
            Event::ItemsChanged,
            index = index,
            items = count,
            first = first
        );
    }
    if let Some(error) = &effects.refused {
        event!(Event::ItemsRefused, index = index, reason = error);
    }
    for id in &effects.instances {
        event!(Event::InstanceChanged, index = index, instance = id.0);
    }
    for change in &effects.shards {
        if let (Some(first), Some(last)) = (change.shards.first(), change.shards.last()) {
            metrics.note_shards(&change.service, change.assigned, change.shards.len());
            event!(
                Event::ShardsMoved,
                index = index,
                service = change.service,
                instance = change.id.0,
                assigned = change.assigned,
                shards = change.shards.len(),
                first = first,
                last = last,
                fence = change.fence
            );
        }
    }
}
