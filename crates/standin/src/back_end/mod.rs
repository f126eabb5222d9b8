//! Simulated back end with a concurrency limit, service times, cold start, load shedding, drain,
//! cancellation and faults.
//!
//! Invariants: an effect is written to the history before its answer is sent, and it is made only
//! after [`grebepin_holder::Holder::before_effect`] allowed it, under the same lock.

mod arguments;
mod control_api;
mod faults;
mod handover;
mod node;
mod serving;
mod slots;
mod stop;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use grebepin_holder::Guards;
use grebepin_schema::limits::MAX_BACK_END_MESSAGE_BYTES;
use grebepin_schema::HistoryEvent;
use grebepin_telemetry::{event, Event};

pub use arguments::{Args, FalseReport, ServiceDistribution};
pub use serving::AnswerBody;

use crate::http::{HttpServer, ServerOptions};
use handover::FetchQueues;
use node::Node;

/// Reasons why a back end could not start.
#[derive(Debug, thiserror::Error)]
pub enum BackEndError {
    /// Binding the listener failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the flags.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The history file can't be opened.
    #[error("cannot open the history file: {0}")]
    History(io::Error),
    /// A thread or signal handler can't be set up.
    #[error("cannot start: {0}")]
    Start(io::Error),
}

/// A back end that runs in this process.
pub struct BackEnd {
    server: HttpServer<Arc<Node>>,
}

impl BackEnd {
    /// Starts listening and serving.
    ///
    /// # Errors
    /// Fails if the address can't be listened on, the history file can't be opened or a thread can't be
    /// started.
    pub fn start(arguments: &Args) -> Result<Self, BackEndError> {
        Self::start_guarded(arguments, Guards::all())
    }

    /// Starts a back end with one safety check of the holder disabled, to test that its absence is
    /// detected.
    ///
    /// # Errors
    /// Fails as [`start`](Self::start) does.
    #[cfg(feature = "removable-guards")]
    pub fn start_without(
        arguments: &Args,
        guard: grebepin_holder::Guard,
    ) -> Result<Self, BackEndError> {
        Self::start_guarded(arguments, Guards::without(guard))
    }

    fn start_guarded(arguments: &Args, guards: Guards) -> Result<Self, BackEndError> {
        let address = arguments.listen;
        let listener = TcpListener::bind(address)
            .map_err(|source| BackEndError::Listen { address, source })?;
        let (queues, fetches) = FetchQueues::new();
        let node = Node::new(arguments, guards, queues).map_err(BackEndError::History)?;
        let node = Arc::new(node);
        // A restart cancels an earlier drain.
        node.record(HistoryEvent::Staying(arguments.name.clone()));
        handover::start_workers(&node, &fetches).map_err(BackEndError::Start)?;
        stop::start_ticker(&node).map_err(BackEndError::Start)?;
        let options = ServerOptions {
            connections: arguments.connections,
            maximum_body: MAX_BACK_END_MESSAGE_BYTES,
            ..ServerOptions::default()
        };
        let server = HttpServer::start(listener, options, node).map_err(BackEndError::Start)?;
        event!(
            Event::BackEndStarted,
            server = arguments.name.as_str(),
            address = server.address()
        );
        Ok(Self { server })
    }

    /// Address that the back end listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Performs a planned stop: drains, waits until the shards are released and their records have been
    /// fetched, finishes the running requests and closes. Returns the number of requests cut.
    pub fn stop(&self) -> u32 {
        stop::planned_stop(&self.server)
    }
}

/// Runs a back end until SIGTERM or SIGINT, then performs a planned stop.
///
/// # Errors
/// Fails if the back end can't start.
pub fn run(arguments: &Args) -> Result<(), BackEndError> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(BackEndError::Start)?;
    let back_end = BackEnd::start(arguments)?;
    if let Some(signal) = signals.forever().next() {
        event!(Event::StopRequested, signal = signal);
    }
    let cut = back_end.stop();
    event!(Event::Stopped, cut = cut);
    Ok(())
}
