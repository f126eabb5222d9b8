//! One replica of a simulated group: the consensus core under test, its storage and its clock.

use std::time::Duration;

use grebepin_consensus::{Config, Consensus, Ready, Restored};
use grebepin_schema::{Entry, EntryPayload, HardState, LogIndex, SnapshotMeta, Term};

/// Data that survives a restart.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub restored: Restored,
}

impl Disk {
    pub fn save(&mut self, ready: &Ready) {
        if let Some(snapshot) = &ready.snapshot {
            self.restored.snapshot = Some(snapshot.clone());
            self.restored.entries.clear();
        }
        if let Some(hard_state) = &ready.hard_state {
            self.restored.hard_state = hard_state.clone();
        }
        if let Some(first) = ready.entries.first() {
            let first = first.index;
            self.restored.entries.retain(|entry| entry.index < first);
            self.restored.entries.extend(ready.entries.iter().cloned());
        }
    }

    pub fn save_snapshot(&mut self, meta: SnapshotMeta, data: Vec<u8>) {
        self.restored
            .entries
            .retain(|entry| entry.index > meta.index);
        self.restored.snapshot = Some((meta, data));
    }

    pub fn hard_state(&self) -> &HardState {
        &self.restored.hard_state
    }

    pub fn last_index(&self) -> LogIndex {
        let base = self.restored.snapshot.as_ref().map(|(meta, _)| meta.index);
        let last = self.restored.entries.last().map(|entry| entry.index);
        last.or(base).unwrap_or_default()
    }

    /// Returns the term stored at an index; `None` if the entry is not stored.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        let mut entries = self.restored.entries.iter();
        entries
            .find(|entry| entry.index == index)
            .map(|entry| entry.term)
    }

    /// Returns whether the entry at an index is stored, individually or covered by the snapshot.
    pub fn holds(&self, index: LogIndex, term: Term) -> bool {
        let snapshot = self.restored.snapshot.as_ref();
        snapshot.is_some_and(|(meta, _)| meta.index >= index) || self.term_at(index) == Some(term)
    }
}

/// A clock with its own offset and rate.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: Duration,
    /// Local seconds per second of simulated time.
    pub rate: f64,
}

impl Clock {
    pub fn read(&self, at: Duration) -> Duration {
        self.offset + at.mul_f64(self.rate)
    }

    /// Changes the rate from simulated time `at` on.
    pub fn change_rate(&mut self, at: Duration, rate: f64) {
        self.offset = self.read(at).saturating_sub(at.mul_f64(rate));
        self.rate = rate;
    }

    /// Returns the simulated time at which this clock shows `local`.
    pub fn time_of(&self, local: Duration) -> Duration {
        let elapsed = local.saturating_sub(self.offset);
        elapsed.div_f64(self.rate) + Duration::from_nanos(1)
    }
}

/// One replica. `consensus` is `None` while it is down.
#[derive(Debug)]
pub struct Replica {
    pub config: Config,
    pub clock: Clock,
    pub disk: Disk,
    pub consensus: Option<Consensus>,
    pub paused: bool,
    /// Concatenated commands applied so far; also the data of snapshots.
    pub applied: Vec<u8>,
    pub applied_index: LogIndex,
    pub starts: u64,
    /// Number of snapshots received from a leader.
    pub snapshots_received: u64,
}

impl Replica {
    pub fn start(&mut self, at: Duration) {
        self.starts += 1;
        let mut config = self.config.clone();
        config.seed = config.seed.wrapping_add(self.starts * 7919);
        let restored = self.disk.restored.clone();
        self.load_snapshot(restored.snapshot.as_ref());
        self.consensus = Some(Consensus::new(config, restored, self.clock.read(at)));
        self.paused = false;
    }

    pub fn load_snapshot(&mut self, snapshot: Option<&(SnapshotMeta, Vec<u8>)>) {
        let (index, state) = match snapshot {
            Some((meta, data)) => (meta.index, data.clone()),
            None => (LogIndex(0), Vec::new()),
        };
        self.applied = state;
        self.applied_index = index;
    }

    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.index.0,
            self.applied_index.0 + 1,
            "entries are not contiguous"
        );
        self.applied_index = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            self.applied.extend_from_slice(&command.0);
        }
    }
}
