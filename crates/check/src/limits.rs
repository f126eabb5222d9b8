//! The bounds that the promises state in time, and what a recording may get wrong.

/// Bounds of the checkers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckLimits {
    /// After this time a leaving back end receives no new work, in microseconds.
    pub leaving_us: u64,
    /// After this time an accepted bundle is in force at every router, in microseconds.
    pub in_force_us: u64,
    /// Replicas of the control group; [`CheckLimits::in_force_us`] counts only while a majority of
    /// them is neither killed, frozen nor cut off.
    pub control_replicas: usize,
    /// Prefix of the names of control replicas in records of faults.
    pub control_prefix: String,
    /// Error of the recorded times between two processes, in microseconds: 0 on a virtual clock.
    pub clock_tolerance_us: u64,
}

impl Default for CheckLimits {
    fn default() -> Self {
        Self {
            leaving_us: 2_000_000,
            in_force_us: 4_000_000,
            control_replicas: 3,
            control_prefix: "control".to_string(),
            clock_tolerance_us: 0,
        }
    }
}

impl CheckLimits {
    /// Limits for records of several real processes on one machine.
    pub fn for_processes() -> Self {
        Self {
            clock_tolerance_us: 2_000,
            ..Self::default()
        }
    }
}
