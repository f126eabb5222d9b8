//! Servers that are about to stop, as known to a gateway.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::leaving::LeavingServers;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_leaving_server_is_used_for_a_fraction_of_the_drain_time_since_the_first_notice() {
    let mut leaving = LeavingServers::new(at(2_000));
    let id = InstanceId::new("i-1");
    assert!(leaving.is_usable(&id, at(0)) && !leaving.is_leaving(&id));
    assert!(leaving.note(&id, at(1_000)));
    assert!(leaving.is_usable(&id, at(2_000)) && leaving.is_leaving(&id));
    assert!(
        !leaving.note(&id, at(2_000)),
        "a later notice changes nothing"
    );
    for late in [3_000, 100_000] {
        assert!(!leaving.is_usable(&id, at(late)), "{late} ms");
    }
}

#[test]
fn a_restarted_server_is_not_leaving() {
    let mut leaving = LeavingServers::new(at(2_000));
    leaving.note(&InstanceId::started_at("i-1", 1_000), at(0));
    let restarted = InstanceId::started_at("i-1", 2_000);
    assert!(!leaving.is_leaving(&restarted));
    assert!(leaving.is_usable(&restarted, at(60_000)));
    leaving.retain(|_| false);
    assert!(leaving.is_empty());
}
