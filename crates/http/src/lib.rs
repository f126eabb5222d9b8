//! HTTP/1.1 server with one thread per connection and limits on connections, message sizes and times.
//!
//! The library `rouille` limits neither the number of connections nor the time of a silent peer, and further
//! connections queue behind silent ones. Heads of requests are parsed by the library `httparse`.
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
