//! How long a leader's changes have reached a gateway.

use std::time::Duration;

use grebepin_gateway::leader_contact::LeaderContact;

const INTERVAL: Duration = Duration::from_millis(500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn contact_lasts_while_messages_arrive() {
    let mut contact = LeaderContact::default();
    for round in 0..20 {
        contact.note(INTERVAL * round);
    }
    assert_eq!(contact.held_for(INTERVAL * 20), Some(INTERVAL * 20));
}

#[test]
fn a_gateway_that_hears_nobody_is_without_contact() {
    let mut contact = LeaderContact::default();
    assert_eq!(contact.held_for(at(0)), None);
    contact.note(at(1_000));
    assert_eq!(contact.held_for(at(2_600)), Some(at(1_600)));
    assert_eq!(contact.held_for(at(2_601)), None);
}

/// Guards against a gateway that refuses everything after it stood still, or right after a partition has ended.
#[test]
fn contact_begins_anew_after_a_silence() {
    let mut contact = LeaderContact::default();
    contact.note(at(0));
    contact.note(at(3_000));
    assert_eq!(contact.held_for(at(3_400)), Some(at(400)));
}

/// Guards against a zone that refuses everything because its gateways hear each other and a replica without a leader.
#[test]
fn contact_ends_once_no_source_has_a_leader() {
    let mut contact = LeaderContact::default();
    contact.note(at(0));
    contact.note(at(400));
    contact.end();
    assert_eq!(contact.held_for(at(500)), None);
    contact.note(at(600));
    assert_eq!(contact.held_for(at(700)), Some(at(100)));
}
