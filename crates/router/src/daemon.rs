//! Start and stop of a router.
//!
//! Invariant: a planned stop answers every request that was read whole, within the drain time.

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

/// Part of the drain time, one in this many, for which a router still takes connections and requests.
const LEAVE_PART: u32 = 10;

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    callers: Arc<Callers>,
    address: SocketAddr,
    admin: Admin,
    acceptor: JoinHandle<()>,
    control: JoinHandle<()>,
}

impl Router {
    /// Starts a router; port 0 in an address lets the system choose one.
    ///
    /// # Errors
    /// [`RouterError`] when an address cannot be listened on or the system refuses a thread.
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
        let accepting = Arc::clone(&callers);
        let acceptor = spawn("acceptor", &shared, move |shared| {
            accepting.accept(&listener, &shared);
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

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for metrics and probes.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// State of the router, for measurements.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops. First it leaves: it is not ready any more, and ends each connection with its next answer,
    /// so that callers find another router without a failed request. Then it takes no connection and no
    /// request, answers what was read, and cuts off the rest after the drain time. Returns how many
    /// connections were cut off.
    pub fn stop(self) -> usize {
        event!(Event::StopRequested);
        let drain = self.shared.limits().drain;
        let leaving = drain / LEAVE_PART;
        self.shared.leave();
        self.callers.wait_until_empty(leaving);
        self.shared.close();
        Callers::wake(self.address);
        self.acceptor.join().ok();
        let cut = self.callers.drain(drain - leaving);
        self.shared.stop();
        self.control.join().ok();
        self.admin.stop();
        event!(Event::Stopped);
        cut
    }
}

/// Runs a router with a settings file until it is told to stop by `SIGTERM` or `SIGINT`. With
/// `check_only` it only checks the settings, against this machine too.
///
/// # Errors
/// [`RouterError`]; its [`RouterError::exit_code`] is the process's.
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
