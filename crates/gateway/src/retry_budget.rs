//! How often requests of a service may be sent a second time.
//!
//! Invariant: within any window, the second sendings of all gateways together stay below the
//! deployment's bound, since each takes an equal part of the fixed allowance and its own
//! requests' part of the proportional one.
//!
//! Of many gateways each has a part of few sendings and a fraction. Fractions are rounded by a fixed threshold of each
//! gateway, spread evenly over all of them, so that together they use what they may: rounding down everywhere would
//! leave all of it unused where a part is below one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::hashing::unit_interval;

/// Part of the deployment's bound that is used; the rest covers counts that differ at the edges
/// of windows.
const USED_PART: f64 = 0.6;

/// Part of a gateway's budget that requests may use whose clients have another try left. The rest is for those that
/// came back: a request that is refused again has no further chance, while one that is refused for the first time has
/// the client's own.
const FIRST_TRY_PART: f64 = 0.5;

/// The deployment's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetBound {
    /// Second sendings for each request.
    pub ratio: f64,
    /// Time over which they are counted.
    pub window: Duration,
    /// Second sendings of all gateways together that are allowed beyond the ratio.
    pub slack: f64,
}

/// What happened lately for one service.
#[derive(Debug, Default)]
struct Account {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// The budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    bound: RetryBudgetBound,
    gateways: u32,
    /// Fraction of a sending, from 0 to 1, from which on this gateway rounds its part up.
    rounds_up_from: f64,
    accounts: HashMap<String, Account>,
}

impl RetryBudgets {
    /// RetryBudgets of the gateway on machine `node` under a bound; one gateway until more are known.
    pub fn new(bound: RetryBudgetBound, node: &str) -> Self {
        Self {
            bound,
            gateways: 1,
            rounds_up_from: unit_interval(xxh3_64(node.as_bytes())),
            accounts: HashMap::new(),
        }
    }

    /// Takes over how many gateways share the bound.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = self.gateways.max(gateways).max(1);
    }

    /// How many gateways share the bound.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Counts a request of a service.
    pub fn note_request(&mut self, service: &str, now: Duration) {
        let account = self.account(service, now);
        account.requests.push_back(now);
    }

    /// Whether a request of a service may be sent once more; counts the sending if so. `came_back` tells whether its
    /// client was refused before.
    pub fn take(&mut self, service: &str, now: Duration, came_back: bool) -> bool {
        let (ratio, slack) = (self.bound.ratio, self.bound.slack);
        let gateways = f64::from(self.gateways);
        let rounds_up_from = self.rounds_up_from;
        let account = self.account(service, now);
        let usable = match came_back {
            true => 1.0,
            false => FIRST_TRY_PART,
        };
        let part = usable * USED_PART * (ratio * account.requests.len() as f64 + slack / gateways);
        let allowed = part.floor() + f64::from(u8::from(part.fract() > rounds_up_from));
        if (account.repeats.len() as f64) + 1.0 > allowed {
            return false;
        }
        account.repeats.push_back(now);
        true
    }

    fn account(&mut self, service: &str, now: Duration) -> &mut Account {
        let start = now.saturating_sub(self.bound.window);
        if !self.accounts.contains_key(service) {
            self.accounts.insert(service.to_owned(), Account::default());
        }
        let account = self.accounts.get_mut(service).expect("just inserted");
        for times in [&mut account.requests, &mut account.repeats] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
        account
    }
}
