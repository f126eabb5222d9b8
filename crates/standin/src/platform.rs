//! Stand-in of the platform's list of machines, which lags.
//!
//! `GET /machines` answers the list as it was set a lag ago; `POST /stand-in/machines` with a list
//! as JSON sets it anew; `POST /stand-in/machine?server=S&state=live|leaving|gone` changes one entry.
//!
//! Invariant: the list is never newer than the lag, and a change never overtakes an earlier one.

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

/// How often a running list looks whether to stop.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Threads that answer.
const THREADS: usize = 4;

/// Flags of the platform's list.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Age of what the list says, in ms.
    #[arg(long, default_value_t = 5000)]
    pub lag_ms: u64,
    /// Server that is live at the start; give it again for more.
    #[arg(long = "machine")]
    pub machines: Vec<ServerName>,
}

/// Why the list could not be served.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the flags.
        address: SocketAddr,
        /// What the library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// Signals can't be watched.
    #[error("cannot watch signals: {0}")]
    Signals(#[source] io::Error),
}

/// The list with its lag.
#[derive(Debug)]
struct Lagging {
    lag: Duration,
    shown: MachineList,
    coming: VecDeque<(Instant, MachineList)>,
}

impl Lagging {
    fn show(&mut self) -> &MachineList {
        while self
            .coming
            .front()
            .is_some_and(|(set, _)| set.elapsed() >= self.lag)
        {
            if let Some((_, list)) = self.coming.pop_front() {
                self.shown = list;
            }
        }
        &self.shown
    }

    fn set(&mut self, list: MachineList) {
        self.coming.push_back((Instant::now(), list));
    }

    fn change(&mut self, server: ServerName, state: MachineState) {
        let newest = self.coming.back().map(|(_, list)| list);
        let mut list = newest.unwrap_or(&self.shown).clone();
        list.machines.retain(|machine| machine.server != server);
        list.machines.push(Machine { server, state });
        self.set(list);
    }
}

type Handler = Box<dyn Fn(&Request) -> Response + Send + Sync>;

/// A list running in this process.
pub struct Platform {
    server: Server<Handler>,
}

impl Platform {
    /// Starts to listen; [`serve`](Self::serve) answers.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn start(arguments: &Args) -> Result<Self, PlatformError> {
        let machines = arguments.machines.iter().map(|server| Machine {
            server: server.clone(),
            state: MachineState::Live,
        });
        let list = Mutex::new(Lagging {
            lag: Duration::from_millis(arguments.lag_ms),
            shown: MachineList {
                machines: machines.collect(),
            },
            coming: VecDeque::new(),
        });
        let handler: Handler = Box::new(move |request| answer(&list, request));
        let address = arguments.listen;
        let server = Server::new(address, handler)
            .map_err(|source| PlatformError::Listen { address, source })?
            .pool_size(THREADS);
        event!(Event::PlatformStarted, address = server.server_addr());
        Ok(Self { server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.server_addr()
    }

    /// Answers until `stop` is set.
    pub fn serve(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.server.poll_timeout(STOP_CHECK);
        }
    }
}

/// Serves the list until SIGTERM or SIGINT.
///
/// # Errors
/// The address can't be listened on, or signals can't be watched.
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

fn answer(list: &Mutex<Lagging>, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/machines") => Response::json(lock(list).show()),
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

fn change(list: &Mutex<Lagging>, request: &Request) -> Response {
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
