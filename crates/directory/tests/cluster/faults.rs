//! What strikes a group of replicas.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_directory::call::Call;
use grebepin_storage::Crash;
use rand::Rng;

use super::{Cluster, Pending};

/// What strikes a group.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillAll,
    PowerOffAll,
    WipeOneWhileOthersLosePower,
    WipeLeader,
    CutLeader,
    StallLeader,
    /// The leader's machine is suspended: nothing runs there until it is woken.
    SuspendLeader,
    /// The same, and its clock does not count that time.
    SuspendLeaderUncounted,
    FillLeaderDisk,
    ReplaceOne,
    /// The leader and another voter lose their disks at once.
    WipeTwoVoters,
    /// The same, while all others lose power.
    WipeTwoVotersWhileOthersLosePower,
    /// All replicas of the leader's zone are gone for good.
    LoseZoneOfLeader,
}

impl Cluster {
    pub fn strike(&mut self, fault: Fault) {
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
            Fault::CutLeader => {
                self.replicas[leader].cut_until = self.now + Duration::from_secs(5);
            }
            Fault::StallLeader => {
                self.replicas[leader].stalled_until = self.now + Duration::from_secs(4);
            }
            Fault::SuspendLeader => self.replicas[leader].stalled_until = Duration::MAX,
            Fault::SuspendLeaderUncounted => {
                self.replicas[leader].stalled_until = Duration::MAX;
                self.replicas[leader].uncounted = self.now;
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
                    self.replicas[number].gone = true;
                }
            }
            Fault::ReplaceOne => {
                let number = self.replicas.len();
                self.kill(leader, Crash::LoseUnsynced);
                self.replicas[leader].gone = true;
                self.add_replica(number, false);
            }
        }
    }

    /// Wakes a suspended machine: a server's leave is the first thing that its replica works on.
    pub fn wake_with_leave(&mut self, number: usize) {
        let replica = &mut self.replicas[number];
        replica.stalled_until = self.now;
        if !replica.uncounted.is_zero() {
            replica.uncounted = self.now - replica.uncounted;
        }
        let leave = Call::Leave(InstanceId::new("unknown"));
        self.call(number, leave, Pending::OfServer);
    }

    fn for_all(&mut self, strike: impl Fn(&mut Self, usize)) {
        for number in 0..self.replicas.len() {
            strike(self, number);
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
