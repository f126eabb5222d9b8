//! Log writing, the schedule of snapshots and membership changes of a replica, independent of the replicated state. Shared by the control
//! replicas, which replicate bundles, and the replicas of the directory.

mod log_writer;
pub mod members;
mod snapshot_schedule;

pub use log_writer::{LogWriter, WriteStats};
pub use snapshot_schedule::SnapshotSchedule;
