//! Expected outcome of every failure for every kind of request.

mod support;

use std::time::Duration;

use grebepin_schema::{CancelAnswer, Epoch, Outcome, Refusal, RejectKind, RequestState};
use grebepin_traffic::{
    AdmissionRefusal, FlowAction, FlowInput, LossReason, OwnerLookup, RequestFlow, RequestSpec,
};
use support::{by_attempt, spec, target, DEADLINE, KINDS, NOW};

/// Scripted result of one send.
#[derive(Clone, Copy, Debug)]
enum SendResult {
    NotSent,
    Refused(Refusal),
    Lost(LossReason),
    Answered,
}

#[derive(Debug, PartialEq)]
struct Observed {
    outcome: Outcome,
    reject: Option<RejectKind>,
    sent: u32,
    cancels: u32,
}

struct Script<'a> {
    spec: RequestSpec,
    sends: &'a [SendResult],
    cancel: Option<CancelAnswer>,
    retry_allowed: bool,
    /// Whether the shard has a new epoch at each further lookup.
    moves: bool,
}

/// Runs a script; further sends repeat its last entry. Checks that no wait passes the deadline and that
/// a request that is not repeatable is never resent without proof that it did not run.
fn run_script(script: &Script<'_>) -> Observed {
    let (mut flow, mut action) = RequestFlow::start(script.spec, NOW);
    let mut now = NOW;
    let mut sent = 0;
    let mut cancels = 0;
    let mut last_is_proof = true;
    loop {
        let input = match action {
            FlowAction::Finish(answer) => {
                assert_eq!(answer.retry_after.is_some(), answer.reject.is_some());
                assert_eq!(flow.times_sent(), sent);
                return Observed {
                    outcome: answer.outcome,
                    reject: answer.reject,
                    sent,
                    cancels,
                };
            }
            FlowAction::Lookup => {
                let epoch = if script.moves { 7 + u64::from(sent) } else { 7 };
                FlowInput::LookedUp(OwnerLookup::Owner(target(epoch)))
            }
            FlowAction::Admit(_) => FlowInput::Admitted,
            FlowAction::TakeRetry => FlowInput::Retry(script.retry_allowed),
            FlowAction::Wait { until, .. } => {
                assert!(until < DEADLINE && until >= now);
                // A change of the table ends the wait early.
                now = if script.moves {
                    now + Duration::from_millis(1)
                } else {
                    until
                };
                FlowInput::Woken
            }
            FlowAction::Cancel { until, .. } => {
                assert!(!script.spec.repeatable && until <= DEADLINE);
                cancels += 1;
                FlowInput::Cancelled(script.cancel.clone())
            }
            FlowAction::Send { until, .. } => {
                assert!(until <= DEADLINE);
                assert!(
                    script.spec.repeatable || last_is_proof,
                    "sent again without proof"
                );
                let what = script.sends[(sent as usize).min(script.sends.len() - 1)];
                sent += 1;
                last_is_proof = matches!(what, SendResult::NotSent | SendResult::Refused(_));
                match what {
                    SendResult::NotSent => FlowInput::NotSent,
                    SendResult::Refused(refusal) => FlowInput::Refused(refusal),
                    SendResult::Lost(reason) => FlowInput::Lost(reason),
                    SendResult::Answered => FlowInput::Answered,
                }
            }
        };
        action = flow.step(now, input);
    }
}

#[test]
fn each_refusal_gives_its_outcome() {
    use RejectKind::{DeadlineTooNear, OutcomeUnknown, OwnerRefused};
    // Refusal, sends while the shard stays and while it moves, rejection, and whether the outcome is
    // unknown even for a first attempt.
    let table = [
        (Refusal::WrongEpoch, [3, 3], OwnerRefused, false),
        (Refusal::NoLease, [3, 3], OwnerRefused, false),
        (Refusal::Releasing, [3, 3], OwnerRefused, false),
        (Refusal::Draining, [1, 3], OwnerRefused, false),
        (Refusal::Shed, [2, 3], OwnerRefused, false),
        (Refusal::Deadline, [1, 1], DeadlineTooNear, false),
        (Refusal::Cancelled, [1, 1], OwnerRefused, false),
        (Refusal::BadRequest, [1, 1], OwnerRefused, false),
        (Refusal::AlreadyRunning, [1, 1], OutcomeUnknown, true),
        (Refusal::RecordIncomplete, [1, 1], OutcomeUnknown, true),
    ];
    for (refusal, sent, kind, unknown) in table {
        let kinds = KINDS.map(|kind| [(kind, false), (kind, true)]).concat();
        for ((repeatable, attempt), moves) in kinds {
            let sent = sent[usize::from(moves)];
            // A tombstone also covers the earlier attempts of a request that is not repeatable.
            let tombstone = refusal == Refusal::Cancelled && !repeatable;
            let outcome = match (unknown, tombstone) {
                (true, _) => Outcome::Unknown,
                (false, true) => Outcome::NotRun,
                (false, false) => by_attempt(attempt),
            };
            let observed = run_script(&Script {
                spec: spec(repeatable, attempt),
                sends: &[SendResult::Refused(refusal)],
                cancel: None,
                retry_allowed: true,
                moves,
            });
            let reject = Some(kind);
            let expected = Observed {
                outcome,
                reject,
                sent,
                cancels: 0,
            };
            assert_eq!(
                observed, expected,
                "{refusal} repeatable {repeatable} attempt {attempt}"
            );
        }
    }
}

