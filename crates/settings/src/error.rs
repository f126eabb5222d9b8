//! What is wrong with a settings file.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit code of a daemon whose settings are refused.
pub const SETTINGS_EXIT_CODE: i32 = 2;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {} can't be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is no TOML, or a field is unknown, missing or of the wrong type.
    #[error("settings file {}{}: {message}", path.display(), describe_field(field))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Path of the field, where one is known.
        field: Option<String>,
        /// What is wrong there, with the line.
        message: String,
    },
    /// Fields have values that don't work.
    #[error("settings file {}:{}", path.display(), describe_problems(problems))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Each field that is wrong.
        problems: Vec<Problem>,
    },
}

/// One field with a value that doesn't work.
#[derive(Debug)]
pub struct Problem {
    /// Path of the field, such as `timing.election_timeout_ms`.
    pub field: String,
    /// What is wrong with its value.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.kind)
    }
}

/// What is wrong with a field's value.
#[derive(Debug, thiserror::Error)]
pub enum ProblemKind {
    /// The value is outside its limits.
    #[error("{value} is outside {minimum} to {maximum}")]
    OutOfRange {
        /// Value found.
        value: u64,
        /// Least value allowed.
        minimum: u64,
        /// Greatest value allowed.
        maximum: u64,
    },
    /// The text is no IP number with a port.
    #[error("{value} is not an IP number and port")]
    NotAnAddress {
        /// Text found.
        value: String,
    },
    /// Other processes can't reach the address, though they are told to.
    #[error("{address} can't be reached by others; name this machine's IP number and a port")]
    Unreachable {
        /// Address found.
        address: SocketAddr,
    },
    /// The value stands twice.
    #[error("{value} stands twice")]
    Duplicate {
        /// Value found.
        value: String,
    },
    /// The list or text is empty.
    #[error("may not be empty")]
    Empty,
    /// The public key is no point of the curve.
    #[error("is not an ed25519 public key; `grebepin key public` prints one")]
    InvalidPublicKey,
    /// More sign-offs are required than there are operators.
    #[error("{required} sign-offs can't be had from {operators} operators")]
    TooFewOperators {
        /// Sign-offs required.
        required: u32,
        /// Operators trusted.
        operators: usize,
    },
    /// The value is too small next to another field.
    #[error("{value} must be at least {factor} times {other} ({other_value})")]
    TooSmallFor {
        /// Value found.
        value: u64,
        /// How many times greater it must be.
        factor: u64,
        /// The other field.
        other: &'static str,
        /// Its value.
        other_value: u64,
    },
    /// The address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    PortUnavailable {
        /// Address found.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The folder can't be made, written or synced.
    #[error("folder {} can't be written: {source}", path.display())]
    FolderUnwritable {
        /// The folder.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
}

fn describe_field(field: &Option<String>) -> String {
    field
        .as_ref()
        .map_or(String::new(), |field| format!(", field {field}"))
}

fn describe_problems(problems: &[Problem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
