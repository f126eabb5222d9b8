//! What gateways learn from the replicas while there is no leader.

use grebepin_directory::link::SourceStatus;

use super::{held_version, Cluster};

impl Cluster {
    /// Status messages of the running replicas, as far as a gateway's first state depends on them, with the
    /// replicas' addresses.
    pub fn statuses(&self) -> Vec<(String, SourceStatus)> {
        let running = self.replicas.iter().filter_map(|replica| {
            let node = replica.node.as_ref()?;
            let status = SourceStatus {
                applied: node.applied(),
                replicas: node.replicas(),
                is_fed: node.is_fed(self.now),
                votes: node.votes(),
                open_entries: node.open_entries(node.is_fed(self.now)),
                ..SourceStatus::default()
            };
            Some((replica.address.to_string(), status))
        });
        running.collect()
    }

    /// Highest version in the state of any replica that has applied a log index.
    pub fn version_at(&self, applied: u64) -> Option<u64> {
        let nodes = self.replicas.iter().filter_map(|one| one.node.as_ref());
        nodes
            .filter(|node| node.applied() == applied)
            .map(held_version)
            .max()
    }
}
