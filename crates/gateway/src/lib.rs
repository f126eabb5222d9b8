//! The gateway: takes clients' requests, finds the server that may run each, and answers.
//!
//! Everything is served from one thread. `table`, `load_balancer`, `retry_budget`, `cooldowns`, `stated_rate`, `verdict` decide and are pure;
//! `clients`, `upstreams` and `follow` move bytes; `forwarding`, `sending` and `answering` are the phases of
//! a request, `housekeeping` is what time asks for, and `server` is the event loop that joins them.
//!
//! Invariants: a request that is not repeatable is sent a second time only after proof that the first
//! sending did not run; an answer reaches the client only whole, and only if it carries the id of
//! its request; a request that is given up is answered at once.

mod answering;
pub mod answers;
pub mod backoff;
pub mod client_retries;
mod clients;
pub mod cooldowns;
mod crash_check;
pub mod crash_history;
pub mod evacuations;
mod flight;
mod follow;
mod forwarding;
mod hashing;
mod headers;
mod housekeeping;
pub mod initial_source;
pub mod initial_state;
pub mod leaving;
pub mod limit;
pub mod link_queue;
pub mod load;
pub mod load_balancer;
mod permits;
mod placing;
pub mod rate_turns;
pub mod refusal;
mod relay;
pub mod relays;
pub mod replicas;
pub mod retry_budget;
mod sending;
mod server;
pub mod server_index;
mod settings;
pub mod stated_rate;
pub mod statement;
mod statements;
pub mod stopping;
pub mod table;
mod upstreams;
pub mod verdict;
pub mod warmup;

use std::path::Path;

pub use headers::HeaderNames;
pub use settings::GatewaySettings;

use grebepin_directory::SettingsError;

/// Why the process ends.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A socket can't be opened or polled.
    #[error("network: {0}")]
    Network(#[from] std::io::Error),
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] grebepin_telemetry::MetricsError),
}

impl GatewayError {
    /// Exit code of the process: 2 for settings, 1 for anything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            Self::Network(_) | Self::Metrics(_) => 1,
        }
    }
}

/// Runs a gateway until it is asked to stop.
///
/// # Errors
/// The settings or the network are of no use.
pub fn run(settings: &Path, headers: HeaderNames) -> Result<(), GatewayError> {
    server::Server::start(settings, headers)?.run()
}
