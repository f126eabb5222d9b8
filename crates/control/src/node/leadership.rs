//! Lifecycle of the leader's coordinator, which runs from the time that all committed entries are applied
//! until leadership is lost.
//!
//! Invariant: a coordinator exists for one term, and reads the state only once every entry committed before
//! that term is applied.

use std::time::Duration;

use grebepin_consensus::ProposeError;
use grebepin_ownership::{
    Applied, Coordinator, CoordinatorConfig, CoordinatorInput, CoordinatorOutput,
};
use grebepin_schema::framing::encode;
use grebepin_schema::{
    ApiError, ApiErrorKind, Command, LogIndex, MachineList, Member, ReplicaId, Term,
};
use grebepin_storage::Disk;

use super::output::{BackEndRequest, Notice};
use super::waiting::{EntryWaiter, ReadWaiter};
use super::ControlNode;

/// The coordinator of one term as leader.
pub(super) struct Leadership {
    term: Term,
    coordinator: Coordinator,
}

impl Leadership {
    pub(super) fn next_wake(&self) -> Duration {
        self.coordinator.next_wake()
    }

    pub(super) fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }
}

impl<D: Disk> ControlNode<D> {
    /// Starts, ticks or stops the coordinator according to the consensus state.
    pub(super) fn update_leadership(&mut self, now: Duration) {
        let term = self.consensus.term();
        let stale = |leadership: &Leadership| leadership.term != term;
        if self.leadership.as_ref().is_some_and(stale) {
            self.end_leadership();
        }
        let applied_all = self.applied >= self.consensus.commit();
        if self.leadership.is_none() && self.consensus.has_committed_in_term() && applied_all {
            self.begin_leadership(now, term);
        }
        self.coordinate(now, CoordinatorInput::Tick);
    }

    fn begin_leadership(&mut self, now: Duration, term: Term) {
        let config = CoordinatorConfig {
            group: self.config.group,
            lease: self.config.timing.server_lease,
            heartbeat: self.config.timing.server_heartbeat,
            drift_percent: self.config.timing.drift_percent,
            leader_lease: self.config.timing.election_timeout,
            guards: self.config.guards.ownership,
        };
        let since = self.consensus.leader_since().unwrap_or(now);
        let coordinator = Coordinator::new(config, term, since);
        self.leadership = Some(Leadership { term, coordinator });
        self.metrics.leaderships += 1;
        self.notice(Notice::BecameLeader { term });
    }

    /// Stops the coordinator, fails all waiting requests with `lost-leadership` and redirects the routers.
    pub(super) fn end_leadership(&mut self) {
        if self.leadership.take().is_some() {
            let term = self.consensus.term();
            self.notice(Notice::LostLeadership { term });
        }
        self.calls.clear();
        let (entries, reads) = self.waiting.take_all();
        for waiter in entries {
            let reply = waiter.reply();
            self.reply(reply, Err(lost_leadership_error()));
        }
        for waiter in reads {
            // Waiting routers are redirected below, together with the other followers.
            if let ReadWaiter::Bundle(reply) | ReadWaiter::Table(reply) = waiter {
                self.reply(reply, Err(lost_leadership_error()));
            }
        }
        self.redirect_routers();
    }

    /// Passes an input to the coordinator and executes its outputs; ignored without leadership.
    pub(super) fn coordinate(&mut self, now: Duration, input: CoordinatorInput<'_>) {
        let lease_until = self.consensus.leader_lease_until().unwrap_or_default();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let outputs = leadership
            .coordinator
            .handle(now, &self.state, lease_until, input);
        for output in outputs {
            self.execute(now, output);
        }
    }

    pub(super) fn coordinate_applied(&mut self, now: Duration, applied: &Applied) {
        self.coordinate(now, CoordinatorInput::Applied(applied));
    }

    pub(super) fn handle_machines(&mut self, now: Duration, machines: MachineList) {
        self.coordinate(now, CoordinatorInput::Machines(&machines));
    }

