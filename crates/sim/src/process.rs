//! Identities and run states of the simulated processes.

use std::collections::VecDeque;

use crate::clock::{Instant, ProcessClock};

/// Zones of the simulated deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A simulated process of the product, or an external actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    /// A control replica.
    Control(usize),
    /// A back-end server.
    Server(usize),
    /// A router.
    Router(usize),
    /// All callers; never affected by process faults.
    Callers,
    /// All operators; never affected by process faults.
    Operators,
    /// The platform; never affected by process faults.
    Platform,
}

impl Process {
    /// Name used in the history.
    pub fn name(self) -> String {
        match self {
            Process::Control(number) => format!("control-{}", number + 1),
            Process::Server(number) => format!("server-{}", number + 1),
            Process::Router(number) => format!("router-{}", number + 1),
            Process::Callers => "callers".to_string(),
            Process::Operators => "operators".to_string(),
            Process::Platform => "platform".to_string(),
        }
    }

    /// Index of its zone in [`ZONES`]; `None` for external actors.
    pub fn zone(self) -> Option<usize> {
        match self {
            Process::Control(number) | Process::Server(number) | Process::Router(number) => {
                Some(number % ZONES.len())
            }
            Process::Callers | Process::Operators | Process::Platform => None,
        }
    }
}

/// Run state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It processes input.
    Running,
    /// It is suspended; its clock keeps running.
    Frozen,
    /// It is not running.
    Down,
}

/// Simulator state of a process: run state, clock and faults in force.
#[derive(Debug)]
pub struct ProcessState<M> {
    /// Run state.
    pub condition: Condition,
    /// Number of the current start, from 1; messages addressed to an earlier start are dropped.
    pub incarnation: u64,
    /// Local clock, reset at each start.
    pub clock: ProcessClock,
    /// Inputs that arrived while it was frozen.
    pub deferred: VecDeque<M>,
    /// Number of faults that keep it frozen; it resumes when all have ended.
    pub freezes: u32,
    /// Number of faults that keep it down.
    pub kills: u32,
    /// Rate of its clock in millionths of the virtual clock's rate.
    pub rate_ppm: u64,
}

impl<M> ProcessState<M> {
    /// A process that starts at `now`.
    pub fn new(now: Instant, rate_ppm: u64) -> Self {
        Self {
            condition: Condition::Running,
            incarnation: 1,
            clock: ProcessClock::new(now, rate_ppm),
            deferred: VecDeque::new(),
            freezes: 0,
            kills: 0,
            rate_ppm,
        }
    }

    /// Starts the process again with a new incarnation and clock; deferred inputs are dropped.
    pub fn restart(&mut self, now: Instant) {
        self.incarnation += 1;
        self.clock = ProcessClock::new(now, self.rate_ppm);
        self.condition = Condition::Running;
        self.deferred.clear();
    }
}
