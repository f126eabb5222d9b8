//! Calls to back ends in flight.
//!
//! Invariant: an answer is passed only to the coordinator that made the call; answers to calls of an earlier
//! leadership are dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_ownership::CoordinatorInput;
use grebepin_schema::{ServerName, SocketAddress};
use grebepin_storage::Disk;

use super::input::{BackEndAnswer, CallFailure, CallId};
use super::output::{BackEndRequest, NodeOutput};
use super::ControlNode;

/// Operation of a call, to match it with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Heartbeat,
    Grant,
    Release,
    Holdings,
    Drain,
}

impl CallKind {
    fn of(request: &BackEndRequest) -> Self {
        match request {
            BackEndRequest::Heartbeat(_) => Self::Heartbeat,
            BackEndRequest::Grant(_) => Self::Grant,
            BackEndRequest::Release(_) => Self::Release,
            BackEndRequest::Holdings(_) => Self::Holdings,
            BackEndRequest::Drain(_) => Self::Drain,
        }
    }
}

/// One call in flight.
#[derive(Clone, Debug)]
struct Call {
    kind: CallKind,
    server: ServerName,
    sent_at: Duration,
}

/// Calls in flight.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next_id: u64,
    in_flight: BTreeMap<CallId, Call>,
}

impl Calls {
    fn begin(&mut self, call: Call) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(id, call);
        id
    }

    /// Discards every call, so that late answers are dropped.
    pub(super) fn clear(&mut self) {
        self.in_flight.clear();
    }
}

impl<D: Disk> ControlNode<D> {
    pub(super) fn call(
        &mut self,
        now: Duration,
        server: ServerName,
        address: SocketAddress,
        request: BackEndRequest,
    ) {
        let call = self.calls.begin(Call {
            kind: CallKind::of(&request),
            server,
            sent_at: now,
        });
        self.metrics.back_end_calls += 1;
        self.outputs.push(NodeOutput::BackEnd {
            call,
            address,
            request,
        });
    }

    pub(super) fn handle_call(
        &mut self,
        now: Duration,
        call: CallId,
        answer: Result<BackEndAnswer, CallFailure>,
    ) {
        let Some(call) = self.calls.in_flight.remove(&call) else {
            return;
        };
        if answer.is_err() {
            self.metrics.back_end_failures += 1;
        }
        self.coordinate(now, coordinator_input(call, answer.ok()));
    }
}

/// Coordinator input for a finished call. An answer to another operation counts as a failure.
fn coordinator_input(call: Call, answer: Option<BackEndAnswer>) -> CoordinatorInput<'static> {
    let Call {
        kind,
        server,
        sent_at,
    } = call;
    match (kind, answer) {
        (CallKind::Heartbeat, Some(BackEndAnswer::Heartbeat(answer))) => {
            CoordinatorInput::HeartbeatAnswered {
                server,
                answer,
                sent_at,
            }
        }
        (CallKind::Heartbeat, _) => CoordinatorInput::HeartbeatFailed { server },
        (CallKind::Grant, Some(BackEndAnswer::Grant(answer))) => {
            CoordinatorInput::GrantAnswered { server, answer }
        }
        (CallKind::Grant, _) => CoordinatorInput::GrantFailed { server },
        (CallKind::Release, Some(BackEndAnswer::Release(answer))) => {
            CoordinatorInput::ReleaseAnswered { server, answer }
        }
        (CallKind::Release, _) => CoordinatorInput::ReleaseFailed { server },
        (CallKind::Holdings, Some(BackEndAnswer::Holdings(answer))) => {
            CoordinatorInput::HoldingsAnswered { server, answer }
        }
        (CallKind::Holdings, _) => CoordinatorInput::HoldingsFailed { server },
        (CallKind::Drain, _) => CoordinatorInput::DrainDone { server },
    }
}
