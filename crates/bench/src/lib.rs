//! Fleet runner, demonstration and experiments.

pub mod commands;
pub mod fleet;
pub mod hollow;
pub mod process_usage;
pub mod report;
