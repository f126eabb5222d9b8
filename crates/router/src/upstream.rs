//! One upstream server: its admission queue and its connection pool.
//!
//! Invariant: every admitted request releases its slot, even if its thread panics.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::Thread;
use std::time::Duration;

use grebepin_schema::{Server, ServerName, SocketAddress};
use grebepin_traffic::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionEvent, AdmissionRefusal, Ramp, Ticket,
};

use crate::clock::Clock;
use crate::pool::ConnectionPool;

/// Interval at which a waiting request checks whether its shard has moved.
pub const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

type Decision = Result<(), AdmissionRefusal>;

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotError {
    /// Admission refused the request.
    Refused(AdmissionRefusal),
    /// The shard moved to another ownership during the wait.
    Moved,
}

struct Waiter {
    thread: Thread,
    decision: Option<Decision>,
}

struct State {
    admission: Admission,
    waiters: BTreeMap<Ticket, Waiter>,
}

/// Admission queue and connection pool of one server.
pub struct Upstream {
    server: ServerName,
    pool: ConnectionPool,
    clock: Clock,
    state: Mutex<State>,
    draining_since: Mutex<Option<Duration>>,
}

/// How an admitted request used its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotUse {
    /// The request occupied the server until it ended.
    Occupied,
    /// The request never reached the server, or was refused there.
    Unused,
    /// The server refused the request under overload.
    Shed,
}

/// A slot of the server; released by [`Slot::finish`] or when dropped.
pub struct Slot {
    upstream: Arc<Upstream>,
    acquired_at: Duration,
    released: bool,
}

impl Upstream {
    /// Creates the state of `server` with room for `waiting` requests; `ramp` is warm or cold.
    pub fn new(server: &Server, waiting: u32, ramp: Ramp, clock: Clock) -> Self {
        let now = clock.now();
        let admission = Admission::new(admission_config(server, waiting), ramp, now);
        Self {
            server: server.name.clone(),
            pool: ConnectionPool::new(server.address.clone(), server.connections.get()),
            clock,
            state: Mutex::new(State {
                admission,
                waiters: BTreeMap::new(),
            }),
            draining_since: Mutex::new(None),
        }
    }

    /// Server name from the bundle.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Server address from the bundle.
    pub fn address(&self) -> &SocketAddress {
        self.pool.address()
    }

    /// Connection pool of the server.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Applies the limits of a new bundle.
    pub fn configure(&self, server: &Server, waiting: u32) {
        let now = self.clock.now();
        self.lock()
            .admission
            .configure(admission_config(server, waiting), now);
    }

    /// Sets whether the server is draining; the start of draining is kept on repeated calls.
    pub fn set_draining(&self, draining: bool) {
        let now = self.clock.now();
        let mut since = self
            .draining_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *since = match (draining, *since) {
            (true, None) => Some(now),
            (true, known) => known,
            (false, _) => None,
        };
    }

    /// Time since this router saw the server start draining; `None` if it is not draining.
    pub fn draining_for(&self) -> Option<Duration> {
        let since = self
            .draining_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        since.map(|since| self.clock.now().saturating_sub(since))
    }

    /// Restarts slow start, for a server that answers again after an ejection.
    pub fn restart_slow_start(&self) {
        let now = self.clock.now();
        self.lock().admission.set_ramp(Ramp::cold(now));
    }

    /// Number of requests in flight and number waiting.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.in_flight(), state.admission.waiting())
    }

    /// Waits for a slot, in the order of priority and deadline. Ends the wait if `moved` returns that the
    /// shard has another owner, because a frozen server frees no slot.
    ///
    /// # Errors
    /// [`SlotError`], as soon as it is known that the request gets no slot.
    pub fn acquire_slot(
        self: &Arc<Self>,
        priority: u32,
        deadline: Duration,
        moved: &dyn Fn() -> bool,
    ) -> Result<Slot, SlotError> {
        let ticket = {
            let mut state = self.lock();
            match state.admission.offer(self.clock.now(), priority, deadline) {
                AdmissionDecision::Admitted => return Ok(self.slot()),
                AdmissionDecision::Refused(refusal) => return Err(SlotError::Refused(refusal)),
                AdmissionDecision::Waiting { ticket, displaced } => {
                    let waiter = Waiter {
                        thread: std::thread::current(),
                        decision: None,
                    };
                    state.waiters.insert(ticket, waiter);
                    if let Some((ticket, refusal)) = displaced {
                        state.decide(ticket, Err(refusal));
                    }
                    ticket
                }
            }
        };
        self.wait(ticket, deadline, moved).map(|()| self.slot())
    }

    fn wait(
        &self,
        ticket: Ticket,
        deadline: Duration,
        moved: &dyn Fn() -> bool,
    ) -> Result<(), SlotError> {
        loop {
            let moved = moved();
            if let Some(end) = self
                .lock()
                .wait_result(ticket, deadline, self.clock.now(), moved)
            {
                return end;
            }
            let left = deadline.saturating_sub(self.clock.now());
            std::thread::park_timeout(left.min(MOVE_CHECK_INTERVAL));
        }
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            upstream: Arc::clone(self),
            acquired_at: self.clock.now(),
            released: false,
        }
    }

    fn release_slot(&self, acquired_at: Duration, slot_use: SlotUse) {
        let now = self.clock.now();
        let mut state = self.lock();
        if slot_use == SlotUse::Shed {
            state.admission.shed(now);
        }
        let events = match slot_use {
            SlotUse::Occupied => state.admission.finish(now, now.saturating_sub(acquired_at)),
            SlotUse::Unused | SlotUse::Shed => state.admission.finish_unused(now),
        };
        state.apply(events);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, events: Vec<AdmissionEvent>) {
        for event in events {
            match event {
                AdmissionEvent::Admitted(ticket) => self.decide(ticket, Ok(())),
                AdmissionEvent::Refused(ticket, refusal) => self.decide(ticket, Err(refusal)),
            }
        }
    }

    /// Result of the wait for `ticket`; `None` if it continues.
    fn wait_result(
        &mut self,
        ticket: Ticket,
        deadline: Duration,
        now: Duration,
        moved: bool,
    ) -> Option<Result<(), SlotError>> {
        if now >= deadline {
            let events = self.admission.tick(now);
            self.apply(events);
        }
        let decision = self.waiters.get(&ticket)?.decision;
        if decision.is_none() && !moved {
            return None;
        }
        self.waiters.remove(&ticket);
        match decision {
            Some(decision) => Some(decision.map_err(SlotError::Refused)),
            None => {
                self.admission.withdraw(ticket);
                Some(Err(SlotError::Moved))
            }
        }
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(waiter) = self.waiters.get_mut(&ticket) {
            waiter.decision = Some(decision);
            waiter.thread.unpark();
        }
    }
}

impl Slot {
    /// Releases the slot and admits waiting requests.
    pub fn finish(mut self, slot_use: SlotUse) {
        self.released = true;
        self.upstream.release_slot(self.acquired_at, slot_use);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.released {
            self.upstream
                .release_slot(self.acquired_at, SlotUse::Unused);
        }
    }
}

fn admission_config(server: &Server, waiting: u32) -> AdmissionConfig {
    AdmissionConfig {
        slots: server.slots.get().min(server.connections.get()),
        waiting,
    }
}
