//! Waits of a request for a table change or for its owner, and their limits.

mod support;

use std::time::Duration;

use grebepin_schema::{LogIndex, Outcome, Refusal, RejectKind};
use grebepin_traffic::flow::{FIRST_RETRY_DELAY, RELEASE_RETRY_DELAY};
use grebepin_traffic::{FlowAction, FlowInput, LossReason, OwnerLookup, RequestFlow, RequestSpec};
use support::{by_attempt, spec, target, DEADLINE, KINDS, NOW};

#[test]
fn without_an_owner_the_wait_is_bounded_and_ends_early_at_a_change() {
    let no_owner = || {
        FlowInput::LookedUp(OwnerLookup::NoOwner {
            table_index: LogIndex(5),
        })
    };
    let (mut flow, _) = RequestFlow::start(spec(false, 1), NOW);
    let FlowAction::Wait { newer_than, until } = flow.step(NOW, no_owner()) else {
        panic!("waits for the table");
    };
    assert_eq!(newer_than, LogIndex(5));
    assert_eq!(until, NOW + grebepin_traffic::flow::MAX_WAIT);
    // A table change without an owner does not extend the wait.
    let later = NOW + Duration::from_millis(50);
    assert_eq!(flow.step(later, FlowInput::Woken), FlowAction::Lookup);
    let again = flow.step(later, no_owner());
    assert_eq!(again, FlowAction::Wait { newer_than, until });
    assert_eq!(flow.step(until, FlowInput::Woken), FlowAction::Lookup);
    let FlowAction::Finish(answer) = flow.step(until, no_owner()) else {
        panic!("gives up at the end of the wait");
    };
    assert_eq!(
        (answer.outcome, answer.reject),
        (Outcome::NotRun, Some(RejectKind::NoOwner))
    );
}

#[test]
fn a_wait_takes_at_most_half_of_the_time_left() {
    for (left, max_wait) in [(10_000, 1500), (3000, 1500), (500, 250), (20, 10)] {
        let left = Duration::from_millis(left);
        let spec = RequestSpec {
            deadline: NOW + left,
            ..spec(false, 1)
        };
        let (mut flow, _) = RequestFlow::start(spec, NOW);
        let no_owner = FlowInput::LookedUp(OwnerLookup::NoOwner {
            table_index: LogIndex(5),
        });
        let until = NOW + Duration::from_millis(max_wait);
        let newer_than = LogIndex(5);
        assert_eq!(
            flow.step(NOW, no_owner),
            FlowAction::Wait { newer_than, until }
        );
    }
}

#[test]
fn only_a_resend_to_the_same_ownership_takes_a_retry() {
    for (refusal, pause) in [
        (Refusal::WrongEpoch, FIRST_RETRY_DELAY),
        (Refusal::NoLease, FIRST_RETRY_DELAY),
        (Refusal::Releasing, RELEASE_RETRY_DELAY),
        (Refusal::Shed, FIRST_RETRY_DELAY),
    ] {
        let (mut flow, _) = RequestFlow::start(spec(false, 1), NOW);
        let found = |epoch| FlowInput::LookedUp(OwnerLookup::Owner(target(epoch)));
        flow.step(NOW, found(7));
        flow.step(NOW, FlowInput::Admitted);
        let until = NOW + pause;
        let wait = FlowAction::Wait {
            newer_than: LogIndex(7),
            until,
        };
        assert_eq!(flow.step(NOW, FlowInput::Refused(refusal)), wait);
        // A table change of another shard does not end the wait.
        flow.step(NOW, FlowInput::Woken);
        assert_eq!(flow.step(NOW, found(7)), wait);
        flow.step(until, FlowInput::Woken);
        let mut elsewhere = flow.clone();
        assert!(matches!(
            elsewhere.step(until, found(8)),
            FlowAction::Admit(_)
        ));
        assert_eq!(flow.step(until, found(7)), FlowAction::TakeRetry);
        let mut spent = flow.clone();
        let FlowAction::Finish(answer) = spent.step(until, FlowInput::Retry(false)) else {
            panic!("gives up");
        };
        assert_eq!(
            (answer.outcome, answer.reject),
            (Outcome::NotRun, Some(RejectKind::RetryBudget))
        );
        assert!(matches!(
            flow.step(until, FlowInput::Retry(true)),
            FlowAction::Admit(_)
        ));
    }
}

#[test]
fn an_unreachable_owner_is_not_retried_until_the_shard_has_moved() {
    let found = |epoch| FlowInput::LookedUp(OwnerLookup::Owner(target(epoch)));
    let (mut flow, _) = RequestFlow::start(spec(false, 1), NOW);
    flow.step(NOW, found(7));
    flow.step(NOW, FlowInput::Admitted);
    let FlowAction::Wait { until, .. } = flow.step(NOW, FlowInput::NotSent) else {
        panic!("waits for the table");
    };
    // First the table changes without moving this shard, then the shard moves.
    assert_eq!(flow.step(NOW, FlowInput::Woken), FlowAction::Lookup);
    let newer_than = LogIndex(7);
    assert_eq!(
        flow.step(NOW, found(7)),
        FlowAction::Wait { newer_than, until }
    );
    flow.step(NOW, FlowInput::Woken);
    let mut moved = flow.clone();
    assert!(matches!(moved.step(NOW, found(8)), FlowAction::Admit(_)));
    // The shard does not move before the end of the wait, or the request cannot wait at all.
    for (now, input) in [(until, found(7)), (NOW, found(7))] {
        let mut given_up = flow.clone();
        let mut action = given_up.step(now, input);
        if now < until {
            action = given_up.step(now, FlowInput::CannotWait);
        }
        let FlowAction::Finish(answer) = action else {
            panic!("{action:?}");
        };
        assert_eq!(
            (answer.outcome, answer.reject),
            (Outcome::NotRun, Some(RejectKind::OwnerLost))
        );
    }
}

#[test]
fn a_request_past_its_deadline_is_not_sent() {
    for (repeatable, attempt) in KINDS {
        let (_, action) = RequestFlow::start(spec(repeatable, attempt), DEADLINE);
        let FlowAction::Finish(answer) = action else {
            panic!("{action:?}");
        };
        assert_eq!(answer.outcome, by_attempt(attempt));
        assert_eq!(answer.reject, Some(RejectKind::DeadlineTooNear));
    }
}

#[test]
fn time_for_a_cancellation_is_reserved_unless_the_request_is_repeatable() {
    for (repeatable, attempt) in KINDS {
        let (mut flow, _) = RequestFlow::start(spec(repeatable, attempt), NOW);
        flow.step(NOW, FlowInput::LookedUp(OwnerLookup::Owner(target(7))));
        let FlowAction::Send { until, .. } = flow.step(NOW, FlowInput::Admitted) else {
            panic!("sends");
        };
        assert_eq!(until < DEADLINE, !repeatable);
        if !repeatable {
            // After a send timeout, the cancellation still ends by the deadline.
            let action = flow.step(until, FlowInput::Lost(LossReason::TimedOut));
            let FlowAction::Cancel { until: end, .. } = action else {
                panic!("{action:?}");
            };
            assert!(until < end && end <= DEADLINE);
        }
    }
}
