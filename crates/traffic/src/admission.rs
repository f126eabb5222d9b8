//! Admission of requests to one server at one router.
//!
//! Invariants: never more requests in flight than the server's slots; never more waiting than the
//! bound; whoever is refused is refused at once. Waiting requests are served by priority, then by
//! deadline. What a router counted itself decides; nothing a server reports raises a bound.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ramp::Ramp;

/// Shortest time after which a refused caller is told to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest time after which a refused caller is told to come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time without a shed request after which a router tries one more slot of the server.
const SHARE_RECOVERY: Duration = Duration::from_secs(2);

/// Weight of the newest sample in the estimate of the service time: one part in this many.
const ESTIMATE_PARTS: u32 = 8;

/// A sample counts for at most this many times the estimate.
const GREATEST_SAMPLE: u32 = 4;

/// Bounds in front of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub waiting: u32,
}

/// Names one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a request was not admitted; it was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionRefusal {
    /// Too many requests wait, or one of higher priority took the place.
    #[error("too many requests wait")]
    QueueFull {
        /// When a place may be free.
        retry_after: Duration,
    },
    /// The request would not be answered by its deadline.
    #[error("too little time is left")]
    DeadlineTooNear {
        /// When the queue may be shorter.
        retry_after: Duration,
    },
    /// The server failed again and again; the next look at it is later.
    #[error("the owner does not answer")]
    Ejected {
        /// When the server is tried again.
        retry_after: Duration,
    },
}

/// The answer to a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it now.
    Admitted,
    /// It waits; an event follows.
    Waiting {
        /// Names the request in the event.
        ticket: Ticket,
        /// A waiting request of lower priority that lost its place, with its refusal.
        displaced: Option<(Ticket, AdmissionRefusal)>,
    },
    /// Answer it now.
    Refused(AdmissionRefusal),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// Send it now.
    Admitted(Ticket),
    /// Answer it now.
    Refused(Ticket, AdmissionRefusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u32,
    deadline: Duration,
    ticket: Ticket,
}

/// Queue and slots of one server at one router.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    ramp: Ramp,
    share: u32,
    share_changed: Duration,
    in_flight: u32,
    queue: BTreeMap<Rank, ()>,
    next_ticket: u64,
    service_time: Duration,
}

impl Admission {
    /// An idle server.
    pub fn new(config: AdmissionConfig, ramp: Ramp, now: Duration) -> Self {
        Self {
            config,
            ramp,
            share: config.slots,
            share_changed: now,
            in_flight: 0,
            queue: BTreeMap::new(),
            next_ticket: 0,
            service_time: Duration::ZERO,
        }
    }

    /// Changes the bounds, as a new bundle may.
    pub fn configure(&mut self, config: AdmissionConfig, now: Duration) {
        if config.slots != self.config.slots {
            self.share = config.slots;
            self.share_changed = now;
        }
        self.config = config;
    }

    /// Starts a ramp, as the server is cold again.
    pub fn set_ramp(&mut self, ramp: Ramp) {
        self.ramp = ramp;
    }

    /// Asks for a slot. `deadline` is on the same clock as `now`.
    pub fn offer(&mut self, now: Duration, priority: u32, deadline: Duration) -> AdmissionDecision {
        if deadline <= now {
            return AdmissionDecision::Refused(self.too_near());
        }
        if self.queue.is_empty() && self.in_flight < self.limit(now) {
            if self.is_too_late(now, deadline) {
                return AdmissionDecision::Refused(self.too_near());
            }
            self.in_flight += 1;
            return AdmissionDecision::Admitted;
        }
        let ticket = Ticket(self.next_ticket);
        let rank = Rank {
            priority,
            deadline,
            ticket,
        };
        if now + self.time_to_answer(now, &rank) > deadline {
            return AdmissionDecision::Refused(self.too_near());
        }
        let displaced = match self.make_room(priority) {
            Ok(displaced) => displaced,
            Err(refusal) => return AdmissionDecision::Refused(refusal),
        };
        self.next_ticket += 1;
        self.queue.insert(rank, ());
        AdmissionDecision::Waiting { ticket, displaced }
    }

