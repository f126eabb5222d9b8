//! Servers that are about to stop, as known to a gateway.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::change_time::ChangeTime;
use grebepin_gateway::leaving::LeavingServers;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_leaving_server_is_used_for_a_fraction_of_the_drain_time_since_the_first_notice() {
    let mut leaving = LeavingServers::new(at(2_000));
    let id = InstanceId::new("i-1");
    assert!(leaving.is_usable(&id, at(0)) && !leaving.is_leaving(&id));
    assert!(leaving.note(&id, ChangeTime::immediate(at(1_000))));
    assert!(leaving.is_usable(&id, at(2_000)) && leaving.is_leaving(&id));
    assert!(
        !leaving.note(&id, ChangeTime::immediate(at(2_000))),
        "a later notice changes nothing"
    );
    for late in [3_000, 100_000] {
        assert!(!leaving.is_usable(&id, at(late)), "{late} ms");
    }
}

#[test]
fn a_restarted_server_is_not_leaving() {
    let mut leaving = LeavingServers::new(at(2_000));
    leaving.note(
        &InstanceId::started_at("i-1", 1_000),
        ChangeTime::immediate(at(0)),
    );
    let restarted = InstanceId::started_at("i-1", 2_000);
    assert!(!leaving.is_leaving(&restarted));
    assert!(leaving.is_usable(&restarted, at(60_000)));
    leaving.retain(|_| false);
    assert!(leaving.is_empty());
}

/// Guards against a gateway that reads a drain long after its acknowledgement and uses the server as if it had just
/// begun.
#[test]
fn a_drain_that_is_read_late_ends_in_time() {
    for delay in [0, 400, 1_500, 2_000, 30_000] {
        let mut leaving = LeavingServers::new(at(2_000));
        let id = InstanceId::new("i-1");
        let read_at = 100_000;
        let time = ChangeTime {
            read_at: at(read_at),
            acknowledged_after: Some(at(read_at - delay)),
        };
        leaving.note(&id, time);
        let bound = read_at - delay + 2_000;
        for now in (read_at..read_at + 5_000)
            .step_by(50)
            .filter(|now| *now >= bound)
        {
            assert!(!leaving.is_usable(&id, at(now)), "{delay}, {now}");
        }
    }
}
