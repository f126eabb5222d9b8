//! Admission control for one server at one router.
//!
//! Invariants: the requests in flight never exceed the server's slots, and the waiting requests never
//! exceed the queue limit; a refusal is immediate. Waiting requests are admitted by priority, then by
//! deadline. Decisions use only the router's own counts; nothing a server reports raises a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ramp::Ramp;

/// Lower bound of the retry delay given to a refused caller.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Upper bound of the retry delay given to a refused caller.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time without a shed request after which the slot limit rises by one.
const SLOT_RECOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// The newest sample enters the service time estimate with a weight of one divided by this.
const ESTIMATE_DIVISOR: u32 = 8;

/// A sample is capped at this many times the current estimate.
const MAX_SAMPLE_FACTOR: u32 = 4;

/// Concurrency and queue limits of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub waiting: u32,
}

/// Identifier of one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a request was not admitted. A refused request was never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionRefusal {
    /// The queue is full, or a request of higher priority displaced this one.
    #[error("too many requests wait")]
    QueueFull {
        /// Time after which the queue may have room.
        retry_after: Duration,
    },
    /// The request is not expected to be answered by its deadline.
    #[error("too little time is left")]
    DeadlineTooNear {
        /// Time after which the queue may be shorter.
        retry_after: Duration,
    },
    /// The server is ejected after repeated failures.
    #[error("the owner does not answer")]
    Ejected {
        /// Time until the next probe of the server.
        retry_after: Duration,
    },
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has a slot and is to be sent now.
    Admitted,
    /// The request waits; an [`AdmissionEvent`] follows.
    Waiting {
        /// Identifies the request in the event.
        ticket: Ticket,
        /// Waiting request of lower priority that was removed to make room, with its refusal.
        displaced: Option<(Ticket, AdmissionRefusal)>,
    },
    /// The request is refused.
    Refused(AdmissionRefusal),
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// The request has a slot and is to be sent now.
    Admitted(Ticket),
    /// The request is refused.
    Refused(Ticket, AdmissionRefusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: u32,
    deadline: Duration,
    ticket: Ticket,
}

/// Slots and priority queue of one server at one router.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    ramp: Ramp,
    slot_limit: u32,
    slot_limit_changed: Duration,
    in_flight: u32,
    queue: BTreeMap<QueueKey, ()>,
    next_ticket: u64,
    service_time: Duration,
}

impl Admission {
    /// Creates the state of a server without requests.
    pub fn new(config: AdmissionConfig, ramp: Ramp, now: Duration) -> Self {
        Self {
            config,
            ramp,
            slot_limit: config.slots,
            slot_limit_changed: now,
            in_flight: 0,
            queue: BTreeMap::new(),
            next_ticket: 0,
            service_time: Duration::ZERO,
        }
    }

    /// Changes the limits, for example for a new bundle.
    pub fn configure(&mut self, config: AdmissionConfig, now: Duration) {
        if config.slots != self.config.slots {
            self.slot_limit = config.slots;
            self.slot_limit_changed = now;
        }
        self.config = config;
    }

    /// Replaces the ramp, for example when the server is cold again.
    pub fn set_ramp(&mut self, ramp: Ramp) {
        self.ramp = ramp;
    }

    /// Requests a slot; priority 0 is served first. `deadline` is on the same clock as `now`.
    pub fn offer(&mut self, now: Duration, priority: u32, deadline: Duration) -> AdmissionDecision {
        if deadline <= now {
            return AdmissionDecision::Refused(self.deadline_refusal());
        }
        if self.queue.is_empty() && self.in_flight < self.limit(now) {
            if self.is_too_late(now, deadline) {
                return AdmissionDecision::Refused(self.deadline_refusal());
            }
            self.in_flight += 1;
            return AdmissionDecision::Admitted;
        }
        let ticket = Ticket(self.next_ticket);
        let key = QueueKey {
            priority,
            deadline,
            ticket,
        };
        if now + self.time_to_answer(now, &key) > deadline {
            return AdmissionDecision::Refused(self.deadline_refusal());
        }
        let displaced = match self.make_room(priority) {
            Ok(displaced) => displaced,
            Err(refusal) => return AdmissionDecision::Refused(refusal),
        };
        self.next_ticket += 1;
        self.queue.insert(key, ());
        AdmissionDecision::Waiting { ticket, displaced }
    }

