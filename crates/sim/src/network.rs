//! The network between the processes.
//!
//! Invariant: what becomes of a message depends on the stream of random numbers, the faults in force
//! and the order of sends alone.

use std::collections::BTreeMap;

use crate::clock::{Instant, MILLISECOND};
use crate::process::Process;
use crate::random::{Random, Stream};

/// Usual one-way delay between two processes in microseconds.
const USUAL_DELAY: [u64; 2] = [300, 1_500];

/// Delay of a message that a noisy network holds back, in microseconds.
const NOISY_DELAY: [u64; 2] = [2 * MILLISECOND, 120 * MILLISECOND];

/// Extra delay of a byte stream's frame whose packet was lost once, in microseconds.
const RETRANSMISSION: u64 = 200 * MILLISECOND;

/// Directions in which a process is cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Cut {
    outgoing: u32,
    incoming: u32,
    peers: u32,
}

/// A fault of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Nothing to or from this process passes.
    Isolated(Process),
    /// Nothing from this process passes.
    OutgoingLost(Process),
    /// Nothing to this process passes.
    IncomingLost(Process),
    /// Nothing between this control replica and the others passes.
    PeersLost(Process),
    /// Nothing between this zone and the others passes.
    ZoneCut(usize),
    /// Nothing between two processes passes, in either direction.
    PairCut(Process, Process),
    /// Messages to and from this process take up to this many microseconds.
    Slow(Process, u64),
    /// Messages are lost, doubled and held back, all over the network.
    Noisy,
}

/// How a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carriage {
    /// It may be lost, doubled and overtaken.
    Datagram,
    /// It may be lost and overtaken, and is never doubled.
    Call,
}

/// What the network does to messages now.
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

    /// Ends a fault that was begun.
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

    /// Whether a message from one process to another passes now.
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

    /// When copies of a message arrive; empty when it is lost.
    pub fn send(
        &mut self,
        now: Instant,
        from: Process,
        to: Process,
        how: Carriage,
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
        if how == Carriage::Datagram && self.random.chance(8) {
            arrivals.push(now + delay + self.random.range(NOISY_DELAY));
        }
        arrivals
    }

    /// When a frame of a byte stream arrives, not before the one sent before it; `None` when a cut
    /// breaks the stream.
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
