//! Limits how many requests of a service are retried.
//!
//! Invariant: in any window, the retries of all gateways together stay below the deployment's bound. Each
//! gateway uses an equal share of the fixed allowance and the proportional allowance of its own requests.
//!
//! With many gateways, the share of each is a small number with a fraction. Each gateway rounds at its own
//! fixed threshold, and the thresholds are spread evenly over the gateways, so that together they use the
//! whole allowance. If every gateway rounded down, nothing could be retried where the share is below one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::hashing::unit_interval;

/// Fraction of the deployment's bound that is used. The rest covers differences in counting at the edges of
/// windows.
const USED_FRACTION: f64 = 0.6;

/// Fraction of a gateway's budget available to requests on their client's first attempt. The rest is reserved
/// for client retries: when a retry is refused again the request has failed, while a first attempt can still
/// be retried by its client.
const FIRST_ATTEMPT_FRACTION: f64 = 0.5;

/// The deployment's bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetBound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Retries of all gateways together that are allowed in a window in addition to the ratio.
    pub slack: f64,
}

/// Times of one service's requests and retries within the window.
#[derive(Debug, Default)]
struct Account {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// The retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    bound: RetryBudgetBound,
    gateways: u32,
    /// This gateway rounds its allowance up if the fractional part exceeds this threshold between 0 and 1.
    round_up_threshold: f64,
    accounts: HashMap<String, Account>,
}

impl RetryBudgets {
    /// Budgets of the gateway on machine `node`. Assumes a single gateway until
    /// [`RetryBudgets::set_gateways`] is called.
    pub fn new(bound: RetryBudgetBound, node: &str) -> Self {
        Self {
            bound,
            gateways: 1,
            round_up_threshold: unit_interval(xxh3_64(node.as_bytes())),
            accounts: HashMap::new(),
        }
    }

    /// Raises the number of gateways that share the bound. A lower number than before is ignored.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = self.gateways.max(gateways).max(1);
    }

    /// Number of gateways that share the bound, the largest that was set.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Counts a request of a service.
    pub fn note_request(&mut self, service: &str, now: Duration) {
        let account = self.account(service, now);
        account.requests.push_back(now);
    }

    /// Takes back the last request of a service that was counted, since another gateway counts it.
    pub fn forget_request(&mut self, service: &str) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.requests.pop_back();
        }
    }

    /// Takes one retry out of a service's budget; returns false if none is left. `is_client_retry` is true if
    /// the request itself is a retry by a client that was refused before.
    pub fn take(&mut self, service: &str, now: Duration, is_client_retry: bool) -> bool {
        let (ratio, slack) = (self.bound.ratio, self.bound.slack);
        let gateways = f64::from(self.gateways);
        let round_up_threshold = self.round_up_threshold;
        let account = self.account(service, now);
        let usable = match is_client_retry {
            true => 1.0,
            false => FIRST_ATTEMPT_FRACTION,
        };
        let share =
            usable * USED_FRACTION * (ratio * account.requests.len() as f64 + slack / gateways);
        let allowed = share.floor() + f64::from(u8::from(share.fract() > round_up_threshold));
        if (account.retries.len() as f64) + 1.0 > allowed {
            return false;
        }
        account.retries.push_back(now);
        true
    }

    fn account(&mut self, service: &str, now: Duration) -> &mut Account {
        let start = now.saturating_sub(self.bound.window);
        if !self.accounts.contains_key(service) {
            self.accounts.insert(service.to_owned(), Account::default());
        }
        let account = self.accounts.get_mut(service).expect("just inserted");
        for times in [&mut account.requests, &mut account.retries] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
        account
    }
}
