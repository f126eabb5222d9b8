//! Protections of the product that a run may take out, one at a time.
//!
//! Invariant: without the feature `removable-guards` every protection is in force.

use grebepin_control::NodeGuards;

/// A protection that a run may take out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Removal {
    /// A lease counts from the moment its nonce was issued.
    Nonce,
    /// Renewals and grants of an ended session are refused.
    Session,
    /// A leader acts only while a majority answered it within its lease.
    LeaderLease,
    /// Replicas give no vote within the election timeout of a leader's last message.
    VotePromise,
    /// A server looks at lease and epoch when a request begins and before its effect.
    EpochCheck,
    /// The log is synced before anything that rests on it leaves.
    Sync,
    /// Learners count towards no majority.
    LearnerRule,
    /// A cancelled request is refused from then on.
    Tombstone,
    /// A resend is refused where an earlier attempt can't be looked up.
    ResendRule,
    /// Bundles follow their parent, and assignments name the epoch they expect.
    CompareAndSet,
    /// Shards of a silent server are taken only after the end of any lease it may hold.
    FencingBound,
    /// A router's table never moves back.
    MonotonicTable,
}

impl Removal {
    /// Every protection that can be taken out.
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

/// The protections in force in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunGuards {
    /// Of control replicas.
    pub node: NodeGuards,
    /// Of servers.
    pub holder: grebepin_holder::Guards,
    /// Of routers.
    pub traffic: grebepin_traffic::Guards,
}

impl RunGuards {
    /// Every protection but one.
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
