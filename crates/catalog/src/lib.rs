//! The replicated state behind routes, services and the servers that registered themselves.
//!
//! Invariants: [`Catalog::apply`] is a pure function of the log, so every replica and every router
//! that applied the same entries holds the same state; an item never goes back to a lower version;
//! a shard has at most one owner, and each owner got it under a higher fence than the one before.

mod catalog;
mod command;
mod instance;
mod item;
mod items;
mod ownership;
mod quarantine;
mod routes;

pub use catalog::{Catalog, Effects, EvacuationChange, ShardChange};
pub use command::{Command, Entry, FreedShard};
pub use instance::{Instance, InstanceId, InstanceState};
pub use item::{
    Item, ItemChange, ItemContent, ItemKey, ItemKind, Limits, Removal, RequestKind, Route, Service,
    Version, WeightedService,
};
pub use items::{Held, InvalidChange, Items};
pub use ownership::{shard_of_key, KeyRange, Shard, ShardOwnership, KEYS, KEYS_PER_SHARD, SHARDS};
pub use quarantine::{Fingerprint, Quarantine, QuarantineChange};
pub use routes::RouteIndex;
