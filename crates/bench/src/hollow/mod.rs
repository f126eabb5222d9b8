//! Hollow nodes: the control side of many servers and routers, sharing a process, against real
//! control replicas and real messages.
//!
//! A hollow node keeps leases and grants as a back end does and serves no request. A hollow router
//! follows the routing table and forwards nothing.

mod followers;
mod nodes;
mod report;
mod run;
mod setup;

pub use followers::Followers;
pub use nodes::{run_nodes, HollowNodesArguments, NodeStatistics};
pub use report::{HollowReport, RoleUsage};
pub use run::{run, HollowArguments, HollowError};
