//! Heartbeats of several servers with one address: those that keep coming decide, and none ends a live server.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, InstanceId, InstanceState, SHARDS};
use grebepin_grants::{AddressDecision, Coordinator, Heartbeat, HeartbeatOutcome};
use support::{sharded_service, timing, SERVICE};

/// Part of the address that all servers of these tests state.
const HOST: u64 = 1;

const UNKNOWN_SERVICE: &str = "not-configured";

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Interval between two heartbeats of one server.
fn interval() -> Duration {
    timing().heartbeat_interval
}

fn id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

/// A leader with the state that it replicates; a command counts as committed once it is applied.
struct Leader {
    catalog: Catalog,
    coordinator: Coordinator,
    now: Duration,
    sequence: u64,
}

impl Leader {
    fn new() -> Self {
        Self {
            catalog: sharded_service(None),
            coordinator: Coordinator::new(timing(), Duration::ZERO),
            now: Duration::ZERO,
            sequence: 0,
        }
    }

    /// A leader and a server that holds all shards.
    fn with_server(server: &InstanceId) -> Self {
        let mut leader = Self::new();
        for _ in 0..4 {
            leader.beat(server);
            leader.pass(interval());
        }
        leader.beat(server);
        assert_eq!(leader.owned_by(server), SHARDS);
        leader
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(100);
            let commands = self.coordinator.tick(self.now, &self.catalog);
            self.apply(&commands);
        }
    }

    /// Receives the next heartbeat of a server; returns whether it had an effect.
    fn beat(&mut self, server: &InstanceId) -> bool {
        let heartbeat = self.next_heartbeat(server);
        self.receive(&heartbeat)
    }

    fn next_heartbeat(&mut self, server: &InstanceId) -> Heartbeat {
        self.sequence += 1;
        support::heartbeat(server, HOST, self.sequence)
    }

    fn receive(&mut self, heartbeat: &Heartbeat) -> bool {
        let outcome = self
            .coordinator
            .on_heartbeat(self.now, &self.catalog, heartbeat);
        let HeartbeatOutcome::Fresh(commands) = outcome else {
            return false;
        };
        self.apply(&commands);
        let _ = self.coordinator.grant(self.now, &self.catalog, heartbeat);
        true
    }

    fn apply(&mut self, commands: &[Command]) {
        for command in commands {
            self.catalog.apply(command);
        }
    }

    /// Heartbeats of a server for a time.
    fn run(&mut self, server: &InstanceId, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.pass(interval());
            self.beat(server);
        }
    }

    fn change_leader(&mut self) {
        self.coordinator = Coordinator::new(timing(), self.now);
    }

    fn is_live(&self, server: &InstanceId) -> bool {
        self.catalog.is_live(server)
    }

    fn owned_by(&self, server: &InstanceId) -> usize {
        let ownership = self.catalog.ownership(SERVICE);
        ownership.map_or(0, |ownership| ownership.owned_count(server))
    }

    fn decisions(&mut self) -> Vec<AddressDecision> {
        self.coordinator.take_address_decisions()
    }
}

/// Heartbeats of other writers: of another service, of the same one, with another state or zone.
fn foreign_heartbeats() -> Vec<Heartbeat> {
    let heartbeat = || support::heartbeat(&id("other"), HOST, 900);
    vec![
        Heartbeat {
            service: UNKNOWN_SERVICE.to_owned(),
            ..heartbeat()
        },
        heartbeat(),
        Heartbeat {
            draining: true,
            ..heartbeat()
        },
        Heartbeat {
            zone: "nowhere".to_owned(),
            ..heartbeat()
        },
        Heartbeat {
            id: InstanceId::started_at("other", 7),
            service: UNKNOWN_SERVICE.to_owned(),
            draining: true,
            ..heartbeat()
        },
    ]
}

/// Guards against a heartbeat that ends the live server at its address for good.
#[test]
fn one_heartbeat_with_the_address_of_a_live_server_has_no_effect() {
    for foreign in foreign_heartbeats() {
        let server = id("server");
        let mut leader = Leader::with_server(&server);
        leader.pass(interval() / 2);
        assert!(!leader.receive(&foreign), "{foreign:?}");
        assert!(leader.is_live(&server), "{foreign:?}");
        assert_eq!(leader.catalog.instance(&foreign.id), None);
        leader.pass(interval() / 2);
        assert!(leader.beat(&server));
        leader.run(&server, ms(20_000));
        assert_eq!(leader.owned_by(&server), SHARDS, "{foreign:?}");
    }
}

