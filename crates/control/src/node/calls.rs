//! Calls to back ends that are under way.
//!
//! Invariant: an answer reaches the coordinator that asked, or none; an answer to a call of an earlier
//! leadership is dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_ownership::CoordinatorInput;
use grebepin_schema::{ServerName, SocketAddress};
use grebepin_storage::Disk;

use super::input::{BackEndAnswer, CallFailure, CallId};
use super::output::{BackEndRequest, NodeOutput};
use super::ControlNode;

/// What a call asked for.
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

/// One call under way.
#[derive(Clone, Debug)]
struct Call {
    kind: CallKind,
    server: ServerName,
    sent_at: Duration,
}

/// Calls under way.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    open: BTreeMap<CallId, Call>,
}

impl Calls {
    fn begin(&mut self, call: Call) -> CallId {
        let id = CallId(self.next);
        self.next += 1;
        self.open.insert(id, call);
        id
    }

    /// Forgets every call, so that late answers are dropped.
    pub(super) fn forget(&mut self) {
        self.open.clear();
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

    pub(super) fn take_in_call(
        &mut self,
        now: Duration,
        call: CallId,
        answer: Result<BackEndAnswer, CallFailure>,
    ) {
        let Some(call) = self.calls.open.remove(&call) else {
            return;
        };
        if answer.is_err() {
            self.metrics.back_end_failures += 1;
        }
        self.coordinate(now, coordinator_input(call, answer.ok()));
    }
}

/// What an ended call means to the coordinator. An answer of another kind counts as none.
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
