//! Logging of the node's notices.

use grebepin_telemetry::{event, Event};

use crate::node::output::Notice;

/// Logs a notice as the corresponding telemetry event.
pub(super) fn log(notice: &Notice) {
    match notice {
        Notice::Founded => event!(Event::GroupFounded),
        Notice::BecameLeader { term } => event!(Event::BecameLeader, term = term),
        Notice::LostLeadership { term } => event!(Event::LostLeadership, term = term),
        Notice::Joining { replica } => event!(Event::Joining, replica = replica),
        Notice::JoinRefused { reason } => event!(Event::JoinRefused, reason = reason),
        Notice::MembershipCommitted {
            index,
            voters,
            learners,
        } => event!(
            Event::MembershipCommitted,
            index = index,
            voters = voters,
            learners = learners
        ),
        Notice::BundleAccepted { index, version } => {
            event!(Event::BundleAccepted, index = index, version = version);
        }
        Notice::SnapshotSaved { index, bytes } => {
            event!(Event::SnapshotSaved, index = index, bytes = bytes);
        }
        Notice::TornTailCut { bytes } => event!(Event::TornTailCut, bytes = bytes),
    }
}
