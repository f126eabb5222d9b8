//! Fleet runner, demonstration and experiments.

pub mod demo;
pub mod fleet;
pub mod thin_back_end;
