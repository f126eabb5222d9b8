//! A crash at any operation keeps every acknowledged batch, and keeps or loses every other batch as a whole.

mod common;

use common::{entry, hard_state, identity, meta, try_reopen};
use grebepin_schema::{Entry, HardState, LogIndex};
use grebepin_storage::{Crash, Limits, ReplicaStorage, RestoredState, SimulatedDisk, StorageError};
use proptest::prelude::*;

const CRASH_KINDS: [Crash; 3] = [Crash::LoseUnsynced, Crash::TearWrites, Crash::KeepAll];

/// An operation on storage.
#[derive(Clone, Debug)]
enum Step {
    /// Appends `count` entries after replacing the last `overwritten` ones.
    Persist {
        overwritten: u64,
        count: u64,
        vote: bool,
    },
    Save {
        behind: u64,
    },
    Install {
        ahead: u64,
    },
    Reopen,
}

/// State that a replica must restore when it is opened.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    term: u64,
    snapshot: u64,
    entries: Vec<Entry>,
}

impl Model {
    fn last(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot, |entry| entry.index.0)
    }

    fn batch(
        &mut self,
        overwritten: u64,
        count: u64,
        vote: bool,
    ) -> (Option<HardState>, Vec<Entry>) {
        let first = (self.last() + 1)
            .saturating_sub(overwritten)
            .max(self.snapshot + 1);
        self.term += u64::from(vote);
        let term = self.term;
        let batch: Vec<Entry> = (first..first + count).map(|at| entry(at, term)).collect();
        if !batch.is_empty() {
            self.entries.retain(|entry| entry.index.0 < first);
            self.entries.extend(batch.clone());
        }
        (vote.then(|| hard_state(term, 0)), batch)
    }

    fn take_snapshot(&mut self, index: u64) {
        self.snapshot = index;
        self.entries.retain(|entry| entry.index.0 > index);
    }

    fn of(restored: &RestoredState) -> Self {
        let snapshot = restored.snapshot.as_ref().map(|(meta, _)| meta.index);
        Self {
            term: restored.hard_state.term.0,
            snapshot: snapshot.unwrap_or(LogIndex(0)).0,
            entries: restored.entries.clone(),
        }
    }
}

/// Runs one step on storage. Returns its result and the state after a successful step.
fn step(
    storage: &mut ReplicaStorage<SimulatedDisk>,
    model: &Model,
    step: &Step,
) -> (Model, Result<(), StorageError>) {
    let mut next = model.clone();
    let result = match step {
        Step::Persist {
            overwritten,
            count,
            vote,
        } => {
            let (hard_state, batch) = next.batch(*overwritten, *count, *vote);
            storage.persist(hard_state.as_ref(), &batch)
        }
        Step::Save { behind } => {
            let index = model.last().saturating_sub(*behind);
            if index <= model.snapshot {
                return (next, Ok(()));
            }
            next.take_snapshot(index);
            storage.save_snapshot(&meta(index, 1), &[1; 700])
        }
        Step::Install { ahead } => {
            let index = model.last() + ahead;
            next.take_snapshot(index);
            storage.install_snapshot(&meta(index, 1), &[2; 700])
        }
        Step::Reopen => Ok(()),
    };
    (next, result)
}

const LIMITS: Limits = Limits { segment_bytes: 600 };

/// Runs the steps until the disk fails. Returns the acknowledged state, and the state after the step that was
/// in flight, which may be found instead.
fn run(disk: &SimulatedDisk, steps: &[Step], fault: Fault) -> (Option<Model>, Option<Model>) {
    let Ok(storage) = ReplicaStorage::create(disk.clone(), identity(), None) else {
        return (None, Some(Model::default()));
    };
    fault.start(disk);
    let mut storage = storage.with_limits(LIMITS);
    let mut model = Model::default();
    for next in steps {
        if matches!(next, Step::Reopen) {
            match try_reopen(disk.clone()) {
                Ok(Some((reopened, _, _))) => storage = reopened.with_limits(LIMITS),
                _ => return (Some(model), None),
            }
        }
        let (after, result) = step(&mut storage, &model, next);
        if result.is_err() {
            let refused = storage.persist(Some(&hard_state(9, 9)), &[]);
            assert!(matches!(refused, Err(StorageError::Poisoned)));
            return (Some(model), Some(after));
        }
        model = after;
    }
    (Some(model), None)
}

