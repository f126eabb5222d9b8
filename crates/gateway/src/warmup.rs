//! When this gateway may send a request to a server that is warming up.
//!
//! Such a server can take few requests a second from all gateways together, which take turns, see
//! [`crate::rate_turns`].

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::rate_turns::{RateTurns, TurnTiming};

/// Fraction of a server's rate that is used. Turns are at random offsets, so the standard deviation of the
/// number in one second is the square root of its mean.
const USED_FRACTION: f64 = 0.8;

/// Length of a turn: long enough that a request is likely to arrive during it, short enough that requests
/// that arrived between turns do not accumulate.
const TURN_OPEN: Duration = Duration::from_millis(250);

/// This gateway's turns at servers that are warming up.
#[derive(Debug)]
pub struct WarmupTurns {
    turns: RateTurns,
}

impl WarmupTurns {
    /// Starts without servers, for the gateway `gateway`, whose name determines its turns.
    pub fn new(gateway: &str) -> Self {
        Self {
            turns: RateTurns::new(gateway),
        }
    }

    /// Sets the servers that are warming up. The turns of all others are dropped, and start again if they
    /// warm up again.
    pub fn update<'a>(&mut self, now: Duration, cold: impl Iterator<Item = &'a InstanceId>) {
        let cold: BTreeSet<&InstanceId> = cold.collect();
        self.turns.retain(|id| cold.contains(id));
        for id in cold {
            self.turns.begin(id, now);
        }
    }

    /// Whether this gateway may send a request to a server now: it is not warming up, or a turn is open.
    /// `rate` is its limit in requests a second from all `gateways` together; while their number is unknown
    /// (`None`), nothing is sent to it.
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
        gateways.is_some_and(|gateways| self.turns.is_open(id, now, turn_timing(rate, gateways)))
    }

    /// Uses a turn for a request that is sent to a server, if the server is warming up.
    pub fn note_sent(&mut self, id: &InstanceId, now: Duration, rate: f64, gateways: u32) {
        self.turns.consume(id, now, turn_timing(rate, gateways));
    }
}

fn turn_timing(rate: f64, gateways: u32) -> TurnTiming {
    TurnTiming::shared(rate * USED_FRACTION, gateways, TURN_OPEN)
}
