//! Command line flags of the simulated back end.

use std::net::SocketAddr;
use std::path::PathBuf;

use grebepin_schema::ServerName;

/// Distribution of service times around their mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ServiceDistribution {
    /// Always the mean.
    Fixed,
    /// Uniform between 0.5 and 1.5 times the mean.
    Uniform,
    /// Exponential with the given mean.
    Exponential,
}

/// False state that the load and health answers report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FalseReport {
    /// Reports the real state.
    None,
    /// Reports no load and good health.
    Idle,
    /// Reports that all slots are taken and many requests wait, and good health.
    Busy,
    /// Reports failing health and the load of `busy`.
    Failing,
}

/// Flags of the simulated back end.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Name of the server in the bundle.
    #[arg(long)]
    pub name: ServerName,
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// History file, to which a JSON line is appended for each effect and change of held shards.
    #[arg(long)]
    pub history: Option<PathBuf>,
    /// Maximum number of requests that run at the same time.
    #[arg(long, default_value_t = 2)]
    pub slots: usize,
    /// Maximum number of requests that wait for a slot. Further requests are shed.
    #[arg(long, default_value_t = 20)]
    pub waiting: usize,
    /// Maximum number of open connections. Further connections are closed.
    #[arg(long, default_value_t = 100)]
    pub connections: usize,
    /// Mean service time of a request, in ms.
    #[arg(long, default_value_t = 2.0)]
    pub service_ms: f64,
    /// Distribution of the service times.
    #[arg(long, value_enum, default_value_t = ServiceDistribution::Fixed)]
    pub service_distribution: ServiceDistribution,
    /// Seed of the service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Duration of the cold phase after the start, in ms.
    #[arg(long, default_value_t = 0)]
    pub cold_ms: u64,
    /// Factor on the service time at the start of the cold phase; falls linearly to 1 at its end.
    #[arg(long, default_value_t = 4.0)]
    pub cold_factor: f64,
    /// Simulated one-way network delay, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub delay_ms: f64,
    /// Delay of accepting a connection, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub connect_ms: f64,
    /// Delay of health and load answers, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub probe_ms: f64,
    /// False state that the load and health answers report.
    #[arg(long, value_enum, default_value_t = FalseReport::None)]
    pub lie: FalseReport,
    /// Age of the state that load answers report, in ms.
    #[arg(long, default_value_t = 0)]
    pub report_lag_ms: u64,
    /// Minimum size of an answer's body in bytes.
    #[arg(long, default_value_t = 0)]
    pub answer_bytes: usize,
    /// Time limit of a planned stop, in ms. Requests that still run then are cut.
    #[arg(long, default_value_t = 15_000)]
    pub stop_ms: u64,
}
