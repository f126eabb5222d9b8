//! Calls of operators and servers, and waiting for their effects.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId, Item, ItemChange};
use grebepin_directory::call::Call;
use grebepin_directory::node::CallId;

use rand::Rng;

use super::{limits, Cluster, Pending, STEP};

impl Cluster {
    /// Sends a change to a randomly chosen replica.
    pub fn change(&mut self, version: u64) {
        let to = self.random.random_range(0..self.replicas.len());
        let change = Call::ChangeItems(ItemChange {
            upserts: vec![limits(version)],
            removals: Vec::new(),
        });
        self.call(to, change, Pending::Change(version));
    }

    /// Sends a change whose document has this size to a replica; it begins with the version.
    pub fn change_of_bytes(&mut self, to: usize, version: u64, bytes: usize) {
        let number = version.to_string();
        let filler = "x".repeat(bytes.saturating_sub(number.len()));
        let change = Call::ChangeItems(ItemChange {
            upserts: vec![Item {
                document: number + &filler,
                ..limits(version)
            }],
            removals: Vec::new(),
        });
        self.call(to, change, Pending::Change(version));
    }

    /// Retries a change at randomly chosen replicas until it is acknowledged, as an operator does.
    pub fn change_until_acknowledged(&mut self, version: u64) {
        for _ in 0..40 {
            self.change(version);
            self.run(Duration::from_millis(300));
            if self.acknowledged.contains(&version) {
                return;
            }
        }
        panic!("version {version} was never acknowledged");
    }

    /// Retries a change without a pause, until the first moment at which it is acknowledged.
    pub fn change_as_early_as_possible(&mut self, version: u64) {
        for _ in 0..1_000 {
            self.change(version);
            self.run(STEP * 2);
            if self.acknowledged.contains(&version) {
                return;
            }
        }
        panic!("version {version} was never acknowledged");
    }

    /// Sends the start or end of an evacuation to a randomly chosen replica.
    pub fn evacuate(&mut self, zone: &str, evacuated: bool) -> CallId {
        let to = self.random.random_range(0..self.replicas.len());
        let call = Call::SetEvacuation {
            zone: zone.to_owned(),
            evacuated,
        };
        self.call(to, call, Pending::Evacuation)
    }

    /// Retries the start or end of an evacuation until it is acknowledged, as an operator does. Returns how
    /// long that took.
    pub fn evacuate_until_acknowledged(&mut self, zone: &str, evacuated: bool) -> Duration {
        let (before, began) = (self.evacuations_acknowledged, self.now);
        for _ in 0..100 {
            self.evacuate(zone, evacuated);
            self.run(Duration::from_millis(100));
            if self.evacuations_acknowledged > before {
                return self.now - began;
            }
        }
        panic!("the evacuation was never acknowledged");
    }

    /// Sends the start or end of an evacuation to randomly chosen replicas, each for up to a second, until it is
    /// acknowledged; returns whether it was within this number of tries. Calls that are given up go on waiting where they
    /// are.
    pub fn evacuate_with_patience(&mut self, zone: &str, evacuated: bool, tries: u32) -> bool {
        for _ in 0..tries {
            let before = self.evacuations_acknowledged;
            let call = self.evacuate(zone, evacuated);
            for _ in 0..20 {
                self.run(Duration::from_millis(50));
                if !self.calls.contains_key(&call) {
                    break;
                }
            }
            if self.evacuations_acknowledged > before && !self.calls.contains_key(&call) {
                return true;
            }
            self.calls.remove(&call);
        }
        false
    }

    /// Whether the zone is evacuated in the catalog of the leader, if there is one.
    pub fn evacuated_at_leader(&self, zone: &str) -> Option<bool> {
        self.leader().map(|_| self.is_evacuated(zone))
    }

    /// Whether the zone is evacuated in the leader's catalog.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let leader = self.leader().expect("a leader");
        let node = self.replicas[leader].node.as_ref().expect("runs");
        node.catalog().evacuated_zones().contains(zone)
    }

    /// Sends a server's call to the leader and gives the group time to commit the resulting entries.
    pub fn send_server_call(&mut self, call: Call) {
        let leader = self.leader().expect("a leader");
        self.call(leader, call, Pending::ServerCall);
        self.run(Duration::from_millis(300));
    }

    /// The leader's record of a server.
    pub fn instance(&self, id: &InstanceId) -> Option<Instance> {
        let leader = self.leader().expect("a leader");
        let node = self.replicas[leader].node.as_ref().expect("runs");
        node.catalog().instance(id).cloned()
    }

    /// Sends a read to every replica.
    pub fn read(&mut self) {
        for number in 0..self.replicas.len() {
            self.read_at(number);
        }
    }

    pub fn read_at(&mut self, number: usize) {
        let at_least = self.acknowledged.iter().copied().max().unwrap_or(0);
        self.call(number, Call::ReadItems, Pending::Read { at_least });
    }
}
