//! Fleet runner, demonstration and experiments.
