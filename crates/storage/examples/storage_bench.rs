//! Measures storage on a real file system: synced batches per second, and the time to save a snapshot and to
//! open a folder by its size.
//!
//! `cargo run --release -p grebepin-storage --example storage_bench -- [FOLDER]`

use std::path::{Path, PathBuf};
use std::time::Instant;

use grebepin_schema::{
    Bytes, Entry, EntryPayload, GroupId, HardState, LogIndex, Membership, ReplicaId, SnapshotMeta,
    Term,
};
use grebepin_storage::{Identity, Opened, RealDisk, ReplicaStorage};
use hdrhistogram::Histogram;

const COMMAND_BYTES: usize = 200;
const BATCHES: u64 = 500;
const BATCH_SIZES: [u64; 3] = [1, 16, 256];
const SNAPSHOT_BYTES: [usize; 3] = [1 << 20, 16 << 20, 128 << 20];
const LOG_ENTRIES: [u64; 3] = [1_000, 10_000, 100_000];

type BenchError = Box<dyn std::error::Error>;

fn main() -> Result<(), BenchError> {
    let parent = std::env::args_os().nth(1).map(PathBuf::from);
    let parent = parent.unwrap_or_else(std::env::temp_dir);
    println!(
        "folder {}, commands of {COMMAND_BYTES} bytes",
        parent.display()
    );
    println!("\n| batch | batches/s | entries/s | p50 us | p99 us | max us |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for batch in BATCH_SIZES {
        measure_batches(&parent, batch)?;
    }
    println!("\n| snapshot MiB | save ms | open ms |");
    println!("| ---: | ---: | ---: |");
    for bytes in SNAPSHOT_BYTES {
        measure_snapshot(&parent, bytes)?;
    }
    println!("\n| log entries | open ms |");
    println!("| ---: | ---: |");
    for count in LOG_ENTRIES {
        measure_log(&parent, count)?;
    }
    Ok(())
}

fn measure_batches(parent: &Path, batch: u64) -> Result<(), BenchError> {
    let folder = tempfile::tempdir_in(parent)?;
    let mut storage = new_storage(folder.path())?;
    let mut times = Histogram::<u64>::new(3)?;
    let start = Instant::now();
    for number in 0..BATCHES {
        let entries = entries(number * batch + 1, batch);
        let before = Instant::now();
        storage.persist(Some(&hard_state()), &entries)?;
        times.record(before.elapsed().as_micros() as u64)?;
    }
    let rate = BATCHES as f64 / start.elapsed().as_secs_f64();
    println!(
        "| {batch} | {rate:.0} | {:.0} | {} | {} | {} |",
        rate * batch as f64,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
    Ok(())
}

fn measure_snapshot(parent: &Path, bytes: usize) -> Result<(), BenchError> {
    let folder = tempfile::tempdir_in(parent)?;
    let mut storage = new_storage(folder.path())?;
    storage.persist(Some(&hard_state()), &entries(1, 1))?;
    let data: Vec<u8> = (0..bytes).map(|offset| offset as u8 | 1).collect();
    let start = Instant::now();
    storage.save_snapshot(&snapshot_meta(), &data)?;
    let saved = start.elapsed();
    drop(storage);
    println!(
        "| {} | {:.1} | {:.1} |",
        bytes >> 20,
        saved.as_secs_f64() * 1e3,
        open_ms(folder.path())?
    );
    Ok(())
}

fn measure_log(parent: &Path, count: u64) -> Result<(), BenchError> {
    let folder = tempfile::tempdir_in(parent)?;
    let mut storage = new_storage(folder.path())?;
    let batch = 1_000;
    for first in (1..=count).step_by(batch as usize) {
        storage.persist(None, &entries(first, batch))?;
    }
    drop(storage);
    println!("| {count} | {:.1} |", open_ms(folder.path())?);
    Ok(())
}

fn open_ms(folder: &Path) -> Result<f64, BenchError> {
    let start = Instant::now();
    let opened = ReplicaStorage::open(RealDisk::new(folder)?)?;
    let elapsed = start.elapsed();
    match opened {
        Opened::Present { .. } => Ok(elapsed.as_secs_f64() * 1e3),
        Opened::Empty(_) => Err("the folder is empty".into()),
    }
}

fn new_storage(folder: &Path) -> Result<ReplicaStorage<RealDisk>, BenchError> {
    let identity = Identity {
        replica: ReplicaId(1),
        group: GroupId(0),
        cluster: None,
    };
    let disk = RealDisk::new(folder)?;
    Ok(ReplicaStorage::create(disk, identity, None)?)
}

fn entries(first: u64, count: u64) -> Vec<Entry> {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: EntryPayload::Command(Bytes(vec![index as u8 | 1; COMMAND_BYTES])),
    };
    (first..first + count).map(entry).collect()
}

fn hard_state() -> HardState {
    HardState {
        commit: LogIndex(1),
        term: Term(1),
        vote: Some(ReplicaId(1)),
    }
}

fn snapshot_meta() -> SnapshotMeta {
    SnapshotMeta {
        index: LogIndex(1),
        term: Term(1),
        membership: Membership { members: vec![] },
    }
}
