//! The processes and actors of a run, each without clock or network of its own.

pub mod callers;
pub mod operators;
pub mod router;
pub mod router_flows;
pub mod router_link;
pub mod server;
