//! Servers that asked a gateway for no requests for a time.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::cooldowns::Cooldowns;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_time_is_never_shortened_and_ends_by_itself() {
    let mut cooldowns = Cooldowns::default();
    let id = InstanceId::new("i-1");
    assert!(cooldowns.note(&id, at(1_000), at(3_000)));
    assert!(!cooldowns.note(&id, at(1_100), at(200)), "shorter");
    assert!(!cooldowns.note(&id, at(1_200), at(3_000)), "longer");
    assert!(cooldowns.left(&id, at(4_199)).is_some());
    assert_eq!(cooldowns.count(at(4_199)), 1);
    let over = at(10_000);
    assert_eq!(cooldowns.left(&id, over), None);
    assert_eq!(cooldowns.count(over), 0);
    assert!(cooldowns.note(&id, over, at(1)), "begins anew");
}

#[test]
fn another_life_of_a_server_and_one_that_ended_are_not_meant() {
    let mut cooldowns = Cooldowns::default();
    let id = InstanceId::started_at("i-1", 1_000);
    cooldowns.note(&id, at(0), at(60_000));
    let reborn = InstanceId::started_at("i-1", 2_000);
    assert_eq!(cooldowns.left(&reborn, at(100)), None);
    cooldowns.retain(at(100), |_| false);
    assert_eq!(cooldowns.left(&id, at(100)), None);
}
