//! The ownership state after replaying a log.

use std::collections::BTreeMap;
use std::fmt;

use grebepin_ownership::OwnershipState;
use grebepin_schema::{Bundle, ServiceTable};
use serde::Serialize;

use crate::text::TextTable;

#[derive(Serialize)]
pub(super) struct StateReport {
    applied: u64,
    table_index: u64,
    bundle_version: u64,
    bundle_digest: Option<String>,
    unowned_shards: u64,
    /// The complete bundle in force.
    bundle: Option<Bundle>,
    servers: Vec<ServerReport>,
}

#[derive(Serialize)]
struct ServerReport {
    service: String,
    server: String,
    standing: String,
    shards: usize,
}

impl StateReport {
    pub(super) fn new(state: &OwnershipState) -> Self {
        let table = state.table().table;
        Self {
            applied: state.applied().0,
            table_index: state.table_index().0,
            bundle_version: table.bundle_version,
            bundle_digest: table.bundle_digest.map(|digest| digest.to_string()),
            unowned_shards: state.unowned_shards(),
            bundle: state.bundle().map(|signed| signed.bundle.clone()),
            servers: table.services.iter().flat_map(servers).collect(),
        }
    }
}

fn servers(service: &ServiceTable) -> Vec<ServerReport> {
    let mut owned: BTreeMap<u32, usize> = BTreeMap::new();
    for owner in service.owners.iter().filter_map(|owner| owner.server) {
        *owned.entry(owner).or_default() += 1;
    }
    let listed = service.service.servers.iter().zip(&service.standings);
    listed
        .enumerate()
        .map(|(position, (server, standing))| ServerReport {
            service: service.service.name.to_string(),
            server: server.name.to_string(),
            standing: standing.to_string(),
            shards: owned.get(&(position as u32)).copied().unwrap_or(0),
        })
        .collect()
}

impl fmt::Display for StateReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digest = self.bundle_digest.as_deref().unwrap_or("none");
        writeln!(formatter, "state after index {}:", self.applied)?;
        writeln!(
            formatter,
            "  bundle version {}, digest {digest}",
            self.bundle_version
        )?;
        writeln!(
            formatter,
            "  table changed last at {}, {} shards without an owner",
            self.table_index, self.unowned_shards
        )?;
        let mut table = TextTable::new(&["service", "server", "standing", "owns"]);
        for server in &self.servers {
            table.row([
                server.service.clone(),
                server.server.clone(),
                server.standing.clone(),
                server.shards.to_string(),
            ]);
        }
        write!(formatter, "{table}")
    }
}
