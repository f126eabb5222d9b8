//! Requests and owners for the tests of flows.

use std::time::Duration;

use grebepin_schema::{Epoch, LogIndex, Outcome, ShardId};
use grebepin_traffic::{RequestSpec, Target};

pub const DEADLINE: Duration = Duration::from_secs(5);
pub const NOW: Duration = Duration::from_millis(1);

/// Whether it may be repeated, and the caller's attempt.
pub const KINDS: [(bool, u32); 4] = [(false, 1), (false, 2), (true, 1), (true, 2)];

pub fn target(epoch: u64) -> Target {
    Target {
        shard: ShardId(3),
        epoch: Epoch(epoch),
        server: "server-1".parse().expect("name"),
        address: "127.0.0.1:7000".parse().expect("address"),
        table_index: LogIndex(epoch),
    }
}

pub fn spec(repeatable: bool, attempt: u32) -> RequestSpec {
    RequestSpec {
        repeatable,
        attempt,
        deadline: DEADLINE,
        max_sends: 3,
    }
}

/// Outcome where every send ends in proof that this attempt was not run.
pub fn by_attempt(attempt: u32) -> Outcome {
    match attempt {
        1 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
