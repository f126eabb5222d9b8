use super::*;
use crate::timing::Timing;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a leader that checks all servers on every tick, ten times a second: with 10,000
/// servers it would have no time left for their heartbeats.
#[test]
fn a_new_leader_checks_all_servers_once_a_second_and_when_earlier_leases_have_ended() {
    let timing = Timing {
        lease: ms(5_200),
        heartbeat_interval: ms(3_000),
        drain_window: ms(1_000),
        evacuation_window: ms(1_500),
        server_timeout: ms(13_000),
    };
    let began = ms(40_000);
    let mut coordinator = Coordinator::new(timing, began);
    let mut scans = Vec::new();
    for tick in 1..=100 {
        let now = began + ms(tick * 100);
        if coordinator.is_full_scan_due(now) {
            scans.push(now);
        }
        coordinator.tick(now, &Catalog::default());
    }
    assert!((9..=11).contains(&scans.len()), "{scans:?}");
    let first_after = scans.iter().find(|at| **at > timing.lease_end(began));
    let delay = first_after.map(|at| *at - timing.lease_end(began));
    assert!(delay.is_some_and(|delay| delay <= ms(100)), "{delay:?}");
}