    /// Removes a waiting request; false if it is not waiting.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let found = self.queue.keys().find(|key| key.ticket == ticket).copied();
        found.is_some_and(|key| self.queue.remove(&key).is_some())
    }

    /// Ends an admitted request that was in flight for `taken`, and admits waiting requests.
    pub fn finish(&mut self, now: Duration, taken: Duration) -> Vec<AdmissionEvent> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.update_service_time(taken);
        self.admit(now)
    }

    /// Ends an admitted request that did not occupy the server; its time does not enter the service time
    /// estimate.
    pub fn finish_unused(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.admit(now)
    }

    /// Lowers the slot limit by one for a while, because the server refused a request under overload:
    /// other routers use the server too. Call before [`Admission::finish_unused`].
    pub fn shed(&mut self, now: Duration) {
        self.slot_limit = self.limit(now).saturating_sub(1).max(1);
        self.slot_limit_changed = now;
    }

    /// Refuses waiting requests whose deadline has passed, and admits others to free slots.
    pub fn tick(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        let mut events = Vec::new();
        let expired: Vec<QueueKey> = self
            .queue
            .keys()
            .filter(|key| key.deadline <= now)
            .copied()
            .collect();
        for key in expired {
            self.queue.remove(&key);
            events.push(AdmissionEvent::Refused(key.ticket, self.deadline_refusal()));
        }
        events.extend(self.admit(now));
        events
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Maximum number of requests in flight at `now`, after overload and slow start.
    pub fn limit(&self, now: Duration) -> u32 {
        let since_change = now.saturating_sub(self.slot_limit_changed);
        let recovered = (since_change.as_millis() / SLOT_RECOVERY_INTERVAL.as_millis()) as u32;
        let slot_limit = self
            .slot_limit
            .saturating_add(recovered)
            .min(self.config.slots);
        self.ramp.limit(now, slot_limit)
    }

    /// Estimated time in flight of one request; zero before the first sample.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Caps the sample, so that one very slow request, such as at a frozen server, does not cause the
    /// refusal of others.
    fn update_service_time(&mut self, taken: Duration) {
        if self.service_time.is_zero() {
            self.service_time = taken;
            return;
        }
        let sample = taken.min(self.service_time * MAX_SAMPLE_FACTOR);
        self.service_time =
            (self.service_time * (ESTIMATE_DIVISOR - 1) + sample) / ESTIMATE_DIVISOR;
    }

    /// Time that a request needs once it has a slot: the estimate plus a quarter.
    fn time_needed(&self) -> Duration {
        self.service_time + self.service_time / 4
    }

    fn admit(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        let mut events = self.refuse_unanswerable(now);
        while self.in_flight < self.limit(now) {
            let Some((key, ())) = self.queue.pop_first() else {
                break;
            };
            if self.is_too_late(now, key.deadline) {
                events.push(AdmissionEvent::Refused(key.ticket, self.deadline_refusal()));
            } else {
                self.in_flight += 1;
                events.push(AdmissionEvent::Admitted(key.ticket));
            }
        }
        events
    }

    /// Refuses requests that were overtaken and can no longer be answered by their deadline, instead of
    /// keeping them queued until it passes.
    fn refuse_unanswerable(&mut self, now: Duration) -> Vec<AdmissionEvent> {
        let limit = self.limit(now).max(1);
        let mut ahead = 0;
        let mut unanswerable = Vec::new();
        for key in self.queue.keys() {
            let least = self.service_time * (ahead / limit) + self.time_needed();
            let idle = ahead == 0 && self.in_flight == 0;
            if now + least > key.deadline && !idle {
                unanswerable.push(*key);
            } else {
                ahead += 1;
            }
        }
        for key in &unanswerable {
            self.queue.remove(key);
        }
        let refusal = self.deadline_refusal();
        let refused = |key: QueueKey| AdmissionEvent::Refused(key.ticket, refusal);
        unanswerable.into_iter().map(refused).collect()
    }

    /// Whether the request would only waste a slot and end with an unknown outcome. An idle server gets
    /// any request with time left, so that a high estimate cannot exclude it permanently.
    fn is_too_late(&self, now: Duration, deadline: Duration) -> bool {
        let left = deadline.saturating_sub(now);
        left.is_zero() || (self.in_flight > 0 && left < self.time_needed())
    }

    fn time_to_answer(&self, now: Duration, key: &QueueKey) -> Duration {
        let ahead = self.queue.range(..key).count() as u32;
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

    fn deadline_refusal(&self) -> AdmissionRefusal {
        AdmissionRefusal::DeadlineTooNear {
            retry_after: self.retry_after(),
        }
    }

    /// Estimated time in which the current queue empties.
    fn retry_after(&self) -> Duration {
        let rounds = self.queue.len() as u32 / self.config.slots.max(1) + 1;
        (self.service_time * rounds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
