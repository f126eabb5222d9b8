//! Admin server with metrics and health probes.
//!
//! Invariants: `/live` fails only if the control thread hangs; `/ready` fails only if the router has no
//! table or is stopping; a silent client never delays another.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use grebepin_http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};
use grebepin_schema::InForceRecord;
use grebepin_telemetry::metrics::METRICS_CONTENT_TYPE;

use crate::error::RouterError;
use crate::shared::Shared;

/// Time without activity of the control thread after which `/live` fails.
const MAX_CONTROL_IDLE: Duration = Duration::from_secs(10);

/// Maximum number of concurrent connections.
const CONNECTION_LIMIT: usize = 128;

/// Maximum wait for a request on an open connection.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const INTERNAL: u16 = 500;
const UNAVAILABLE: u16 = 503;

const TEXT: &str = "text/plain; charset=utf-8";

/// Running admin server; [`Admin::stop`] ends it.
pub struct Admin {
    server: HttpServer<AdminHandler>,
}

impl Admin {
    /// Binds `address` and starts serving.
    ///
    /// # Errors
    /// [`RouterError::Listen`] if the address is in use or does not belong to this machine.
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
        let server = HttpServer::start(listener, options, AdminHandler(shared))?;
        Ok(Self { server })
    }

    /// Local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        self.server.close();
    }
}

struct AdminHandler(Arc<Shared>);

impl ServerHooks for AdminHandler {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        let shared = &*self.0;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/metrics") => metrics(shared),
            ("GET", "/live") => probe(shared.control_idle_time() < MAX_CONTROL_IDLE),
            ("GET", "/ready") => probe(shared.view().table.is_ready() && !shared.is_draining()),
            ("GET", "/v1/table-index") => HttpResponse::json(&table_index(shared)),
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

fn probe(healthy: bool) -> HttpResponse {
    match healthy {
        true => HttpResponse::data(OK, TEXT, "ok\n"),
        false => HttpResponse::data(UNAVAILABLE, TEXT, "not ok\n"),
    }
}

fn table_index(shared: &Shared) -> InForceRecord {
    let view = shared.view();
    InForceRecord {
        router: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        index: view.table.index(),
        bundle_version: view.table.bundle_version(),
    }
}
