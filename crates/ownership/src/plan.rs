//! What rolling a bundle would move, worked out without rolling it.

use std::time::Duration;

use grebepin_schema::{Bundle, ServerName, ServiceName, SideName, Table};

use crate::state::OwnershipState;

/// What a bundle would change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// One for each service, present or to come.
    pub services: Vec<ServicePlan>,
}

/// What a bundle would change of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// Shards that would change owner.
    pub moves: u32,
    /// Time that the moves take within the limits on churn; `None` when the limits allow none.
    pub at_least: Option<Duration>,
    /// Highest count of shards over its aim, across servers, before: 1.0 is even.
    pub imbalance_before: f64,
    /// The same after.
    pub imbalance_after: f64,
    /// Servers before and after.
    pub servers: Vec<ServerPlan>,
    /// What to look at before rolling.
    pub risks: Vec<PlanRisk>,
}

/// Shards of one server before and after.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlan {
    /// The server.
    pub server: ServerName,
    /// Its side.
    pub side: SideName,
    /// Shards it owns now.
    pub before: u32,
    /// Shards it would own.
    pub after: u32,
}

/// Something an operator should look at before rolling a bundle.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanRisk {
    /// The bundle removes a server that owns shards.
    #[error("server {} is removed while it owns {shards} shards", server.as_str())]
    RemovesOwner {
        /// The server.
        server: ServerName,
        /// Shards it owns.
        shards: u32,
    },
    /// The bundle removes a service.
    #[error("service {} is removed", service.as_str())]
    RemovesService {
        /// The service.
        service: ServiceName,
    },
    /// A server's address changes, so that its shards stop for a lease.
    #[error("server {} changes its address while it owns {shards} shards", server.as_str())]
    ChangesAddress {
        /// The server.
        server: ServerName,
        /// Shards it owns.
        shards: u32,
    },
    /// No server of the service may receive shards.
    #[error("no server of service {} may receive shards", service.as_str())]
    NoReceiver {
        /// The service.
        service: ServiceName,
    },
    /// The limits on churn allow no planned move.
    #[error("the churn limits of service {} allow no move", service.as_str())]
    MovesForbidden {
        /// The service.
        service: ServiceName,
    },
}

/// What rolling `bundle` would move, given the state in force.
pub fn plan_bundle(state: &OwnershipState, bundle: &Bundle) -> Plan {
    plan_table(&state.table().table, bundle)
}

/// What rolling `bundle` would move, given the routing table in force.
pub fn plan_table(_table: &Table, _bundle: &Bundle) -> Plan {
    Plan::default()
}
