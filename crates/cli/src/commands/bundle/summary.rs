//! Summary of a bundle.

use std::fmt;

use grebepin_bundle::digest;
use grebepin_schema::{Digest, Service, SignedBundle};
use serde::Serialize;

use crate::text::TextTable;

/// A bundle with its digest. The text output is a summary; the JSON output has the complete signed bundle.
#[derive(Serialize)]
pub(super) struct Summary {
    digest: Digest,
    #[serde(flatten)]
    signed: SignedBundle,
}

impl Summary {
    pub(super) fn new(signed: SignedBundle) -> Self {
        Self {
            digest: digest(&signed.bundle),
            signed,
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bundle = &self.signed.bundle;
        let deployment = bundle.deployment.as_str();
        writeln!(formatter, "{deployment} version {}", bundle.version)?;
        writeln!(formatter, "digest {}", self.digest.as_str())?;
        if let Some(parent) = &bundle.parent {
            writeln!(formatter, "follows {}", parent.as_str())?;
        }
        if let Some(note) = &bundle.note {
            writeln!(formatter, "note: {note}")?;
        }
        let signers = self.signed.signatures.iter();
        let signers: Vec<_> = signers.map(|one| one.operator.as_str()).collect();
        match signers.is_empty() {
            true => writeln!(formatter, "signed by nobody")?,
            false => writeln!(formatter, "signed by {}", signers.join(", "))?,
        }
        let mut table = TextTable::new(&["service", "shards", "servers", "slots", "shares"]);
        for service in &bundle.services {
            table.row(row(service));
        }
        write!(formatter, "{table}")
    }
}

fn row(service: &Service) -> [String; 5] {
    let slots: u32 = service
        .servers
        .iter()
        .map(|server| server.slots.get())
        .sum();
    let shares = service.sides.iter();
    let shares: Vec<_> = shares
        .map(|side| format!("{} {}", side.side.as_str(), side.share))
        .collect();
    [
        service.name.to_string(),
        service.shards.to_string(),
        service.servers.len().to_string(),
        slots.to_string(),
        shares.join(", "),
    ]
}
