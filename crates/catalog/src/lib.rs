//! Replicated state machine of configuration items, registered servers and shard owners.
//!
//! Invariants: [`Catalog::apply`] is a pure function of the log, so every replica and every gateway
//! that has applied the same entries holds the same state. The version of an item never decreases.
//! A shard has at most one owner, and each owner gets a higher fence than the owner before it.

mod catalog;
mod command;
mod entry_size;
mod evacuation;
mod instance;
mod item;
mod items;
mod ownership;
mod quarantine;
mod recent_entries;
mod routes;

pub use catalog::{Catalog, Effects, ShardChange};
pub use command::{Command, Entry, FreedShard};
pub use evacuation::EvacuationChange;
pub use instance::{Instance, InstanceId, InstanceState};
pub use item::{
    Item, ItemChange, ItemContent, ItemKey, ItemKind, Limits, Removal, RequestKind, Route, Service,
    Version, WeightedService,
};
pub use items::{ChangedItem, InvalidChange, ItemSummary, Items, VersionedItem};
pub use ownership::{shard_of_key, KeyRange, Shard, ShardOwnership, KEYS, KEYS_PER_SHARD, SHARDS};
pub use quarantine::{Fingerprint, Quarantine, QuarantineChange};
pub use recent_entries::RecentEntries;
pub use routes::{NamedRoute, RouteIndex};
