//! The router daemon.
