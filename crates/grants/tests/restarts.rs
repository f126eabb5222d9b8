//! Restart of a server under the same name: each incarnation is accepted at its first heartbeat, and
//! messages of an earlier one have no effect, whatever their order.

mod support;

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, InstanceId, InstanceState};
use grebepin_grants::{Coordinator, Grant, Heartbeat, HeartbeatOutcome};
use proptest::prelude::*;
use support::{sharded_service, timing, SERVICE};

const NAME: &str = "i-1";

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn incarnation(started_ms: u64) -> InstanceId {
    InstanceId::started_at(NAME, started_ms)
}

fn heartbeat(id: &InstanceId, sequence: u64) -> Heartbeat {
    support::heartbeat(id, 1, sequence)
}

/// A leader with the state that it replicates; a command counts as committed once it is applied.
struct Leader {
    catalog: Catalog,
    coordinator: Coordinator,
}

impl Leader {
    fn new() -> Self {
        Self {
            catalog: sharded_service(None),
            coordinator: Coordinator::new(timing(), Duration::ZERO),
        }
    }

    /// Processes a heartbeat; `None` when it is stale.
    fn receive(&mut self, now: Duration, heartbeat: &Heartbeat) -> Option<Option<Grant>> {
        let outcome = self.coordinator.on_heartbeat(now, &self.catalog, heartbeat);
        let HeartbeatOutcome::Fresh(commands) = outcome else {
            return None;
        };
        self.apply(&commands);
        Some(self.coordinator.grant(now, &self.catalog, heartbeat))
    }

    fn apply(&mut self, commands: &[Command]) {
        for command in commands {
            self.catalog.apply(command);
        }
    }

    fn tick(&mut self, now: Duration) {
        let commands = self.coordinator.tick(now, &self.catalog);
        self.apply(&commands);
    }

    fn owned_by(&self, id: &InstanceId) -> usize {
        let ownership = self.catalog.ownership(SERVICE);
        ownership.map_or(0, |ownership| ownership.owned_count(id))
    }

    fn state_of(&self, id: &InstanceId) -> Option<InstanceState> {
        self.catalog.instance(id).map(|one| one.state)
    }

    /// Sends heartbeats of an incarnation until it owns shards.
    fn run_until_assigned(&mut self, id: &InstanceId) -> Duration {
        let times = [ms(100), ms(1_400), ms(2_700)];
        for (sequence, now) in times.into_iter().enumerate() {
            self.receive(now, &heartbeat(id, sequence as u64 + 1));
        }
        assert!(self.owned_by(id) > 0);
        ms(2_700)
    }
}

#[test]
fn a_restarted_server_is_accepted_at_its_first_heartbeat() {
    let mut leader = Leader::new();
    let now = leader.run_until_assigned(&incarnation(10));
    let response = leader.receive(now + ms(300), &heartbeat(&incarnation(20), 1));
    assert!(response.is_some(), "its sequence numbers start again");
    assert_eq!(leader.state_of(&incarnation(10)), Some(InstanceState::Gone));
    assert_eq!(
        leader.state_of(&incarnation(20)),
        Some(InstanceState::Ready)
    );
}

#[test]
fn shards_of_an_earlier_incarnation_are_freed_when_its_lease_ends() {
    let mut leader = Leader::new();
    let now = leader.run_until_assigned(&incarnation(10));
    let owned = leader.owned_by(&incarnation(10));
    leader.receive(now + ms(300), &heartbeat(&incarnation(20), 1));
    assert_eq!(leader.owned_by(&incarnation(20)), 0);
    leader.tick(now + timing().lease);
    assert_eq!(
        leader.owned_by(&incarnation(10)),
        owned,
        "the lease has not expired yet"
    );
    let after = timing().lease_end(now) + ms(1);
    leader.tick(after);
    leader.receive(after, &heartbeat(&incarnation(20), 2));
    assert_eq!(leader.owned_by(&incarnation(20)), owned);
}

