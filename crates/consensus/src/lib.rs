//! Replicated-log consensus as a pure state machine.
