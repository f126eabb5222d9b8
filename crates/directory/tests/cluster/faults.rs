//! Fault injection for a group of replicas.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_directory::call::Call;
use grebepin_storage::Crash;
use rand::Rng;

use super::{Cluster, Pending};

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillAll,
    PowerOffAll,
    WipeOneWhileOthersLosePower,
    WipeLeader,
    PartitionLeader,
    StallLeader,
    /// The leader's machine is suspended: nothing runs on it until it is resumed.
    SuspendLeader,
    /// Like `SuspendLeader`, but the machine's clock does not include the time of the suspension.
    SuspendLeaderAndClock,
    FillLeaderDisk,
    ReplaceOne,
    /// The leader and another voter lose their disks at once.
    WipeTwoVoters,
    /// Like `WipeTwoVoters`, while all other replicas lose power.
    WipeTwoVotersWhileOthersLosePower,
    /// All replicas of the leader's zone are lost permanently.
    LoseZoneOfLeader,
}

impl Cluster {
    pub fn inject(&mut self, fault: Fault) {
        let leader = self.leader().unwrap_or(0);
        match fault {
            Fault::KillAll => self.for_all(|cluster, number| cluster.kill(number, Crash::KeepAll)),
            Fault::PowerOffAll => {
                self.for_all(|cluster, number| cluster.kill(number, Crash::TearWrites));
            }
            Fault::WipeOneWhileOthersLosePower => {
                let wiped = self.random.random_range(0..self.replicas.len());
                self.for_all(|cluster, number| cluster.kill(number, Crash::LoseUnsynced));
                self.wipe(wiped);
            }
            Fault::WipeLeader => {
                self.kill(leader, Crash::LoseUnsynced);
                self.wipe(leader);
            }
            Fault::PartitionLeader => {
                self.replicas[leader].partitioned_until = self.now + Duration::from_secs(5);
            }
            Fault::StallLeader => {
                self.replicas[leader].stalled_until = self.now + Duration::from_secs(4);
            }
            Fault::SuspendLeader => self.replicas[leader].stalled_until = Duration::MAX,
            Fault::SuspendLeaderAndClock => {
                self.replicas[leader].stalled_until = Duration::MAX;
                self.replicas[leader].clock_lag = self.now;
            }
            Fault::FillLeaderDisk => self.replicas[leader].disk.set_capacity(Some(0)),
            Fault::WipeTwoVoters => {
                for number in self.two_voters(leader) {
                    self.kill(number, Crash::LoseUnsynced);
                    self.wipe(number);
                }
            }
            Fault::WipeTwoVotersWhileOthersLosePower => {
                let wiped = self.two_voters(leader);
                self.for_all(|cluster, number| cluster.kill(number, Crash::LoseUnsynced));
                for number in wiped {
                    self.wipe(number);
                }
            }
            Fault::LoseZoneOfLeader => {
                let zone = leader % self.zones;
                for number in (zone..self.replicas.len()).step_by(self.zones) {
                    self.kill(number, Crash::LoseUnsynced);
                    self.replicas[number].removed = true;
                }
            }
            Fault::ReplaceOne => {
                let number = self.replicas.len();
                self.kill(leader, Crash::LoseUnsynced);
                self.replicas[leader].removed = true;
                self.add_replica(number, false);
            }
        }
    }

    /// Stalls each replica with a probability of a third for up to `longest`.
    pub fn stall_some(&mut self, longest: Duration) {
        for number in 0..self.replicas.len() {
            if self.random.random_range(0..3) == 0 {
                let time = longest.mul_f64(self.random.random());
                self.replicas[number].stalled_until = self.now + time;
            }
        }
    }

    /// Resumes a suspended machine; the leave of `server` is the first input that its replica processes.
    pub fn resume_with_leave(&mut self, number: usize, server: &InstanceId) {
        let replica = &mut self.replicas[number];
        replica.stalled_until = self.now;
        if !replica.clock_lag.is_zero() {
            replica.clock_lag = self.now - replica.clock_lag;
        }
        let leave = Call::Leave(server.clone());
        self.call(number, leave, Pending::ServerCall);
    }

    fn for_all(&mut self, inject: impl Fn(&mut Self, usize)) {
        for number in 0..self.replicas.len() {
            inject(self, number);
        }
    }

    fn kill(&mut self, number: usize, crash: Crash) {
        let back = self.now + Duration::from_millis(self.random.random_range(300..1_000));
        let replica = &mut self.replicas[number];
        replica.node = None;
        replica.disk.crash(crash);
        replica.bootstrap = false;
        replica.restarts_at = Some(back);
        self.network
            .retain(|sent| sent.from != number && sent.to != number);
    }

    fn wipe(&mut self, number: usize) {
        self.replicas[number].disk.wipe();
    }
}