fn check_after_crash(disk: &SimulatedDisk, acknowledged: Option<Model>, in_flight: Option<Model>) {
    let found = match try_reopen(disk.clone()) {
        Ok(present) => present.map(|(_, _, restored)| Model::of(&restored)),
        Err(error) => panic!("{error}"),
    };
    let allowed = found == acknowledged || (in_flight.is_some() && found == in_flight);
    assert!(
        allowed,
        "found {found:?}, acknowledged {acknowledged:?}, in flight {in_flight:?}"
    );
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..4u64, 0..20u64, any::<bool>())
            .prop_map(|(overwritten, count, vote)| Step::Persist { overwritten, count, vote }),
        1 => (0..5u64).prop_map(|behind| Step::Save { behind }),
        1 => (0..5u64).prop_map(|ahead| Step::Install { ahead }),
        1 => Just(Step::Reopen),
    ];
    prop::collection::vec(step, 1..12)
}

proptest! {
    #![proptest_config(common::fixed_cases(24))]

    #[test]
    fn a_crash_at_any_operation_keeps_what_was_acknowledged(
        steps in steps(),
        seed in any::<u64>(),
    ) {
        let reference = SimulatedDisk::new(seed);
        run(&reference, &steps, Fault::None);
        for operations in 0..=reference.operations() {
            for crash in CRASH_KINDS {
                let disk = SimulatedDisk::new(seed ^ operations);
                disk.crash_after(operations);
                let (acknowledged, in_flight) = run(&disk, &steps, Fault::None);
                disk.crash(crash);
                check_after_crash(&disk, acknowledged.clone(), in_flight.clone());
                // Opening the folder may have truncated and removed files; a second crash must not change the
                // state.
                disk.crash(Crash::TearWrites);
                check_after_crash(&disk, acknowledged, in_flight);
            }
        }
    }

    #[test]
    fn a_failing_disk_loses_nothing_acknowledged(
        steps in steps(),
        seed in any::<u64>(),
        fault in faults(),
    ) {
        for crash in CRASH_KINDS {
            let disk = SimulatedDisk::new(seed);
            let (acknowledged, in_flight) = run(&disk, &steps, fault);
            disk.set_capacity(None);
            disk.crash(crash);
            check_after_crash(&disk, acknowledged, in_flight);
        }
    }
}

/// A disk fault that begins after the replica was created.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Full { bytes: u64 },
    SyncFailure { successes: u64 },
}

impl Fault {
    fn start(self, disk: &SimulatedDisk) {
        match self {
            Self::None => {}
            Self::Full { bytes } => disk.set_capacity(Some(bytes)),
            Self::SyncFailure { successes } => disk.fail_sync_after(successes),
        }
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (300..8000u64).prop_map(|bytes| Fault::Full { bytes }),
        (0..30u64).prop_map(|successes| Fault::SyncFailure { successes }),
    ]
}

#[test]
fn a_wiped_disk_is_empty() {
    let disk = SimulatedDisk::new(1);
    common::create(&disk);
    disk.wipe();
    assert!(matches!(try_reopen(disk), Ok(None)));
}

#[test]
fn the_same_seed_leaves_the_same_bytes() {
    let left = |seed| {
        let disk = SimulatedDisk::new(seed);
        let mut storage = common::create(&disk);
        disk.fail_next_sync();
        storage.persist(None, &common::entries(1..=60, 1)).ok();
        disk.crash(Crash::TearWrites);
        use grebepin_storage::Disk;
        disk.read("log-0000000000000001", 1 << 20).expect("the log")
    };
    assert_eq!(left(5), left(5));
    assert!((0..8).any(|seed| left(seed) != left(5)));
}

#[cfg(feature = "removable-guards")]
#[test]
fn without_the_sync_a_crash_loses_acknowledged_entries() {
    let disk = SimulatedDisk::new(1);
    let guards = grebepin_storage::Guards::without(grebepin_storage::Guard::Sync);
    let mut storage = common::create(&disk).with_guards(guards);
    storage
        .persist(None, &common::entries(1..=3, 1))
        .expect("a batch");
    disk.crash(Crash::LoseUnsynced);
    let found = try_reopen(disk)
        .expect("an intact folder")
        .expect("a replica");
    assert!(found.2.entries.is_empty());
}
