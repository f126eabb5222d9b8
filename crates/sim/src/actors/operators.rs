//! Operators: they found the group, roll bundles and drain servers, and send a request again until
//! its answer comes.
//!
//! Invariant: a resend is the very same request.

use grebepin_control::{AdminAnswer, AdminRequest};
use grebepin_schema::{
    ApiError, ApiErrorKind, Digest, DrainServerRequest, FoundRequest, Member, SignedBundle,
};

use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{self, server_name};
use crate::message::OperatorInput;
use crate::process::Process;

/// Time after which an operator asks another replica.
const PATIENCE: Instant = 700 * MILLISECOND;

/// Pause after an answer that says to try again.
const PAUSE: Instant = 100 * MILLISECOND;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// Found the group at one replica.
    Found {
        /// The replica.
        control: usize,
        /// The founding members.
        members: Vec<Member>,
    },
    /// Roll a bundle that follows the latest one the operators know.
    Roll {
        /// Share of the new side in percent.
        new_share: u32,
        /// Tells bundles of the same version apart.
        note: String,
    },
    /// Drain a server, or bring it back.
    Drain {
        /// The server.
        server: usize,
        /// Whether it is to leave.
        draining: bool,
    },
}

/// What the shell is to do.
#[derive(Debug)]
pub enum OperatorEffect {
    /// Ask a control replica.
    Ask {
        /// The job.
        job: usize,
        /// Number of the try.
        try_number: u32,
        /// The replica.
        control: usize,
        /// The request.
        request: AdminRequest,
    },
    /// Wake up.
    Timer {
        /// When.
        at: Instant,
        /// What then.
        input: OperatorInput,
    },
}

struct Job {
    wish: Wish,
    signed: Option<SignedBundle>,
    after: Option<usize>,
    target: usize,
    /// Replica asked last.
    asked: usize,
    try_number: u32,
    done: bool,
}

/// All operators.
#[derive(Default)]
pub struct Operators {
    jobs: Vec<Job>,
    known: Option<(u64, Digest)>,
    /// Replica that answered last, which most likely leads.
    leader: Option<usize>,
}

impl Operators {
    /// A job that an operator begins at the replica `target`; `at` is when. Returns its number.
    pub fn add(&mut self, wish: Wish, target: usize, at: Instant) -> (usize, OperatorEffect) {
        self.push(wish, None, target, at)
    }

    /// A job that waits until the job `after` is done.
    pub fn add_after(&mut self, wish: Wish, after: usize, at: Instant) -> (usize, OperatorEffect) {
        self.push(wish, Some(after), after % deployment::CONTROLS, at)
    }

    fn push(
        &mut self,
        wish: Wish,
        after: Option<usize>,
        target: usize,
        at: Instant,
    ) -> (usize, OperatorEffect) {
        self.jobs.push(Job {
            wish,
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

    /// What a job wants.
    pub fn wish(&self, job: usize) -> Option<&Wish> {
        self.jobs.get(job).map(|job| &job.wish)
    }

    /// Whether an operator asked for the end of a server's drain and has no answer yet.
    pub fn asks_to_stay(&self, server: usize) -> bool {
        let wish = Wish::Drain {
            server,
            draining: false,
        };
        let mut jobs = self.jobs.iter();
        jobs.any(|job| !job.done && job.try_number > 0 && job.wish == wish)
    }

    /// Whether a job is done.
    pub fn is_done(&self, job: usize) -> bool {
        self.jobs.get(job).is_some_and(|job| job.done)
    }

    /// Jobs that are not done.
    pub fn unfinished(&self) -> usize {
        self.jobs.iter().filter(|job| !job.done).count()
    }

    /// Takes what reached the operators; returns what to do.
    pub fn handle(&mut self, now: Instant, input: OperatorInput) -> Vec<OperatorEffect> {
        match input {
            OperatorInput::Try { job, try_number } => self.try_again(now, job, try_number),
            OperatorInput::Reply {
                job,
                try_number,
                result,
            } => self.take_reply(now, job, try_number, result),
            OperatorInput::WatchLeaving(_) => Vec::new(),
        }
    }

    fn must_wait(&self, number: usize) -> bool {
        let after = self.jobs.get(number).and_then(|job| job.after);
        after.is_some_and(|after| self.jobs.get(after).is_some_and(|job| !job.done))
    }

    fn try_again(&mut self, now: Instant, number: usize, try_number: u32) -> Vec<OperatorEffect> {
        if self.must_wait(number) {
            return vec![retry(now + PAUSE / 10, number, try_number)];
        }
        let known = self.known.clone();
        let Some(job) = self.jobs.get_mut(number) else {
            return Vec::new();
        };
        if job.done || job.try_number != try_number {
            return Vec::new();
        }
        let request = match &job.wish {
            Wish::Found { members, .. } => AdminRequest::Found(FoundRequest {
                cluster: deployment::cluster(),
                members: members.clone(),
            }),
            Wish::Drain { server, draining } => AdminRequest::Drain(DrainServerRequest {
                server: server_name(*server),
                draining: *draining,
            }),
            Wish::Roll { new_share, note } => {
                let signed = job
                    .signed
                    .get_or_insert_with(|| next_bundle(known, *new_share, note));
                AdminRequest::SubmitBundle(Box::new(signed.clone()))
            }
        };
        let control = match job.wish {
            Wish::Found { control, .. } => control,
            Wish::Drain { .. } if job.try_number == 0 => self.leader.unwrap_or(job.target),
            _ => job.target,
        };
        job.try_number += 1;
        job.asked = control;
        job.target = (control + 1) % deployment::CONTROLS;
        let try_number = job.try_number;
        vec![
            OperatorEffect::Ask {
                job: number,
                try_number,
                control,
                request,
            },
            retry(now + PATIENCE, number, try_number),
        ]
    }

    fn take_reply(
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
                if !matches!(job.wish, Wish::Found { .. }) {
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
                let mut at = now + PAUSE;
                if let Some(Process::Control(leader)) = hint.and_then(deployment::process_at) {
                    job.target = leader;
                    at = now + PAUSE / 10;
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

/// Whether the request itself is wrong or too late, so that sending it again is of no use.
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
