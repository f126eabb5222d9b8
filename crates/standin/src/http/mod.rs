//! An HTTP/1.1 server with one thread for each connection.
//!
//! `rouille` is not used for the stand-in back end: it bounds neither connections nor the time of
//! a silent peer, and it can't hold back reads and writes to act as a frozen process.
//!
//! Invariant: no more connections are open than the bound allows; one over it is closed at once.

mod message;
mod server;

pub use message::{Answer, MessageError, Question};
pub use server::{HttpServer, ServerHooks, ServerOptions};
