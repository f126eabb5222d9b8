//! The request record of one shard: requests that ran, are running or were cancelled.
//!
//! Invariants: an unfinished request is never evicted, finished ones are bounded by age and count,
//! and a record that evicted one within the retention counts as incomplete.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebepin_schema::{HandoverAnswer, RecordEntry, RequestId, RequestState};

use crate::HolderConfig;

/// State of one request in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// Begun with this token; its effect is not allowed yet.
    Admitted(u64),
    /// Its effect was allowed and may be in progress.
    Committing(u64),
    /// Its effect took place.
    Ran,
    /// Cancelled; `proven` if no earlier attempt can have run on another server.
    Tombstone { proven: bool },
}

impl EntryState {
    fn is_finished(self) -> bool {
        matches!(self, Self::Ran | Self::Tombstone { .. })
    }

    /// The state as reported in answers.
    pub(crate) fn request_state(self) -> RequestState {
        match self {
            Self::Admitted(_) | Self::Committing(_) => RequestState::Running,
            Self::Ran => RequestState::Ran,
            Self::Tombstone { proven: true } => RequestState::NotRun,
            Self::Tombstone { proven: false } => RequestState::Unknown,
        }
    }
}

#[derive(Debug)]
struct Entry {
    state: EntryState,
    repeatable: bool,
    /// Number of the change that stored the entry. It identifies outdated queue positions of the
    /// same request.
    generation: u64,
}

/// Position of a finished request in the eviction queue.
#[derive(Debug)]
struct QueuedEntry {
    finished_at: Duration,
    request_id: RequestId,
    generation: u64,
}

/// Numbers of finished requests in one record or several.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) non_repeatable: usize,
    pub(crate) repeatable: usize,
}

impl Counts {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            non_repeatable: self.non_repeatable + other.non_repeatable,
            repeatable: self.repeatable + other.repeatable,
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            non_repeatable: self.non_repeatable.saturating_sub(other.non_repeatable),
            repeatable: self.repeatable.saturating_sub(other.repeatable),
        }
    }
}

/// The request record of one shard.
#[derive(Debug, Default)]
pub(crate) struct Record {
    entries: BTreeMap<RequestId, Entry>,
    non_repeatable: VecDeque<QueuedEntry>,
    repeatable: VecDeque<QueuedEntry>,
    generation: u64,
    /// Time from which the record is complete; `None` until the grant to a first owner or a handover
    /// determines it.
    complete_from: Option<Duration>,
    /// Time until which requests within the retention are missing, since the record was full.
    overflowed_until: Duration,
}

impl Record {
    /// Whether the record contains every request within the retention.
    pub(crate) fn is_complete(&self, now: Duration) -> bool {
        self.complete_from.is_some_and(|from| from <= now)
    }

    /// Whether requests within the retention were evicted since the record was full.
    pub(crate) fn overflowed(&self, now: Duration) -> bool {
        self.overflowed_until > now
    }

    /// Marks the record as complete from `now` on.
    pub(crate) fn set_complete(&mut self, now: Duration) {
        self.complete_from = Some(now);
    }

    /// Marks requests before `now` as missing. The record is complete again after the retention, when
    /// these requests can no longer be resent.
    pub(crate) fn set_incomplete(&mut self, now: Duration, config: &HolderConfig) {
        self.complete_from = Some(now + config.retention);
    }

    pub(crate) fn state(&self, request_id: &RequestId) -> Option<EntryState> {
        self.entries.get(request_id).map(|entry| entry.state)
    }

    pub(crate) fn is_repeatable(&self, request_id: &RequestId) -> bool {
        self.entries
            .get(request_id)
            .is_some_and(|entry| entry.repeatable)
    }

    pub(crate) fn counts(&self) -> Counts {
        Counts {
            non_repeatable: self.non_repeatable.len(),
            repeatable: self.repeatable.len(),
        }
    }

