//! What a hollow run measured.

/// Use of one role in the steady state.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct RoleUsage {
    /// Processor time over elapsed time: 1 is one core.
    pub cores: f64,
    /// Memory resident at the end of the steady state, in bytes.
    pub resident_bytes: u64,
}

/// What a hollow run measured.
#[derive(Clone, Debug, serde::Serialize)]
pub struct HollowReport {
    /// Hollow back ends.
    pub nodes: usize,
    /// Shards.
    pub shards: u32,
    /// Hollow routers.
    pub routers: usize,
    /// Control replicas.
    pub replicas: usize,
    /// Load average of the machine over the last minute, at the end.
    pub load_average: Option<f64>,
    /// From the first bundle until every shard is held and in force at every router, in seconds.
    pub first_placement_seconds: f64,
    /// The leader in the steady state.
    pub leader: RoleUsage,
    /// The busiest of the other replicas.
    pub follower: RoleUsage,
    /// All nodes together.
    pub all_nodes: RoleUsage,
    /// Calls a second that one node answered.
    pub calls_per_node: f64,
    /// Bytes of bodies a second, both ways, at one node.
    pub bytes_per_node: f64,
    /// Bytes a second that one router received.
    pub bytes_per_router: f64,
    /// Bytes that one router received for one change of configuration.
    pub change_bytes_per_router: f64,
    /// From a change of configuration until it is in force at every router, in seconds.
    pub change_seconds: f64,
    /// Bytes that one router received for the loss.
    pub loss_bytes_per_router: f64,
    /// From the loss until every shard has a new owner at every router, in seconds.
    pub loss_seconds: f64,
}
