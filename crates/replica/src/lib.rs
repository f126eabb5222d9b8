//! What a replica does with its log and its members, whatever it replicates: shared by the control
//! replicas of bundles and by the directory's.

mod log_writer;
pub mod members;

pub use log_writer::{LogWriter, WriteStats};
