//! Durable log, snapshots and identity of a control replica.
