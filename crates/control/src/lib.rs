//! The control replica: pure node and its input/output shell.
//!
//! [`ControlNode`] decides; the daemon round it moves bytes and keeps the time.

mod node;
pub mod thin;

pub use node::config::{default_timing, NodeConfig};
pub use node::error::NodeError;
pub use node::input::{
    AdminRequest, BackEndAnswer, CallFailure, CallId, ConnectionId, NodeInput, ReplyId,
};
pub use node::output::{AdminAnswer, BackEndRequest, NodeMetrics, NodeOutput, Notice};
pub use node::ControlNode;
