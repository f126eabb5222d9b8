//! Runs a deployment as separate processes on loopback, with scheduled faults.

pub mod callers;
pub mod cluster;
pub mod deployment;
pub mod error;
pub mod experiment;
pub mod faults;
pub mod layout;
pub mod observer;
pub mod plans;
pub mod process;
pub mod relay;
pub mod run;

pub use cluster::Fleet;
pub use deployment::{Deployment, DeploymentError};
pub use error::FleetError;
pub use layout::{Layout, LayoutError};
pub use process::{Process, ProcessError, ProcessPlan};
