//! Load that this gateway observed since its last report to the directory.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_grants::{LoadSample, LoadSum};

/// Counts for the next report.
#[derive(Debug, Default)]
pub struct LoadCounts {
    sum: LoadSum,
    is_overloaded: bool,
}

impl LoadCounts {
    /// Counts a request for a shard.
    pub fn note_request(&mut self, service: &str, shard: usize) {
        self.sum.add_request(service, shard as u16);
    }

    /// Counts a response of a server, or a request to it that was given up, and the time that it took.
    pub fn note_answer(&mut self, server: &InstanceId, took: Duration) {
        self.sum.add_answers(server, 1, took.as_secs_f32());
    }

    /// Records the rate limit that a server states, in requests a second from all gateways together.
    pub fn note_stated_rate(&mut self, server: &InstanceId, per_second: f64) {
        self.sum.add_stated_rate(server, per_second as f32);
    }

    /// Records that the owner of a shard asked for a cooldown of `time`. This counts as an overload.
    pub fn note_cooldown(&mut self, server: &InstanceId, time: Duration) {
        self.sum.add_cooldown(server, time.as_secs_f32());
        self.is_overloaded = true;
    }

    /// Records that a server states that it is about to stop.
    pub fn note_leaving(&mut self, server: &InstanceId) {
        self.sum.add_leaving(server);
    }

    /// Records that an owner of shards can't take a request now, or another reason to send the next report
    /// early.
    pub fn note_overload(&mut self) {
        self.is_overloaded = true;
    }

    /// Whether an overload was recorded since the last report, so that the next report should be sent early.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self) -> LoadSample {
        self.is_overloaded = false;
        self.sum.take()
    }
}
