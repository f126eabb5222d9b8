//! Random schedules of faults: no invariant is ever violated, and the group recovers once the faults end.

mod support;

use std::time::Duration;

use grebepin_consensus::Guards;
use grebepin_schema::{MemberRole, ReplicaId};
use proptest::prelude::*;
use support::cluster::{Cluster, CrashAt};
use support::network::Conditions;

const REPLICAS: [u64; 5] = [1, 2, 3, 4, 5];

#[derive(Clone, Debug)]
enum Event {
    Propose(u8),
    Read,
    Crash(u64),
    CrashWhileProcessing(u64, CrashAt),
    Restart(u64),
    Pause(u64),
    Resume(u64),
    BlockOneWay(u64, u64),
    Partition(u8),
    Heal,
    Lag(u64),
    BadNetwork,
    Member(u64, Option<MemberRole>),
    Run(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let id = || proptest::sample::select(&REPLICAS[..]);
    let crash_at = proptest::sample::select(
        &[CrashAt::BeforeSync, CrashAt::TornSync, CrashAt::BeforeSend][..],
    );
    let role =
        proptest::sample::select(&[None, Some(MemberRole::Learner), Some(MemberRole::Voter)][..]);
    prop_oneof![
        6 => (1..20_u8).prop_map(Event::Propose),
        3 => Just(Event::Read),
        2 => id().prop_map(Event::Crash),
        2 => (id(), crash_at).prop_map(|(id, at)| Event::CrashWhileProcessing(id, at)),
        3 => id().prop_map(Event::Restart),
        1 => id().prop_map(Event::Pause),
        2 => id().prop_map(Event::Resume),
        2 => (id(), id()).prop_map(|(from, to)| Event::BlockOneWay(from, to)),
        1 => any::<u8>().prop_map(Event::Partition),
        2 => Just(Event::Heal),
        1 => id().prop_map(Event::Lag),
        1 => Just(Event::BadNetwork),
        3 => (id(), role).prop_map(|(id, role)| Event::Member(id, role)),
        8 => (10..3000_u64).prop_map(Event::Run),
    ]
}

fn apply_event(cluster: &mut Cluster, event: Event) {
    match event {
        Event::Propose(count) => {
            for id in REPLICAS {
                for command in 0..count {
                    let _ = cluster.propose(id, &[command]);
                }
            }
        }
        Event::Read => {
            for id in REPLICAS {
                let _ = cluster.request_read(id);
            }
        }
        Event::Crash(id) => cluster.crash(id),
        Event::CrashWhileProcessing(id, at) => {
            cluster.crash_next.insert(ReplicaId(id), at);
        }
        Event::Restart(id) => cluster.restart(id),
        Event::Pause(id) => cluster.pause(id),
        Event::Resume(id) => cluster.resume(id),
        Event::BlockOneWay(from, to) => {
            let link = (ReplicaId(from), ReplicaId(to));
            cluster.network.blocked.insert(link);
        }
        Event::Partition(bits) => {
            let (one, other): (Vec<u64>, Vec<u64>) =
                REPLICAS.iter().partition(|id| bits >> *id & 1 == 1);
            cluster.network.partition(&one, &other);
        }
        Event::Heal => cluster.network.heal(),
        Event::Lag(id) => {
            let lag = Duration::from_millis(400);
            cluster.network.lag.insert(ReplicaId(id), lag);
        }
        Event::BadNetwork => cluster.network.conditions = Conditions::bad(),
        Event::Member(id, role) => {
            if let Some(leader) = cluster.leader() {
                let changed = cluster.changed_membership(leader, id, role);
                let _ = cluster.propose_membership(leader, changed);
            }
        }
        Event::Run(milliseconds) => cluster.run(Duration::from_millis(milliseconds)),
    }
}

fn recover(cluster: &mut Cluster) {
    cluster.crash_next.clear();
    cluster.network.heal();
    cluster.network.conditions = Conditions::good();
    for id in REPLICAS {
        cluster.resume(id);
        cluster.restart(id);
    }
    // During this time, a former leader that was paused steps down and a new one is elected.
    cluster.run(Duration::from_secs(10));
    let leader = cluster.elect();
    let index = cluster
        .propose(leader, b"last")
        .expect("the leader accepts proposals");
    let settled = cluster.run_until(Duration::from_secs(60), |cluster| {
        let members = &cluster.core(leader).membership().members;
        members
            .iter()
            .all(|member| cluster.replica(member.replica.0).applied_index >= index)
    });
    assert!(settled, "the group did not recover");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_schedule_violates_an_invariant(
        seed in any::<u64>(),
        snapshot_every in proptest::sample::select(&[15, 300, u64::MAX][..]),
        learners in 0..3_usize,
        events in proptest::collection::vec(event(), 1..100),
    ) {
        let (voters, learners) = REPLICAS.split_at(REPLICAS.len() - learners);
        let mut cluster = Cluster::new(seed, voters, learners, Guards::all());
        cluster.snapshot_every = snapshot_every;
        for event in events {
            apply_event(&mut cluster, event);
            prop_assert_eq!(cluster.violations(), []);
        }
        recover(&mut cluster);
        prop_assert_eq!(cluster.violations(), []);
    }
}
