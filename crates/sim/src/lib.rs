//! Deterministic simulator on a virtual clock.
