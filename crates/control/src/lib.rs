//! A control replica: deterministic node state machine and the daemon that runs it.
//!
//! [`ControlNode`] makes all decisions and performs no I/O; the daemon around it does the socket and disk I/O
//! and supplies the time.

mod daemon;
mod node;

pub use daemon::{
    run, start, Addresses, Listeners, RunError, RunningControl, Stopper, DAMAGED_EXIT_CODE,
};
pub use grebepin_settings::{ControlSettings, ControlTiming};
pub use node::config::{schema_address, NodeConfig, NodeGuards};
pub use node::error::NodeError;
pub use node::input::{
    AdminRequest, BackEndAnswer, CallFailure, CallId, ConnectionId, NodeInput, ReplyId,
};
pub use node::output::{AdminAnswer, BackEndRequest, NodeMetrics, NodeOutput, Notice};
pub use node::tolerance::tolerated_losses;
pub use node::ControlNode;
