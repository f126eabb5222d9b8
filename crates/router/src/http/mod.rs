//! HTTP/1.1 on one connection, with a bound on every size and time.
//!
//! The parser is the library `httparse`; this adds what a library without connection limits leaves
//! out (see `docs/design/callers-http.md`).
//!
//! Invariant: no read or write waits longer than its [`TimeLimit`], and none takes more memory than
//! its stated bound.

pub mod connection;
pub mod head;

pub use connection::{HttpConnection, HttpError, TimeLimit};
pub use head::{BodyLength, Headers, RequestHead, ResponseHead};
