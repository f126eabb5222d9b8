//! The router daemon.

pub mod thin;
