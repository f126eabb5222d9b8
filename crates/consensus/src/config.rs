//! Configuration of one replica, and its safety rules.

use std::time::Duration;

use grebepin_schema::{GroupId, ReplicaId};

/// Configuration of one replica of a consensus group.
#[derive(Clone, Debug)]
pub struct Config {
    /// Consensus group of the replica; messages of other groups are ignored.
    pub group: GroupId,
    /// Identity of this replica. It is bound to the data folder.
    pub id: ReplicaId,
    /// Minimum time without a message from a leader before a replica starts an election. It must be the same
    /// in the whole group. Each wait is random, between 1 and 1.5 times this value.
    pub election_timeout: Duration,
    /// Interval between a leader's heartbeat rounds; at most a third of the election timeout is recommended.
    pub heartbeat: Duration,
    /// Minimum interval between two messages with new entries or commit indexes to one learner. Learners do
    /// not count towards majorities, and a busy leader would spend most of its time on a large number of
    /// them. Zero sends to learners as often as to voters.
    pub learner_send_interval: Duration,
    /// Maximum clock drift in percent, below 100. Leases are safe even if each of two clocks deviates by this
    /// much, in opposite directions.
    pub drift_percent: u32,
    /// Seed of the random election timeouts. The caller must use a new seed at each start.
    pub seed: u64,
    /// Safety rules that are enabled; all of them except in tests.
    pub guards: Guards,
}

impl Config {
    /// Returns the duration of the leader's lease, counted from the send time of a round that a majority
    /// answered. It is the election timeout, shortened by the clock drift, so that the lease ends before the
    /// voters' promise even if the leader's clock is slow and a voter's clock is fast.
    pub fn leader_lease(&self) -> Duration {
        let drift = self.drift_percent.min(99);
        self.election_timeout * (100 - drift) / (100 + drift)
    }
}

/// A safety rule that a test can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A leader acts only within the lease granted by the responses of a majority.
    LeaderLease,
    /// A replica grants no vote within an election timeout of a leader's message or of its own start.
    VotePromise,
    /// Learners do not count towards majorities.
    LearnerRule,
}

/// The set of enabled safety rules. A rule can be disabled only with the feature `removable-guards`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    leader_lease: bool,
    vote_promise: bool,
    learner_rule: bool,
}

impl Guards {
    /// Enables all safety rules.
    pub fn all() -> Self {
        Self {
            leader_lease: true,
            vote_promise: true,
            learner_rule: true,
        }
    }

    /// Enables all safety rules except one.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        let mut guards = Self::all();
        match guard {
            Guard::LeaderLease => guards.leader_lease = false,
            Guard::VotePromise => guards.vote_promise = false,
            Guard::LearnerRule => guards.learner_rule = false,
        }
        guards
    }

    /// Returns whether a safety rule is enabled.
    pub fn has(&self, guard: Guard) -> bool {
        match guard {
            Guard::LeaderLease => self.leader_lease,
            Guard::VotePromise => self.vote_promise,
            Guard::LearnerRule => self.learner_rule,
        }
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self::all()
    }
}
