//! The control node: consensus, storage and the ownership state machine as one pure value.
//!
//! Invariant: an output leaves [`ControlNode::handle`] only after everything it rests on is synced,
//! and the state that answers an operator or a router is made of committed entries only.

use std::time::Duration;

pub mod config;
pub mod error;
pub mod input;
pub mod output;

use config::NodeConfig;
use error::NodeError;
use input::NodeInput;
use output::NodeOutput;

/// One replica of a control group, without clock, sockets or threads.
pub struct ControlNode<D> {
    config: NodeConfig,
    disk: D,
}

impl<D> ControlNode<D> {
    /// Opens the node on its disk.
    ///
    /// # Errors
    /// The folder is damaged, can't be read or written, or belongs to another group.
    pub fn open(config: NodeConfig, disk: D, now: Duration) -> Result<Self, NodeError> {
        let _ = now;
        Ok(Self { config, disk })
    }

    /// Handles a batch of inputs with one sync, and says what to do next.
    pub fn handle(&mut self, now: Duration, inputs: Vec<NodeInput>) -> Vec<NodeOutput> {
        let _ = (now, inputs, &self.disk);
        Vec::new()
    }

    /// When [`ControlNode::handle`] must be called next, at the latest.
    pub fn next_wake(&self) -> Duration {
        self.config.replica_heartbeat()
    }
}
