//! Ownership of shards: the replicated ownership state, and the leader's coordinator, which renews
//! leases, grants shards and moves them.
//!
//! Invariant: no shard is granted to a server before its assignment is committed, and no shard is
//! assigned away from a server that may still hold it. See `docs/design/ownership.md`.

mod applied;
mod coordinator;
mod guards;
mod plan;
mod state;

pub use applied::{
    Applied, AppliedAssignment, Assigned, AssignmentRefusal, BootOutcome, BundleOutcome,
    BundleRefusal, Outcome, RefusedAssignment, StandingOutcome,
};
pub use coordinator::{Coordinator, CoordinatorConfig, CoordinatorInput, CoordinatorOutput};
pub use guards::{Guard, Guards};
pub use plan::{plan_bundle, plan_table, Plan, PlanRisk, ServerPlan, ServicePlan};
pub use state::{Owner, OwnershipState, RestoreError};
