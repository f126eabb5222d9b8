//! Protections of the product that a run can disable, one at a time.
//!
//! Invariant: without the feature `removable-guards` every protection is enabled.

use grebepin_control::NodeGuards;

/// A protection that a run can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Removal {
    /// The lease is measured from the time at which its nonce was issued.
    Nonce,
    /// Renewals and grants of an expired session are refused.
    Session,
    /// A leader acts only while a majority has responded within its lease.
    LeaderLease,
    /// Replicas grant no vote within the election timeout after the last message of a leader.
    VotePromise,
    /// A server checks lease and epoch when a request begins and before its effect.
    EpochCheck,
    /// The log is synced before any message that depends on it is sent.
    Sync,
    /// Learners do not count towards a majority.
    LearnerRule,
    /// A cancelled request is refused when it arrives later.
    Tombstone,
    /// A resend is refused where the result of an earlier attempt cannot be looked up.
    ResendRule,
    /// Bundles must name the current bundle as parent, and assignments the epoch that they replace.
    CompareAndSet,
    /// Shards of an unreachable server are reassigned only after any lease that it may hold has expired.
    FencingBound,
    /// A router never replaces its table by an older one.
    MonotonicTable,
}

impl Removal {
    /// Every protection that can be disabled.
    pub const ALL: [Removal; 12] = [
        Removal::Nonce,
        Removal::Session,
        Removal::LeaderLease,
        Removal::VotePromise,
        Removal::EpochCheck,
        Removal::Sync,
        Removal::LearnerRule,
        Removal::Tombstone,
        Removal::ResendRule,
        Removal::CompareAndSet,
        Removal::FencingBound,
        Removal::MonotonicTable,
    ];
}

/// The protections enabled in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunGuards {
    /// Guards of control replicas.
    pub node: NodeGuards,
    /// Guards of servers.
    pub holder: grebepin_holder::Guards,
    /// Guards of routers.
    pub traffic: grebepin_traffic::Guards,
}

impl RunGuards {
    /// Enables every protection except `removal`.
    #[cfg(feature = "removable-guards")]
    pub fn without(removal: Removal) -> Self {
        use grebepin_consensus::{Guard as ConsensusGuard, Guards as ConsensusGuards};
        use grebepin_holder::{Guard as HolderGuard, Guards as HolderGuards};
        use grebepin_ownership::{Guard as OwnershipGuard, Guards as OwnershipGuards};
        let mut guards = Self::default();
        let holder = &mut guards.holder;
        let node = &mut guards.node;
        match removal {
            Removal::Nonce => *holder = HolderGuards::without(HolderGuard::Nonce),
            Removal::Session => *holder = HolderGuards::without(HolderGuard::Session),
            Removal::EpochCheck => *holder = HolderGuards::without(HolderGuard::EpochCheck),
            Removal::Tombstone => *holder = HolderGuards::without(HolderGuard::Tombstone),
            Removal::ResendRule => *holder = HolderGuards::without(HolderGuard::ResendRule),
            Removal::LeaderLease => {
                node.consensus = ConsensusGuards::without(ConsensusGuard::LeaderLease);
            }
            Removal::VotePromise => {
                node.consensus = ConsensusGuards::without(ConsensusGuard::VotePromise);
            }
            Removal::LearnerRule => {
                node.consensus = ConsensusGuards::without(ConsensusGuard::LearnerRule);
            }
            Removal::Sync => {
                node.storage = grebepin_storage::Guards::without(grebepin_storage::Guard::Sync);
            }
            Removal::CompareAndSet => {
                node.ownership = OwnershipGuards::without(OwnershipGuard::CompareAndSet);
            }
            Removal::FencingBound => {
                node.ownership = OwnershipGuards::without(OwnershipGuard::FencingBound);
            }
            Removal::MonotonicTable => {
                let guard = grebepin_traffic::Guard::MonotonicTable;
                guards.traffic = grebepin_traffic::Guards::without(guard);
            }
        }
        guards
    }
}
