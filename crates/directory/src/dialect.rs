//! The HTTP interface between the directory and its operators and servers. Each deployment implements it.

use crate::call::{Call, Reply};

/// An HTTP call as received.
#[derive(Clone, Copy, Debug)]
pub struct HttpCall<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

/// Response to an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
}

/// Why a call cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// Method and path match no known call.
    #[error("unknown call")]
    Unknown,
    /// The body is longer than the limit.
    #[error("body is over the limit")]
    TooLarge,
    /// The body does not have the format of the call, or violates one of its rules.
    #[error("{0}")]
    Malformed(String),
}

impl BadCall {
    /// Value of the cause label in metrics and log lines.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown call",
            Self::TooLarge => "too large",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// Translates between HTTP calls and [`Call`]s. It makes no decisions.
pub trait Dialect {
    /// Parses a call.
    ///
    /// # Errors
    /// The call is unknown or its body is malformed.
    fn parse(&self, call: HttpCall<'_>) -> Result<Call, BadCall>;

    /// Renders the outcome of a call.
    fn render(&self, reply: &Reply) -> HttpReply;

    /// Renders the response to a call that cannot be parsed.
    fn render_bad_call(&self, error: &BadCall) -> HttpReply;

    /// Content type of all response bodies.
    fn content_type(&self) -> &'static str;
}
