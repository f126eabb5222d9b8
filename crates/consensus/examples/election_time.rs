//! Measures how long a group has no usable leader, on a virtual clock: after its start, and after the leader
//! crashes, freezes or is partitioned. A leader is usable while it holds a lease and has committed an entry
//! of its term.
//!
//! `cargo run --release -p grebepin-consensus --example election_time`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use grebepin_consensus::Guards;
use support::cluster::Cluster;
use support::members::{ELECTION_TIMEOUT, HEARTBEAT};
use support::network::Conditions;

const SEEDS: u64 = 200;
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time between the first election and the fault. Each seed adds a different fraction of a heartbeat.
const FAULT_DELAY: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum LeaderFault {
    Crash,
    Freeze,
    Partition,
}

fn is_usable(cluster: &Cluster, id: u64) -> bool {
    let core = cluster.core(id);
    let now = cluster.replica(id).clock.read(cluster.at);
    core.has_committed_in_term() && core.leader_lease_until().is_some_and(|until| now < until)
}

/// Runs until a leader other than `former` is usable and returns the time taken.
fn time_to_leader(cluster: &mut Cluster, former: Option<u64>) -> Duration {
    let from = cluster.at;
    let usable = cluster.run_until(MAX_WAIT, |cluster| {
        let running = cluster.replicas.iter();
        let mut running = running.filter(|(_, replica)| replica.consensus.is_some());
        running.any(|(id, _)| Some(id.0) != former && is_usable(cluster, id.0))
    });
    assert!(usable, "no usable leader within a minute");
    cluster.at - from
}

fn run(seed: u64, voters: &[u64], network: Conditions, fault: Option<LeaderFault>) -> Duration {
    let mut cluster = Cluster::new(seed, voters, &[], Guards::all());
    cluster.network.conditions = network;
    let first = time_to_leader(&mut cluster, None);
    let Some(fault) = fault else {
        return first;
    };
    cluster.run(FAULT_DELAY + HEARTBEAT.mul_f64(seed as f64 / SEEDS as f64));
    let leader = cluster.leader().expect("the group has a leader");
    match fault {
        LeaderFault::Crash => cluster.crash(leader),
        LeaderFault::Freeze => cluster.pause(leader),
        LeaderFault::Partition => {
            let rest: Vec<u64> = voters.iter().copied().filter(|id| *id != leader).collect();
            cluster.network.partition(&[leader], &rest);
        }
    }
    let time = time_to_leader(&mut cluster, Some(leader));
    assert_eq!(cluster.violations(), []);
    time
}

fn print_row(name: &str, network: (&str, Conditions), voters: &[u64], fault: Option<LeaderFault>) {
    let mut times: Vec<u128> = (0..SEEDS)
        .map(|seed| run(seed, voters, network.1, fault).as_millis())
        .collect();
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "| {name} | {} | {} | {} | {} | {} |",
        network.0,
        voters.len(),
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

fn main() {
    let events = [
        ("start", None),
        ("leader crashed", Some(LeaderFault::Crash)),
        ("leader frozen", Some(LeaderFault::Freeze)),
        ("leader cut off", Some(LeaderFault::Partition)),
    ];
    let slow = Conditions {
        delay: Duration::from_millis(30),
        jitter: Duration::from_millis(60),
        loss: 0.01,
        duplication: 0.0,
    };
    println!("election timeout {ELECTION_TIMEOUT:?}, heartbeat {HEARTBEAT:?}, {SEEDS} seeds");
    println!("| event | network | voters | median ms | 99 in 100 ms | worst ms |");
    println!("| --- | --- | ---: | ---: | ---: | ---: |");
    for (name, fault) in events {
        for voters in [&[1, 2, 3][..], &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5, 6, 7]] {
            print_row(name, ("1-2 ms", Conditions::good()), voters, fault);
            print_row(name, ("30-90 ms, 1% lost", slow), voters, fault);
        }
    }
}