/// Guards against a way back that depends on what one leader remembers.
#[test]
fn a_live_server_keeps_its_address_at_a_new_leader() {
    for foreign in foreign_heartbeats() {
        let server = id("server");
        let mut leader = Leader::with_server(&server);
        leader.receive(&foreign);
        leader.change_leader();
        leader.receive(&foreign);
        leader.pass(interval());
        leader.receive(&foreign);
        assert!(leader.beat(&server), "{foreign:?}");
        leader.run(&server, ms(20_000));
        assert_eq!(leader.owned_by(&server), SHARDS, "{foreign:?}");
    }
}

/// Guards against a writer that takes an address away by sending more heartbeats than the server there.
#[test]
fn a_live_server_keeps_its_address_however_many_others_claim_it() {
    let server = id("server");
    let mut leader = Leader::with_server(&server);
    for round in 0..200 {
        leader.pass(ms(100));
        let claimant = id(&format!("other-{}", round % 20));
        assert!(!leader.beat(&claimant));
        if round % 13 == 0 {
            assert!(leader.beat(&server));
        }
    }
    assert_eq!(leader.owned_by(&server), SHARDS);
    let known = leader.catalog.instances().count();
    assert_eq!(known, 1, "refused claims leave nothing behind");
}

#[test]
fn a_successor_takes_over_an_address_whose_server_fell_silent() {
    for is_cut_short in [false, true] {
        let (server, successor) = (id("server"), id("successor"));
        let mut leader = Leader::with_server(&server);
        if is_cut_short {
            // A restart within a heartbeat interval: the successor waits until the server is silent for too long.
            leader.pass(ms(100));
            assert!(!leader.beat(&successor));
            leader.pass(interval());
        }
        leader.pass(interval());
        leader.pass(interval());
        assert!(leader.beat(&successor));
        assert!(leader.is_live(&successor) && !leader.is_live(&server));
        leader.run(&successor, ms(20_000));
        assert_eq!(leader.owned_by(&successor), SHARDS);
    }
}

/// Guards against late heartbeats of a server that has ended, which would take requests and keys from its successor.
#[test]
fn late_heartbeats_of_a_predecessor_have_no_effect() {
    let (server, successor) = (id("server"), id("successor"));
    let mut leader = Leader::with_server(&server);
    let late: Vec<Heartbeat> = (0..4).map(|_| leader.next_heartbeat(&server)).collect();
    leader.pass(ms(3_000));
    leader.beat(&successor);
    leader.run(&successor, ms(10_000));
    for heartbeat in &late {
        leader.pass(ms(300));
        assert!(!leader.receive(heartbeat));
    }
    assert!(leader.beat(&successor));
    leader.change_leader();
    for heartbeat in &late {
        assert!(!leader.receive(heartbeat));
    }
    leader.run(&successor, ms(20_000));
    assert_eq!(leader.owned_by(&successor), SHARDS);
}

/// Guards against a server that was cut off from the directory while another writer claimed its address, and that never
/// returned: the same cause by way of its silence.
#[test]
fn a_silent_server_that_lost_its_address_returns() {
    for silence in [ms(2_500), ms(6_000), ms(20_000)] {
        for changes_leader in [false, true] {
            for foreign in foreign_heartbeats() {
                let server = id("server");
                let mut leader = Leader::with_server(&server);
                leader.pass(silence);
                leader.receive(&foreign);
                if changes_leader {
                    leader.change_leader();
                }
                leader.run(&server, ms(20_000));
                let when = format!("{silence:?}, {changes_leader}, {foreign:?}");
                assert!(leader.is_live(&server), "{when}");
                assert_eq!(leader.owned_by(&server), SHARDS, "{when}");
                assert!(!leader.is_live(&foreign.id), "{when}");
            }
        }
    }
}

