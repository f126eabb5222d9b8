//! The keys that one upstream holds, by the users' page on keys.

use std::time::{Duration, Instant};

use crate::json::Json;

pub const KEYS: usize = 65_536;

/// What an upstream knows of one key.
#[derive(Clone, Copy, Default)]
struct Key {
    /// Fence under which it holds the key or is still at work on it; 0 for none.
    fence: u64,
    /// Whether the last answer omitted the key, which is released once no work on it runs.
    leaves: bool,
    /// Requests at work.
    running: u32,
    /// Highest fence seen.
    seen: u64,
    /// Whether it was released since the last acknowledged beat.
    freed: bool,
}

pub struct Keys {
    keys: Vec<Key>,
    lease_end: Option<Instant>,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            keys: vec![Key::default(); KEYS],
            lease_end: None,
        }
    }
}

impl Keys {
    /// Drops every key once the lease has ended. An ended lease is not told as a release.
    pub fn expire(&mut self, now: Instant) {
        if self.lease_end.is_some_and(|end| now >= end) {
            self.lease_end = None;
            for key in &mut self.keys {
                key.fence = 0;
                key.leaves = false;
            }
        }
    }

    pub fn lease_end(&self) -> Option<Instant> {
        self.lease_end
    }

    /// Fence of a held key; `None` for a key that is not held.
    pub fn fence(&self, key: usize) -> Option<u64> {
        let key = self.keys[key];
        (key.fence > 0).then_some(key.fence)
    }

    /// Whether a request on a key may begin.
    pub fn may_begin(&self, key: usize) -> bool {
        self.keys[key].fence > 0 && !self.keys[key].leaves
    }

    pub fn begin(&mut self, key: usize) {
        self.keys[key].running += 1;
    }

    pub fn end(&mut self, key: usize) {
        let key = &mut self.keys[key];
        key.running = key.running.saturating_sub(1);
        if key.running == 0 && key.leaves {
            release(key);
        }
    }

    pub fn count(&self) -> usize {
        self.keys.iter().filter(|key| key.fence > 0).count()
    }

    /// Whether the release of keys that an answer omitted is not complete.
    pub fn is_releasing(&self) -> bool {
        self.keys.iter().any(|key| key.leaves || key.freed)
    }

    /// Rows `[from,to,fence]` for a beat.
    pub fn holds(&self) -> String {
        let rows = runs(&self.keys, |key| key.fence);
        let rows: Vec<String> = rows
            .iter()
            .map(|(from, to, fence)| format!("[{from},{to},{fence}]"))
            .collect();
        rows.join(",")
    }

    /// Rows `[from,to,handover]` for a beat.
    pub fn freed(&self) -> String {
        let rows = runs(&self.keys, |key| u64::from(key.freed));
        let rows: Vec<String> = rows
            .iter()
            .map(|(from, to, _)| format!("[{from},{to},\"5c0e7a21d94b36f8\"]"))
            .collect();
        rows.join(",")
    }

    /// Takes an acknowledged answer to a beat that was sent at `sent`.
    pub fn take(&mut self, sent: Instant, answer: &Json) {
        for key in &mut self.keys {
            key.freed = false;
        }
        let rows = answer.get("holds");
        let lease = answer.get("hold_s").and_then(Json::number);
        let (Some(rows), Some(lease)) = (rows, lease) else {
            return;
        };
        self.lease_end = Some(sent + Duration::from_secs_f64(lease));
        let mut listed = vec![0_u64; KEYS];
        for row in rows.list() {
            let number = |at: usize| row.list().get(at).and_then(Json::number);
            let (Some(from), Some(to), Some(fence)) = (number(0), number(1), number(2)) else {
                continue;
            };
            let range = from as usize..(to as usize + 1).min(KEYS);
            let fence = fence as u64;
            if self.keys[range.clone()].iter().any(|key| key.seen > fence) {
                continue;
            }
            listed[range].fill(fence);
        }
        for (key, fence) in self.keys.iter_mut().zip(listed) {
            if fence > 0 {
                key.fence = fence;
                key.seen = fence;
                key.leaves = false;
            } else if key.fence > 0 {
                key.leaves = true;
                if key.running == 0 {
                    release(key);
                }
            }
        }
    }
}

fn release(key: &mut Key) {
    key.fence = 0;
    key.leaves = false;
    key.freed = true;
}

/// Runs of keys with the same value other than 0.
fn runs(keys: &[Key], value: impl Fn(&Key) -> u64) -> Vec<(usize, usize, u64)> {
    let mut runs: Vec<(usize, usize, u64)> = Vec::new();
    for (number, key) in keys.iter().enumerate() {
        let value = value(key);
        match runs.last_mut() {
            _ if value == 0 => {}
            Some((_, to, same)) if *to + 1 == number && *same == value => *to = number,
            _ => runs.push((number, number, value)),
        }
    }
    runs
}
