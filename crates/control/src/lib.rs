//! The control replica: pure node and its input/output shell.
//!
//! [`ControlNode`] decides; the daemon round it moves bytes and keeps the time.

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
