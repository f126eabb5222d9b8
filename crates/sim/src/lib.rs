//! Deterministic simulator on a virtual clock.
//!
//! Runs the product's own control replicas, routing decisions and holders on simulated disks, clocks and
//! networks, injects the faults of a table of scenarios, and passes the recorded history to the checkers.
//! Invariant: a run is determined by its scenario, seed and guards; equal ones give identical bytes.

mod actors;
mod clock;
pub mod deployment;
mod history;
mod message;
mod network;
mod process;
mod queue;
mod random;
mod removal;
mod run;
mod scenario;
mod unavailable;
mod world;

pub use removal::{Removal, RunGuards};
pub use run::{run, run_many, Batch, RunOutcome};
pub use scenario::{all, rows, select, Fault, FaultKind, Scenario, ScenarioError, Target};
pub use unavailable::{Percentiles, Unavailable};
pub use world::Finding;
