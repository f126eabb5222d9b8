//! HTTP/1.1 on one connection, with a limit on every size and time.
//!
//! Heads are parsed with `httparse`; this module adds the connection limits that HTTP server libraries
//! do not enforce (see `docs/design/callers-http.md`).
//!
//! Invariant: no read or write takes longer than its [`TimeLimit`] or more memory than its limit.

pub mod connection;
pub mod head;

pub use connection::{HttpConnection, HttpError, TimeLimit};
pub use head::{BodyLength, Headers, RequestHead, ResponseHead};