#[test]
fn late_heartbeats_of_an_earlier_incarnation_have_no_effect() {
    for first_known in [true, false] {
        let mut leader = Leader::new();
        if first_known {
            leader.receive(ms(50), &heartbeat(&incarnation(10), 1));
        }
        let now = leader.run_until_assigned(&incarnation(20));
        let before = leader.catalog.clone();
        assert_eq!(leader.receive(now, &heartbeat(&incarnation(10), 99)), None);
        assert_eq!(leader.catalog, before, "first known: {first_known}");
    }
}

/// Happens when the leader is lost between a heartbeat and its commands.
#[test]
fn late_commands_of_an_earlier_incarnation_assign_nothing() {
    let mut leader = Leader::new();
    let now = leader.run_until_assigned(&incarnation(10));
    leader.tick(timing().lease_end(now) + ms(1));
    let late = timing().lease_end(now) + ms(2);
    let outcome =
        leader
            .coordinator
            .on_heartbeat(late, &leader.catalog, &heartbeat(&incarnation(10), 9));
    let HeartbeatOutcome::Fresh(commands) = outcome else {
        panic!("the incarnation is not known to have ended");
    };
    let assigns = commands
        .iter()
        .any(|one| matches!(one, Command::AssignShards { .. }));
    assert!(assigns);
    leader.receive(late, &heartbeat(&incarnation(20), 1));
    leader.apply(&commands);
    assert_eq!(leader.owned_by(&incarnation(10)), 0);
    let granted = leader
        .coordinator
        .grant(late, &leader.catalog, &heartbeat(&incarnation(10), 9));
    assert_eq!(granted, None);
}

#[test]
fn a_new_leader_knows_incarnations_from_the_replicated_state() {
    let mut leader = Leader::new();
    let now = leader.run_until_assigned(&incarnation(10));
    leader.receive(now, &heartbeat(&incarnation(20), 1));
    leader.coordinator = Coordinator::new(timing(), now);
    assert_eq!(
        leader.receive(now + ms(10), &heartbeat(&incarnation(10), 99)),
        None
    );
    assert!(leader
        .receive(now + ms(20), &heartbeat(&incarnation(20), 2))
        .is_some());
}

/// Such a server stays out of use: a wrong clock costs its capacity but never leads to a second holder.
#[test]
fn an_incarnation_whose_clock_was_set_back_is_rejected() {
    let mut leader = Leader::new();
    let now = leader.run_until_assigned(&incarnation(20));
    assert_eq!(leader.receive(now, &heartbeat(&incarnation(15), 1)), None);
    assert!(leader.owned_by(&incarnation(20)) > 0);
}

#[test]
fn servers_without_a_start_time_are_identified_by_name_alone() {
    let mut leader = Leader::new();
    let id = InstanceId::new(NAME);
    let now = leader.run_until_assigned(&id);
    assert_eq!(
        leader.receive(now, &heartbeat(&id, 2)),
        None,
        "a late heartbeat"
    );
    assert!(leader.receive(now, &heartbeat(&id, 4)).is_some());
}

proptest! {
    /// Heartbeats of three incarnations in any order and with any delay: after the first heartbeat of an
    /// incarnation, earlier ones are neither granted nor assigned anything.
    #[test]
    fn no_order_of_messages_revives_an_earlier_incarnation(
        messages in prop::collection::vec((1_u64..=3, 1_u64..=12, 0_u64..900), 1..60)
    ) {
        let mut leader = Leader::new();
        let mut now = Duration::ZERO;
        let mut latest = 0;
        for (started_ms, sequence, pause) in messages {
            now += ms(pause);
            leader.tick(now);
            let owned: Vec<usize> = (1..=3).map(|one| leader.owned_by(&incarnation(one))).collect();
            let granted = leader.receive(now, &heartbeat(&incarnation(started_ms), sequence));
            if started_ms < latest {
                prop_assert_eq!(granted, None);
            }
            latest = latest.max(started_ms);
            for earlier in 1..latest {
                let before = owned[earlier as usize - 1];
                prop_assert!(leader.owned_by(&incarnation(earlier)) <= before);
                let ended = leader.state_of(&incarnation(earlier));
                prop_assert!(ended.is_none_or(|state| state == InstanceState::Gone));
            }
        }
    }
}
