//! Request specs and targets for the flow tests.

use std::time::Duration;

use grebepin_schema::{Epoch, LogIndex, Outcome, ShardId};
use grebepin_traffic::{RequestSpec, Target};

pub const DEADLINE: Duration = Duration::from_secs(5);
pub const NOW: Duration = Duration::from_millis(1);

/// Request kinds: repeatable or not, and the caller's attempt number.
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

/// Expected outcome when every send provably did not run this attempt.
pub fn by_attempt(attempt: u32) -> Outcome {
    match attempt {
        1 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
