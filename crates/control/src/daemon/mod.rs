//! The daemon: the process and its I/O threads around the control node.
//!
//! Invariant: one control thread owns all replicated state; the other threads only do I/O for it.

mod admin;
mod back_ends;
mod control_thread;
mod error;
mod events;
mod liveness;
mod message;
mod metrics;
mod peer_connections;
mod platform;
mod router_connections;
mod running;
mod sockets;
mod timed_disk;

use std::path::Path;

use grebepin_settings::load_control;
use grebepin_telemetry::{event, Event};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub use error::{RunError, DAMAGED_EXIT_CODE};
pub use running::{start, Addresses, Listeners, RunningControl, Stopper};

/// Runs one control replica until SIGTERM or SIGINT.
///
/// With `check_only` the settings are validated, also against this host, and nothing is started.
///
/// # Errors
/// The settings are invalid, the data directory is damaged or unusable, or the node failed. See
/// [`RunError::exit_code`].
pub fn run(settings_path: &Path, check_only: bool) -> Result<(), RunError> {
    let settings = load_control(settings_path)?;
    if check_only {
        return Ok(settings.check_host()?);
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let running = start(settings, Listeners::default())?;
    let stopper = running.stopper();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                event!(Event::StopRequested);
                stopper.stop();
            }
        })?;
    let result = running.wait();
    event!(Event::Stopped);
    result
}
