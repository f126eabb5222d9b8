//! Errors of commands, and their exit codes.

use std::path::PathBuf;

use grebepin_admin_client::ClientError;
use grebepin_bundle::KeyError;
use grebepin_schema::ApiErrorKind;
use grebepin_settings::SettingsError;
use serde::Serialize;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A check found errors. The findings were printed to standard output.
    #[error("{errors} error(s) found; correct them and check again")]
    Findings {
        /// Number of errors.
        errors: usize,
    },
    /// A history violates promises. The violations were printed to standard output.
    #[error("{violations} broken promise(s); the records that show them are named above")]
    BrokenPromises {
        /// Number of violations.
        violations: usize,
    },
    /// An argument is invalid.
    #[error("{argument} {value:?}: {reason}")]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// The invalid value.
        value: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// A settings file is invalid or could not be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A call to the control group failed.
    #[error("{error}{}", remedy(error))]
    Client {
        /// Cause.
        error: ClientError,
    },
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file to create exists already.
    #[error("{} exists and is never overwritten; name another file", path.display())]
    Exists {
        /// The file.
        path: PathBuf,
    },
    /// A file is larger than its limit.
    #[error("{}: over the limit of {maximum} bytes", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Limit in bytes.
        maximum: u64,
    },
    /// A file is not a bundle.
    #[error("{}: not a bundle: {source}", path.display())]
    NotABundle {
        /// The file.
        path: PathBuf,
        /// Cause, with the position in the file.
        source: serde_json::Error,
    },
    /// A file does not hold a signing key.
    #[error("{}: {source}; `grebepin key new` creates one", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: KeyError,
    },
    /// A history can't be read.
    #[error("{}: {source}", path.display())]
    History {
        /// The file.
        path: PathBuf,
        /// Cause, with the position in the file.
        source: grebepin_check::ReadError,
    },
    /// A data folder can't be replayed.
    #[error("{}: {reason}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Cause, and where it is known what to do about it.
        reason: String,
    },
    /// The control group has not accepted a bundle yet.
    #[error("no bundle is in force yet; write the first one, sign it, and roll it")]
    NoBundle,
    /// A result could not be serialized as JSON.
    #[error("result can't be serialized: {0}")]
    Encode(#[from] serde_json::Error),
    /// Standard output could not be written to.
    #[error("result can't be printed: {0}")]
    Print(std::io::Error),
}

const CHECK_FAILED: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const NO_LEADER: u8 = 4;
const OUTCOME_UNKNOWN: u8 = 5;
const FILE: u8 = 6;

impl CliError {
    /// Exit code of the process; `grebepin --help` lists the codes.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings { .. } | Self::BrokenPromises { .. } => CHECK_FAILED,
            Self::Argument { .. } | Self::Settings(_) => USAGE,
            Self::Client { error } => client_exit_code(error),
            Self::NoBundle => REFUSED,
            _ => FILE,
        }
    }

    /// Identifier of the failure for programs, the field `kind` of the JSON error.
    fn kind(&self) -> String {
        match self {
            Self::Findings { .. } => "findings".to_owned(),
            Self::BrokenPromises { .. } => "broken-promises".to_owned(),
            Self::Argument { .. } => "argument".to_owned(),
            Self::Settings(_) => "settings".to_owned(),
            Self::Client { error } => client_kind(error),
            Self::NoBundle => "no-bundle".to_owned(),
            Self::Encode(_) | Self::Print(_) => "output".to_owned(),
            _ => "file".to_owned(),
        }
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        Self::Client { error }
    }
}

fn client_exit_code(error: &ClientError) -> u8 {
    if matches!(error, ClientError::NoAddresses) {
        return USAGE;
    }
    if error.outcome_is_unknown() {
        return OUTCOME_UNKNOWN;
    }
    match error {
        ClientError::Refused { .. } => REFUSED,
        _ => NO_LEADER,
    }
}

fn client_kind(error: &ClientError) -> String {
    match error {
        ClientError::Refused { error, .. } => error.kind.to_string(),
        ClientError::NoAddresses => "no-addresses".to_owned(),
        ClientError::NoLeader { .. } => "no-leader".to_owned(),
        ClientError::Unreachable { .. } => "unreachable".to_owned(),
        ClientError::Malformed { .. } => "malformed-answer".to_owned(),
        ClientError::Encode(_) => "output".to_owned(),
    }
}

fn remedy(error: &ClientError) -> &'static str {
    let Some(kind) = error.kind() else {
        return match error {
            ClientError::NoLeader { .. } => {
                "\nask `grebepin status --replica IP:PORT` at each replica; a group without a \
                 majority elects nobody"
            }
            _ => "",
        };
    };
    match kind {
        ApiErrorKind::NotFounded => "\nfound the group with `grebepin found` first",
        ApiErrorKind::AlreadyFounded => "\nthis group exists; a replacement joins it by itself",
        ApiErrorKind::VersionConflict | ApiErrorKind::ParentMismatch => {
            "\nanother operator was first: `grebepin bundle next` starts from the accepted bundle"
        }
        ApiErrorKind::TooFewSignatures | ApiErrorKind::BadSignature => {
            "\nsign the bundle with `grebepin bundle sign` by trusted operators"
        }
        ApiErrorKind::InvalidBundle => "\n`grebepin bundle validate` lists every finding",
        ApiErrorKind::UnknownServer | ApiErrorKind::UnknownMember => {
            "\n`grebepin status` lists the names"
        }
        ApiErrorKind::MembershipBusy => "\nwait until `grebepin status` shows no learner",
        ApiErrorKind::LostLeadership => "\nsend the same command again",
        _ => "",
    }
}

#[derive(Serialize)]
struct ErrorReport {
    kind: String,
    message: String,
    exit_code: u8,
}

/// Prints an error to standard error, as one line of JSON or as text.
pub fn print_error(error: &CliError, json: bool) {
    let report = ErrorReport {
        kind: error.kind(),
        message: error.to_string(),
        exit_code: error.exit_code(),
    };
    match serde_json::to_string(&report) {
        Ok(text) if json => eprintln!("{text}"),
        _ => eprintln!("grebepin: {error}"),
    }
}
