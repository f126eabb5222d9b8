//! Why a proposal or a read was refused.

use grebepin_schema::ReplicaId;

/// Why a proposal or a read was refused. Nothing was written to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica does not lead.
    #[error("not the leader")]
    NotLeader {
        /// The leader, where one is known.
        leader: Option<ReplicaId>,
    },
    /// An earlier change of membership, or the leader's first entry, is not committed yet.
    #[error("an earlier change of membership is not committed yet")]
    MembershipBusy,
    /// The proposed membership breaks a rule.
    #[error("invalid membership: {0}")]
    InvalidMembership(#[from] MembershipError),
    /// Too many entries or reads wait for a majority; ask again later.
    #[error("{waiting} entries or reads wait for a majority already")]
    Overloaded {
        /// How many wait.
        waiting: usize,
    },
    /// The command is larger than one entry may be.
    #[error("command of {bytes} bytes is over the limit of {limit}")]
    CommandTooLarge {
        /// Size of the command in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
}

/// Which rule a proposed membership breaks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// No voter is left.
    #[error("no voter is left")]
    NoVoter,
    /// A replica is listed twice.
    #[error("replica {replica} is listed twice")]
    DuplicateReplica {
        /// The replica.
        replica: ReplicaId,
    },
    /// The membership differs from the one in force by no member, or by more than one.
    #[error("{changes} members differ; exactly one must")]
    NotOneChange {
        /// How many members differ.
        changes: usize,
    },
    /// A new member must first be a learner.
    #[error("replica {replica} must first be a learner")]
    NotYetLearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// The learner does not hold the committed log yet, or was not heard from lately.
    #[error("learner {replica} has not caught up")]
    LearnerBehind {
        /// The replica.
        replica: ReplicaId,
    },
}
