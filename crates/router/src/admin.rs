//! Metrics and probes for operators.
//!
//! Invariant: `/live` fails only when the control thread hangs; `/ready` only when the router has no
//! table or stops.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use grebepin_schema::InForceRecord;
use grebepin_telemetry::metrics::METRICS_CONTENT_TYPE;
use rouille::{Request, Response};

use crate::error::RouterError;
use crate::shared::Shared;

/// Silence of the control thread after which the process counts as hanging.
const LONGEST_CONTROL_SILENCE: Duration = Duration::from_secs(10);

const THREADS: usize = 2;

/// Longest time until the server sees that it is to stop.
const STOP_LATENCY: Duration = Duration::from_millis(100);

/// The admin server; stops when told.
pub struct Admin {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Admin {
    /// Listens on `address`.
    ///
    /// # Errors
    /// [`RouterError::Listen`] when the address is taken or not this machine's.
    pub fn start(address: SocketAddr, shared: Arc<Shared>) -> Result<Self, RouterError> {
        let server = rouille::Server::new(address, move |request| answer(&shared, request));
        let server = server.map_err(|error| RouterError::Listen {
            address,
            reason: error.to_string(),
        })?;
        let server = server.pool_size(THREADS);
        let address = server.server_addr();
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        let serve = move || {
            while !told.load(Ordering::Acquire) {
                server.poll_timeout(STOP_LATENCY);
            }
        };
        let thread = thread::Builder::new().name("admin".into()).spawn(serve)?;
        Ok(Self {
            address,
            stop,
            thread,
        })
    }

    /// Address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Release);
        self.thread.join().ok();
    }
}

fn answer(shared: &Shared, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/metrics") => metrics(shared),
        ("GET", "/live") => probe(shared.control_silent_for() < LONGEST_CONTROL_SILENCE),
        ("GET", "/ready") => probe(shared.view().table.is_ready() && !shared.is_leaving()),
        ("GET", "/v1/table-index") => Response::json(&in_force(shared)),
        _ => Response::empty_404(),
    }
}

fn metrics(shared: &Shared) -> Response {
    match shared.registry.render() {
        Ok(text) => Response::from_data(METRICS_CONTENT_TYPE, text),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}

fn probe(well: bool) -> Response {
    match well {
        true => Response::text("ok\n"),
        false => Response::text("not ok\n").with_status_code(503),
    }
}

fn in_force(shared: &Shared) -> InForceRecord {
    let view = shared.view();
    InForceRecord {
        router: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        index: view.table.index(),
        bundle_version: view.table.bundle_version(),
    }
}
