//! Flags of a stand-in back end.

use std::net::SocketAddr;
use std::path::PathBuf;

use grebepin_schema::ServerName;

/// How service times spread around their mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ServiceDistribution {
    /// Always the mean.
    Fixed,
    /// Evenly between half the mean and one and a half times it.
    Uniform,
    /// Exponential.
    Exponential,
}

/// What the load and health answers say in place of the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Lie {
    /// The truth.
    None,
    /// Nothing to do, healthy.
    Idle,
    /// Every slot taken, many waiting.
    Busy,
    /// Not able to serve.
    Failing,
}

/// Flags of a stand-in back end.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Name of the server, as in the bundle.
    #[arg(long)]
    pub name: ServerName,
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// File that receives a line of JSON for each effect and change of what is held.
    #[arg(long)]
    pub history: Option<PathBuf>,
    /// Requests run at once.
    #[arg(long, default_value_t = 2)]
    pub slots: usize,
    /// Requests that may wait for a slot; one more is shed.
    #[arg(long, default_value_t = 20)]
    pub waiting: usize,
    /// Connections open at once; one more is closed.
    #[arg(long, default_value_t = 100)]
    pub connections: usize,
    /// Mean time that one request takes, in ms.
    #[arg(long, default_value_t = 2.0)]
    pub service_ms: f64,
    /// How service times spread.
    #[arg(long, value_enum, default_value_t = ServiceDistribution::Fixed)]
    pub service_distribution: ServiceDistribution,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How long the server is cold after its start, in ms.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
    /// How many times longer a request takes at the start of the cold time; it falls evenly to 1.
    #[arg(long, default_value_t = 4.0)]
    pub cold_factor: f64,
    /// Network time of each direction, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub delay_ms: f64,
    /// Time that a new connection takes, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub connect_ms: f64,
    /// Time that a health or load answer takes, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub probe_ms: f64,
    /// What load and health answers say in place of the truth.
    #[arg(long, value_enum, default_value_t = Lie::None)]
    pub lie: Lie,
    /// Age of what load answers say, in ms.
    #[arg(long, default_value_t = 0)]
    pub report_lag_ms: u64,
    /// Size of an answer's body in bytes, at least.
    #[arg(long, default_value_t = 0)]
    pub answer_bytes: usize,
    /// Longest time of a planned stop, in ms; what still runs then is cut.
    #[arg(long, default_value_t = 15_000)]
    pub stop_ms: u64,
}
