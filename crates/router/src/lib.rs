//! Router daemon: threads, sockets and clocks for the decisions of `grebepin-traffic`.
//!
//! One control thread follows the routing table; request threads read an immutable view of it.
//!
//! Invariant: a caller receives the complete answer to its own request, or a typed answer from the
//! router that reports `not-run` only with proof.

pub mod admin;
pub mod answer;
pub mod back_end;
pub mod callers;
pub mod clock;
pub mod daemon;
pub mod error;
pub mod follow;
pub mod forward;
pub mod handle;
pub mod http;
pub mod load;
pub mod lookup;
pub mod pool;
pub mod report;
pub mod request;
pub mod shared;
pub mod upstream;
pub mod view;

pub use daemon::{run, Router};
pub use error::RouterError;
