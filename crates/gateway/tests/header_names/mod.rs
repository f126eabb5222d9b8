//! Header field names for tests and examples.

use grebepin_gateway::HeaderNames;

pub const NAMES: HeaderNames = HeaderNames {
    request_id: "X-Id",
    deadline_ms: "X-Deadline",
    signature: "X-Signature",
    expected_instance: "X-Expected",
    not_executed: "X-Not-Run",
    stated_rate: "X-Rate",
    leaving: "X-Leaving",
    shard_key: "X-Key",
};
