//! Operators: found the group, roll bundles and drain servers, and retry each request until it is answered.
//!
//! Invariant: a retry sends an identical request.

use grebepin_control::{AdminAnswer, AdminRequest};
use grebepin_schema::{
    ApiError, ApiErrorKind, Digest, DrainServerRequest, FoundRequest, Member, SignedBundle,
};

use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{self, server_name};
use crate::message::OperatorInput;
use crate::process::Process;

/// Time without a reply after which an operator sends the request to the next replica.
const REPLY_TIMEOUT: Instant = 700 * MILLISECOND;

/// Delay before a retry after a retryable error.
const RETRY_DELAY: Instant = 100 * MILLISECOND;

/// An action requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorAction {
    /// Found the group through one replica.
    Found {
        /// The replica.
        control: usize,
        /// The founding members.
        members: Vec<Member>,
    },
    /// Submit a bundle whose parent is the latest one known to the operators.
    Roll {
        /// Share of the new side, in percent.
        new_share: u32,
        /// Distinguishes bundles of the same version.
        note: String,
    },
    /// Start or end the drain of a server.
    Drain {
        /// The server.
        server: usize,
        /// Whether the drain is started; false ends it.
        draining: bool,
    },
}

/// Output to be carried out by the simulator.
#[derive(Debug)]
pub enum OperatorEffect {
    /// Send a request to a control replica.
    Send {
        /// The job.
        job: usize,
        /// Number of the try.
        try_number: u32,
        /// The replica.
        control: usize,
        /// The request.
        request: AdminRequest,
    },
    /// Set a timer.
    Timer {
        /// Time at which it fires.
        at: Instant,
        /// Input delivered then.
        input: OperatorInput,
    },
}

struct Job {
    action: OperatorAction,
    signed: Option<SignedBundle>,
    after: Option<usize>,
    target: usize,
    /// Replica that the last request was sent to.
    asked: usize,
    try_number: u32,
    done: bool,
}

/// All operators.
#[derive(Default)]
pub struct Operators {
    jobs: Vec<Job>,
    known: Option<(u64, Digest)>,
    /// Replica that last answered successfully, most likely the leader.
    leader: Option<usize>,
}

impl Operators {
    /// Adds a job that starts at the time `at` with the replica `target`; returns its number and timer.
    pub fn add(
        &mut self,
        action: OperatorAction,
        target: usize,
        at: Instant,
    ) -> (usize, OperatorEffect) {
        self.push(action, None, target, at)
    }

    /// Adds a job that waits until the job `after` is done.
    pub fn add_after(
        &mut self,
        action: OperatorAction,
        after: usize,
        at: Instant,
    ) -> (usize, OperatorEffect) {
        self.push(action, Some(after), after % deployment::CONTROLS, at)
    }

    fn push(
        &mut self,
        action: OperatorAction,
        after: Option<usize>,
        target: usize,
        at: Instant,
    ) -> (usize, OperatorEffect) {
        self.jobs.push(Job {
            action,
            signed: None,
            after,
            target,
            asked: target,
            try_number: 0,
            done: false,
        });
        let job = self.jobs.len() - 1;
        (job, retry(at, job, 0))
    }

    /// Action of a job.
    pub fn action(&self, job: usize) -> Option<&OperatorAction> {
        self.jobs.get(job).map(|job| &job.action)
    }

    /// Whether a request to end the drain of a server was sent and is not answered yet.
    pub fn has_pending_drain_end(&self, server: usize) -> bool {
        let action = OperatorAction::Drain {
            server,
            draining: false,
        };
        let mut jobs = self.jobs.iter();
        jobs.any(|job| !job.done && job.try_number > 0 && job.action == action)
    }

    /// Whether a job is done: answered, or failed with a final error.
    pub fn is_done(&self, job: usize) -> bool {
        self.jobs.get(job).is_some_and(|job| job.done)
    }

    /// Number of jobs that are not done.
    pub fn unfinished(&self) -> usize {
        self.jobs.iter().filter(|job| !job.done).count()
    }

    /// Processes an input and returns the resulting effects.
    pub fn handle(&mut self, now: Instant, input: OperatorInput) -> Vec<OperatorEffect> {
        match input {
            OperatorInput::Try { job, try_number } => self.try_again(now, job, try_number),
            OperatorInput::Reply {
                job,
                try_number,
                result,
            } => self.handle_reply(now, job, try_number, result),
            OperatorInput::WatchLeaving(_) => Vec::new(),
        }
    }

