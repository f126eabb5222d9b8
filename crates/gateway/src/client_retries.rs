//! Which requests come from clients that were refused before.
//!
//! A client that comes back has less time left than it had at first, and states it. So a request that states clearly less
//! than the longest time lately stated on its route has most likely come back.

use std::collections::HashMap;
use std::time::Duration;

/// Part of the longest time below which a request counts as one that came back.
const RETURNED_PART: f64 = 0.97;

/// Time after which a route's longest time is learnt anew: clients may come to wait less.
const LEARNT_FOR: Duration = Duration::from_secs(60);

/// Routes that are remembered at most; all are learnt anew when there are more.
const MAXIMUM_ROUTES: usize = 4_096;

/// The longest time stated on a route, and since when it is being learnt.
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
    /// Takes a stated time in; whether the request has most likely come back.
    pub fn is_retry(&mut self, now: Duration, route: &str, stated: Duration) -> bool {
        let known = self.by_route.get_mut(route);
        let Some(longest) = known.filter(|one| now < one.since + LEARNT_FOR) else {
            self.learn_anew(now, route, stated);
            return false;
        };
        longest.stated = longest.stated.max(stated);
        stated < longest.stated.mul_f64(RETURNED_PART)
    }

    fn learn_anew(&mut self, now: Duration, route: &str, stated: Duration) {
        if self.by_route.len() >= MAXIMUM_ROUTES {
            self.by_route.clear();
        }
        let longest = Longest { stated, since: now };
        self.by_route.insert(route.to_owned(), longest);
    }
}
