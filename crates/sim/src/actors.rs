//! State machines of the simulated processes and actors; they use neither clocks nor the network directly.

pub mod callers;
pub mod operators;
pub mod router;
pub mod router_flows;
pub mod router_link;
pub mod server;
