//! When this gateway may send a request to a server that warms up.
//!
//! Such a server bears few requests a second from all gateways together. They take turns without speaking to each
//! other: each gateway has one turn in a period of `gateways / rate`, at a place in it that a hash of the gateway
//! and the server decides, and sends at most one request in a turn.
//!
//! Invariant: a turn that was not used is lost, so that the requests of all gateways within a second are about as
//! many as turns fall into it, whatever waits.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::hashing::unit_interval;

/// Part of a server's rate that is used. Turns fall at random, so that the count in one second varies with its
/// root: of 6.7 a second on average 5.4 are used, and the deployment's bound of 18 is over five deviations away.
const USED_PART: f64 = 0.8;

/// Time for which a turn is open: long enough to meet a request, short enough that requests that met closed
/// turns do not gather.
const TURN_LENGTH: Duration = Duration::from_millis(250);

/// Turns at one server.
#[derive(Clone, Copy, Debug)]
struct Turns {
    /// When this gateway learnt that the server warms up.
    since: Duration,
    /// Number of the last turn that was used.
    used: Option<u64>,
}

/// The turns of one gateway.
#[derive(Debug)]
pub struct WarmupTurns {
    gateway: String,
    turns: HashMap<InstanceId, Turns>,
}

impl WarmupTurns {
    /// Turns of a gateway of this name.
    pub fn new(gateway: &str) -> Self {
        Self {
            gateway: gateway.to_owned(),
            turns: HashMap::new(),
        }
    }

    /// Notes which servers warm up: others begin anew when they turn cold again.
    pub fn update<'a>(&mut self, now: Duration, cold: impl Iterator<Item = &'a InstanceId>) {
        let before = std::mem::take(&mut self.turns);
        for id in cold {
            let known = before.get(id).copied();
            let turns = known.unwrap_or(Turns {
                since: now,
                used: None,
            });
            self.turns.insert(id.clone(), turns);
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
        let Some(turns) = self.turns.get(id) else {
            return true;
        };
        let Some(gateways) = gateways else {
            return false;
        };
        let (number, is_open) = self.turn(id, turns.since, now, rate, gateways);
        is_open && turns.used.is_none_or(|used| used < number)
    }

    /// Notes that a request goes to a server, which uses up the present turn if it warms up.
    pub fn note_sent(&mut self, id: &InstanceId, now: Duration, rate: f64, gateways: u32) {
        let Some(turns) = self.turns.get(id).copied() else {
            return;
        };
        let (number, _) = self.turn(id, turns.since, now, rate, gateways);
        self.turns.insert(
            id.clone(),
            Turns {
                used: Some(number),
                ..turns
            },
        );
    }

    /// Number of the present or next turn, and whether it is open.
    fn turn(
        &self,
        id: &InstanceId,
        since: Duration,
        now: Duration,
        rate: f64,
        gateways: u32,
    ) -> (u64, bool) {
        let period = f64::from(gateways.max(1)) / (rate * USED_PART);
        let offset = self.place(id) * period;
        let elapsed = now.saturating_sub(since).as_secs_f64() - offset;
        if elapsed < 0.0 {
            return (0, false);
        }
        let number = (elapsed / period).floor();
        let into_turn = elapsed - number * period;
        (number as u64 + 1, into_turn < TURN_LENGTH.as_secs_f64())
    }

    /// Place of this gateway's turns in the period, from 0 to 1.
    fn place(&self, id: &InstanceId) -> f64 {
        let mut hasher = DefaultHasher::new();
        self.gateway.hash(&mut hasher);
        id.hash(&mut hasher);
        unit_interval(hasher.finish())
    }
}
