//! A server that starts again under its name: each life is heard at once, and an earlier one changes nothing
//! any more, in whatever order its messages come.

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

fn life(started_ms: u64) -> InstanceId {
    InstanceId::started_at(NAME, started_ms)
}

fn beat(id: &InstanceId, sequence: u64) -> Heartbeat {
    support::beat(id, 1, sequence)
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

    /// Takes in a heartbeat; `None` when it is stale.
    fn hear(&mut self, now: Duration, beat: &Heartbeat) -> Option<Option<Grant>> {
        let outcome = self.coordinator.on_heartbeat(now, &self.catalog, beat);
        let HeartbeatOutcome::Fresh(commands) = outcome else {
            return None;
        };
        self.apply(&commands);
        Some(self.coordinator.grant(now, &self.catalog, beat))
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
        ownership.map_or(0, |ownership| ownership.count_of(id))
    }

    fn state_of(&self, id: &InstanceId) -> Option<InstanceState> {
        self.catalog.instance(id).map(|one| one.state)
    }

    /// Lets a life send heartbeats until it owns shards.
    fn settle(&mut self, id: &InstanceId) -> Duration {
        let times = [ms(100), ms(1_400), ms(2_700)];
        for (sequence, now) in times.into_iter().enumerate() {
            self.hear(now, &beat(id, sequence as u64 + 1));
        }
        assert!(self.owned_by(id) > 0);
        ms(2_700)
    }
}

#[test]
fn a_server_that_started_again_is_heard_at_its_first_heartbeat() {
    let mut leader = Leader::new();
    let now = leader.settle(&life(10));
    let heard = leader.hear(now + ms(300), &beat(&life(20), 1));
    assert!(heard.is_some(), "its count begins anew");
    assert_eq!(leader.state_of(&life(10)), Some(InstanceState::Gone));
    assert_eq!(leader.state_of(&life(20)), Some(InstanceState::Ready));
}

#[test]
fn what_a_life_owned_waits_for_its_lease_and_no_longer() {
    let mut leader = Leader::new();
    let now = leader.settle(&life(10));
    let owned = leader.owned_by(&life(10));
    leader.hear(now + ms(300), &beat(&life(20), 1));
    assert_eq!(leader.owned_by(&life(20)), 0);
    leader.tick(now + timing().lease);
    assert_eq!(leader.owned_by(&life(10)), owned, "the lease still runs");
    let after = timing().lease_end(now) + ms(1);
    leader.tick(after);
    leader.hear(after, &beat(&life(20), 2));
    assert_eq!(leader.owned_by(&life(20)), owned);
}

#[test]
fn an_earlier_life_that_speaks_late_changes_nothing() {
    for first_known in [true, false] {
        let mut leader = Leader::new();
        if first_known {
            leader.hear(ms(50), &beat(&life(10), 1));
        }
        let now = leader.settle(&life(20));
        let before = leader.catalog.clone();
        assert_eq!(leader.hear(now, &beat(&life(10), 99)), None);
        assert_eq!(leader.catalog, before, "first known: {first_known}");
    }
}

/// As after a loss of the leader between a heartbeat and its commands.
#[test]
fn commands_of_an_earlier_life_that_commit_late_give_it_nothing() {
    let mut leader = Leader::new();
    let now = leader.settle(&life(10));
    leader.tick(timing().lease_end(now) + ms(1));
    let late = timing().lease_end(now) + ms(2);
    let outcome = leader
        .coordinator
        .on_heartbeat(late, &leader.catalog, &beat(&life(10), 9));
    let HeartbeatOutcome::Fresh(commands) = outcome else {
        panic!("the life is not known to have ended");
    };
    let assigns = commands
        .iter()
        .any(|one| matches!(one, Command::AssignShards { .. }));
    assert!(assigns);
    leader.hear(late, &beat(&life(20), 1));
    leader.apply(&commands);
    assert_eq!(leader.owned_by(&life(10)), 0);
    let granted = leader
        .coordinator
        .grant(late, &leader.catalog, &beat(&life(10), 9));
    assert_eq!(granted, None);
}

#[test]
fn a_new_leader_knows_the_lives_from_the_replicated_state() {
    let mut leader = Leader::new();
    let now = leader.settle(&life(10));
    leader.hear(now, &beat(&life(20), 1));
    leader.coordinator = Coordinator::new(timing(), now);
    assert_eq!(leader.hear(now + ms(10), &beat(&life(10), 99)), None);
    assert!(leader.hear(now + ms(20), &beat(&life(20), 2)).is_some());
}

/// Such a server stays out of use: a wrong clock costs its room and never a second holder.
#[test]
fn a_life_whose_clock_was_set_back_is_not_heard() {
    let mut leader = Leader::new();
    let now = leader.settle(&life(20));
    assert_eq!(leader.hear(now, &beat(&life(15), 1)), None);
    assert!(leader.owned_by(&life(20)) > 0);
}

#[test]
fn lives_without_a_start_are_told_apart_by_name_alone() {
    let mut leader = Leader::new();
    let id = InstanceId::new(NAME);
    let now = leader.settle(&id);
    assert_eq!(leader.hear(now, &beat(&id, 2)), None, "a late heartbeat");
    assert!(leader.hear(now, &beat(&id, 4)).is_some());
}

proptest! {
    /// Heartbeats of three lives in any order and with any delay: once a life was heard, none before it is granted
    /// or assigned anything.
    #[test]
    fn no_order_of_messages_revives_a_life(
        messages in prop::collection::vec((1_u64..=3, 1_u64..=12, 0_u64..900), 1..60)
    ) {
        let mut leader = Leader::new();
        let mut now = Duration::ZERO;
        let mut latest = 0;
        for (started_ms, sequence, pause) in messages {
            now += ms(pause);
            leader.tick(now);
            let owned: Vec<usize> = (1..=3).map(|one| leader.owned_by(&life(one))).collect();
            let granted = leader.hear(now, &beat(&life(started_ms), sequence));
            if started_ms < latest {
                prop_assert_eq!(granted, None);
            }
            latest = latest.max(started_ms);
            for earlier in 1..latest {
                let before = owned[earlier as usize - 1];
                prop_assert!(leader.owned_by(&life(earlier)) <= before);
                let ended = leader.state_of(&life(earlier));
                prop_assert!(ended.is_none_or(|state| state == InstanceState::Gone));
            }
        }
    }
}
