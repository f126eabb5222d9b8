//! The directory: a replicated group that stores configuration items, receives servers' heartbeats, assigns
//! key ranges to servers and streams the resulting state to gateways.
//!
//! `call` and `link` define the message types, `node` contains the decision logic (pure, over a disk that can
//! be simulated), and `daemon` does the I/O. The HTTP interface for operators and servers is a [`Dialect`],
//! so that each deployment defines its own paths and body formats.

pub mod call;
pub mod call_memory;
pub mod confirmed_state;
pub mod crashes;
mod daemon;
pub mod dialect;
pub mod fleet;
pub mod link;
pub mod node;
pub mod pacing;
pub mod settings;

pub use daemon::{run, DirectoryError};
pub use dialect::{BadCall, Dialect, HttpCall, HttpReply};
pub use settings::{DirectorySettings, SettingsError};
