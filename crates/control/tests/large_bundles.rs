//! Many large bundles, one after the other: what a replica holds of its log follows from what is in force.

mod support;

use grebepin_control::AdminAnswer;
use support::bundles::{bundle_of_servers, digest_of};
use support::Cluster;

/// Number of bundles, and of servers in each: together some 25 MB.
const BUNDLES: u64 = 120;
const SERVERS: u16 = 2_000;

/// What a replica may hold of its log, and its files together: a few times the 4 MiB at which it saves a snapshot.
const MAX_LOG_BYTES: usize = 8 << 20;
const MAX_DISK_BYTES: u64 = 16 << 20;

fn check_held(cluster: &Cluster, when: &str) {
    for (number, machine) in cluster.machines.iter().enumerate() {
        let node = machine.node.as_ref().expect("it runs");
        let log = node.consensus().log_bytes();
        let disk = machine.disk.used_bytes();
        assert!(
            log <= MAX_LOG_BYTES && disk <= MAX_DISK_BYTES,
            "replica {number} {when}: {log} bytes of log, {disk} on disk"
        );
    }
}

/// Guards against replicas that keep 2,000 bundles of any size, in memory and on disk.
#[test]
fn large_bundles_accumulate_neither_in_memory_nor_on_disk() {
    let mut cluster = Cluster::founded(3);
    let mut parent = None;
    for version in 1..=BUNDLES {
        let next = bundle_of_servers(version, parent, SERVERS);
        let answer = cluster.roll(&next);
        assert!(matches!(answer, Ok(AdminAnswer::Rolled(_))), "{answer:?}");
        parent = Some(digest_of(&next));
    }
    cluster.settle();
    check_held(&cluster, "after all bundles");
    for machine in 0..3 {
        cluster.kill(machine);
    }
    for machine in 0..3 {
        cluster.start(machine).expect("an intact disk opens");
    }
    cluster.settle();
    check_held(&cluster, "after a restart");
    assert_eq!(cluster.status(0).bundle_version, Some(BUNDLES));
}
