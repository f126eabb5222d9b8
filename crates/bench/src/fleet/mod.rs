//! A deployment as separate processes on loopback.

pub mod layout;
pub mod process;

pub use layout::{Layout, LayoutError};
pub use process::{Process, ProcessError};
