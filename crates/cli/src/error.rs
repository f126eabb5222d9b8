//! Failures of commands, and their exit codes.

use std::path::PathBuf;

use grebepin_admin_client::ClientError;
use grebepin_bundle::KeyError;
use grebepin_schema::ApiErrorKind;
use grebepin_settings::SettingsError;
use serde::Serialize;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A check found something wrong; the findings were printed.
    #[error("{errors} error(s) found; mend them and check again")]
    Findings {
        /// Count of errors.
        errors: usize,
    },
    /// A history breaks promises; the violations were printed.
    #[error("{violations} broken promise(s); the records that show them are named above")]
    BrokenPromises {
        /// Count of violations.
        violations: usize,
    },
    /// An argument has a wrong form.
    #[error("{argument} {value:?}: {reason}")]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// Value given.
        value: String,
        /// What is wrong.
        reason: String,
    },
    /// Settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The control group gave no good answer.
    #[error("{error}{}", next_step(error))]
    Client {
        /// What went wrong.
        error: ClientError,
    },
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file would be overwritten.
    #[error("{} exists and is never overwritten; name another file", path.display())]
    Exists {
        /// The file.
        path: PathBuf,
    },
    /// A file is over its limit.
    #[error("{}: over the limit of {maximum} bytes", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Limit in bytes.
        maximum: u64,
    },
    /// A file is no bundle.
    #[error("{}: not a bundle: {source}", path.display())]
    NotABundle {
        /// The file.
        path: PathBuf,
        /// Where it goes wrong.
        source: serde_json::Error,
    },
    /// A file holds no signing key.
    #[error("{}: {source}; `grebepin key new` makes one", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: KeyError,
    },
    /// A history can't be read.
    #[error("{}: {source}", path.display())]
    History {
        /// The file.
        path: PathBuf,
        /// Where it goes wrong.
        source: grebepin_check::ReadError,
    },
    /// A data folder can't be replayed.
    #[error("{}: {reason}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What is wrong, and what to do.
        reason: String,
    },
    /// No bundle is in force yet.
    #[error("no bundle is in force yet; write the first one, sign it, and roll it")]
    NoBundle,
    /// A result can't be written as JSON.
    #[error("result does not encode: {0}")]
    Encode(#[from] serde_json::Error),
    /// Standard output is closed.
    #[error("result can't be printed: {0}")]
    Print(std::io::Error),
}

const FOUND: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const NO_LEADER: u8 = 4;
const OUTCOME_UNKNOWN: u8 = 5;
const FILE: u8 = 6;

impl CliError {
    /// Exit code of the process, as `grebepin --help` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings { .. } | Self::BrokenPromises { .. } => FOUND,
            Self::Argument { .. } | Self::Settings(_) => USAGE,
            Self::Client { error } => client_exit_code(error),
            Self::NoBundle => REFUSED,
            _ => FILE,
        }
    }

    /// Name of the failure, for programs.
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

fn next_step(error: &ClientError) -> &'static str {
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

/// Prints a failure to standard error.
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
