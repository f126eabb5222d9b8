//! `grebepin found`: founds the control group, once.
//!
//! Invariant: the cluster identifier is derived from the founding members alone, so that a retry after a
//! lost answer sends the same request, and founding again with other data folders is refused.

use std::fmt;
use std::net::SocketAddr;

use grebepin_admin_client::{founding_voter, AdminClient};
use grebepin_schema::{ClusterId, FoundRequest, IdentityAnswer, Member};
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::arguments::Found;
use crate::error::CliError;
use crate::output::Format;
use crate::text::TextTable;

const CLUSTER_ID_BYTES: usize = 16;

#[derive(Serialize)]
struct Founded {
    cluster: ClusterId,
    members: Vec<Member>,
    /// Number of voters whose loss is tolerated.
    tolerated_replicas: usize,
    /// Whether the loss of any one zone is tolerated.
    tolerates_zone: bool,
}

impl fmt::Display for Founded {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "founded cluster {}", self.cluster.as_str())?;
        let mut table = TextTable::new(&["replica", "zone", "peer address", "admin address"]);
        for member in &self.members {
            table.row([
                member.replica.to_string(),
                member.zone.to_string(),
                member.peer_address.to_string(),
                member.admin_address.to_string(),
            ]);
        }
        write!(formatter, "{table}")?;
        let zone = if self.tolerates_zone {
            "any one zone"
        } else {
            "no zone"
        };
        writeln!(
            formatter,
            "may lose {} replica(s), {zone}",
            self.tolerated_replicas
        )
    }
}

pub(crate) fn run(arguments: &Found, format: Format) -> Result<(), CliError> {
    let client = arguments.connection.client();
    let mut replicas = identities(&client)?;
    refuse_duplicates(&replicas)?;
    // Replicas that are founded already come first: they refuse a different founding request before a new
    // replica accepts it.
    replicas.sort_by_key(|(_, identity)| !identity.founded);
    let mut members: Vec<_> = replicas
        .iter()
        .map(|(_, identity)| founding_voter(identity))
        .collect();
    members.sort_by_key(|member| member.replica);
    let request = FoundRequest {
        cluster: cluster_id(&members),
        members,
    };
    for (address, _) in &replicas {
        client.found(*address, &request)?;
    }
    format.print(&Founded {
        tolerated_replicas: (request.members.len() - 1) / 2,
        tolerates_zone: tolerates_zone(&request.members),
        cluster: request.cluster,
        members: request.members,
    })
}

fn identities(client: &AdminClient) -> Result<Vec<(SocketAddr, IdentityAnswer)>, CliError> {
    if client.addresses().is_empty() {
        return Err(grebepin_admin_client::ClientError::NoAddresses.into());
    }
    let addresses = client.addresses().iter();
    addresses
        .map(|address| Ok((*address, client.identity(*address)?)))
        .collect()
}

fn refuse_duplicates(replicas: &[(SocketAddr, IdentityAnswer)]) -> Result<(), CliError> {
    let mut numbers: Vec<_> = replicas.iter().map(|(_, one)| one.replica).collect();
    numbers.sort();
    match numbers.windows(2).find(|pair| pair[0] == pair[1]) {
        None => Ok(()),
        Some(pair) => Err(CliError::Argument {
            argument: "--control",
            value: pair[0].to_string(),
            reason: "two addresses lead to the same replica".to_owned(),
        }),
    }
}

fn cluster_id(members: &[Member]) -> ClusterId {
    let mut hash = Sha256::new();
    for member in members {
        hash.update(member.replica.0.to_be_bytes());
        hash.update(member.peer_address.as_bytes());
    }
    hex::encode(&hash.finalize()[..CLUSTER_ID_BYTES])
        .parse()
        .expect("16 bytes in hexadecimal are a cluster's identifier")
}

/// Whether a majority remains after the loss of any one zone.
fn tolerates_zone(members: &[Member]) -> bool {
    members.iter().all(|lost| {
        let left = members.iter().filter(|one| one.zone != lost.zone).count();
        left > members.len() / 2
    })
}
