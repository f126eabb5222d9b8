//! Sends state updates to gateways. Each update is encoded once for all gateways that need the same one.
//!
//! Invariant: updates use only a fraction of the machine's link, so that many new gateways or a large change
//! never delay the traffic between replicas.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_storage::Disk;
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::link_connection::LinkConnection;
use crate::link::FromReplica;
use crate::node::{Node, NodeError};
use crate::pacing::{feed_order, FedLink, Pacer, RoundEnd, RoundSchedule, BYTES_PER_MEGABIT};

/// Fraction of the link's capacity that may be used.
const LINK_FRACTION: f64 = 0.4;

/// Cache of the encoded complete state, and the limits on sending.
#[derive(Debug)]
pub(super) struct Feeder {
    encoded_state: Option<(u64, Vec<u8>)>,
    pacer: Pacer,
    rounds: RoundSchedule,
    /// Whether some gateway still lacks entries.
    pub(super) is_behind: bool,
}

impl Feeder {
    /// Limits the rate to a fraction of a link with this capacity.
    pub(super) fn new(link_mbps: f64) -> Self {
        Self {
            encoded_state: None,
            pacer: Pacer::new(link_mbps * BYTES_PER_MEGABIT * LINK_FRACTION),
            rounds: RoundSchedule::default(),
            is_behind: false,
        }
    }

    /// Sends every following gateway the entries it lacks. Returns the connections that failed and must be
    /// closed.
    pub(super) fn feed<D: Disk>(
        &mut self,
        now: Duration,
        node: &Node<D>,
        links: &mut HashMap<Token, LinkConnection>,
    ) -> Vec<Token> {
        let applied = node.applied();
        let mut entries: HashMap<u64, Option<Vec<u8>>> = HashMap::new();
        if !self.rounds.is_due(now) {
            self.is_behind = true;
            return Vec::new();
        }
        let gateways = links.values().filter(|link| link.follows()).count();
        let mut lost = Vec::new();
        let mut end = RoundEnd::Complete;
        for token in feed_order(links_to_feed(links, applied)) {
            let Some(link) = links.get_mut(&token) else {
                continue;
            };
            if !self.pacer.allows(now) {
                end = RoundEnd::AllowanceExhausted;
                break;
            }
            let update = link.entries_from().and_then(|fed| {
                let update = entries.entry(fed);
                let update = update.or_insert_with(|| encode_entries(node, fed));
                update.as_deref()
            });
            let Some(bytes) = update.or_else(|| self.complete_state(node)) else {
                continue;
            };
            let sent_bytes = bytes.len();
            link.wants_state = false;
            link.fed_index = link.fed_index.map(|_| applied);
            if !link.send_bytes(bytes) {
                lost.push(token);
            }
            self.pacer.spend(sent_bytes);
        }
        self.rounds.record_end(now, gateways, end);
        self.is_behind = end == RoundEnd::AllowanceExhausted;
        lost
    }

    /// The complete state as one frame; `None` if it cannot be encoded, which is logged.
    fn complete_state<D: Disk>(&mut self, node: &Node<D>) -> Option<&[u8]> {
        let applied = node.applied();
        let is_current = self
            .encoded_state
            .as_ref()
            .is_some_and(|(at, _)| *at == applied);
        if !is_current {
            self.encoded_state = match encode_state(node) {
                Ok(bytes) => Some((applied, bytes)),
                Err(error) => {
                    event!(
                        Event::DirectoryFrameFailed,
                        applied = applied,
                        error = error
                    );
                    None
                }
            };
        }
        self.encoded_state
            .as_ref()
            .map(|(_, bytes)| bytes.as_slice())
    }
}

/// Links of the gateways that lack updates up to `applied`.
fn links_to_feed(links: &HashMap<Token, LinkConnection>, applied: u64) -> Vec<FedLink<Token>> {
    let links = links.iter().filter_map(|(token, link)| {
        let fed_index = link.entries_from();
        let lacks_updates = link.wants_state || fed_index.is_some_and(|fed| fed < applied);
        lacks_updates.then(|| FedLink {
            token: *token,
            fed_index: fed_index.unwrap_or_default(),
        })
    });
    links.collect()
}

fn encode_state<D: Disk>(node: &Node<D>) -> Result<Vec<u8>, NodeError> {
    let (index, state) = node.whole_state()?;
    Ok(FromReplica::Whole { index, state }.encode()?)
}

/// Entries after an index as one frame. `None` if they are no longer kept or cannot be encoded, which is
/// logged; the complete state is sent instead.
fn encode_entries<D: Disk>(node: &Node<D>, after: u64) -> Option<Vec<u8>> {
    let frame = FromReplica::Entries(node.entries_after(after)?);
    match frame.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            event!(Event::DirectoryFrameFailed, applied = after, error = error);
            None
        }
    }
}
