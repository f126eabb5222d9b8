//! Detects requests that are retries of clients that were refused before.
//!
//! A client that retries has less time left than at its first attempt, and states it in its request. So a
//! request that states clearly less time than the longest recently stated on its route is most likely a
//! retry.

use std::collections::HashMap;
use std::time::Duration;

/// A request counts as a retry if it states less than this fraction of the longest time on its route.
const RETRY_FRACTION: f64 = 0.97;

/// Time after which the longest time on a route is discarded and learnt again, because clients may use
/// shorter timeouts than before.
const RELEARN_AFTER: Duration = Duration::from_secs(60);

/// Maximum number of routes kept. All are discarded when there are more.
const MAX_ROUTES: usize = 4_096;

/// The longest time stated on a route since `since`.
#[derive(Clone, Copy, Debug)]
struct Longest {
    stated: Duration,
    since: Duration,
}

/// The longest time that clients stated on each route.
#[derive(Debug, Default)]
pub struct ClientRetryDetector {
    by_route: HashMap<String, Longest>,
}

impl ClientRetryDetector {
    /// Records the time stated in a request; returns whether the request is most likely a retry.
    pub fn is_retry(&mut self, now: Duration, route: &str, stated: Duration) -> bool {
        let known = self.by_route.get_mut(route);
        let Some(longest) = known.filter(|one| now < one.since + RELEARN_AFTER) else {
            self.relearn(now, route, stated);
            return false;
        };
        longest.stated = longest.stated.max(stated);
        stated < longest.stated.mul_f64(RETRY_FRACTION)
    }

    fn relearn(&mut self, now: Duration, route: &str, stated: Duration) {
        if self.by_route.len() >= MAX_ROUTES {
            self.by_route.clear();
        }
        let longest = Longest { stated, since: now };
        self.by_route.insert(route.to_owned(), longest);
    }
}
