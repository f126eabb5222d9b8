//! A server that states a rate, and gateways that share it, on virtual time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::stated_rate::StatedRates;
use grebepin_gateway::statement::RateStatement;
use grebepin_grants::{Permit, Permits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time over which requests are counted, and how many more than the rate allows may come in it.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time after the first statement from which on the rate is kept.
const SETTLES_AFTER: Duration = Duration::from_secs(3);

/// Whether one gateway may send to the server, and that it did.
pub trait Sharing {
    fn may_send(&mut self, now: Duration) -> bool;
}

/// Turns of the gateways that were told.
pub struct Turns {
    id: InstanceId,
    gateways: u32,
    rates: StatedRates,
}

impl Turns {
    pub fn new(number: u32, gateways: u32, server: &str, rate: f64) -> Self {
        let id = InstanceId::new(server);
        let mut rates = StatedRates::new(&format!("gateway-{number}"));
        let told = RateStatement::PerSecond(rate);
        rates.note(&id, Duration::ZERO, Duration::ZERO, told);
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

/// Gateways that ask one leader for a permit for each request; the way there takes no time.
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

/// What comes to one server.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub gateways: u32,
    /// Requests a second that it states.
    pub rate: f64,
    /// Requests a second that come, as a multiple of the rate.
    pub asked: f64,
    /// The same from a time on.
    pub crowd: Option<(Duration, f64)>,
    pub lasts: Duration,
}

/// What the server got.
#[derive(Clone, Copy, Debug)]
pub struct Got {
    /// Requests in the worst window.
    pub worst: usize,
    /// How many may come in one.
    pub allowed: f64,
    /// Part of the rate that was used.
    pub used: f64,
}

impl Load {
    fn asked_at(&self, now: Duration) -> f64 {
        let crowd = self.crowd.filter(|(from, _)| now >= *from);
        self.rate * crowd.map_or(self.asked, |(_, asked)| asked)
    }

    /// Plays the load with gateways that all were told at the start.
    pub fn play<S: Sharing>(&self, seed: u64, gateway: impl Fn(u32) -> S) -> Got {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut gateways: Vec<S> = (0..self.gateways).map(gateway).collect();
        let mut sent = Vec::new();
        let mut now = Duration::ZERO;
        while now < self.lasts {
            let pause = -random.random::<f64>().max(f64::MIN_POSITIVE).ln();
            now += Duration::from_secs_f64(pause / self.asked_at(now));
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
        let counted = (self.lasts - SETTLES_AFTER).as_secs_f64();
        Got {
            worst: worst.unwrap_or(0),
            allowed: self.rate * WINDOW.as_secs_f64() * FACTOR + SLACK,
            used: sent.len() as f64 / counted / self.rate,
        }
    }
}
