//! Errors of proposals, reads and membership changes.

use grebepin_schema::ReplicaId;

/// Why a proposal or a read was refused. A refused proposal is not written to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// The current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// An earlier membership change, or the first entry of the leader's term, is not committed yet.
    #[error("an earlier change of membership is not committed yet")]
    MembershipBusy,
    /// The proposed membership is invalid.
    #[error("invalid membership: {0}")]
    InvalidMembership(#[from] MembershipError),
    /// Too many entries or reads are waiting for a majority; the caller may retry later.
    #[error("{waiting} entries or reads wait for a majority already")]
    Overloaded {
        /// Number of entries or reads that are waiting.
        waiting: usize,
    },
    /// The command exceeds [`crate::MAX_COMMAND_BYTES`].
    #[error("command of {bytes} bytes is over the limit of {limit}")]
    CommandTooLarge {
        /// Size of the command in bytes.
        bytes: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
}

/// Why a proposed membership is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The membership has no voter.
    #[error("no voter is left")]
    NoVoter,
    /// The membership lists a replica more than once.
    #[error("replica {replica} is listed twice")]
    DuplicateReplica {
        /// Replica that is listed more than once.
        replica: ReplicaId,
    },
    /// The membership does not differ from the current one by exactly one member.
    #[error("{changes} members differ; exactly one must")]
    NotOneChange {
        /// Number of members that differ.
        changes: usize,
    },
    /// A voter is to be added that was not a learner before.
    #[error("replica {replica} must first be a learner")]
    NotYetLearner {
        /// Replica to be added as a voter.
        replica: ReplicaId,
    },
    /// A learner to be promoted lacks committed entries, or has not responded within an election timeout.
    #[error("learner {replica} has not caught up")]
    LearnerBehind {
        /// Learner to be promoted.
        replica: ReplicaId,
    },
}
