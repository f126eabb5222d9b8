//! How long a group is without a usable leader, on a virtual clock: from its start, and after the
//! leader crashes, freezes or is cut off. Usable means that an entry of the leader's own term is
//! committed and its lease runs.
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
const LONGEST: Duration = Duration::from_secs(60);
/// Time a leader leads before it is lost; a part of a heartbeat is added for each seed.
const SETTLED: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Loss {
    Crashed,
    Frozen,
    CutOff,
}

fn is_usable(cluster: &Cluster, id: u64) -> bool {
    let core = cluster.core(id);
    let now = cluster.replica(id).clock.read(cluster.at);
    core.has_committed_in_term() && core.leader_lease_until().is_some_and(|until| now < until)
}

/// Time until a leader other than `lost` is usable.
fn time_to_leader(cluster: &mut Cluster, lost: Option<u64>) -> Duration {
    let from = cluster.at;
    let usable = cluster.run_until(LONGEST, |cluster| {
        let running = cluster.replicas.iter();
        let mut running = running.filter(|(_, replica)| replica.consensus.is_some());
        running.any(|(id, _)| Some(id.0) != lost && is_usable(cluster, id.0))
    });
    assert!(usable, "a leader within a minute");
    cluster.at - from
}

fn run(seed: u64, voters: &[u64], network: Conditions, loss: Option<Loss>) -> Duration {
    let mut cluster = Cluster::new(seed, voters, &[], Guards::all());
    cluster.network.conditions = network;
    let first = time_to_leader(&mut cluster, None);
    let Some(loss) = loss else {
        return first;
    };
    cluster.run(SETTLED + HEARTBEAT.mul_f64(seed as f64 / SEEDS as f64));
    let leader = cluster.leader().expect("a leader");
    match loss {
        Loss::Crashed => cluster.crash(leader),
        Loss::Frozen => cluster.pause(leader),
        Loss::CutOff => {
            let rest: Vec<u64> = voters.iter().copied().filter(|id| *id != leader).collect();
            cluster.network.partition(&[leader], &rest);
        }
    }
    let time = time_to_leader(&mut cluster, Some(leader));
    assert_eq!(cluster.violations(), []);
    time
}

fn print_row(name: &str, network: (&str, Conditions), voters: &[u64], loss: Option<Loss>) {
    let mut times: Vec<u128> = (0..SEEDS)
        .map(|seed| run(seed, voters, network.1, loss).as_millis())
        .collect();
    times.sort_unstable();
    let at = |hundredths: usize| times[(times.len() - 1) * hundredths / 100];
    println!(
        "| {name} | {} | {} | {} | {} | {} |",
        network.0,
        voters.len(),
        at(50),
        at(99),
        at(100)
    );
}

fn main() {
    let events = [
        ("start", None),
        ("leader crashed", Some(Loss::Crashed)),
        ("leader frozen", Some(Loss::Frozen)),
        ("leader cut off", Some(Loss::CutOff)),
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
    for (name, loss) in events {
        for voters in [&[1, 2, 3][..], &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5, 6, 7]] {
            print_row(name, ("1-2 ms", Conditions::good()), voters, loss);
            print_row(name, ("30-90 ms, 1% lost", slow), voters, loss);
        }
    }
}
