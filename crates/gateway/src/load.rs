//! What this gateway saw of load since it last told the directory.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_grants::{LoadSample, LoadSum};

/// Counts until they are told.
#[derive(Debug, Default)]
pub struct LoadCounts {
    sum: LoadSum,
    is_overloaded: bool,
}

impl LoadCounts {
    /// A request for a shard came.
    pub fn note_request(&mut self, service: &str, shard: usize) {
        self.sum.add_request(service, shard as u16);
    }

    /// A server was done with a request, or was given up on, after a time.
    pub fn note_answer(&mut self, server: &InstanceId, took: Duration) {
        self.sum.add_answers(server, 1, took.as_secs_f32());
    }

    /// A server states how many requests a second it takes.
    pub fn note_stated_rate(&mut self, server: &InstanceId, per_second: f64) {
        self.sum.add_stated_rate(server, per_second as f32);
    }

    /// The owner of a key takes no requests for a time.
    pub fn note_cooldown(&mut self, server: &InstanceId, time: Duration) {
        self.sum.add_cooldown(server, time.as_secs_f32());
        self.is_overloaded = true;
    }

    /// A server says that it leaves.
    pub fn note_leaving(&mut self, server: &InstanceId) {
        self.sum.add_leaving(server);
    }

    /// A request found no room at its shard's owner.
    pub fn note_overload(&mut self) {
        self.is_overloaded = true;
    }

    /// Whether some owner had no room: the directory should learn of it soon.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Takes the counts; they begin anew.
    pub fn take(&mut self) -> LoadSample {
        self.is_overloaded = false;
        self.sum.take()
    }
}
