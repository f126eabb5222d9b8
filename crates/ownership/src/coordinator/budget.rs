//! Budget of planned moves per minute.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the sliding window over which moves are counted.
const WINDOW: Duration = Duration::from_secs(60);

/// Moves started within the last minute.
///
/// Invariant: in any minute after `since` at most the allowed number of moves start. During the first
/// minute the allowance grows linearly, since the moves of an earlier leader are not known.
#[derive(Debug)]
pub(super) struct ChurnBudget {
    since: Duration,
    started: VecDeque<(Duration, u32)>,
    in_window: u32,
}

impl ChurnBudget {
    pub fn new(since: Duration) -> Self {
        Self {
            since,
            started: VecDeque::new(),
            in_window: 0,
        }
    }

    /// Number of moves that may start now.
    pub fn available(&mut self, now: Duration, moves_per_minute: u32) -> u32 {
        while let Some(&(at, count)) = self.started.front() {
            if at + WINDOW > now {
                break;
            }
            self.started.pop_front();
            self.in_window -= count;
        }
        let elapsed = now.saturating_sub(self.since).min(WINDOW);
        let share = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        let allowed = (f64::from(moves_per_minute) * share) as u32;
        allowed.saturating_sub(self.in_window)
    }

    pub fn spend(&mut self, now: Duration, count: u32) {
        if count == 0 {
            return;
        }
        self.started.push_back((now, count));
        self.in_window += count;
    }
}
