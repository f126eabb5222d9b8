//! An HTTP/1.1 server with one thread for each connection, bounded in connections, bytes and time.
//!
//! The library `rouille` bounds neither connections nor the time of a silent peer, and connections
//! queue behind silent ones. Heads are parsed by the library `httparse`.
//!
//! Invariant: a silent or slow peer holds one thread for a bounded time, and no other peer waits for it.

mod answer;
mod connection;
mod options;
mod question;
mod server;

pub use answer::Answer;
pub use connection::serve;
pub use options::ServerOptions;
pub use question::{MessageError, Question};
pub use server::{HttpServer, ServerHooks};
