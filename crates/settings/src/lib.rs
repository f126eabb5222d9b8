//! Settings files of the daemons: loading, default values and all checks made at startup.
//!
//! Invariant: loaded settings are typed, complete and consistent, so that a daemon started with them reports
//! no settings error later. All invalid values of a file are reported together, not just the first.

mod control;
mod error;
mod file;
mod host;
mod problems;
mod router;

pub use control::{load_control, parse_control, ControlSettings, ControlTiming};
pub use error::{Problem, ProblemKind, SettingsError, SETTINGS_EXIT_CODE};
pub use router::{load_router, parse_router, RouterLimits, RouterSettings};