#[test]
fn each_loss_gives_its_outcome() {
    let not_run = CancelAnswer {
        state: RequestState::NotRun,
        epoch: Epoch(7),
    };
    let state = |state| {
        Some(CancelAnswer {
            state,
            epoch: Epoch(7),
        })
    };
    let at = |epoch| {
        Some(CancelAnswer {
            epoch: Epoch(epoch),
            ..not_run.clone()
        })
    };
    #[rustfmt::skip]
    let cancels = [
        (None, false),
        (state(RequestState::NotRun), true),
        (at(8), false),
        (at(0), false),
        (state(RequestState::Ran), false),
        (state(RequestState::Running), false),
        (state(RequestState::Unseen), false),
        (state(RequestState::Unknown), false),
    ];
    let losses = [
        LossReason::TimedOut,
        LossReason::Broken,
        LossReason::Mismatched,
        LossReason::Superseded,
        LossReason::Invalid,
    ];
    for reason in losses {
        for (cancel, proof) in &cancels {
            for (repeatable, attempt) in KINDS {
                let observed = run_script(&Script {
                    spec: spec(repeatable, attempt),
                    sends: &[SendResult::Lost(reason)],
                    cancel: cancel.clone(),
                    retry_allowed: true,
                    moves: false,
                });
                let proven = *proof && !repeatable;
                let (outcome, kind) = match proven {
                    true => (Outcome::NotRun, RejectKind::OwnerLost),
                    false => (Outcome::Unknown, RejectKind::OutcomeUnknown),
                };
                let (sent, cancels) = if repeatable { (3, 0) } else { (1, 1) };
                let reject = Some(kind);
                let expected = Observed {
                    outcome,
                    reject,
                    sent,
                    cancels,
                };
                assert_eq!(
                    observed, expected,
                    "{reason:?} {cancel:?} repeatable {repeatable}"
                );
            }
        }
    }
}

#[test]
fn sequences_give_their_outcome() {
    use RejectKind::{OutcomeUnknown, OwnerLost, OwnerRefused, RetryBudget};
    let lost = SendResult::Lost(LossReason::Broken);
    let moved = SendResult::Refused(Refusal::WrongEpoch);
    let answered = (Outcome::Answered, None);
    // Results of the sends, repeatable, attempt, retry allowed, outcome and rejection, number of sends.
    #[rustfmt::skip]
    let table = [
        (vec![SendResult::Answered], false, 1, true, answered, 1),
        (vec![SendResult::Answered], false, 2, true, answered, 1),
        (vec![SendResult::NotSent], false, 1, true, (Outcome::NotRun, Some(OwnerLost)), 3),
        (vec![SendResult::NotSent], false, 2, true, (Outcome::Unknown, Some(OwnerLost)), 3),
        (vec![moved], false, 1, false, (Outcome::NotRun, Some(OwnerRefused)), 3),
        // A change of owner takes no retry from the budget.
        (vec![SendResult::NotSent, SendResult::Answered], false, 1, false, answered, 2),
        (vec![SendResult::NotSent, SendResult::Answered], false, 1, true, answered, 2),
        (vec![moved, SendResult::Answered], false, 1, true, answered, 2),
        (vec![moved, lost], false, 1, true, (Outcome::Unknown, Some(OutcomeUnknown)), 2),
        (vec![lost, SendResult::Answered], true, 1, true, answered, 2),
        // After a lost send the outcome stays unknown, even if a later send is refused.
        (vec![lost, moved], true, 1, true, (Outcome::Unknown, Some(OwnerRefused)), 3),
        (vec![lost], true, 1, false, (Outcome::Unknown, Some(RetryBudget)), 1),
    ];
    for (sends, repeatable, attempt, retry_allowed, (outcome, reject), sent) in table {
        let script = Script {
            spec: spec(repeatable, attempt),
            sends: &sends,
            cancel: None,
            retry_allowed,
            moves: true,
        };
        let observed = run_script(&script);
        let got = (observed.outcome, observed.reject, observed.sent);
        assert_eq!(
            got,
            (outcome, reject, sent),
            "{sends:?} repeatable {repeatable}"
        );
    }
}

#[test]
fn a_request_that_is_not_admitted_is_refused_at_once() {
    let retry_after = Duration::from_millis(70);
    let table = [
        (
            AdmissionRefusal::QueueFull { retry_after },
            RejectKind::QueueFull,
        ),
        (
            AdmissionRefusal::DeadlineTooNear { retry_after },
            RejectKind::DeadlineTooNear,
        ),
        (
            AdmissionRefusal::Ejected { retry_after },
            RejectKind::OwnerLost,
        ),
    ];
    for (refusal, kind) in table {
        for (repeatable, attempt) in KINDS {
            let (mut flow, _) = RequestFlow::start(spec(repeatable, attempt), NOW);
            flow.step(NOW, FlowInput::LookedUp(OwnerLookup::Owner(target(7))));
            let action = flow.step(NOW, FlowInput::NotAdmitted(refusal));
            let FlowAction::Finish(answer) = action else {
                panic!("{action:?}");
            };
            assert_eq!(answer.outcome, by_attempt(attempt));
            assert_eq!(
                (answer.reject, answer.retry_after),
                (Some(kind), Some(retry_after))
            );
        }
    }
}

#[test]
fn an_unexpected_input_ends_the_flow_with_an_unknown_outcome() {
    let (mut flow, _) = RequestFlow::start(spec(false, 1), NOW);
    flow.step(NOW, FlowInput::LookedUp(OwnerLookup::Owner(target(7))));
    flow.step(NOW, FlowInput::Admitted);
    let FlowAction::Finish(answer) = flow.step(NOW, FlowInput::Woken) else {
        panic!("flow does not end");
    };
    assert_eq!(answer.outcome, Outcome::Unknown);
}