    /// Evicts the oldest finished requests until at most `limit` are left.
    pub(crate) fn shrink_to(&mut self, now: Duration, limit: Counts, config: &HolderConfig) {
        while self.repeatable.len() > limit.repeatable {
            self.evict_oldest(true);
        }
        while self.non_repeatable.len() > limit.non_repeatable {
            self.evict_unexpired(now, config);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn remove(&mut self, request_id: &RequestId) {
        self.entries.remove(request_id);
    }

    /// Stores a request that is not finished.
    pub(crate) fn put_running(&mut self, id: &RequestId, state: EntryState, repeatable: bool) {
        self.generation += 1;
        let entry = Entry {
            state,
            repeatable,
            generation: self.generation,
        };
        self.entries.insert(id.clone(), entry);
    }

    /// Stores a finished request, which is kept for the retention.
    pub(crate) fn put_finished(
        &mut self,
        now: Duration,
        id: &RequestId,
        state: EntryState,
        repeatable: bool,
        config: &HolderConfig,
    ) {
        self.put_running(id, state, repeatable);
        let queued = QueuedEntry {
            finished_at: now,
            request_id: id.clone(),
            generation: self.generation,
        };
        let queue = match repeatable {
            true => &mut self.repeatable,
            false => &mut self.non_repeatable,
        };
        queue.push_back(queued);
        self.enforce_bounds(now, config);
    }

    /// Evicts finished requests older than the retention.
    pub(crate) fn expire(&mut self, now: Duration, config: &HolderConfig) {
        while front_is_older(&self.non_repeatable, now, config.retention) {
            self.evict_oldest(false);
        }
        while front_is_older(&self.repeatable, now, config.repeatable_retention) {
            self.evict_oldest(true);
        }
    }

    /// The non-repeatable requests, finished or not, for the next owner.
    pub(crate) fn handover_entries(&self) -> Vec<RecordEntry> {
        let wanted = self.entries.iter().filter(|(_, entry)| !entry.repeatable);
        wanted
            .map(|(request_id, entry)| RecordEntry {
                request_id: request_id.clone(),
                state: entry.state.request_state(),
            })
            .collect()
    }

    /// Merges the previous owner's record. This record is complete from `now` on if that one is.
    pub(crate) fn import(
        &mut self,
        now: Duration,
        handed_over: &HandoverAnswer,
        config: &HolderConfig,
    ) {
        if !handed_over.complete {
            self.merge(now, &handed_over.entries, config);
            return;
        }
        // A request that was cancelled here and is missing from the complete previous record did not
        // run.
        let unproven = EntryState::Tombstone { proven: false };
        for entry in self.entries.values_mut() {
            if entry.state == unproven {
                entry.state = EntryState::Tombstone { proven: true };
            }
        }
        if self.merge(now, &handed_over.entries, config) {
            self.set_complete(now);
        }
    }

    /// Merges the previous owner's entries; `false` if one of them has no final state.
    fn merge(&mut self, now: Duration, entries: &[RecordEntry], config: &HolderConfig) -> bool {
        let mut complete = true;
        for entry in entries {
            let state = match entry.state {
                RequestState::Ran => EntryState::Ran,
                RequestState::NotRun => EntryState::Tombstone { proven: true },
                RequestState::Unknown => EntryState::Tombstone { proven: false },
                RequestState::Running | RequestState::Unseen => {
                    complete = false;
                    continue;
                }
            };
            if self.is_replaced_by(&entry.request_id, state) {
                self.put_finished(now, &entry.request_id, state, false, config);
            }
        }
        complete
    }

    /// Whether `handed_over` replaces the known state of a request.
    fn is_replaced_by(&self, request_id: &RequestId, handed_over: EntryState) -> bool {
        match self.state(request_id) {
            None | Some(EntryState::Admitted(_)) => true,
            Some(EntryState::Tombstone { .. }) => {
                handed_over != EntryState::Tombstone { proven: true }
            }
            Some(EntryState::Committing(_) | EntryState::Ran) => false,
        }
    }

    fn enforce_bounds(&mut self, now: Duration, config: &HolderConfig) {
        self.expire(now, config);
        while self.non_repeatable.len() > config.entries_per_shard {
            self.evict_unexpired(now, config);
        }
        while self.repeatable.len() > config.entries_per_shard {
            self.evict_oldest(true);
        }
    }

    /// Evicts the oldest non-repeatable request within its retention, so that the record becomes
    /// incomplete.
    fn evict_unexpired(&mut self, now: Duration, config: &HolderConfig) {
        self.evict_oldest(false);
        self.set_incomplete(now, config);
        self.overflowed_until = now + config.retention;
    }

    fn evict_oldest(&mut self, repeatable: bool) {
        let queue = match repeatable {
            true => &mut self.repeatable,
            false => &mut self.non_repeatable,
        };
        let Some(queued) = queue.pop_front() else {
            return;
        };
        let entry = self.entries.get(&queued.request_id);
        let current = entry.is_some_and(|entry| {
            entry.generation == queued.generation && entry.state.is_finished()
        });
        if current {
            self.entries.remove(&queued.request_id);
        }
    }
}

fn front_is_older(queue: &VecDeque<QueuedEntry>, now: Duration, retention: Duration) -> bool {
    queue
        .front()
        .is_some_and(|queued| now.saturating_sub(queued.finished_at) > retention)
}
