//! Which complete states are taken, and whether they contain every acknowledged change.
//!
//! Invariant: a state from a sender without contact to a leader is taken only together with the changes that it
//! may lack.

use std::time::Duration;

use grebepin_catalog::Catalog;
use grebepin_reactor::decode_frame;
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::link::LinkPeer;
use super::{DirectoryClient, Update};
use crate::undecided::UndecidedChanges;

/// Bytes before the value of an encoded state.
const STATE_PREFIX_BYTES: usize = 4;

/// A state that was requested while there was no contact with a leader.
#[derive(Debug)]
pub(super) struct RequestedState {
    /// Log index that the state has at least.
    pub(super) index: u64,
    /// Changes that may be acknowledged and come after that index.
    pub(super) undecided: UndecidedChanges,
}

/// Changes that may be acknowledged and come after a received state.
enum UndecidedAfter {
    /// These; none after the state of a replica with contact to a leader.
    Known(UndecidedChanges),
    /// Those known so far: a relay with contact to a leader may be behind.
    Unchanged,
    /// Not known, so the state must not be taken.
    Unknown,
}

impl DirectoryClient {
    /// Decodes a complete state that was received on a link; returns nothing if it may lack acknowledged changes
    /// that this gateway does not know of.
    pub(super) fn take_state(
        &mut self,
        token: Token,
        index: u64,
        state: &[u8],
        applied: u64,
    ) -> Option<Update> {
        let undecided = match self.undecided_after(token, index) {
            UndecidedAfter::Known(undecided) => Some(undecided),
            UndecidedAfter::Unchanged => None,
            UndecidedAfter::Unknown => {
                event!(Event::StateIgnored, index = index, before = applied);
                if let Some(link) = self.links.get_mut(&token) {
                    link.ignored_state = true;
                }
                return None;
            }
        };
        match decode_frame::<Catalog>(state.get(STATE_PREFIX_BYTES..).unwrap_or_default()) {
            Ok(catalog) => {
                self.log_state(token, index, applied);
                Some(Update::Snapshot {
                    index,
                    catalog: Box::new(catalog),
                    undecided,
                })
            }
            Err(error) => {
                event!(Event::StateUnreadable, index = index, error = error);
                None
            }
        }
    }

    /// What a received state may lack.
    fn undecided_after(&self, token: Token, index: u64) -> UndecidedAfter {
        let Some(link) = self.links.get(&token) else {
            return UndecidedAfter::Unknown;
        };
        let is_fed = link.head.as_ref().is_some_and(|head| head.is_fed);
        let requested = self.requested_state.as_ref();
        match (link.peer, requested) {
            (LinkPeer::Replica, _) if is_fed => UndecidedAfter::Known(UndecidedChanges::default()),
            (LinkPeer::Relay, _) if is_fed => UndecidedAfter::Unchanged,
            (LinkPeer::Replica, Some(requested)) if index >= requested.index => {
                UndecidedAfter::Known(requested.undecided.clone())
            }
            _ => UndecidedAfter::Unknown,
        }
    }

    /// Whether a state of log index `applied` contains every change that was acknowledged while there was no
    /// contact with a leader: a leader's replica feeds it, or a source has confirmed it since the last comparison with
    /// the voters.
    pub fn is_decided(&self, now: Duration, applied: u64) -> bool {
        let is_reached = self.decided_index.is_some_and(|index| applied >= index);
        let age = self.confirmed_state.age(now);
        let is_confirmed = age.is_some_and(|age| now.saturating_sub(age) > self.compared_at);
        is_confirmed || (is_reached && self.fed_link(now).is_some())
    }

    fn log_state(&self, token: Token, index: u64, applied: u64) {
        let Some(link) = self.links.get(&token) else {
            return;
        };
        let source = match (link.peer, self.followed == Some(token)) {
            (LinkPeer::Relay, _) => "relay",
            (LinkPeer::Replica, true) => "followed",
            (LinkPeer::Replica, false) => "voters",
        };
        event!(
            Event::StateTaken,
            source = source,
            from = link.address,
            index = index,
            before = applied
        );
    }
}
