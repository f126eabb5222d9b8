//! Everything that was written is restored when the folder is opened, on a simulated and on a real disk.

mod common;

use common::{cluster, create, entries, hard_state, identity, meta, reopen};
use grebepin_schema::{Entry, LogIndex};
use grebepin_storage::{
    Disk, DiskError, Limits, Opened, RealDisk, ReplicaStorage, SimulatedDisk, StorageError,
};

/// Runs a check on each kind of disk; each call of the argument opens the same folder again.
fn on_each_disk(check: impl Fn(&mut dyn FnMut() -> AnyDisk)) {
    let simulated = SimulatedDisk::new(1);
    check(&mut || AnyDisk::Simulated(simulated.clone()));
    let folder = tempfile::tempdir().expect("a folder");
    check(&mut || AnyDisk::Real(RealDisk::new(folder.path()).expect("the lock")));
}

enum AnyDisk {
    Simulated(SimulatedDisk),
    Real(RealDisk),
}

/// Evaluates a generic expression for the actual type of the disk.
macro_rules! with_disk {
    ($disk:expr, |$inner:ident| $body:expr) => {
        match $disk {
            AnyDisk::Simulated($inner) => $body,
            AnyDisk::Real($inner) => $body,
        }
    };
}

struct Expected {
    entries: Vec<Entry>,
    snapshot: u64,
    term: u64,
}

fn expect<D: Disk>(disk: D, expected: Expected) {
    let (storage, _, restored) = reopen(disk);
    assert_eq!(restored.entries, expected.entries);
    let snapshot = restored.snapshot.map(|(meta, _)| meta.index);
    assert_eq!(snapshot.unwrap_or_default(), LogIndex(expected.snapshot));
    assert_eq!(restored.hard_state.term.0, expected.term);
    assert_eq!(restored.torn_tail, None);
    let last = expected.entries.last().map(|entry| entry.index);
    assert_eq!(
        storage.last_index(),
        last.unwrap_or(LogIndex(expected.snapshot))
    );
}

fn fill<D: Disk>(disk: D) -> ReplicaStorage<D> {
    let mut storage = ReplicaStorage::create(disk, identity(), None).expect("an empty folder");
    storage
        .persist(Some(&hard_state(1, 0)), &entries(1..=5, 1))
        .expect("a batch");
    storage
        .persist(Some(&hard_state(2, 3)), &entries(4..=6, 2))
        .expect("a conflicting batch");
    storage
}

fn after_fill() -> Vec<Entry> {
    [entries(1..=3, 1), entries(4..=6, 2)].concat()
}

#[test]
fn a_conflicting_batch_cuts_the_log() {
    on_each_disk(|reopen_disk| {
        with_disk!(reopen_disk(), |disk| drop(fill(disk)));
        let expected = Expected {
            entries: after_fill(),
            snapshot: 0,
            term: 2,
        };
        with_disk!(reopen_disk(), |disk| expect(disk, expected));
    });
}

#[test]
fn a_saved_snapshot_drops_the_log_before_it() {
    on_each_disk(|reopen_disk| {
        with_disk!(reopen_disk(), |disk| {
            let mut storage = fill(disk);
            storage
                .save_snapshot(&meta(4, 2), b"state")
                .expect("a snapshot");
            storage
                .persist(None, &entries(7..=7, 2))
                .expect("a batch after the snapshot");
        });
        let expected = Expected {
            entries: entries(5..=7, 2),
            snapshot: 4,
            term: 2,
        };
        with_disk!(reopen_disk(), |disk| expect(disk, expected));
    });
}

#[test]
fn an_installed_snapshot_drops_the_whole_log() {
    on_each_disk(|reopen_disk| {
        with_disk!(reopen_disk(), |disk| {
            let mut storage = fill(disk);
            let (meta, data) = (meta(5, 3), [9; 3000]);
            storage.install_snapshot(&meta, &data).expect("a snapshot");
            let (_, _, restored) = reopen(storage.into_disk());
            assert_eq!(restored.snapshot, Some((meta, data.to_vec())));
        });
        let expected = Expected {
            entries: vec![],
            snapshot: 5,
            term: 2,
        };
        with_disk!(reopen_disk(), |disk| expect(disk, expected));
    });
}

#[test]
fn segments_are_started_and_dropped() {
    let disk = SimulatedDisk::new(1);
    let mut storage = create(&disk).with_limits(Limits { segment_bytes: 300 });
    for index in 1..=40 {
        storage
            .persist(None, &entries(index..=index, 1))
            .expect("a batch");
    }
    let segments = |disk: &SimulatedDisk| {
        let names = disk.list().expect("names");
        names.iter().filter(|name| name.starts_with("log-")).count()
    };
    assert!(segments(&disk) > 5);
    let (_, _, restored) = reopen(disk.clone());
    assert_eq!(restored.entries, entries(1..=40, 1));
    storage
        .save_snapshot(&meta(40, 1), b"all")
        .expect("a snapshot");
    assert_eq!(segments(&disk), 1);
}

