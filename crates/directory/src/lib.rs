//! The directory: a replicated group that takes in configuration items and servers' heartbeats,
//! owns the division of keys, and feeds the gateways.
//!
//! `call` and `link` say what is spoken, `node` decides (pure, over a disk that can be simulated),
//! `daemon` moves bytes. The interface towards operators and servers is a [`Dialect`], so that its
//! names and bodies are the deployment's own.

pub mod call;
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
