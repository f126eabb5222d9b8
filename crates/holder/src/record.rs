//! The record of requests of one shard: what ran, what runs, what was cancelled.
//!
//! Invariants: an unfinished request is never forgotten, finished ones are bounded by age and
//! count, and a record that lost one within the retention doesn't claim to be whole.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebepin_schema::{HandoverAnswer, RecordEntry, RequestId, RequestState};

use crate::HolderConfig;

/// State of one request in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// Begun; its effect is not allowed yet.
    Admitted(u64),
    /// Its effect was allowed and may be under way.
    Committing(u64),
    /// Its effect was made.
    Ran,
    /// Cancelled; `proven` when no earlier attempt can have run elsewhere.
    Tombstone { proven: bool },
}

impl EntryState {
    fn finished(self) -> bool {
        matches!(self, Self::Ran | Self::Tombstone { .. })
    }

    /// The state as other programs see it.
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
    /// Grows with each finish, so that an old place in the queue is told from a new one.
    generation: u64,
}

#[derive(Debug)]
struct Place {
    finished_at: Duration,
    request_id: RequestId,
    generation: u64,
}

/// Finished requests of a record, or of many.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// That may not be repeated.
    pub(crate) kept: usize,
    pub(crate) repeatable: usize,
}

impl Counts {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            kept: self.kept + other.kept,
            repeatable: self.repeatable + other.repeatable,
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            kept: self.kept.saturating_sub(other.kept),
            repeatable: self.repeatable.saturating_sub(other.repeatable),
        }
    }
}

/// The record of one shard.
#[derive(Debug, Default)]
pub(crate) struct Record {
    entries: BTreeMap<RequestId, Entry>,
    kept: VecDeque<Place>,
    repeatable: VecDeque<Place>,
    generation: u64,
    /// From when on the record is whole; `None` until its first owner's grant or hand-over says.
    whole_from: Option<Duration>,
    /// Until when requests within the retention are missing since there were too many.
    overflowed_until: Duration,
}

impl Record {
    /// Whether every request within the retention is in the record.
    pub(crate) fn is_whole(&self, now: Duration) -> bool {
        self.whole_from.is_some_and(|from| from <= now)
    }

    /// Whether requests within the retention were dropped since there were too many.
    pub(crate) fn overflowed(&self, now: Duration) -> bool {
        self.overflowed_until > now
    }

    /// States that nothing is missing.
    pub(crate) fn set_whole(&mut self, now: Duration) {
        self.whole_from = Some(now);
    }

