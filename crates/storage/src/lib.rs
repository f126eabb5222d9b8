//! Durable log, snapshots and identity of a control replica.
//!
//! Invariant: after [`ReplicaStorage::persist`] returns, no crash loses what was handed to it; and a
//! folder that is damaged is refused with a typed error instead of coming back with less.
//!
//! The layout of the files is described in `docs/design/storage.md`.

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
