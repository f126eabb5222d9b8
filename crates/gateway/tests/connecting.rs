//! Time until a replica is reached over links with long queues or after a cut.

use std::time::Duration;

use grebepin_gateway::connecting::{attempt_state, AttemptState};
use grebepin_gateway::replicas::Replicas;

const TICK: Duration = Duration::from_millis(200);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const REPLICA: &str = "10.0.0.1:7000";

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// An attempt to connect that is under way.
struct Attempt {
    opened_at: Duration,
    is_late: bool,
}

/// Time until a connection is established that takes `handshake`, when packets sent before `healed_at` are lost;
/// `None` if there is none after 20 s. Also the largest number of attempts at a time.
fn time_to_connect(handshake: Duration, healed_at: Duration) -> (Option<Duration>, usize) {
    let mut replicas = Replicas::new("node", "zone", vec![REPLICA.to_owned()]);
    let mut attempts: Vec<Attempt> = Vec::new();
    let (mut now, mut most) = (Duration::ZERO, 0);
    while now < ms(20_000) {
        let is_established =
            |one: &Attempt| one.opened_at >= healed_at && now >= one.opened_at + handshake;
        if attempts.iter().any(is_established) {
            return (Some(now), most);
        }
        for attempt in &mut attempts {
            let is_late = attempt_state(now, attempt.opened_at) != AttemptState::Recent;
            if is_late && !attempt.is_late {
                replicas.avoid(now, REPLICA, RETRY_DELAY);
            }
            attempt.is_late = is_late;
        }
        attempts.retain(|one| attempt_state(now, one.opened_at) != AttemptState::TimedOut);
        let is_covered = attempts.iter().any(|one| !one.is_late);
        if !is_covered && !replicas.wanted(now, false).is_empty() {
            attempts.push(Attempt {
                opened_at: now,
                is_late: false,
            });
        }
        most = most.max(attempts.len());
        now += TICK;
    }
    (None, most)
}

/// Guards against a gateway that never finds back to a replica in a crowd, since it abandons each attempt before the
/// handshake has crossed the queue of its link.
#[test]
fn a_replica_is_reached_over_a_link_with_a_long_queue() {
    for handshake in [10, 350, 700, 1_200, 2_500] {
        let (time, most) = time_to_connect(ms(handshake), ms(0));
        let expected = ms(handshake) + TICK;
        assert!(
            time.is_some_and(|time| time <= expected),
            "{handshake} ms: {time:?}"
        );
        assert!(most <= 6, "{most} attempts at a time");
    }
}

#[test]
fn a_replica_is_reached_soon_after_a_cut_whose_packets_were_lost() {
    for healed_at in (0..5_000).step_by(170) {
        let (time, _) = time_to_connect(ms(300), ms(healed_at));
        let limit = ms(healed_at + 300) + ms(400) + RETRY_DELAY + TICK * 2;
        assert!(
            time.is_some_and(|time| time <= limit),
            "healed at {healed_at}: {time:?}"
        );
    }
}
