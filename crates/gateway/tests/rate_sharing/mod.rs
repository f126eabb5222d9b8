//! Simulation in virtual time of a server that states a rate and of the gateways that share it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::stated_rate::StatedRates;
use grebepin_gateway::statement::RateStatement;
use grebepin_grants::{Permit, Permits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Window in which requests are counted. At most `FACTOR` times the rate plus `SLACK` requests may arrive in
/// it.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time after the first statement of the rate from which on the bound is checked.
const SETTLES_AFTER: Duration = Duration::from_secs(3);

/// How one gateway shares the rate.
pub trait Sharing {
    /// Whether the gateway may send a request now; counts the request if so.
    fn may_send(&mut self, now: Duration) -> bool;
}

/// A gateway that knows the rate and uses its turns.
pub struct Turns {
    id: InstanceId,
    gateways: u32,
    rates: StatedRates,
}

impl Turns {
    pub fn new(number: u32, gateways: u32, server: &str, rate: f64) -> Self {
        let id = InstanceId::new(server);
        let mut rates = StatedRates::new(&format!("gateway-{number}"));
        let statement = RateStatement::PerSecond(rate);
        rates.note(&id, Duration::ZERO, Duration::ZERO, statement);
        Self {
            id,
            gateways,
            rates,
        }
    }
}

impl Sharing for Turns {
    fn may_send(&mut self, now: Duration) -> bool {
        let is_open = self.rates.is_open(&self.id, now, Some(self.gateways));
        is_open && self.rates.note_sent(&self.id, now, self.gateways)
    }
}

/// A gateway that asks a leader, shared by all, for a permit for each request. Messages to the leader take no
/// time.
pub struct Permitted {
    id: InstanceId,
    rate: f64,
    leader: Rc<RefCell<Permits>>,
    refused_until: Duration,
}

impl Permitted {
    pub fn new(leader: &Rc<RefCell<Permits>>, rate: f64) -> Self {
        Self {
            id: InstanceId::new("i-1"),
            rate,
            leader: Rc::clone(leader),
            refused_until: Duration::ZERO,
        }
    }
}

impl Sharing for Permitted {
    fn may_send(&mut self, now: Duration) -> bool {
        if now < self.refused_until {
            return false;
        }
        match self.leader.borrow_mut().take(now, &self.id, self.rate) {
            Permit::Given => true,
            Permit::Refused { after } => {
                self.refused_until = now + after;
                false
            }
        }
    }
}

/// Load on one server.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: u32,
    /// Rate that the server states, in requests a second.
    pub rate: f64,
    /// Requests that arrive at the gateways, as a multiple of the rate.
    pub demand: f64,
    /// Time from which on the demand changes, and the new demand.
    pub surge: Option<(Duration, f64)>,
    /// Length of the simulation.
    pub duration: Duration,
}

/// Results of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Largest number of requests in a window.
    pub worst: usize,
    /// Number of requests allowed in a window.
    pub allowed: f64,
    /// Fraction of the rate that was used.
    pub used: f64,
}

impl Load {
    fn arrival_rate(&self, now: Duration) -> f64 {
        let surge = self.surge.filter(|(from, _)| now >= *from);
        self.rate * surge.map_or(self.demand, |(_, demand)| demand)
    }

    /// Runs the load with gateways that know the rate from the start.
    pub fn run<S: Sharing>(&self, seed: u64, gateway: impl Fn(u32) -> S) -> Outcome {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut gateways: Vec<S> = (0..self.gateways).map(gateway).collect();
        let mut sent = Vec::new();
        let mut now = Duration::ZERO;
        while now < self.duration {
            let pause = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
            now += Duration::from_secs_f64(pause / self.arrival_rate(now));
            let at = random.random_range(0..gateways.len());
            if gateways[at].may_send(now) && now >= SETTLES_AFTER {
                sent.push(now);
            }
        }
        let in_window = |from: Duration| {
            let within = sent
                .iter()
                .filter(|at| **at >= from && **at < from + WINDOW);
            within.count()
        };
        let worst = sent.iter().map(|from| in_window(*from)).max();
        let counted = (self.duration - SETTLES_AFTER).as_secs_f64();
        Outcome {
            worst: worst.unwrap_or(0),
            allowed: self.rate * WINDOW.as_secs_f64() * FACTOR + SLACK,
            used: sent.len() as f64 / counted / self.rate,
        }
    }
}
