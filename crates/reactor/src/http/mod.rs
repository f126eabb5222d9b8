//! HTTP/1.1 messages, read whole.
//!
//! Invariants: a message whose length is stated twice, or in a way that two readers could take
//! differently, is refused; an answer that ends with its connection is whole only after an
//! orderly end.

mod body;
mod fields;
mod request;
mod response;

pub use body::{BodyError, BodyReader, Framing};
pub use fields::{is_connection_field, Fields};
pub use request::{BadRequest, Request, RequestLimits, RequestReader};
pub use response::{BadResponse, Response, ResponseReader};
