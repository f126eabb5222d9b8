//! Simulated machine list of the platform, which publishes changes after a configurable lag.
//!
//! `GET /machines` returns the published list. `POST /stand-in/machines` replaces the list with the
//! one in its JSON body, and `POST /stand-in/machine?server=S&state=live|leaving|gone` changes one
//! entry.
//!
//! Invariant: no change is published before the lag has passed, and changes are published in order.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use grebepin_schema::{Machine, MachineList, MachineState, ServerName};
use grebepin_telemetry::{event, Event};
use rouille::{Request, Response, Server};

use crate::lock;

/// Interval at which the running server checks whether to stop.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Number of threads that serve requests.
const THREADS: usize = 4;

/// Flags of the simulated machine list.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Time until a change is published, in ms.
    #[arg(long, default_value_t = 5000)]
    pub lag_ms: u64,
    /// Server that is live at the start; may be repeated.
    #[arg(long = "machine")]
    pub machines: Vec<ServerName>,
}

/// Reasons why the list could not be served.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// Binding the listener failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the flags.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// Installing the signal handler failed.
    #[error("cannot watch signals: {0}")]
    Signals(#[source] io::Error),
}

/// The published list and the changes whose lag hasn't passed yet.
#[derive(Debug)]
struct DelayedList {
    lag: Duration,
    published: MachineList,
    pending: VecDeque<(Instant, MachineList)>,
}

impl DelayedList {
    fn published(&mut self) -> &MachineList {
        while self
            .pending
            .front()
            .is_some_and(|(set, _)| set.elapsed() >= self.lag)
        {
            if let Some((_, list)) = self.pending.pop_front() {
                self.published = list;
            }
        }
        &self.published
    }

    fn set(&mut self, list: MachineList) {
        self.pending.push_back((Instant::now(), list));
    }

    fn change(&mut self, server: ServerName, state: MachineState) {
        let newest = self.pending.back().map(|(_, list)| list);
        let mut list = newest.unwrap_or(&self.published).clone();
        list.machines.retain(|machine| machine.server != server);
        list.machines.push(Machine { server, state });
        self.set(list);
    }
}

type Handler = Box<dyn Fn(&Request) -> Response + Send + Sync>;

/// A machine list that is served by this process.
pub struct Platform {
    server: Server<Handler>,
}

impl Platform {
    /// Binds the listener. Requests are answered only by [`serve`](Self::serve).
    ///
    /// # Errors
    /// Fails if the address can't be listened on.
    pub fn start(arguments: &Args) -> Result<Self, PlatformError> {
        let machines = arguments.machines.iter().map(|server| Machine {
            server: server.clone(),
            state: MachineState::Live,
        });
        let list = Mutex::new(DelayedList {
            lag: Duration::from_millis(arguments.lag_ms),
            published: MachineList {
                machines: machines.collect(),
            },
            pending: VecDeque::new(),
        });
        let handler: Handler = Box::new(move |request| answer(&list, request));
        let address = arguments.listen;
        let server = Server::new(address, handler)
            .map_err(|source| PlatformError::Listen { address, source })?
            .pool_size(THREADS);
        event!(Event::PlatformStarted, address = server.server_addr());
        Ok(Self { server })
    }

    /// Address that the list listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.server_addr()
    }

    /// Answers requests until `stop` is set.
    pub fn serve(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.server.poll_timeout(STOP_CHECK);
        }
    }
}

/// Serves the list until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the address can't be listened on or the signal handler can't be installed.
pub fn run(arguments: &Args) -> Result<(), PlatformError> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(PlatformError::Signals)?;
    }
    Platform::start(arguments)?.serve(&stop);
    event!(Event::Stopped);
    Ok(())
}

fn answer(list: &Mutex<DelayedList>, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/machines") => Response::json(lock(list).published()),
        ("POST", "/stand-in/machines") => match rouille::input::json_input(request) {
            Ok(new) => {
                lock(list).set(new);
                Response::text("set")
            }
            Err(error) => Response::text(error.to_string()).with_status_code(400),
        },
        ("POST", "/stand-in/machine") => change(list, request),
        _ => Response::empty_404(),
    }
}

fn change(list: &Mutex<DelayedList>, request: &Request) -> Response {
    let server = request
        .get_param("server")
        .and_then(|text| text.parse().ok());
    let state = request
        .get_param("state")
        .and_then(|text| text.parse().ok());
    match (server, state) {
        (Some(server), Some(state)) => {
            lock(list).change(server, state);
            Response::text("set")
        }
        _ => Response::text("server and state=live|leaving|gone").with_status_code(400),
    }
}
