//! The way to one server: its admission and its connections.
//!
//! Invariant: every admitted request gives its slot back, whatever happens to the thread.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::Thread;
use std::time::Duration;

use grebepin_schema::{Server, ServerName, SocketAddress};
use grebepin_traffic::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionEvent, AdmissionRefusal, Ramp, Ticket,
};

use crate::clock::Clock;
use crate::pool::Link;

/// Between two looks of a waiting request at whether its shard has moved.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(50);

type Decision = Result<(), AdmissionRefusal>;

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// It is answered now.
    Refused(AdmissionRefusal),
    /// Another server owns its shard by now.
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

/// The way to one server.
pub struct Gate {
    server: ServerName,
    link: Link,
    clock: Clock,
    state: Mutex<State>,
    draining_since: Mutex<Option<Duration>>,
}

/// How a request that was admitted ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// It took a slot of the server until its end.
    Taken,
    /// It never reached the server, or was refused there.
    Unused,
    /// The server has too much to do.
    Shed,
}

/// A slot of the server; given back by [`Slot::finish`] or when dropped.
pub struct Slot {
    gate: Arc<Gate>,
    taken_at: Duration,
    given_back: bool,
}

impl Gate {
    /// A gate in front of `server`, warm or cold.
    pub fn new(server: &Server, waiting: u32, ramp: Ramp, clock: Clock) -> Self {
        let now = clock.now();
        let admission = Admission::new(config_of(server, waiting), ramp, now);
        Self {
            server: server.name.clone(),
            link: Link::new(server.address.clone(), server.connections.get()),
            clock,
            state: Mutex::new(State {
                admission,
                waiters: BTreeMap::new(),
            }),
            draining_since: Mutex::new(None),
        }
    }

    /// Name of the server.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Address of the server.
    pub fn address(&self) -> &SocketAddress {
        self.link.address()
    }

    /// Connections to the server.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Takes over the bounds of a new bundle.
    pub fn configure(&self, server: &Server, waiting: u32) {
        let now = self.clock.now();
        self.lock()
            .admission
            .configure(config_of(server, waiting), now);
    }

    /// Notes whether the server is leaving.
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

    /// Time for which the server has been leaving, as this router knows.
    pub fn draining_for(&self) -> Option<Duration> {
        let since = self
            .draining_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        since.map(|since| self.clock.now().saturating_sub(since))
    }

    /// Lets a server that answers again rise slowly.
    pub fn warm_up(&self) {
        let now = self.clock.now();
        self.lock().admission.set_ramp(Ramp::cold(now));
    }

    /// Requests in flight and waiting.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.in_flight(), state.admission.waiting())
    }

    /// Waits for a slot, in the order of priority and deadline, unless `moved` says that the shard has
    /// another owner: a server that froze frees no slot.
    ///
    /// # Errors
    /// The reason, as soon as it is known.
    pub fn enter(
        self: &Arc<Self>,
        priority: u32,
        deadline: Duration,
        moved: &dyn Fn() -> bool,
    ) -> Result<Slot, Denied> {
        let ticket = {
            let mut state = self.lock();
            match state.admission.offer(self.clock.now(), priority, deadline) {
                AdmissionDecision::Admitted => return Ok(self.slot()),
                AdmissionDecision::Refused(refusal) => return Err(Denied::Refused(refusal)),
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
    ) -> Result<(), Denied> {
        loop {
            let moved = moved();
            if let Some(end) = self
                .lock()
                .end_of_wait(ticket, deadline, self.clock.now(), moved)
            {
                return end;
            }
            let left = deadline.saturating_sub(self.clock.now());
            std::thread::park_timeout(left.min(LOOK_INTERVAL));
        }
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot {
            gate: Arc::clone(self),
            taken_at: self.clock.now(),
            given_back: false,
        }
    }

    fn leave(&self, taken_at: Duration, used: Use) {
        let now = self.clock.now();
        let mut state = self.lock();
        if used == Use::Shed {
            state.admission.shed(now);
        }
        let events = match used {
            Use::Taken => state.admission.finish(now, now.saturating_sub(taken_at)),
            Use::Unused | Use::Shed => state.admission.finish_unused(now),
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

    /// What the waiting request hears now; `None` when it waits on.
    fn end_of_wait(
        &mut self,
        ticket: Ticket,
        deadline: Duration,
        now: Duration,
        moved: bool,
    ) -> Option<Result<(), Denied>> {
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
            Some(decision) => Some(decision.map_err(Denied::Refused)),
            None => {
                self.admission.withdraw(ticket);
                Some(Err(Denied::Moved))
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
    /// Gives the slot back.
    pub fn finish(mut self, used: Use) {
        self.given_back = true;
        self.gate.leave(self.taken_at, used);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.given_back {
            self.gate.leave(self.taken_at, Use::Unused);
        }
    }
}

fn config_of(server: &Server, waiting: u32) -> AdmissionConfig {
    AdmissionConfig {
        slots: server.slots.get().min(server.connections.get()),
        waiting,
    }
}
