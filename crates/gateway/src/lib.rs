//! The gateway: accepts client requests, selects the server that may execute each one, and returns the
//! response.
//!
//! Everything runs on one thread. `table`, `load_balancer`, `retry_budget`, `cooldowns`, `stated_rate`,
//! `reachability`, `peers` and `verdict` make decisions and perform no I/O. `clients`, `upstreams`, `peer_connections` and
//! `follow` own the connections.
//! `forwarding`, `dispatch`, `sending` and `answering` implement the phases of a request, `detour` sends it through
//! another gateway. `paths` records what connections show of the paths to servers, `housekeeping` holds the periodic
//! tasks, `endpoints` answers questions about this gateway, and `event_loop` drives them all.
//!
//! Invariants: a request that is not repeatable is sent a second time only after proof that the first attempt
//! was not executed. A response reaches the client only in full, and only if it carries the id of its
//! request. A request that is given up is answered at once.

mod answering;
pub mod backoff;
pub mod change_time;
pub mod client_retries;
mod clients;
pub mod connecting;
pub mod cooldowns;
mod crash_check;
pub mod crash_history;
mod detour;
mod dispatch;
mod endpoints;
pub mod evacuations;
mod event_loop;
pub mod follow;
mod forwarding;
mod hashing;
mod headers;
pub mod held_memory;
pub mod hop;
mod housekeeping;
pub mod http_writer;
mod in_flight;
pub mod initial_source;
pub mod leader_contact;
pub mod leaving;
pub mod limit;
pub mod link_queue;
pub mod load;
pub mod load_balancer;
pub mod majority_state;
mod paths;
mod peer_connections;
pub mod peers;
mod permits;
mod placing;
pub mod rate_turns;
pub mod reachability;
mod reclaim;
pub mod refusal;
pub mod relay;
pub mod relays;
pub mod replicas;
pub mod retry_budget;
mod sending;
pub mod server_index;
mod settings;
pub mod standstill;
mod state_age;
mod state_updates;
pub mod stated_rate;
pub mod statement;
mod statements;
pub mod stopping;
pub mod table;
pub mod undecided;
mod upstreams;
pub mod verdict;
pub mod warmup;

use std::path::Path;

pub use headers::HeaderNames;
pub use settings::GatewaySettings;

use grebepin_directory::SettingsError;

/// Why the process terminates with an error.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The settings file can't be read or holds an invalid value.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A socket can't be opened, or polling failed.
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

/// Runs a gateway until it receives SIGTERM and has finished its requests.
///
/// # Errors
/// The settings are invalid, the metrics can't be registered, or a socket can't be opened or polled.
pub fn run(settings: &Path, headers: HeaderNames) -> Result<(), GatewayError> {
    event_loop::EventLoop::start(settings, headers)?.run()
}
