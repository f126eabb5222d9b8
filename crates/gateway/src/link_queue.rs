//! How long bytes wait for this machine's link, and which requests are turned away for it.
//!
//! A gateway on a narrow link has no view of the queue at the far end of it. It reckons with one: each request that it
//! takes adds the bytes that it will bring over the link, itself and its answer, and the link carries so many a second.
//! Both directions carry about the same, since what comes in goes out.
//!
//! Invariant: a request is turned away for the link only when the bytes before it take longer than its rank allows, so a
//! gateway whose link has room turns nobody away for it.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_directory::pacing::BYTES_PER_MEGABIT;

/// Part of the link that requests and answers can use; the rest is for the directory's news and for what opens and
/// acknowledges connections.
const USABLE_PART: f64 = 0.95;

/// Bytes of the heads of a request and of its answer together, about.
const HEAD_BYTES: f64 = 600.0;

/// Body of an answer of a service that gave none yet, in bytes.
const ASSUMED_ANSWER: f64 = 1_000.0;

/// Weight of one answer in the mean size of a service's answers.
const ANSWER_WEIGHT: f64 = 0.05;

/// Longest time that bytes may wait before a request of the least urgent rank: some ten requests of 4.6 KB at
/// 2.2 Mbit/s, which chance alone gathers seldom while the link has room.
const LEAST_URGENT_WAIT: Duration = Duration::from_millis(200);

/// What each rank more is allowed beyond that.
const WAIT_PER_RANK: Duration = Duration::from_millis(75);

/// The queue of one link.
#[derive(Debug)]
pub struct LinkQueue {
    /// Bytes a second; `None` when the link is not known, and nobody is turned away for it.
    rate: Option<f64>,
    queued_bytes: f64,
    at: Duration,
    answer_bytes: HashMap<String, f64>,
}

impl LinkQueue {
    /// For a link of so many megabits a second.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            rate: link_mbps.map(|mbps| mbps * BYTES_PER_MEGABIT * USABLE_PART),
            queued_bytes: 0.0,
            at: Duration::ZERO,
            answer_bytes: HashMap::new(),
        }
    }

    /// Time that bytes wait for the link now.
    pub fn wait(&self, now: Duration) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64(self.queued(now, rate) / rate)
    }

    fn queued(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        (self.queued_bytes - elapsed * rate).max(0.0)
    }

    /// Takes a request into account, or not when the bytes before it wait longer than its rank allows; whether it was
    /// taken. `priority_above_lowest` tells how many ranks more urgent it is than the least urgent requests.
    pub fn admit(
        &mut self,
        now: Duration,
        service: &str,
        request_bytes: usize,
        priority_above_lowest: u32,
    ) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let allowed = LEAST_URGENT_WAIT + WAIT_PER_RANK * priority_above_lowest;
        if self.wait(now) > allowed {
            return false;
        }
        let answer = self.answer_bytes.get(service).copied();
        let bytes = request_bytes as f64 + answer.unwrap_or(ASSUMED_ANSWER) + HEAD_BYTES;
        self.queued_bytes = self.queued(now, rate) + bytes;
        self.at = now;
        true
    }

    /// A server of a service answered with a body of so many bytes.
    pub fn note_answer(&mut self, service: &str, bytes: usize) {
        let bytes = bytes as f64;
        match self.answer_bytes.get_mut(service) {
            Some(mean) => *mean += ANSWER_WEIGHT * (bytes - *mean),
            None => _ = self.answer_bytes.insert(service.to_owned(), bytes),
        }
    }
}
