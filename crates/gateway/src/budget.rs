//! How often requests of a service may be sent a second time.
//!
//! Invariant: within any window, the second sendings of all gateways together stay below the
//! deployment's bound, since each takes an equal part of the fixed allowance and its own
//! requests' part of the proportional one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Part of the deployment's bound that is used; the rest covers counts that differ at the edges
/// of windows.
const USED_PART: f64 = 0.6;

/// The deployment's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBound {
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
pub struct Budgets {
    bound: BudgetBound,
    gateways: u32,
    accounts: HashMap<String, Account>,
}

impl Budgets {
    /// Budgets under a bound; one gateway until more are known.
    pub fn new(bound: BudgetBound) -> Self {
        Self {
            bound,
            gateways: 1,
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

    /// Whether a request of a service may be sent once more; counts the sending if so.
    pub fn take(&mut self, service: &str, now: Duration) -> bool {
        let (ratio, slack) = (self.bound.ratio, self.bound.slack);
        let gateways = f64::from(self.gateways);
        let account = self.account(service, now);
        let allowed = USED_PART * (ratio * account.requests.len() as f64 + slack / gateways);
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
