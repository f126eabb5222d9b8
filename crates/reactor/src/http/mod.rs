//! Parsers of HTTP/1.1 messages, which return complete messages only.
//!
//! Invariants: a message whose length is stated twice, or in a way that two parsers could read differently,
//! is rejected. A response that is delimited by the end of its connection is complete only after an orderly
//! close.

mod body;
mod fields;
mod message_body;
mod request;
mod response;

pub use body::{BodyError, BodyReader, Framing};
pub use fields::{is_connection_field, Fields};
pub use message_body::Body;
pub use request::{BadRequest, Request, RequestLimits, RequestReader};
pub use response::{BadResponse, Response, ResponseReader, MAX_RESPONSE_HEAD_BYTES};
