//! Test data and helpers shared by the tests of storage.
#![allow(dead_code)]

use grebepin_schema::{
    Bytes, ClusterId, Entry, EntryPayload, GroupId, HardState, LogIndex, Membership, ReplicaId,
    SnapshotMeta, Term,
};
use grebepin_storage::{
    Disk, Identity, Opened, ReplicaStorage, RestoredState, SimulatedDisk, StorageError,
};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Configuration of property tests that generates the same cases in each run.
pub fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn identity() -> Identity {
    Identity {
        replica: ReplicaId(7),
        group: GroupId(3),
        cluster: None,
    }
}

pub fn cluster() -> ClusterId {
    serde_json::from_str("\"00112233445566778899aabbccddeeff\"").expect("a cluster id")
}

pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: EntryPayload::Command(Bytes(vec![(index % 255) as u8 + 1; 40])),
    }
}

pub fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Vec<Entry> {
    range.map(|index| entry(index, term)).collect()
}

pub fn hard_state(term: u64, commit: u64) -> HardState {
    HardState {
        commit: LogIndex(commit),
        term: Term(term),
        vote: Some(ReplicaId(term)),
    }
}

pub fn meta(index: u64, term: u64) -> SnapshotMeta {
    SnapshotMeta {
        index: LogIndex(index),
        term: Term(term),
        membership: Membership { members: vec![] },
    }
}

pub fn create(disk: &SimulatedDisk) -> ReplicaStorage<SimulatedDisk> {
    ReplicaStorage::create(disk.clone(), identity(), None).expect("an empty folder")
}

/// Opens a folder; panics unless it holds an intact replica.
pub fn reopen<D: Disk>(disk: D) -> (ReplicaStorage<D>, Identity, RestoredState) {
    match try_reopen(disk) {
        Ok(Some(present)) => present,
        Ok(None) => panic!("the folder is empty"),
        Err(error) => panic!("{error}"),
    }
}

type Present<D> = (ReplicaStorage<D>, Identity, RestoredState);

pub fn try_reopen<D: Disk>(disk: D) -> Result<Option<Present<D>>, StorageError> {
    match ReplicaStorage::open(disk)? {
        Opened::Empty(_) => Ok(None),
        Opened::Present {
            storage,
            identity,
            restored,
        } => Ok(Some((storage, identity, restored))),
    }
}
