//! Start and stop of a router.
//!
//! Invariant: a planned stop answers every completely read request, within the drain time.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use grebepin_settings::{load_router, RouterSettings};
use grebepin_telemetry::{event, start_logging, Event};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::admin::Admin;
use crate::callers::Callers;
use crate::error::RouterError;
use crate::follow::follow;
use crate::shared::Shared;

/// A stopping router still accepts connections and requests for the drain time divided by this.
const DRAIN_GRACE_DIVISOR: u32 = 10;

/// A running router with its threads and listeners.
pub struct Router {
    shared: Arc<Shared>,
    callers: Arc<Callers>,
    address: SocketAddr,
    admin: Admin,
    acceptor: JoinHandle<()>,
    control: JoinHandle<()>,
}

impl Router {
    /// Starts a router. With port 0 in an address the operating system chooses a port.
    ///
    /// # Errors
    /// [`RouterError`] if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: RouterSettings) -> Result<Self, RouterError> {
        let listen = settings.listen_address;
        let listener = TcpListener::bind(listen).map_err(|error| RouterError::Listen {
            address: listen,
            reason: error.to_string(),
        })?;
        let address = listener.local_addr()?;
        let admin_address = settings.admin_address;
        let shared = Arc::new(Shared::new(settings, rand::random())?);
        let admin = Admin::start(admin_address, Arc::clone(&shared))?;
        let callers = Arc::new(Callers::default());
        let control = spawn("control", &shared, |shared| follow(&shared))?;
        let accepted_callers = Arc::clone(&callers);
        let acceptor = spawn("acceptor", &shared, move |shared| {
            accepted_callers.accept(&listener, &shared);
        })?;
        event!(
            Event::RouterStarted,
            address = address,
            admin = admin.address()
        );
        Ok(Self {
            shared,
            callers,
            address,
            admin,
            acceptor,
            control,
        })
    }

    /// Local address of the listener for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Local address of the listener for metrics and probes.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// State shared by the router's threads, for tests and measurements.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the router. First it drains: it reports not ready and closes each connection with its next
    /// answer, so that callers switch to another router without a failed request. Then it accepts no
    /// connection and no request, answers the requests already read, and closes the rest after the drain
    /// time. Returns the number of connections that were still open at that point.
    pub fn stop(self) -> usize {
        event!(Event::StopRequested);
        let drain = self.shared.limits().drain;
        let grace = drain / DRAIN_GRACE_DIVISOR;
        self.shared.start_draining();
        self.callers.wait_until_empty(grace);
        self.shared.close();
        Callers::wake(self.address);
        self.acceptor.join().ok();
        let still_open = self.callers.drain(drain - grace);
        self.shared.stop();
        self.control.join().ok();
        self.admin.stop();
        event!(Event::Stopped);
        still_open
    }
}

/// Runs a router with a settings file until `SIGTERM` or `SIGINT`. With `check_only` it only checks the
/// settings, including against this machine.
///
/// # Errors
/// [`RouterError`]; [`RouterError::exit_code`] gives the exit code of the process.
pub fn run(path: &Path, check_only: bool) -> Result<(), RouterError> {
    let settings = load_router(path)?;
    settings.check_host()?;
    if check_only {
        return Ok(());
    }
    start_logging(grebepin_telemetry::log::LevelFilter::Info);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let router = Router::start(settings)?;
    signals.forever().next();
    router.stop();
    Ok(())
}

fn spawn(
    name: &str,
    shared: &Arc<Shared>,
    work: impl FnOnce(Arc<Shared>) + Send + 'static,
) -> Result<JoinHandle<()>, RouterError> {
    let shared = Arc::clone(shared);
    let builder = thread::Builder::new().name(name.to_string());
    Ok(builder.spawn(move || work(shared))?)
}
