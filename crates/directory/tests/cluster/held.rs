//! What replicas hold in memory and on disk.

use super::Cluster;

/// What a replica holds in memory for its log, and the size of its files, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    pub log: usize,
    pub recent_entries: usize,
    pub disk: u64,
}

impl Cluster {
    /// Numbers of the replicas that run.
    pub fn running(&self) -> Vec<usize> {
        let replicas = self.replicas.iter().enumerate();
        let running = replicas.filter(|(_, replica)| replica.node.is_some() && !replica.removed);
        running.map(|(number, _)| number).collect()
    }

    /// Highest log index that a replica has applied.
    pub fn applied(&self, number: usize) -> u64 {
        let node = self.replicas[number].node.as_ref();
        node.expect("runs").applied()
    }

    /// What a replica holds in memory for its log, and the size of its files.
    pub fn held(&self, number: usize) -> Held {
        let replica = &self.replicas[number];
        let bytes = replica.node.as_ref().expect("runs").held_bytes();
        Held {
            log: bytes.log,
            recent_entries: bytes.recent_entries,
            disk: replica.disk.used_bytes(),
        }
    }
}
