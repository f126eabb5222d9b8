//! What a process used, as the system tells it.

use std::time::Duration;

/// Clock ticks a second of `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KILOBYTE: u64 = 1024;
/// Positions, after the process's name, of user and system time in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub processor_time: Duration,
    /// Memory resident now, in bytes.
    pub resident_bytes: u64,
    /// Most memory resident so far, in bytes.
    pub most_resident_bytes: u64,
}

/// Reads what a process used so far; `None` when it is gone or the system does not tell.
pub fn usage_of(process: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    let total = ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    Some(ProcessUsage {
        processor_time: Duration::from_secs_f64(total / TICKS_PER_SECOND),
        resident_bytes: kilobytes(&status, "VmRSS:")? * BYTES_PER_KILOBYTE,
        most_resident_bytes: kilobytes(&status, "VmHWM:")? * BYTES_PER_KILOBYTE,
    })
}

fn kilobytes(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
