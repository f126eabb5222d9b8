//! How operators and servers speak to the directory: the port that a deployment's adapter fills.

use crate::call::{Call, Reply};

/// One HTTP call as it came in.
#[derive(Clone, Copy, Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Answer to an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a call can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// No such call is known.
    #[error("unknown call")]
    Unknown,
    /// The body does not read as the call's, or breaks one of its rules.
    #[error("{0}")]
    Malformed(String),
}

impl BadCall {
    /// Short name of the cause, for metrics and logs.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown call",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// Names and bodies of the interface. It translates and decides nothing.
pub trait Dialect {
    /// Reads a call.
    ///
    /// # Errors
    /// It is none that is known, or its body is malformed.
    fn parse(&self, call: HttpCall<'_>) -> Result<Call, BadCall>;

    /// Writes the outcome of a call.
    fn render(&self, reply: &Reply) -> HttpReply;

    /// Writes the refusal of a call that can't be read.
    fn render_bad_call(&self, error: &BadCall) -> HttpReply;

    /// Content type of the bodies.
    fn content_type(&self) -> &'static str;
}