    /// States that requests before `now` are missing; they age out with the retention.
    pub(crate) fn set_incomplete(&mut self, now: Duration, config: &HolderConfig) {
        self.whole_from = Some(now + config.retention);
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
            kept: self.kept.len(),
            repeatable: self.repeatable.len(),
        }
    }

    /// Forgets the oldest finished requests until at most `room` are left.
    pub(crate) fn shrink_to(&mut self, now: Duration, room: Counts, config: &HolderConfig) {
        while self.repeatable.len() > room.repeatable {
            self.forget(true);
        }
        while self.kept.len() > room.kept {
            self.overflow(now, config);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn remove(&mut self, request_id: &RequestId) {
        self.entries.remove(request_id);
    }

    /// Notes an unfinished state.
    pub(crate) fn put_running(&mut self, id: &RequestId, state: EntryState, repeatable: bool) {
        self.generation += 1;
        let entry = Entry {
            state,
            repeatable,
            generation: self.generation,
        };
        self.entries.insert(id.clone(), entry);
    }

    /// Notes a finished state, which is kept for the retention.
    pub(crate) fn put_finished(
        &mut self,
        now: Duration,
        id: &RequestId,
        state: EntryState,
        repeatable: bool,
        config: &HolderConfig,
    ) {
        self.put_running(id, state, repeatable);
        let place = Place {
            finished_at: now,
            request_id: id.clone(),
            generation: self.generation,
        };
        let queue = match repeatable {
            true => &mut self.repeatable,
            false => &mut self.kept,
        };
        queue.push_back(place);
        self.bound(now, config);
    }

    /// Forgets what is older than the retention.
    pub(crate) fn expire(&mut self, now: Duration, config: &HolderConfig) {
        while front_is_older(&self.kept, now, config.retention) {
            self.forget(false);
        }
        while front_is_older(&self.repeatable, now, config.repeatable_retention) {
            self.forget(true);
        }
    }

    /// Finished requests that may not be repeated, for the next owner.
    pub(crate) fn handover_entries(&self) -> Vec<RecordEntry> {
        let wanted = self.entries.iter().filter(|(_, entry)| !entry.repeatable);
        wanted
            .map(|(request_id, entry)| RecordEntry {
                request_id: request_id.clone(),
                state: entry.state.request_state(),
            })
            .collect()
    }

    /// Takes in the previous owner's record, and is whole from now on if that one is.
    pub(crate) fn take_over(
        &mut self,
        now: Duration,
        handed_over: &HandoverAnswer,
        config: &HolderConfig,
    ) {
        if !handed_over.complete {
            self.merge(now, &handed_over.entries, config);
            return;
        }
        // What was cancelled here and isn't in the whole record before did not run.
        let unproven = EntryState::Tombstone { proven: false };
        for entry in self.entries.values_mut() {
            if entry.state == unproven {
                entry.state = EntryState::Tombstone { proven: true };
            }
        }
        if self.merge(now, &handed_over.entries, config) {
            self.set_whole(now);
        }
    }

    /// Takes in the previous owner's entries; `false` when one of them has no final state.
    fn merge(&mut self, now: Duration, entries: &[RecordEntry], config: &HolderConfig) -> bool {
        let mut whole = true;
        for entry in entries {
            let state = match entry.state {
                RequestState::Ran => EntryState::Ran,
                RequestState::NotRun => EntryState::Tombstone { proven: true },
                RequestState::Unknown => EntryState::Tombstone { proven: false },
                RequestState::Running | RequestState::Unseen => {
                    whole = false;
                    continue;
                }
            };
            if self.yields_to(&entry.request_id, state) {
                self.put_finished(now, &entry.request_id, state, false, config);
            }
        }
        whole
    }

    /// Whether what is known of a request gives way to `handed_over`.
    fn yields_to(&self, request_id: &RequestId, handed_over: EntryState) -> bool {
        match self.state(request_id) {
            None | Some(EntryState::Admitted(_)) => true,
            Some(EntryState::Tombstone { .. }) => {
                handed_over != EntryState::Tombstone { proven: true }
            }
            Some(EntryState::Committing(_) | EntryState::Ran) => false,
        }
    }

    fn bound(&mut self, now: Duration, config: &HolderConfig) {
        self.expire(now, config);
        while self.kept.len() > config.entries_per_shard {
            self.overflow(now, config);
        }
        while self.repeatable.len() > config.entries_per_shard {
            self.forget(true);
        }
    }

    /// Forgets the oldest request that may not be repeated, within its retention.
    fn overflow(&mut self, now: Duration, config: &HolderConfig) {
        self.forget(false);
        self.set_incomplete(now, config);
        self.overflowed_until = now + config.retention;
    }

    fn forget(&mut self, repeatable: bool) {
        let queue = match repeatable {
            true => &mut self.repeatable,
            false => &mut self.kept,
        };
        let Some(place) = queue.pop_front() else {
            return;
        };
        let entry = self.entries.get(&place.request_id);
        let current = entry
            .is_some_and(|entry| entry.generation == place.generation && entry.state.finished());
        if current {
            self.entries.remove(&place.request_id);
        }
    }
}

fn front_is_older(queue: &VecDeque<Place>, now: Duration, retention: Duration) -> bool {
    queue
        .front()
        .is_some_and(|place| now.saturating_sub(place.finished_at) > retention)
}
