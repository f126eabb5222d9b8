//! Replicated ownership state and leases: pure state machines.
