//! Settings files of the daemons: loading, defaults, and the whole check at start.
//!
//! Invariant: settings that were loaded are typed, complete and consistent; a daemon that starts with
//! them never meets a settings error later. Every problem of a file is reported, not just the first.

mod control;
mod error;
mod file;
mod host;
mod problems;
mod router;

pub use control::{load_control, parse_control, ControlSettings, ControlTiming};
pub use error::{Problem, ProblemKind, SettingsError, SETTINGS_EXIT_CODE};
pub use router::{load_router, parse_router, RouterLimits, RouterSettings};
