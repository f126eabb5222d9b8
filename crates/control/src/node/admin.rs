//! Admin requests from operators.
//!
//! Invariant: a change is acknowledged only after it is committed and applied; otherwise it is answered with
//! an error kind that tells whether it may have taken effect.

use std::time::Duration;

use grebepin_bundle::VerifyError;
use grebepin_ownership::{Applied, BundleOutcome, BundleRefusal, Outcome, StandingOutcome};
use grebepin_schema::{
    AcceptBundle, ApiError, ApiErrorKind, BundleRecord, Command, DrainServerAnswer,
    DrainServerRequest, LogIndex, RollAnswer, ServerStanding, SetStanding, SignedBundle,
    StandingOrigin,
};
use grebepin_storage::Disk;

use super::error::NodeError;
use super::input::{AdminRequest, ReplyId};
use super::leadership::{api_error, internal_error};
use super::output::{AdminAnswer, NodeOutput, Notice};
use super::waiting::{EntryWaiter, ReadWaiter};
use super::ControlNode;

impl<D: Disk> ControlNode<D> {
    pub(super) fn handle_admin(
        &mut self,
        now: Duration,
        reply: ReplyId,
        request: AdminRequest,
    ) -> Result<(), NodeError> {
        let answer = match request {
            AdminRequest::Found(request) => self.found(now, request)?.map(AdminAnswer::Founded),
            AdminRequest::Identity => Ok(AdminAnswer::Identity(self.identity())),
            AdminRequest::Status => Ok(AdminAnswer::Status(Box::new(self.status(now)))),
            AdminRequest::Metrics => Ok(AdminAnswer::Metrics(Box::new(self.metrics()))),
            AdminRequest::Ready => Ok(AdminAnswer::Ready(self.is_ready())),
            AdminRequest::SubmitBundle(signed) => {
                self.submit_bundle(now, reply, *signed);
                return Ok(());
            }
            AdminRequest::Bundle => {
                self.request_read_for(now, reply, ReadWaiter::Bundle(reply));
                return Ok(());
            }
            AdminRequest::Table => {
                self.request_read_for(now, reply, ReadWaiter::Table(reply));
                return Ok(());
            }
            AdminRequest::Drain(request) => {
                self.drain(now, reply, request);
                return Ok(());
            }
            AdminRequest::RemoveMember(request) => {
                self.remove_member(now, reply, request);
                return Ok(());
            }
        };
        self.reply(reply, answer);
        Ok(())
    }

    pub(super) fn reply(&mut self, reply: ReplyId, result: Result<AdminAnswer, ApiError>) {
        self.outputs.push(NodeOutput::AdminReply { reply, result });
    }

    /// Error for a change sent to a replica that has no active leadership. A replica that leads but hasn't
    /// started its coordinator yet doesn't name itself as the leader.
    pub(super) fn no_leadership_error(&mut self) -> ApiError {
        let leader = self.consensus.leader();
        let leader = leader.filter(|leader| *leader != self.replica);
        self.propose_error(grebepin_consensus::ProposeError::NotLeader { leader })
    }

    fn submit_bundle(&mut self, now: Duration, reply: ReplyId, signed: SignedBundle) {
        match self.check_bundle(&signed) {
            Ok(command) => self.propose_for(now, &command, EntryWaiter::Bundle(reply)),
            Err(error) => self.reply(reply, Err(error)),
        }
    }

    fn check_bundle(&self, signed: &SignedBundle) -> Result<Command, ApiError> {
        let trusted = &self.config.operators;
        let required = self.config.required_signatures;
        let digest = grebepin_bundle::verify(signed, trusted, required).map_err(signature_error)?;
        grebepin_bundle::check(&signed.bundle).map_err(|findings| {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            api_error(ApiErrorKind::InvalidBundle, lines.join("; "))
        })?;
        Ok(Command::AcceptBundle(AcceptBundle {
            signed: signed.clone(),
            digest,
        }))
    }

    fn request_read_for(&mut self, now: Duration, reply: ReplyId, waiter: ReadWaiter) {
        match self.consensus.request_read(now) {
            Ok(read) => self.waiting.add_read(read, waiter),
            Err(error) => {
                let error = self.propose_error(error);
                self.reply(reply, Err(error));
            }
        }
    }

