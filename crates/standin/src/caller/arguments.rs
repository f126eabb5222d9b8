//! Command line flags of the simulated callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use grebepin_schema::{ClassName, ServiceName};

/// How requests are spread over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Arrivals {
    /// Constant time between requests.
    Uniform,
    /// Poisson process: exponentially distributed time between requests.
    Poisson,
}

/// Reaction to an unknown outcome of a request that may not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum AfterUnknown {
    /// Sends the request again as the next attempt.
    Resend,
    /// Polls the outcome until it is settled, at most once for each remaining attempt. Sends the
    /// request again only if the owner has not seen it.
    LookUp,
    /// Gives the request up.
    Stop,
}

/// Flags of the simulated callers.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Router to call; may be repeated, then the routers are called in turn.
    #[arg(long = "router", required = true)]
    pub routers: Vec<SocketAddr>,
    /// Requests started per second, over all classes.
    #[arg(long, default_value_t = 50.0)]
    pub rate: f64,
    /// How requests are spread over time.
    #[arg(long, value_enum, default_value_t = Arrivals::Poisson)]
    pub arrivals: Arrivals,
    /// Duration of the run in seconds; 0 for no limit.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Seed of the random start times, keys and classes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of distinct keys.
    #[arg(long, default_value_t = 1000)]
    pub keys: usize,
    /// Exponent of the Zipf distribution of the keys; 0 for a uniform distribution.
    #[arg(long, default_value_t = 0.0)]
    pub skew: f64,
    /// Class of requests as
    /// `service=S,class=C,path=/p,method=POST,weight=1,repeatable=false,deadline-ms=500`;
    /// may be repeated.
    #[arg(long = "class")]
    pub classes: Vec<ClassSpec>,
    /// Time that a caller waits for an answer after the deadline, in ms.
    #[arg(long, default_value_t = 250)]
    pub patience_ms: u64,
    /// Maximum number of attempts of one request.
    #[arg(long, default_value_t = 3)]
    pub attempts: u32,
    /// Reaction to an unknown outcome of a request that may not be repeated.
    #[arg(long, value_enum, default_value_t = AfterUnknown::Resend)]
    pub after_unknown: AfterUnknown,
    /// Simulated one-way network delay between callers and routers, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub delay_ms: f64,
    /// Maximum number of concurrent requests. Further requests start late, which the summary counts.
    #[arg(long, default_value_t = 256)]
    pub threads: usize,
    /// History file, to which a JSON line is appended for each attempt and answer.
    #[arg(long)]
    pub history: Option<PathBuf>,
    /// File for the summary; standard output by default.
    #[arg(long)]
    pub summary: Option<PathBuf>,
    /// Prefix of every request id; must differ between processes that call at the same time.
    #[arg(long, default_value = "call")]
    pub id_prefix: String,
}

/// One class of requests that callers make.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Service that is called.
    pub service: ServiceName,
    /// Name of the class in the history and the summary.
    pub class: ClassName,
    /// Request path after the service name.
    pub path: String,
    /// HTTP method: GET or POST.
    pub method: String,
    /// Share of the requests, relative to the weights of the other classes.
    pub weight: f64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Deadline of each attempt, in ms.
    pub deadline_ms: u64,
}

/// Error of parsing a class.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassSpecError {
    /// A part is not of the form `NAME=VALUE`.
    #[error("'{0}' is not NAME=VALUE")]
    NotAPair(String),
    /// The name of a part is unknown.
    #[error("there is no '{0}' in a class")]
    UnknownPart(String),
    /// The value of a part is invalid.
    #[error("the value of '{0}' does not parse")]
    Invalid(&'static str),
    /// A required part is missing.
    #[error("'{0}' is missing")]
    Missing(&'static str),
}

impl FromStr for ClassSpec {
    type Err = ClassSpecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut service = None;
        let mut class = None;
        let mut path = "/".to_owned();
        let mut method = "POST".to_owned();
        let mut weight = 1.0;
        let mut repeatable = false;
        let mut deadline_ms = 500;
        for part in text.split(',') {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| ClassSpecError::NotAPair(part.to_owned()))?;
            match name {
                "service" => service = Some(parse(value, "service")?),
                "class" => class = Some(parse(value, "class")?),
                "path" => path = parse(value, "path")?,
                "method" => method = parse_method(value)?,
                "weight" => weight = parse(value, "weight")?,
                "repeatable" => repeatable = parse(value, "repeatable")?,
                "deadline-ms" => deadline_ms = parse(value, "deadline-ms")?,
                _ => return Err(ClassSpecError::UnknownPart(name.to_owned())),
            }
        }
        Ok(Self {
            service: service.ok_or(ClassSpecError::Missing("service"))?,
            class: class.ok_or(ClassSpecError::Missing("class"))?,
            path,
            method,
            weight,
            repeatable,
            deadline_ms,
        })
    }
}

fn parse<T: FromStr>(value: &str, name: &'static str) -> Result<T, ClassSpecError> {
    value.parse().map_err(|_| ClassSpecError::Invalid(name))
}

fn parse_method(value: &str) -> Result<String, ClassSpecError> {
    match value {
        "GET" | "POST" => Ok(value.to_owned()),
        _ => Err(ClassSpecError::Invalid("method")),
    }
}
