//! Time limits of the promises, and the tolerated error of recorded times.

/// Limits that the checkers apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckLimits {
    /// Time after which a leaving back end receives no new work, in microseconds.
    pub leaving_us: u64,
    /// Time within which an accepted bundle is in force at every router, in microseconds.
    pub in_force_us: u64,
    /// Number of control replicas. [`CheckLimits::in_force_us`] applies only while a majority of them
    /// is neither killed, frozen nor cut off.
    pub control_replicas: usize,
    /// Prefix that identifies control replicas by their process name in records of faults.
    pub control_prefix: String,
    /// Tolerated difference between the recorded times of two processes, in microseconds; 0 on a
    /// virtual clock.
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
    /// Limits for histories recorded by several processes on one machine, whose times may differ.
    pub fn for_processes() -> Self {
        Self {
            clock_tolerance_us: 2_000,
            ..Self::default()
        }
    }
}
