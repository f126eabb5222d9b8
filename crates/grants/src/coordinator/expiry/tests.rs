use super::*;
use crate::timing::Timing;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A new leader of 10,000 servers that looked at each of them ten times a second would have no time for their
/// heartbeats.
#[test]
fn a_new_leader_looks_at_everybody_once_a_second_and_when_earlier_leases_have_ended() {
    let timing = Timing {
        lease: ms(5_200),
        heartbeat_interval: ms(3_000),
        drain_window: ms(1_000),
        evacuation_window: ms(1_500),
        server_timeout: ms(13_000),
    };
    let began = ms(40_000);
    let mut coordinator = Coordinator::new(timing, began);
    let mut looks = Vec::new();
    for tick in 1..=100 {
        let now = began + ms(tick * 100);
        if coordinator.looks_at_all(now) {
            looks.push(now);
        }
        coordinator.tick(now, &Catalog::default());
    }
    assert!((9..=11).contains(&looks.len()), "{looks:?}");
    let first_after = looks.iter().find(|at| **at > timing.lease_end(began));
    let delay = first_after.map(|at| *at - timing.lease_end(began));
    assert!(delay.is_some_and(|delay| delay <= ms(100)), "{delay:?}");
}
