//! Names of the simulated processes, and whether they run.

use std::collections::VecDeque;

use crate::clock::{Instant, ProcessClock};

/// Zones of the simulated deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A process, or an actor outside the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Process {
    /// A control replica.
    Control(usize),
    /// A back-end server.
    Server(usize),
    /// A router.
    Router(usize),
    /// All callers; never at fault.
    Callers,
    /// All operators; never at fault.
    Operators,
    /// The platform; never at fault.
    Platform,
}

impl Process {
    /// Name in histories.
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

    /// Position of its zone in [`ZONES`]; `None` for actors outside every zone.
    pub fn zone(self) -> Option<usize> {
        match self {
            Process::Control(number) | Process::Server(number) | Process::Router(number) => {
                Some(number % ZONES.len())
            }
            Process::Callers | Process::Operators | Process::Platform => None,
        }
    }
}

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It runs.
    Running,
    /// It is stopped in the middle of whatever it did; its clock goes on.
    Frozen,
    /// It is not there.
    Down,
}

/// What the simulator keeps of a process besides its state.
#[derive(Debug)]
pub struct Body<M> {
    /// Whether it runs.
    pub condition: Condition,
    /// Number of its start; messages to earlier ones are lost.
    pub incarnation: u64,
    /// Its clock.
    pub clock: ProcessClock,
    /// What reached it while it was frozen.
    pub held: VecDeque<M>,
    /// Faults that keep it from running; it runs again when all have ended.
    pub freezes: u32,
    /// Faults that keep it down.
    pub kills: u32,
    /// Rate of its clock in millionths.
    pub rate_ppm: u64,
}

impl<M> Body<M> {
    /// A process that starts at `now`.
    pub fn new(now: Instant, rate_ppm: u64) -> Self {
        Self {
            condition: Condition::Running,
            incarnation: 1,
            clock: ProcessClock::new(now, rate_ppm),
            held: VecDeque::new(),
            freezes: 0,
            kills: 0,
            rate_ppm,
        }
    }

    /// Starts the process again.
    pub fn restart(&mut self, now: Instant) {
        self.incarnation += 1;
        self.clock = ProcessClock::new(now, self.rate_ppm);
        self.condition = Condition::Running;
        self.held.clear();
    }
}
