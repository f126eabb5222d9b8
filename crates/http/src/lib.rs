//! An HTTP/1.1 server with one thread for each connection, bounded in connections, bytes and time.
//!
//! The library `rouille` bounds neither connections nor the time of a silent peer, and connections
//! queue behind silent ones. Heads are parsed by the library `httparse`.
//!
//! Invariant: a silent or slow peer holds one thread for a bounded time, and no other peer waits for it.

mod connection;
mod options;
mod request;
mod response;
mod server;

pub use connection::serve;
pub use options::ServerOptions;
pub use request::{HttpRequest, MessageError};
pub use response::HttpResponse;
pub use server::{HttpServer, ServerHooks};
