//! Stand-in back end: slots, service time, cold start, load shedding, drain, cancellation, faults.
//!
//! Invariant: every effect is in the history file before its answer leaves, and an effect is made
//! only after [`grebepin_holder::Holder::before_effect`] allowed it, under the same lock.

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
use grebepin_schema::limits::MAXIMUM_BACK_END_MESSAGE_BYTES;
use grebepin_schema::HistoryEvent;
use grebepin_telemetry::{event, Event};

pub use arguments::{Args, Lie, ServiceDistribution};
pub use serving::AnswerBody;

use crate::http::{HttpServer, ServerOptions};
use handover::FetchQueues;
use node::Node;

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum BackEndError {
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the flags.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The history file can't be opened.
    #[error("cannot open the history file: {0}")]
    History(io::Error),
    /// A thread or signal handler can't be set up.
    #[error("cannot start: {0}")]
    Start(io::Error),
}

/// A back end running in this process.
pub struct BackEnd {
    server: HttpServer<Arc<Node>>,
}

impl BackEnd {
    /// Starts to listen and serve.
    ///
    /// # Errors
    /// The address, the history file or a thread can't be had.
    pub fn start(arguments: &Args) -> Result<Self, BackEndError> {
        Self::start_guarded(arguments, Guards::all())
    }

    /// As [`start`](Self::start), without one of the guards.
    ///
    /// # Errors
    /// As [`start`](Self::start).
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
        // A start ends an earlier leaving.
        node.record(HistoryEvent::Staying(arguments.name.clone()));
        handover::start_workers(&node, &fetches).map_err(BackEndError::Start)?;
        stop::start_ticker(&node).map_err(BackEndError::Start)?;
        let options = ServerOptions {
            connections: arguments.connections,
            maximum_body: MAXIMUM_BACK_END_MESSAGE_BYTES,
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Leaves as planned: drains, waits until its shards are released and their records fetched,
    /// finishes what runs and closes. Returns the requests that were cut.
    pub fn stop(&self) -> u32 {
        stop::planned_stop(&self.server)
    }
}

/// Runs a back end until SIGTERM or SIGINT, then stops it as planned.
///
/// # Errors
/// It can't start.
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
