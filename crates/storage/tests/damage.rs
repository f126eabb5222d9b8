//! A damaged folder is refused with a typed error. No content of a file makes storage panic or lose entries
//! silently.

mod common;

use common::{cluster, create, entries, hard_state, meta, reopen, try_reopen};
use grebepin_storage::{Damage, Disk, Limits, SimulatedDisk, StorageError};
use proptest::prelude::*;

const READ_LIMIT: u64 = 1 << 20;

/// A founded replica with a snapshot and entries in several segments.
fn sample() -> SimulatedDisk {
    let disk = SimulatedDisk::new(1);
    let mut storage = create(&disk).with_limits(Limits { segment_bytes: 400 });
    storage
        .set_founded(cluster(), &meta(1, 1), b"first membership")
        .expect("founding");
    for index in 2..=12 {
        storage
            .persist(Some(&hard_state(index, index)), &entries(index..=index, 1))
            .expect("a batch");
    }
    disk
}

fn segments(disk: &SimulatedDisk) -> Vec<String> {
    let mut names = disk.list().expect("names");
    names.retain(|name| name.starts_with("log-"));
    names
}

fn damage_of(disk: &SimulatedDisk) -> Option<(String, Damage)> {
    match try_reopen(disk.clone()) {
        Err(StorageError::Damaged { file, reason, .. }) => Some((file, reason)),
        Err(error) => panic!("{error}"),
        Ok(_) => None,
    }
}

#[test]
fn every_flipped_byte_is_detected() {
    for name in sample().list().expect("names") {
        let bytes = sample().read(&name, READ_LIMIT).expect("a file");
        for offset in 0..bytes.len() as u64 {
            for mask in [0x01, 0x80, 0xff] {
                let disk = sample();
                assert!(disk.corrupt(&name, offset, mask));
                let damage = damage_of(&disk);
                let detected = damage.is_some_and(|(file, _)| file == name);
                assert!(detected, "{name} at {offset} with {mask:#x}");
            }
        }
    }
}

#[test]
fn every_missing_file_is_detected() {
    // The newest segment is excluded: without it, the folder equals a valid one from before the segment was
    // started.
    let newest = segments(&sample()).pop();
    for name in sample().list().expect("names") {
        if Some(&name) == newest.as_ref() {
            continue;
        }
        let mut disk = sample();
        disk.remove(&name).expect("a file");
        assert_eq!(damage_of(&disk), Some((name, Damage::Missing)));
    }
}

#[test]
fn a_truncated_older_segment_is_refused() {
    let disk = sample();
    let oldest = segments(&disk).remove(0);
    let bytes = disk.read(&oldest, READ_LIMIT).expect("a segment");
    disk.put(&oldest, bytes[..bytes.len() - 1].to_vec());
    assert_eq!(damage_of(&disk), Some((oldest, Damage::Truncated)));
}

#[test]
fn an_identity_file_that_is_too_long_is_refused_unread() {
    let disk = sample();
    disk.put("identity", vec![b'G'; 5000]);
    let expected = ("identity".to_owned(), Damage::TooLong);
    assert_eq!(damage_of(&disk), Some(expected));
}

#[test]
fn a_lost_record_in_the_middle_is_detected() {
    let disk = SimulatedDisk::new(1);
    let mut storage = create(&disk);
    let name = segments(&disk).remove(0);
    let mut lengths = Vec::new();
    // The second record is long enough to contain complete sectors.
    for batch in [entries(1..=1, 1), entries(2..=40, 1), entries(41..=41, 1)] {
        lengths.push(disk.read(&name, READ_LIMIT).expect("a segment").len());
        storage.persist(None, &batch).expect("a batch");
    }
    let bytes = disk.read(&name, READ_LIMIT).expect("a segment");
    let without_second = [&bytes[..lengths[1]], &bytes[lengths[2]..]].concat();
    let doubled_first = [&bytes[..lengths[1]], &bytes[lengths[0]..]].concat();
    let mut zeroed_second = bytes.clone();
    zeroed_second[lengths[1]..lengths[2]].fill(0);
    let mut zeroed_sector = bytes.clone();
    let sector = (lengths[1] / 512 + 1) * 512;
    zeroed_sector[sector..sector + 512].fill(0);
    let cases = [
        (zeroed_sector, Damage::Body),
        (without_second, Damage::OutOfSequence),
        (doubled_first, Damage::OutOfSequence),
        (zeroed_second, Damage::Header),
    ];
    for (bytes, reason) in cases {
        disk.put(&name, bytes);
        assert_eq!(damage_of(&disk), Some((name.clone(), reason)));
    }
}

#[test]
fn an_unfinished_write_is_removed_and_reported() {
    let unfinished: [fn(usize) -> Vec<u8>; 4] = [
        |written| vec![0; 3000 - written],
        |_| b"GBPB\0\0".to_vec(),
        |_| vec![0; 7],
        |_| vec![0; 24],
    ];
    for tail in unfinished {
        let disk = SimulatedDisk::new(1);
        drop(create(&disk));
        let name = segments(&disk).remove(0);
        let whole = disk.read(&name, READ_LIMIT).expect("a segment");
        let tail = tail(whole.len());
        disk.put(&name, [&whole[..], &tail].concat());
        let (mut storage, _, restored) = reopen(disk.clone());
        let torn = restored.torn_tail.expect("a report");
        assert_eq!((torn.file, torn.offset), (name, whole.len() as u64));
        assert_eq!(torn.bytes, tail.len() as u64);
        storage.persist(None, &entries(1..=1, 1)).expect("a batch");
        let (_, _, restored) = reopen(disk);
        assert_eq!((restored.torn_tail, restored.entries.len()), (None, 1));
    }
}

#[test]
fn a_folder_of_another_replica_is_refused() {
    let disk = sample();
    let other = SimulatedDisk::new(1);
    let identity = grebepin_storage::Identity {
        replica: grebepin_schema::ReplicaId(8),
        ..common::identity()
    };
    grebepin_storage::ReplicaStorage::create(other.clone(), identity, None).expect("empty");
    let bytes = other.read("identity", READ_LIMIT).expect("a file");
    disk.put("identity", bytes);
    let expected = ("identity".to_owned(), Damage::Mismatch);
    assert_eq!(damage_of(&disk), Some(expected));
}

proptest! {
    #![proptest_config(common::fixed_cases(512))]

    #[test]
    fn any_bytes_in_any_file_give_a_value_or_a_typed_error(
        choice in any::<prop::sample::Index>(),
        start in any::<prop::sample::Index>(),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        keep_rest in any::<bool>(),
    ) {
        let disk = sample();
        let names = disk.list().expect("names");
        let name = choice.get(&names);
        let mut content = disk.read(name, READ_LIMIT).expect("a file");
        let start = start.index(content.len());
        let end = if keep_rest { (start + bytes.len()).min(content.len()) } else { content.len() };
        content.splice(start..end, bytes);
        disk.put(name, content);
        match try_reopen(disk) {
            Ok(present) => prop_assert!(present.is_some()),
            Err(StorageError::Damaged { .. }) => {}
            Err(error) => prop_assert!(false, "{error}"),
        }
    }
}
