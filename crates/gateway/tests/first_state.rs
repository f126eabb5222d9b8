//! The first state of a gateway after all replicas restarted, in virtual time.

#[path = "../../directory/tests/cluster/mod.rs"]
#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Fault};
use grebepin_catalog::Command;
use grebepin_gateway::majority_state::newest_of_majority;

const SEEDS: std::ops::Range<u64> = 0..40;
const STEP: Duration = Duration::from_millis(5);

/// Time within which replicas restart and elect a leader.
const RECOVERY: Duration = Duration::from_secs(3);

fn sets_version(command: &Command, version: u64) -> bool {
    let Command::ChangeItems(change) = command else {
        return false;
    };
    change.upserts.iter().any(|item| item.version.0 == version)
}

/// Number of moments after the fault at which a gateway may take a state, and of those at which neither the
/// state nor the undecided changes contain version 2.
fn moments_without_version_2(cluster: &mut Cluster) -> (u32, u32) {
    let (mut taken, mut without) = (0, 0);
    for _ in 0..RECOVERY.as_millis() / STEP.as_millis() {
        cluster.run(STEP);
        let statuses = cluster.statuses();
        let heads = statuses
            .iter()
            .map(|(address, head)| (address.as_str(), head));
        let Some(state) = newest_of_majority(heads, 0) else {
            continue;
        };
        taken += 1;
        let in_state = cluster.version_at(state.index) == Some(2);
        let in_logs = state
            .undecided
            .iter()
            .any(|command| sets_version(command, 2));
        without += u32::from(!in_state && !in_logs);
    }
    (taken, without)
}

/// Guards against a first state that lacks a change acknowledged right before all replicas were lost.
#[test]
fn a_first_state_and_its_undecided_changes_contain_every_acknowledged_change() {
    for fault in [
        Fault::KillAll,
        Fault::PowerOffAll,
        Fault::WipeOneWhileOthersLosePower,
    ] {
        for seed in SEEDS {
            let mut cluster = Cluster::new(seed, 3);
            cluster.run(Duration::from_secs(3));
            cluster.change_until_acknowledged(1);
            cluster.change_as_early_as_possible(2);
            cluster.inject(fault);
            let (taken, without) = moments_without_version_2(&mut cluster);
            assert!(taken > 0, "{fault:?}, seed {seed}: no state was ever taken");
            assert_eq!(without, 0, "{fault:?}, seed {seed}: of {taken} moments");
        }
    }
}