/// Guards against a server that cannot register, since another writer has sent heartbeats with its address before.
#[test]
fn a_server_registers_although_another_writer_was_there_first() {
    for foreign in foreign_heartbeats() {
        let server = id("server");
        let mut leader = Leader::new();
        leader.receive(&foreign);
        leader.pass(ms(100));
        let is_unknown = foreign.service == UNKNOWN_SERVICE;
        assert_eq!(leader.beat(&server), is_unknown, "{foreign:?}");
        leader.run(&server, ms(20_000));
        assert_eq!(leader.owned_by(&server), SHARDS, "{foreign:?}");
    }
}

/// Servers may send heartbeats before their service is configured.
#[test]
fn a_service_may_be_configured_after_its_servers_began_to_send_heartbeats() {
    let configured = sharded_service(None);
    let (server, other) = (id("server"), id("other"));
    let mut leader = Leader::new();
    leader.catalog = Catalog::default();
    leader.beat(&server);
    assert!(leader.is_live(&server));
    let foreign = Heartbeat {
        service: UNKNOWN_SERVICE.to_owned(),
        ..leader.next_heartbeat(&other)
    };
    assert!(!leader.receive(&foreign), "the server there is not silent");
    leader.apply(&[Command::ChangeItems(grebepin_catalog::ItemChange {
        upserts: configured.items().in_force().cloned().collect(),
        removals: Vec::new(),
    })]);
    leader.run(&server, ms(20_000));
    assert_eq!(leader.owned_by(&server), SHARDS);
}

/// Guards against a heartbeat under the server's own name that moves it to a service which nobody has configured.
#[test]
fn a_heartbeat_under_a_servers_name_for_an_unknown_service_has_no_effect() {
    for started_ms in [5, 6] {
        let server = InstanceId::started_at("server", 5);
        let mut leader = Leader::with_server(&server);
        leader.pass(interval());
        let foreign = Heartbeat {
            id: InstanceId::started_at("server", started_ms),
            service: UNKNOWN_SERVICE.to_owned(),
            ..support::heartbeat(&server, HOST, 9_000)
        };
        assert!(!leader.receive(&foreign));
        assert!(leader.beat(&server));
        leader.run(&server, ms(20_000));
        assert_eq!(leader.owned_by(&server), SHARDS, "{started_ms}");
    }
}

#[test]
fn a_restarted_server_replaces_its_earlier_incarnation_at_once() {
    let incarnation = |started_ms| InstanceId::started_at("server", started_ms);
    let mut leader = Leader::with_server(&incarnation(1));
    leader.pass(ms(100));
    assert!(leader.beat(&incarnation(2)));
    assert!(leader.is_live(&incarnation(2)) && !leader.is_live(&incarnation(1)));
    assert!(leader.catalog.has_ended(&incarnation(1)));
}

/// A draining server ends anyway, and its address may have a successor soon.
#[test]
fn a_successor_takes_over_the_address_of_a_draining_server_that_fell_silent() {
    let (server, successor) = (id("server"), id("successor"));
    let mut leader = Leader::with_server(&server);
    let draining = Heartbeat {
        draining: true,
        ..leader.next_heartbeat(&server)
    };
    assert!(leader.receive(&draining));
    leader.pass(ms(2_000));
    assert!(leader.beat(&successor));
    assert!(leader.catalog.has_ended(&server));
}

#[test]
fn decisions_are_reported_at_a_bounded_rate() {
    let (server, successor) = (id("server"), id("successor"));
    let mut leader = Leader::with_server(&server);
    let mut refused = 0;
    let mut lines = 0;
    for _ in 0..100 {
        leader.pass(ms(100));
        leader.beat(&server);
        leader.beat(&id("other"));
        for decision in leader.decisions() {
            assert!(!decision.is_taken_over);
            assert_eq!(decision.holder, server);
            lines += 1;
            refused += decision.refused;
        }
    }
    assert!((9..=11).contains(&lines), "{lines} lines in ten seconds");
    assert!((90..=100).contains(&refused), "{refused} of 100 claims");
    leader.pass(ms(3_000));
    leader.beat(&successor);
    let decisions = leader.decisions();
    let taken_over = decisions.iter().find(|one| one.is_taken_over);
    let decision = taken_over.expect("a takeover is reported");
    assert_eq!(
        (&decision.claimant, &decision.holder),
        (&successor, &server)
    );
    assert_eq!(decision.holder_silence, ms(3_000));
    assert!(leader
        .catalog
        .instance(&server)
        .is_some_and(|one| one.state == InstanceState::Gone));
}
