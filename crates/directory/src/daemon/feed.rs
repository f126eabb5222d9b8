//! Feeds the gateways: what each lacks, encoded once for all that lack the same.
//!
//! Invariant: what is fed stays below a part of the machine's link, so that a crowd of newcomers or
//! a large change never holds up what replicas say to each other.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_storage::Disk;
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::link_side::LinkConnection;
use crate::link::FromReplica;
use crate::node::{Node, NodeError};
use crate::pacing::{Pacer, RoundEnd, Rounds, BYTES_PER_MEGABIT};

/// Part of the link that may be used.
const LINK_PART: f64 = 0.4;

/// What was encoded last, and what may be sent.
#[derive(Debug)]
pub(super) struct Feeder {
    whole: Option<(u64, Vec<u8>)>,
    pacer: Pacer,
    rounds: Rounds,
    /// Whether some gateway still lacks something.
    pub(super) is_behind: bool,
}

impl Feeder {
    /// Feeds over a link of so many megabits a second.
    pub(super) fn new(link_mbps: f64) -> Self {
        Self {
            whole: None,
            pacer: Pacer::new(link_mbps * BYTES_PER_MEGABIT * LINK_PART),
            rounds: Rounds::default(),
            is_behind: false,
        }
    }

    /// Sends every gateway that follows what it lacks; those of no further use are returned.
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
        let gateways = links.len();
        let mut lost = Vec::new();
        let mut end = RoundEnd::Whole;
        for (token, link) in links.iter_mut() {
            let lacks_news = link.fed.is_some_and(|fed| fed < applied);
            if !lacks_news && !link.wants_state {
                continue;
            }
            if !self.pacer.allows(now) {
                end = RoundEnd::CutShort;
                break;
            }
            let fed = link.fed.filter(|_| !link.wants_state);
            let news = fed.and_then(|fed| {
                let news = entries.entry(fed);
                let news = news.or_insert_with(|| encoded_entries(node, fed));
                news.as_deref()
            });
            let Some(bytes) = news.or_else(|| self.whole_state(node)) else {
                continue;
            };
            let cost = bytes.len();
            link.wants_state = false;
            link.fed = link.fed.map(|_| applied);
            if !link.send_bytes(bytes) {
                lost.push(*token);
            }
            self.pacer.spend(cost);
        }
        self.rounds.ended(now, gateways, end);
        self.is_behind = end == RoundEnd::CutShort;
        lost
    }

    /// The whole state as one frame; `None`, with a line in the log, when it can't be encoded.
    fn whole_state<D: Disk>(&mut self, node: &Node<D>) -> Option<&[u8]> {
        let applied = node.applied();
        let is_fresh = self.whole.as_ref().is_some_and(|(at, _)| *at == applied);
        if !is_fresh {
            self.whole = match encoded_state(node) {
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
        self.whole.as_ref().map(|(_, bytes)| bytes.as_slice())
    }
}

fn encoded_state<D: Disk>(node: &Node<D>) -> Result<Vec<u8>, NodeError> {
    let (index, state) = node.whole_state()?;
    Ok(FromReplica::Whole { index, state }.encode()?)
}

/// Entries after an index as one frame; `None` when they are no longer at hand or, with a line in the log, can't be
/// encoded: the whole state is sent then.
fn encoded_entries<D: Disk>(node: &Node<D>, after: u64) -> Option<Vec<u8>> {
    let frame = FromReplica::Entries(node.entries_after(after)?);
    match frame.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            event!(Event::DirectoryFrameFailed, applied = after, error = error);
            None
        }
    }
}
