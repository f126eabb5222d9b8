//! Fleet runner, demonstration and experiments.

pub mod demo;
pub mod fleet;
pub mod hollow;
pub mod process_usage;
pub mod report;
pub mod thin_back_end;
