//! Metrics and probes for operators.
//!
//! Invariants: `/live` fails only when the control thread hangs; `/ready` only when the router has no
//! table or stops; a silent client holds up no other.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use grebepin_http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};
use grebepin_schema::InForceRecord;
use grebepin_telemetry::metrics::METRICS_CONTENT_TYPE;

use crate::error::RouterError;
use crate::shared::Shared;

/// Silence of the control thread after which the process counts as hanging.
const LONGEST_CONTROL_SILENCE: Duration = Duration::from_secs(10);

/// Operators and probes connected at once.
const CONNECTION_LIMIT: usize = 128;

/// Longest wait for a request on an open connection.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const INTERNAL: u16 = 500;
const UNAVAILABLE: u16 = 503;

const TEXT: &str = "text/plain; charset=utf-8";

/// The admin server; stops when told.
pub struct Admin {
    server: HttpServer<Operators>,
}

impl Admin {
    /// Listens on `address`.
    ///
    /// # Errors
    /// [`RouterError::Listen`] when the address is taken or not this machine's.
    pub fn start(address: SocketAddr, shared: Arc<Shared>) -> Result<Self, RouterError> {
        let listener = TcpListener::bind(address).map_err(|error| RouterError::Listen {
            address,
            reason: error.to_string(),
        })?;
        let options = ServerOptions {
            connections: CONNECTION_LIMIT,
            idle_timeout: Some(IDLE_LIMIT),
            ..ServerOptions::default()
        };
        let server = HttpServer::start(listener, options, Operators(shared))?;
        Ok(Self { server })
    }

    /// Address listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the server.
    pub fn stop(self) {
        self.server.close();
    }
}

struct Operators(Arc<Shared>);

impl ServerHooks for Operators {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        let shared = &*self.0;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/metrics") => metrics(shared),
            ("GET", "/live") => probe(shared.control_silent_for() < LONGEST_CONTROL_SILENCE),
            ("GET", "/ready") => probe(shared.view().table.is_ready() && !shared.is_leaving()),
            ("GET", "/v1/table-index") => HttpResponse::json(&in_force(shared)),
            _ => HttpResponse::new(NOT_FOUND),
        }
    }
}

fn metrics(shared: &Shared) -> HttpResponse {
    match shared.registry.render() {
        Ok(text) => HttpResponse::data(OK, METRICS_CONTENT_TYPE, text),
        Err(error) => HttpResponse::data(INTERNAL, TEXT, error.to_string()),
    }
}

fn probe(well: bool) -> HttpResponse {
    match well {
        true => HttpResponse::data(OK, TEXT, "ok\n"),
        false => HttpResponse::data(UNAVAILABLE, TEXT, "not ok\n"),
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
