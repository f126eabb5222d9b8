//! Errors of settings files.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit code of a daemon whose settings can't be read or are invalid.
pub const SETTINGS_EXIT_CODE: i32 = 2;

/// A settings file is invalid or can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file {} can't be read: {source}", path.display())]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is too large or is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[error("settings file {}{}: {message}", path.display(), describe_field(field))]
    Malformed {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the field, if it is known.
        field: Option<String>,
        /// Description of the error, with the line number if it is known.
        message: String,
    },
    /// Fields have invalid values.
    #[error("settings file {}:{}", path.display(), describe_problems(problems))]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// All invalid fields.
        problems: Vec<Problem>,
    },
}

/// One field with an invalid value.
#[derive(Debug)]
pub struct Problem {
    /// Path of the field, such as `timing.election_timeout_ms`.
    pub field: String,
    /// Reason why its value is invalid.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.kind)
    }
}

/// Reason why the value of a field is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ProblemKind {
    /// The value is outside its limits.
    #[error("{value} is outside {minimum} to {maximum}")]
    OutOfRange {
        /// Value in the file.
        value: u64,
        /// Minimum value allowed.
        minimum: u64,
        /// Maximum value allowed.
        maximum: u64,
    },
    /// The text is not an IP address with a port.
    #[error("{value} is not an IP address and port")]
    NotAnAddress {
        /// Text in the file.
        value: String,
    },
    /// Other processes need the address but can't reach it: it is unspecified or multicast, or its port is 0.
    #[error("{address} can't be reached by other processes; use an IP address of this machine and a port")]
    Unreachable {
        /// Address in the file.
        address: SocketAddr,
    },
    /// The value occurs more than once.
    #[error("{value} stands twice")]
    Duplicate {
        /// Value in the file.
        value: String,
    },
    /// The list or text is empty.
    #[error("may not be empty")]
    Empty,
    /// The text is not a public key: it does not decode to a point of the curve, or the point is weak.
    #[error("is not an ed25519 public key; `grebepin key public` prints one")]
    InvalidPublicKey,
    /// The number of required sign-offs exceeds the number of operators.
    #[error("{required} sign-offs can't be had from {operators} operators")]
    TooFewOperators {
        /// Number of sign-offs required.
        required: u32,
        /// Number of trusted operators.
        operators: usize,
    },
    /// The value is too small in relation to another field.
    #[error("{value} must be at least {factor} times {other} ({other_value})")]
    TooSmallFor {
        /// Value in the file.
        value: u64,
        /// Minimum ratio of the value to the other one.
        factor: u64,
        /// Name of the other field.
        other: &'static str,
        /// Value of the other field.
        other_value: u64,
    },
    /// The address can't be bound.
    #[error("can't listen on {address}: {source}")]
    PortUnavailable {
        /// Address in the file.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The folder can't be created, written to or synced.
    #[error("folder {} can't be written: {source}", path.display())]
    FolderUnwritable {
        /// Path of the folder.
        path: PathBuf,
        /// Error of the operating system.
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