    /// Takes back a request that waits; true when it did wait.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let found = self
            .queue
            .keys()
            .find(|rank| rank.ticket == ticket)
            .copied();
        found.is_some_and(|rank| self.queue.remove(&rank).is_some())
    }

    /// A request that was admitted is over, after `taken` in flight; admits those that wait.
    pub fn finish(&mut self, now: Duration, taken: Duration) -> Vec<AdmissionEvent> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.learn(taken);
        self.admit(now)
    }

    /// A request that was admitted is over without having used the server.
    pub fn finish_unused(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.admit(now)
    }

    /// The server refused a request as it has too much to do: other routers use it too, so this
    /// router takes one slot less for a while. Call before [`Admission::finish_unused`].
    pub fn shed(&mut self, now: Duration) {
        self.share = self.limit(now).saturating_sub(1).max(1);
        self.share_changed = now;
    }

    /// Refuses waiting requests whose deadline has come, and admits others where slots are free.
    pub fn tick(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        let mut events = Vec::new();
        let expired: Vec<Rank> = self
            .queue
            .keys()
            .filter(|rank| rank.deadline <= now)
            .copied()
            .collect();
        for rank in expired {
            self.queue.remove(&rank);
            events.push(AdmissionEvent::Refused(rank.ticket, self.too_near()));
        }
        events.extend(self.admit(now));
        events
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that may be in flight at `now`.
    pub fn limit(&self, now: Duration) -> u32 {
        let clean = now.saturating_sub(self.share_changed);
        let recovered = (clean.as_millis() / SHARE_RECOVERY.as_millis()) as u32;
        let share = self.share.saturating_add(recovered).min(self.config.slots);
        self.ramp.limit(now, share)
    }

    /// Estimate of one request's time in flight.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// One request that took very long, as at a server that froze, must not shut the others out.
    fn learn(&mut self, taken: Duration) {
        if self.service_time.is_zero() {
            self.service_time = taken;
            return;
        }
        let sample = taken.min(self.service_time * GREATEST_SAMPLE);
        self.service_time = (self.service_time * (ESTIMATE_PARTS - 1) + sample) / ESTIMATE_PARTS;
    }

    /// Time that a request needs once it has a slot: the estimate and a quarter more.
    fn time_needed(&self) -> Duration {
        self.service_time + self.service_time / 4
    }

    fn admit(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        let mut events = self.refuse_hopeless(now);
        while self.in_flight < self.limit(now) {
            let Some((rank, ())) = self.queue.pop_first() else {
                break;
            };
            if self.is_too_late(now, rank.deadline) {
                events.push(AdmissionEvent::Refused(rank.ticket, self.too_near()));
            } else {
                self.in_flight += 1;
                events.push(AdmissionEvent::Admitted(rank.ticket));
            }
        }
        events
    }

    /// Refuses those that were overtaken for so long that they can't be answered by their deadline any
    /// more, instead of keeping them until it comes.
    fn refuse_hopeless(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        let limit = self.limit(now).max(1);
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for rank in self.queue.keys() {
            let least = self.service_time * (ahead / limit) + self.time_needed();
            let idle = ahead == 0 && self.in_flight == 0;
            if now + least > rank.deadline && !idle {
                hopeless.push(*rank);
            } else {
                ahead += 1;
            }
        }
        for rank in &hopeless {
            self.queue.remove(rank);
        }
        let refusal = self.too_near();
        let refused = |rank: Rank| AdmissionEvent::Refused(rank.ticket, refusal);
        hopeless.into_iter().map(refused).collect()
    }

    /// Running it would waste a slot, and leave its outcome unknown. An idle server takes any request
    /// with time left, so that the estimate cannot shut it out for good.
    fn is_too_late(&self, now: Duration, deadline: Duration) -> bool {
        let left = deadline.saturating_sub(now);
        left.is_zero() || (self.in_flight > 0 && left < self.time_needed())
    }

    fn time_to_answer(&self, now: Duration, rank: &Rank) -> Duration {
        let ahead = self.queue.range(..rank).count() as u32;
        let rounds = ahead / self.limit(now).max(1) + 1;
        self.service_time * rounds
    }

    fn make_room(
        &mut self,
        priority: u32,
    ) -> Result<Option<(Ticket, AdmissionRefusal)>, AdmissionRefusal> {
        if self.queue.len() < self.config.waiting as usize {
            return Ok(None);
        }
        let refusal = AdmissionRefusal::QueueFull {
            retry_after: self.retry_after(),
        };
        match self.queue.last_key_value() {
            Some((worst, ())) if worst.priority > priority => {
                let ticket = worst.ticket;
                self.queue.pop_last();
                Ok(Some((ticket, refusal)))
            }
            _ => Err(refusal),
        }
    }

    fn too_near(&self) -> AdmissionRefusal {
        AdmissionRefusal::DeadlineTooNear {
            retry_after: self.retry_after(),
        }
    }

    /// Time in which the present queue empties.
    fn retry_after(&self) -> Duration {
        let rounds = self.queue.len() as u32 / self.config.slots.max(1) + 1;
        (self.service_time * rounds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
