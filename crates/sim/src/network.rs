//! The simulated network between processes.
//!
//! Invariant: loss, delay and duplication of a message depend only on the random stream, the faults in force
//! and the order of sends.

use std::collections::BTreeMap;

use crate::clock::{Instant, MILLISECOND};
use crate::process::Process;
use crate::random::{Random, Stream};

/// One-way delay without faults, in microseconds.
const USUAL_DELAY: [u64; 2] = [300, 1_500];

/// Additional delay of a message under [`NetworkFault::Noisy`], in microseconds.
const NOISY_DELAY: [u64; 2] = [2 * MILLISECOND, 120 * MILLISECOND];

/// Additional delay of a stream frame whose packet was lost once and retransmitted, in microseconds.
const RETRANSMISSION: u64 = 200 * MILLISECOND;

/// Number of faults that cut each direction of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Cut {
    outgoing: u32,
    incoming: u32,
    peers: u32,
}

/// A fault of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Messages to and from this process are dropped.
    Isolated(Process),
    /// Messages from this process are dropped.
    OutgoingLost(Process),
    /// Messages to this process are dropped.
    IncomingLost(Process),
    /// Messages between this control replica and the others are dropped.
    PeersLost(Process),
    /// Messages between this zone and the others are dropped.
    ZoneCut(usize),
    /// Messages between the two processes are dropped in both directions.
    PairCut(Process, Process),
    /// Messages to and from this process are delayed by up to this many additional microseconds.
    Slow(Process, u64),
    /// Messages between all processes are lost, duplicated and delayed at random.
    Noisy,
}

/// Delivery semantics of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It may be lost, duplicated and reordered.
    Datagram,
    /// It may be lost and reordered, but is never duplicated.
    Call,
}

/// The network with the faults in force.
pub struct Network {
    random: Random,
    cuts: BTreeMap<Process, Cut>,
    zones: [u32; 3],
    pairs: BTreeMap<(Process, Process), u32>,
    slow: BTreeMap<Process, Vec<u64>>,
    noisy: u32,
}

impl Network {
    /// A network without faults.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Random::new(seed, Stream::Network),
            cuts: BTreeMap::new(),
            zones: [0; 3],
            pairs: BTreeMap::new(),
            slow: BTreeMap::new(),
            noisy: 0,
        }
    }

    /// Starts a fault.
    pub fn begin(&mut self, fault: NetworkFault) {
        self.change(fault, |count| *count += 1);
        match fault {
            NetworkFault::Slow(process, most) => self.slow.entry(process).or_default().push(most),
            NetworkFault::Noisy => self.noisy += 1,
            _ => {}
        }
    }

    /// Ends a fault started by [`Network::begin`].
    pub fn end(&mut self, fault: NetworkFault) {
        self.change(fault, |count| *count = count.saturating_sub(1));
        match fault {
            NetworkFault::Slow(process, most) => {
                let delays = self.slow.entry(process).or_default();
                if let Some(place) = delays.iter().position(|delay| *delay == most) {
                    delays.remove(place);
                }
            }
            NetworkFault::Noisy => self.noisy = self.noisy.saturating_sub(1),
            _ => {}
        }
    }

    fn change(&mut self, fault: NetworkFault, change: impl Fn(&mut u32)) {
        match fault {
            NetworkFault::Isolated(process) => {
                let cut = self.cuts.entry(process).or_default();
                change(&mut cut.outgoing);
                change(&mut cut.incoming);
            }
            NetworkFault::OutgoingLost(process) => {
                change(&mut self.cuts.entry(process).or_default().outgoing);
            }
            NetworkFault::IncomingLost(process) => {
                change(&mut self.cuts.entry(process).or_default().incoming);
            }
            NetworkFault::PeersLost(process) => {
                change(&mut self.cuts.entry(process).or_default().peers);
            }
            NetworkFault::ZoneCut(zone) => change(&mut self.zones[zone % 3]),
            NetworkFault::PairCut(one, other) => {
                change(
                    self.pairs
                        .entry((one.min(other), one.max(other)))
                        .or_default(),
                );
            }
            NetworkFault::Slow(..) | NetworkFault::Noisy => {}
        }
    }

    /// Whether no fault in force blocks messages from one process to another.
    pub fn passes(&self, from: Process, to: Process) -> bool {
        let out = self.cuts.get(&from).copied().unwrap_or_default();
        let into = self.cuts.get(&to).copied().unwrap_or_default();
        if out.outgoing > 0 || into.incoming > 0 {
            return false;
        }
        let peers = matches!((from, to), (Process::Control(_), Process::Control(_)));
        if peers && from != to && (out.peers > 0 || into.peers > 0) {
            return false;
        }
        let pair = (from.min(to), from.max(to));
        self.pairs.get(&pair).is_none_or(|count| *count == 0) && self.zones_connected(from, to)
    }

    fn zones_connected(&self, from: Process, to: Process) -> bool {
        match (from.zone(), to.zone()) {
            (Some(one), Some(other)) => {
                one == other || (self.zones[one] == 0 && self.zones[other] == 0)
            }
            _ => true,
        }
    }

    /// Arrival times of the copies of a message; empty when it is lost.
    pub fn send(
        &mut self,
        now: Instant,
        from: Process,
        to: Process,
        how: Delivery,
    ) -> Vec<Instant> {
        let mut delay = self.random.range(USUAL_DELAY);
        delay += self.slowness(from, to);
        if !self.passes(from, to) {
            return Vec::new();
        }
        let mut arrivals = vec![now + delay];
        if self.noisy == 0 {
            return arrivals;
        }
        if self.random.chance(15) {
            arrivals[0] += self.random.range(NOISY_DELAY);
        }
        if self.random.chance(8) {
            arrivals.clear();
        }
        if how == Delivery::Datagram && self.random.chance(8) {
            arrivals.push(now + delay + self.random.range(NOISY_DELAY));
        }
        arrivals
    }

    /// Arrival time of a frame on a byte stream, no earlier than `after`, the arrival of the previous frame;
    /// `None` when a fault breaks the stream.
    pub fn send_in_order(
        &mut self,
        now: Instant,
        from: Process,
        to: Process,
        after: Instant,
    ) -> Option<Instant> {
        let mut delay = self.random.range(USUAL_DELAY);
        delay += self.slowness(from, to);
        if !self.passes(from, to) {
            return None;
        }
        if self.noisy > 0 && self.random.chance(8) {
            delay += RETRANSMISSION;
        }
        Some((now + delay).max(after))
    }

    fn slowness(&mut self, from: Process, to: Process) -> u64 {
        let most = [from, to]
            .into_iter()
            .filter_map(|process| self.slow.get(&process)?.iter().max())
            .max()
            .copied();
        most.map_or(0, |most| self.random.between(0, most))
    }
}
