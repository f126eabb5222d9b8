//! Flags of stand-in callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use grebepin_schema::{ClassName, ServiceName};

/// How requests are spread over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Arrivals {
    /// At even distances.
    Uniform,
    /// As a Poisson process.
    Poisson,
}

/// What a caller does when the outcome of a request that may not be repeated is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum AfterUnknown {
    /// Sends it again as the next attempt.
    Resend,
    /// Asks for its outcome until that is settled, as often as attempts are left; sends it again
    /// only if the owner has not seen it.
    LookUp,
    /// Nothing.
    Stop,
}

/// Flags of stand-in callers.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Router to ask; give it again for more, which are asked in turn.
    #[arg(long = "router", required = true)]
    pub routers: Vec<SocketAddr>,
    /// Requests started in a second, over all classes.
    #[arg(long, default_value_t = 50.0)]
    pub rate: f64,
    /// How requests are spread over time.
    #[arg(long, value_enum, default_value_t = Arrivals::Poisson)]
    pub arrivals: Arrivals,
    /// Seconds to call; 0 for no end.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Seed of times, keys and classes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Count of keys.
    #[arg(long, default_value_t = 1000)]
    pub keys: usize,
    /// Exponent of the keys' Zipf distribution; 0 for even.
    #[arg(long, default_value_t = 0.0)]
    pub skew: f64,
    /// Class of requests as
    /// `service=S,class=C,path=/p,method=POST,weight=1,repeatable=false,deadline-ms=500`;
    /// give it again for more.
    #[arg(long = "class")]
    pub classes: Vec<ClassSpec>,
    /// Time that a caller waits beyond the deadline, in ms.
    #[arg(long, default_value_t = 250)]
    pub patience_ms: u64,
    /// Most attempts of one request.
    #[arg(long, default_value_t = 3)]
    pub attempts: u32,
    /// What to do when the outcome is not known.
    #[arg(long, value_enum, default_value_t = AfterUnknown::Resend)]
    pub after_unknown: AfterUnknown,
    /// Network time of each direction between callers and routers, in ms.
    #[arg(long, default_value_t = 0.0)]
    pub delay_ms: f64,
    /// Requests under way at once; more start late, which the summary counts.
    #[arg(long, default_value_t = 256)]
    pub threads: usize,
    /// File that receives a line of JSON for each attempt and answer.
    #[arg(long)]
    pub history: Option<PathBuf>,
    /// File for the summary; standard output without it.
    #[arg(long)]
    pub summary: Option<PathBuf>,
    /// Start of every request id; two callers at once need two.
    #[arg(long, default_value = "call")]
    pub id_prefix: String,
}

/// One class of requests that callers make.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Service asked.
    pub service: ServiceName,
    /// Name of the class, for the history and the summary.
    pub class: ClassName,
    /// Path behind the service's name.
    pub path: String,
    /// HTTP method: GET or POST.
    pub method: String,
    /// Share of the requests, relative to the other classes'.
    pub weight: f64,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Deadline in ms.
    pub deadline_ms: u64,
}

/// Why a class can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClassSpecError {
    /// A part has no `=`.
    #[error("'{0}' is not NAME=VALUE")]
    NotAPair(String),
    /// No such part.
    #[error("there is no '{0}' in a class")]
    UnknownPart(String),
    /// The part's value doesn't parse.
    #[error("the value of '{0}' does not parse")]
    Invalid(&'static str),
    /// A part that must be there isn't.
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
                "method" => method = method_of(value)?,
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

fn method_of(value: &str) -> Result<String, ClassSpecError> {
    match value {
        "GET" | "POST" => Ok(value.to_owned()),
        _ => Err(ClassSpecError::Invalid("method")),
    }
}
