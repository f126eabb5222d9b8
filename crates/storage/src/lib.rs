//! Durable log, snapshots and identity of a control replica.
//!
//! Invariant: what was passed to [`ReplicaStorage::persist`] survives any crash after the call returned. A
//! damaged folder is refused with a typed error; it is never opened with a part of its content.
//!
//! The file formats are described in `docs/design/storage.md`.

mod creation;
mod disk;
mod error;
mod frame;
mod guards;
mod real_disk;
mod record;
mod replay;
mod replica_storage;
mod segment;
mod simulated_disk;
mod snapshot_file;
mod startup;

pub use disk::{Disk, DiskError};
pub use error::{Damage, StorageError};
pub use guards::{Guard, Guards};
pub use real_disk::{RealDisk, RealFile};
pub use record::Identity;
pub use replica_storage::{Limits, ReplicaStorage};
pub use simulated_disk::{Crash, SimulatedDisk, SimulatedFile};
pub use startup::{Opened, RestoredState, TornTail};
