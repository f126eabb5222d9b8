//! What this gateway saw of load since it last told the directory.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_grants::{LoadSample, ServerSample};

/// Counts until they are told.
#[derive(Debug, Default)]
pub struct LoadCounts {
    shards: BTreeMap<String, BTreeMap<u16, u16>>,
    servers: BTreeMap<InstanceId, (u32, Duration)>,
    is_crowded: bool,
}

impl LoadCounts {
    /// A request for a shard came.
    pub fn note_request(&mut self, service: &str, shard: usize) {
        if !self.shards.contains_key(service) {
            self.shards.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(counts) = self.shards.get_mut(service) {
            let count = counts.entry(shard as u16).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// A server was done with a request, or was given up on, after a time.
    pub fn note_answer(&mut self, server: &InstanceId, took: Duration) {
        let (answers, seconds) = self.servers.entry(server.clone()).or_default();
        *answers += 1;
        *seconds += took;
    }

    /// A request found no room at its shard's owner.
    pub fn note_crowd(&mut self) {
        self.is_crowded = true;
    }

    /// Whether some owner had no room: the directory should learn of it soon.
    pub fn is_crowded(&self) -> bool {
        self.is_crowded
    }

    /// Takes the counts; they begin anew.
    pub fn take(&mut self) -> LoadSample {
        let taken = std::mem::take(self);
        let shards = taken.shards.into_iter();
        let servers = taken.servers.into_iter();
        LoadSample {
            shards: shards
                .map(|(service, counts)| (service, counts.into_iter().collect()))
                .collect(),
            servers: servers
                .map(|(id, (answers, took))| ServerSample {
                    id,
                    answers,
                    seconds: took.as_secs_f32(),
                })
                .collect(),
        }
    }
}