    fn drain(&mut self, now: Duration, reply: ReplyId, request: DrainServerRequest) {
        let standing = match request.draining {
            true => ServerStanding::Draining,
            false => ServerStanding::Active,
        };
        let command = Command::SetStanding(SetStanding {
            server: request.server,
            standing,
            origin: StandingOrigin::Operator,
        });
        self.propose_for(now, &command, EntryWaiter::Drain(reply));
    }

    /// Answers the confirmed reads whose index is applied.
    pub(super) fn answer_reads(&mut self) {
        for waiter in self.waiting.take_reads(self.applied) {
            match waiter {
                ReadWaiter::Follow(connection) => self.start_following(connection),
                ReadWaiter::Table(reply) => {
                    let table = Box::new(self.state.table());
                    self.reply(reply, Ok(AdminAnswer::Table(table)));
                }
                ReadWaiter::Bundle(reply) => {
                    let answer = self.state.bundle().cloned().map(Box::new);
                    let answer = answer.map(AdminAnswer::Bundle).ok_or_else(no_bundle_error);
                    self.reply(reply, answer);
                }
            }
        }
    }

    /// Answers the operator whose command was applied.
    pub(super) fn answer_applied(
        &mut self,
        waiter: Option<EntryWaiter>,
        index: LogIndex,
        applied: &Applied,
    ) {
        if let Outcome::Bundle(BundleOutcome::Accepted { record, repeated }) = &applied.outcome {
            if !repeated {
                let version = record.version;
                self.notice(Notice::BundleAccepted { index, version });
            }
        }
        if let Some(waiter) = waiter {
            self.reply(waiter.reply(), admin_answer(index, &applied.outcome));
        }
    }
}

fn admin_answer(index: LogIndex, outcome: &Outcome) -> Result<AdminAnswer, ApiError> {
    match outcome {
        Outcome::Bundle(BundleOutcome::Accepted { record, repeated }) => {
            Ok(AdminAnswer::Rolled(RollAnswer {
                digest: record.digest.clone(),
                index: record.index,
                repeated: *repeated,
                version: record.version,
            }))
        }
        Outcome::Bundle(BundleOutcome::Refused(refusal)) => Err(bundle_refusal_error(refusal)),
        Outcome::Standing(StandingOutcome::Set { shards, .. }) => {
            Ok(AdminAnswer::Drained(DrainServerAnswer {
                index,
                shards: *shards,
            }))
        }
        Outcome::Standing(StandingOutcome::UnknownServer { server }) => {
            let message = format!("no server {} in the bundle in force", server.as_str());
            Err(api_error(ApiErrorKind::UnknownServer, message))
        }
        Outcome::Assigned(_) | Outcome::Boot(_) => Err(internal_error(
            "an operator's command became another".to_owned(),
        )),
    }
}

fn signature_error(error: VerifyError) -> ApiError {
    let kind = match &error {
        VerifyError::TooFewSignatures { .. } => ApiErrorKind::TooFewSignatures,
        VerifyError::BadSignature { .. } | VerifyError::InvalidPublicKey { .. } => {
            ApiErrorKind::BadSignature
        }
    };
    api_error(kind, error.to_string())
}

fn bundle_refusal_error(refusal: &BundleRefusal) -> ApiError {
    let (kind, accepted): (ApiErrorKind, Option<&BundleRecord>) = match refusal {
        BundleRefusal::VersionConflict { accepted } => {
            (ApiErrorKind::VersionConflict, Some(accepted))
        }
        BundleRefusal::OlderVersion { accepted, .. } => {
            (ApiErrorKind::ParentMismatch, Some(accepted))
        }
        BundleRefusal::ParentMismatch { accepted } => {
            (ApiErrorKind::ParentMismatch, accepted.as_ref())
        }
        _ => (ApiErrorKind::InvalidBundle, None),
    };
    ApiError {
        accepted_digest: accepted.map(|record| record.digest.clone()),
        accepted_version: accepted.map(|record| record.version),
        ..api_error(kind, refusal.to_string())
    }
}

fn no_bundle_error() -> ApiError {
    let message = "no bundle is in force yet; roll the first one with `grebepin bundle roll`";
    api_error(ApiErrorKind::NotFound, message.to_owned())
}
