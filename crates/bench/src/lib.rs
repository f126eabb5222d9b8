//! Runs fleets of real processes on loopback under load and faults, and reports the result.

pub mod commands;
pub mod fleet;
pub mod report;
