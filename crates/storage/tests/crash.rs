//! A crash at any point keeps every batch that was acknowledged, and shows no half of any other.

mod common;

use common::{entry, hard_state, identity, meta, try_reopen};
use grebepin_schema::{Entry, HardState, LogIndex};
use grebepin_storage::{Crash, Limits, ReplicaStorage, RestoredState, SimulatedDisk, StorageError};
use proptest::prelude::*;

const CRASHES: [Crash; 3] = [Crash::LoseUnsynced, Crash::TearWrites, Crash::KeepAll];

/// A call to storage.
#[derive(Clone, Debug)]
enum Step {
    /// Appends, after going back over some of the last entries.
    Persist {
        back: u64,
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

/// What a replica must remember after a start.
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

    fn batch(&mut self, back: u64, count: u64, vote: bool) -> (Option<HardState>, Vec<Entry>) {
        let first = (self.last() + 1)
            .saturating_sub(back)
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

/// Does one step on storage and, when that returns, what it must have led to.
fn step(
    storage: &mut ReplicaStorage<SimulatedDisk>,
    model: &Model,
    step: &Step,
) -> (Model, Result<(), StorageError>) {
    let mut next = model.clone();
    let result = match step {
        Step::Persist { back, count, vote } => {
            let (hard_state, batch) = next.batch(*back, *count, *vote);
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

/// Runs the steps until the disk fails. Returns what was acknowledged and what may be there as well.
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

fn check_after_crash(disk: &SimulatedDisk, acknowledged: Option<Model>, under_way: Option<Model>) {
    let found = match try_reopen(disk.clone()) {
        Ok(present) => present.map(|(_, _, restored)| Model::of(&restored)),
        Err(error) => panic!("{error}"),
    };
    let allowed = found == acknowledged || (under_way.is_some() && found == under_way);
    assert!(
        allowed,
        "found {found:?}, acknowledged {acknowledged:?}, under way {under_way:?}"
    );
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..4u64, 0..20u64, any::<bool>())
            .prop_map(|(back, count, vote)| Step::Persist { back, count, vote }),
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
        let whole = SimulatedDisk::new(seed);
        run(&whole, &steps, Fault::None);
        for operations in 0..=whole.operations() {
            for crash in CRASHES {
                let disk = SimulatedDisk::new(seed ^ operations);
                disk.crash_after(operations);
                let (acknowledged, under_way) = run(&disk, &steps, Fault::None);
                disk.crash(crash);
                check_after_crash(&disk, acknowledged.clone(), under_way.clone());
                // Opening may itself have cut and removed; a second crash changes nothing.
                disk.crash(Crash::TearWrites);
                check_after_crash(&disk, acknowledged, under_way);
            }
        }
    }

    #[test]
    fn a_failing_disk_loses_nothing_acknowledged(
        steps in steps(),
        seed in any::<u64>(),
        fault in faults(),
    ) {
        for crash in CRASHES {
            let disk = SimulatedDisk::new(seed);
            let (acknowledged, under_way) = run(&disk, &steps, fault);
            disk.set_capacity(None);
            disk.crash(crash);
            check_after_crash(&disk, acknowledged, under_way);
        }
    }
}

/// A fault of a disk that sets in once the folder is made.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Full { bytes: u64 },
    FailingSync { good: u64 },
}

impl Fault {
    fn start(self, disk: &SimulatedDisk) {
        match self {
            Self::None => {}
            Self::Full { bytes } => disk.set_capacity(Some(bytes)),
            Self::FailingSync { good } => disk.fail_sync_after(good),
        }
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (300..8000u64).prop_map(|bytes| Fault::Full { bytes }),
        (0..30u64).prop_map(|good| Fault::FailingSync { good }),
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
        .expect("a whole folder")
        .expect("a replica");
    assert!(found.2.entries.is_empty());
}
