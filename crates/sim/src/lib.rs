//! Deterministic simulator on a virtual clock.
//!
//! Job: run the product's own control replicas, routers and holders, on simulated disks, clocks and
//! network, under the faults of a table of scenarios, and hand the records to the checkers.
//! Invariant: one seed decides a run; the same scenario and seed give the same bytes.

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
