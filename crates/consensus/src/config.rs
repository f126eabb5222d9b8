//! Configuration of one replica, and its guards.

use std::time::Duration;

use grebepin_schema::{GroupId, ReplicaId};

/// Configuration of one replica of a control group.
#[derive(Clone, Debug)]
pub struct Config {
    /// Control group; messages of other groups are ignored.
    pub group: GroupId,
    /// Identity of this replica, which belongs to its data folder.
    pub id: ReplicaId,
    /// Least time without a leader's message before a replica seeks election. The same in the
    /// whole group; each wait is drawn between this and one and a half times this.
    pub election_timeout: Duration,
    /// Time between a leader's rounds; at most a third of the election timeout is advised.
    pub heartbeat: Duration,
    /// Least time between two messages with news to one learner: learners count for nothing, and with many of them a
    /// busy leader would spend most of its time on them. Zero sends to them as often as to voters.
    pub learner_send_interval: Duration,
    /// Most by which two clocks' rates differ, in percent; below 100. Leases keep to it even if
    /// each clock is off by as much.
    pub drift_percent: u32,
    /// Seed of the random waits; a caller draws a fresh one at each start.
    pub seed: u64,
    /// Guards in force.
    pub guards: Guards,
}

impl Config {
    /// How long a leader may act on a round that a majority answered, from the round's send: the
    /// election timeout, shortened so that a slow leader's clock and a fast voter's clock cannot
    /// make it outlast the voter's promise.
    pub fn leader_lease(&self) -> Duration {
        let drift = self.drift_percent.min(99);
        self.election_timeout * (100 - drift) / (100 + drift)
    }
}

/// A safety rule that a test may take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A leader acts only within the lease that a majority's answers gave it.
    LeaderLease,
    /// A replica gives no vote within an election timeout of a leader's message or of its start.
    VotePromise,
    /// Learners count towards no majority.
    LearnerRule,
}

/// The guards in force. All are, unless the feature `removable-guards` is on and one was taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    leader_lease: bool,
    vote_promise: bool,
    learner_rule: bool,
}

impl Guards {
    /// Every guard on.
    pub fn all() -> Self {
        Self {
            leader_lease: true,
            vote_promise: true,
            learner_rule: true,
        }
    }

    /// Every guard but one.
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

    /// Whether a guard is in force.
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
