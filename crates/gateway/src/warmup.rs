//! When this gateway may send a request to a server that warms up.
//!
//! Such a server bears few requests a second from all gateways together: they take turns, see [`crate::rate_turns`].

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::rate_turns::{RateTurns, TurnTiming};

/// Part of a server's rate that is used: turns fall at random, so that the count in one second varies with its root.
const USED_PART: f64 = 0.8;

/// Time for which a turn is open: long enough to meet a request, short enough that requests that met closed
/// turns do not gather.
const TURN_OPEN: Duration = Duration::from_millis(250);

/// The turns of one gateway.
#[derive(Debug)]
pub struct WarmupTurns {
    turns: RateTurns,
}

impl WarmupTurns {
    /// Turns of a gateway of this name.
    pub fn new(gateway: &str) -> Self {
        Self {
            turns: RateTurns::new(gateway),
        }
    }

    /// Notes which servers warm up: others begin anew when they turn cold again.
    pub fn update<'a>(&mut self, now: Duration, cold: impl Iterator<Item = &'a InstanceId>) {
        let cold: BTreeSet<&InstanceId> = cold.collect();
        self.turns.retain(|id| cold.contains(id));
        for id in cold {
            self.turns.begin(id, now);
        }
    }

    /// Whether a server that bears `rate` requests a second from `gateways` together may get one from here now.
    /// `gateways` is `None` while it is not known how many there are: then none is sent.
    pub fn is_open(
        &self,
        id: &InstanceId,
        now: Duration,
        rate: f64,
        gateways: Option<u32>,
    ) -> bool {
        if !self.turns.has_begun(id) {
            return true;
        }
        gateways.is_some_and(|gateways| self.turns.is_open(id, now, length(rate, gateways)))
    }

    /// Notes that a request goes to a server, which uses up the present turn if it warms up.
    pub fn note_sent(&mut self, id: &InstanceId, now: Duration, rate: f64, gateways: u32) {
        self.turns.consume(id, now, length(rate, gateways));
    }
}

fn length(rate: f64, gateways: u32) -> TurnTiming {
    TurnTiming::shared(rate * USED_PART, gateways, TURN_OPEN)
}
