//! A simulated group of replicas on a virtual clock, with fault injection and invariant checks.
#![allow(dead_code)]

pub mod checks;
pub mod cluster;
pub mod members;
pub mod network;
pub mod operations;
pub mod replica;