    fn execute(&mut self, now: Duration, output: CoordinatorOutput) {
        match output {
            CoordinatorOutput::Heartbeat {
                server,
                address,
                request,
            } => self.call(now, server, address, BackEndRequest::Heartbeat(request)),
            CoordinatorOutput::Grant {
                server,
                address,
                request,
            } => self.call(now, server, address, BackEndRequest::Grant(request)),
            CoordinatorOutput::Release {
                server,
                address,
                request,
            } => self.call(now, server, address, BackEndRequest::Release(request)),
            CoordinatorOutput::Holdings {
                server,
                address,
                group,
            } => self.call(now, server, address, BackEndRequest::Holdings(group)),
            CoordinatorOutput::Drain {
                server,
                address,
                request,
            } => self.call(now, server, address, BackEndRequest::Drain(request)),
            CoordinatorOutput::Propose(command) => {
                if self.propose(now, &command).is_err() {
                    self.coordinate(now, CoordinatorInput::ProposeFailed(&command));
                }
            }
        }
    }

    pub(super) fn propose(
        &mut self,
        now: Duration,
        command: &Command,
    ) -> Result<(Term, LogIndex), ApiError> {
        let bytes = encode(command).map_err(|error| internal_error(error.to_string()))?;
        self.metrics.proposals += 1;
        self.consensus
            .propose(now, bytes)
            .map_err(|error| self.propose_error(error))
    }

    /// Proposes an operator's command; the operator is answered once it is applied.
    pub(super) fn propose_for(&mut self, now: Duration, command: &Command, waiter: EntryWaiter) {
        match self.propose(now, command) {
            Ok((term, index)) => self.waiting.add_entry(term, index, waiter),
            Err(error) => self.reply(waiter.reply(), Err(error)),
        }
    }

    pub(super) fn propose_error(&self, error: ProposeError) -> ApiError {
        match error {
            ProposeError::NotLeader { leader } => self.not_leader_error(leader),
            ProposeError::MembershipBusy | ProposeError::InvalidMembership(_) => {
                api_error(ApiErrorKind::MembershipBusy, error.to_string())
            }
            ProposeError::CommandTooLarge { .. } => {
                api_error(ApiErrorKind::TooLarge, error.to_string())
            }
            ProposeError::Overloaded { .. } => internal_error(error.to_string()),
        }
    }

    fn not_leader_error(&self, leader: Option<ReplicaId>) -> ApiError {
        if !self.is_founded() {
            let message = "no group is founded here; run `grebepin found`";
            return api_error(ApiErrorKind::NotFounded, message.to_owned());
        }
        let Some(member) = leader.and_then(|leader| self.member(leader)) else {
            let message = "no leader is known now; ask again shortly";
            return api_error(ApiErrorKind::NoLeader, message.to_owned());
        };
        ApiError {
            leader_admin_address: Some(member.admin_address.clone()),
            ..api_error(
                ApiErrorKind::NotLeader,
                format!("ask the leader at {}", member.admin_address.as_str()),
            )
        }
    }

    pub(super) fn member(&self, replica: ReplicaId) -> Option<&Member> {
        let members = &self.consensus.membership().members;
        members.iter().find(|member| member.replica == replica)
    }

    pub(super) fn leader_member(&self) -> Option<&Member> {
        self.consensus
            .leader()
            .and_then(|leader| self.member(leader))
    }
}

/// An error without the optional fields.
pub(crate) fn api_error(kind: ApiErrorKind, message: String) -> ApiError {
    ApiError {
        kind,
        message,
        accepted_digest: None,
        accepted_version: None,
        leader_admin_address: None,
    }
}

pub(super) fn internal_error(message: String) -> ApiError {
    api_error(ApiErrorKind::Internal, message)
}

fn lost_leadership_error() -> ApiError {
    let message =
        "the replica lost leadership before the outcome was known; send the same request \
                   again to the new leader";
    api_error(ApiErrorKind::LostLeadership, message.to_owned())
}
