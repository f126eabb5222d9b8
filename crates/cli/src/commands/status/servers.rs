//! Servers in `grebepin status`: one line per service, and the servers that need attention.

use std::collections::BTreeMap;
use std::fmt;

use grebepin_schema::{ServerStanding, ServerStatus, ServiceName};

use crate::text::{milliseconds, TextTable};

/// Servers of one service, and how many shards they own.
#[derive(Default)]
struct Summary {
    servers: usize,
    shards: u64,
    least: u32,
    most: u32,
    needing_attention: usize,
}

/// Writes the summary of each service, then the servers that need attention, or all of them.
pub(super) fn write(
    servers: &[ServerStatus],
    all: bool,
    formatter: &mut fmt::Formatter<'_>,
) -> fmt::Result {
    if servers.is_empty() {
        return Ok(());
    }
    writeln!(formatter, "services:")?;
    write!(formatter, "{}", summaries(servers))?;
    let shown: Vec<_> = servers
        .iter()
        .filter(|server| all || needs_attention(server))
        .collect();
    if shown.is_empty() {
        return Ok(());
    }
    let heading = if all {
        "servers"
    } else {
        "servers that need a look"
    };
    writeln!(formatter, "{heading}:")?;
    write!(formatter, "{}", details(&shown))
}

/// Whether a server is not active, has no lease, or holds a different number of shards than it owns.
fn needs_attention(server: &ServerStatus) -> bool {
    let is_active = server.standing == ServerStanding::Active;
    !is_active || server.lease_remaining_ms == 0 || server.held != server.shards
}

fn summaries(servers: &[ServerStatus]) -> TextTable {
    let mut services: BTreeMap<&ServiceName, Summary> = BTreeMap::new();
    for server in servers {
        let summary = services.entry(&server.service).or_default();
        summary.least = match summary.servers {
            0 => server.shards,
            _ => summary.least.min(server.shards),
        };
        summary.most = summary.most.max(server.shards);
        summary.servers += 1;
        summary.shards += u64::from(server.shards);
        summary.needing_attention += usize::from(needs_attention(server));
    }
    let headings = [
        "service",
        "servers",
        "shards owned",
        "least",
        "most",
        "need a look",
    ];
    let mut table = TextTable::new(&headings);
    for (service, summary) in services {
        table.row([
            service.to_string(),
            summary.servers.to_string(),
            summary.shards.to_string(),
            summary.least.to_string(),
            summary.most.to_string(),
            summary.needing_attention.to_string(),
        ]);
    }
    table
}

fn details(servers: &[&ServerStatus]) -> TextTable {
    let headings = [
        "service",
        "server",
        "side",
        "zone",
        "standing",
        "owns",
        "holds",
        "lease left",
        "heard",
    ];
    let mut table = TextTable::new(&headings);
    for server in servers {
        table.row([
            server.service.to_string(),
            server.server.to_string(),
            server.side.to_string(),
            server.zone.to_string(),
            server.standing.to_string(),
            server.shards.to_string(),
            server.held.to_string(),
            milliseconds(server.lease_remaining_ms),
            milliseconds(server.last_heard_ms),
        ]);
    }
    table
}