    fn must_wait(&self, number: usize) -> bool {
        let after = self.jobs.get(number).and_then(|job| job.after);
        after.is_some_and(|after| self.jobs.get(after).is_some_and(|job| !job.done))
    }

    fn try_again(&mut self, now: Instant, number: usize, try_number: u32) -> Vec<OperatorEffect> {
        if self.must_wait(number) {
            return vec![retry(now + RETRY_DELAY / 10, number, try_number)];
        }
        let known = self.known.clone();
        let Some(job) = self.jobs.get_mut(number) else {
            return Vec::new();
        };
        if job.done || job.try_number != try_number {
            return Vec::new();
        }
        let request = match &job.action {
            OperatorAction::Found { members, .. } => AdminRequest::Found(FoundRequest {
                cluster: deployment::cluster(),
                members: members.clone(),
            }),
            OperatorAction::Drain { server, draining } => AdminRequest::Drain(DrainServerRequest {
                server: server_name(*server),
                draining: *draining,
            }),
            OperatorAction::Roll { new_share, note } => {
                let signed = job
                    .signed
                    .get_or_insert_with(|| next_bundle(known, *new_share, note));
                AdminRequest::SubmitBundle(Box::new(signed.clone()))
            }
        };
        let control = match job.action {
            OperatorAction::Found { control, .. } => control,
            OperatorAction::Drain { .. } if job.try_number == 0 => {
                self.leader.unwrap_or(job.target)
            }
            _ => job.target,
        };
        job.try_number += 1;
        job.asked = control;
        job.target = (control + 1) % deployment::CONTROLS;
        let try_number = job.try_number;
        vec![
            OperatorEffect::Send {
                job: number,
                try_number,
                control,
                request,
            },
            retry(now + REPLY_TIMEOUT, number, try_number),
        ]
    }

    fn handle_reply(
        &mut self,
        now: Instant,
        number: usize,
        try_number: u32,
        result: Result<AdminAnswer, ApiError>,
    ) -> Vec<OperatorEffect> {
        let Some(job) = self.jobs.get_mut(number).filter(|job| !job.done) else {
            return Vec::new();
        };
        match result {
            Ok(answer) => {
                if let AdminAnswer::Rolled(rolled) = answer {
                    let newer = self
                        .known
                        .as_ref()
                        .is_none_or(|(version, _)| *version < rolled.version);
                    if newer {
                        self.known = Some((rolled.version, rolled.digest));
                    }
                }
                job.done = true;
                if !matches!(job.action, OperatorAction::Found { .. }) {
                    self.leader = Some(job.asked);
                }
                Vec::new()
            }
            Err(error) if is_final(error.kind) => {
                job.done = true;
                if let (Some(version), Some(digest)) =
                    (error.accepted_version, error.accepted_digest)
                {
                    self.known = Some((version, digest));
                }
                Vec::new()
            }
            Err(_) if job.try_number != try_number => Vec::new(),
            Err(error) => {
                let hint = error.leader_admin_address.as_ref();
                let mut at = now + RETRY_DELAY;
                if let Some(Process::Control(leader)) = hint.and_then(deployment::process_at) {
                    job.target = leader;
                    at = now + RETRY_DELAY / 10;
                }
                vec![retry(at, number, try_number)]
            }
        }
    }
}

fn retry(at: Instant, job: usize, try_number: u32) -> OperatorEffect {
    OperatorEffect::Timer {
        at,
        input: OperatorInput::Try { job, try_number },
    }
}

fn next_bundle(known: Option<(u64, Digest)>, new_share: u32, note: &str) -> SignedBundle {
    let (version, parent) = match known {
        Some((version, digest)) => (version + 1, Some(digest)),
        None => (1, None),
    };
    deployment::sign(deployment::bundle(version, parent, new_share, note))
}

/// Whether the request itself is invalid or outdated, so that a retry cannot succeed.
fn is_final(kind: ApiErrorKind) -> bool {
    matches!(
        kind,
        ApiErrorKind::AlreadyFounded
            | ApiErrorKind::BadRequest
            | ApiErrorKind::TooLarge
            | ApiErrorKind::InvalidBundle
            | ApiErrorKind::BadSignature
            | ApiErrorKind::TooFewSignatures
            | ApiErrorKind::VersionConflict
            | ApiErrorKind::ParentMismatch
    )
}