#[test]
fn founding_is_one_step_and_happens_once() {
    on_each_disk(|reopen_disk| {
        with_disk!(reopen_disk(), |disk| {
            let mut storage = ReplicaStorage::create(disk, identity(), None).expect("empty");
            storage
                .set_founded(cluster(), &meta(1, 1), b"first")
                .expect("founding");
            let second = storage.set_founded(cluster(), &meta(1, 1), b"second");
            assert!(matches!(second, Err(StorageError::AlreadyFounded)));
        });
        with_disk!(reopen_disk(), |disk| {
            let (storage, found, restored) = reopen(disk);
            assert_eq!(found.cluster, Some(cluster()));
            assert_eq!(storage.identity(), &found);
            assert_eq!(restored.snapshot, Some((meta(1, 1), b"first".to_vec())));
        });
    });
}

#[test]
fn an_initial_snapshot_is_there_after_creation() {
    on_each_disk(|reopen_disk| {
        let initial = Some((meta(1, 1), b"initial".to_vec()));
        with_disk!(reopen_disk(), |disk| drop(
            ReplicaStorage::create(disk, identity(), initial.clone()).expect("an empty folder")
        ));
        with_disk!(reopen_disk(), |disk| assert_eq!(
            reopen(disk).2.snapshot,
            initial
        ));
        with_disk!(reopen_disk(), |disk| {
            let second = ReplicaStorage::create(disk, identity(), None);
            assert!(matches!(second.err(), Some(StorageError::NotEmpty)));
        });
    });
}

#[test]
fn an_empty_folder_has_no_identity() {
    on_each_disk(|reopen_disk| {
        with_disk!(reopen_disk(), |disk| {
            let opened = ReplicaStorage::open(disk).expect("an empty folder");
            assert!(matches!(opened, Opened::Empty(_)));
        });
    });
}

#[test]
fn each_batch_costs_one_append_and_one_sync() {
    let disk = SimulatedDisk::new(1);
    let mut storage = create(&disk);
    for (first, count) in [(1, 1), (2, 16), (18, 256)] {
        let before = disk.operations();
        let batch = entries(first..=first + count - 1, 1);
        storage
            .persist(Some(&hard_state(1, 0)), &batch)
            .expect("a batch");
        assert_eq!(disk.operations() - before, 2);
    }
    let before = disk.operations();
    storage.persist(None, &[]).expect("nothing to do");
    assert_eq!(disk.operations(), before);
}

#[test]
fn refused_calls_change_nothing() {
    let disk = SimulatedDisk::new(1);
    let mut storage = fill(disk.clone());
    storage
        .save_snapshot(&meta(3, 1), b"state")
        .expect("a snapshot");
    let before = disk.operations();
    let gaps = [entries(8..=8, 2), entries(3..=3, 2), {
        let mut batch = entries(7..=8, 2);
        batch.remove(0);
        batch.insert(0, common::entry(6, 2));
        batch
    }];
    for batch in gaps {
        let refused = storage.persist(None, &batch);
        assert!(
            matches!(refused, Err(StorageError::Gap { .. })),
            "{batch:?}"
        );
    }
    for index in [2, 3, 7] {
        let refused = storage.save_snapshot(&meta(index, 2), b"");
        assert!(matches!(
            refused,
            Err(StorageError::SnapshotOutOfRange { .. })
        ));
    }
    let refused = storage.install_snapshot(&meta(2, 2), b"");
    assert!(matches!(
        refused,
        Err(StorageError::SnapshotOutOfRange { .. })
    ));
    assert_eq!(disk.operations(), before);
    storage.persist(None, &entries(7..=7, 2)).expect("a batch");
    assert_eq!(reopen(disk).2.entries, entries(4..=7, 2));
}

#[test]
fn a_folder_is_locked_against_a_second_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = RealDisk::new(folder.path()).expect("the lock");
    assert!(matches!(
        RealDisk::new(folder.path()),
        Err(DiskError::Locked)
    ));
    drop(first);
    assert!(RealDisk::new(folder.path()).is_ok());
}

#[test]
fn a_missing_folder_is_made() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(RealDisk::new(folder.path().join("made/with/parents")).is_ok());
    let relative = tempfile::tempdir_in(".").expect("a folder");
    let name = relative.path().file_name().expect("a name").to_owned();
    std::fs::remove_dir(&name).expect("an empty folder");
    assert!(RealDisk::new(&name).is_ok());
    assert!(std::path::Path::new(&name).is_dir());
}
