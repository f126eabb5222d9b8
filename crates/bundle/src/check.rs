//! Rules for a single bundle.
//!
//! Invariant: a bundle without findings can be placed, routed and served. All findings of a bundle are
//! reported, not only the first.

mod location;
mod service;
mod unique_values;

use grebepin_schema::limits::MAX_BUNDLE_BYTES;
use grebepin_schema::Bundle;

use crate::canonical::canonical_bytes;
use crate::finding::{Finding, FindingKind};
use location::Location;
use unique_values::UniqueValues;

/// Maximum number of services in a bundle.
pub const MAX_SERVICES: usize = 1024;

/// Maximum size of the note of a bundle in bytes.
pub const MAX_NOTE_BYTES: usize = 4096;

/// Reserved service name: with it, requests to `/NAME/...` would reach the control calls of back ends.
const RESERVED_SERVICE: &str = "grebepin";

/// Checks the rules for a single bundle; see [`crate::check_successor`] for a bundle that replaces another.
pub fn check(bundle: &Bundle) -> Result<(), Vec<Finding>> {
    let mut findings = Findings::default();
    findings.check_range(Location::Bundle, "version", bundle.version, 1, u64::MAX);
    let note_bytes = bundle.note.as_ref().map_or(0, String::len);
    findings.check_size("note", note_bytes, MAX_NOTE_BYTES);
    let bytes = canonical_bytes(bundle).len();
    findings.check_size("bundle", bytes, MAX_BUNDLE_BYTES);
    check_services(bundle, &mut findings);
    findings.into_result()
}

fn check_services(bundle: &Bundle, findings: &mut Findings) {
    let count = bundle.services.len() as u64;
    findings.check_range(Location::Bundle, "services", count, 1, MAX_SERVICES as u64);
    let mut names = UniqueValues::default();
    let mut servers = UniqueValues::default();
    let mut addresses = UniqueValues::default();
    for service in &bundle.services {
        let location = Location::Service(&service.name);
        names.insert(&service.name, location, "", findings);
        if service.name.as_str() == RESERVED_SERVICE {
            let name = service.name.to_string();
            findings.push(location, "name", FindingKind::ReservedName { name });
        }
        service::check_service(service, location, findings);
        for server in &service.servers {
            let location = location.entry("servers", &server.name);
            servers.insert(&server.name, location, "", findings);
            addresses.insert(&server.address, location, "address", findings);
        }
    }
}

/// Findings collected so far.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn push(&mut self, location: Location<'_>, field: &str, kind: FindingKind) {
        let field = location.field(field);
        self.0.push(Finding { field, kind });
    }

    fn check_range(
        &mut self,
        location: Location<'_>,
        field: &str,
        value: u64,
        minimum: u64,
        maximum: u64,
    ) {
        if value < minimum || value > maximum {
            let kind = FindingKind::OutOfRange {
                value,
                minimum,
                maximum,
            };
            self.push(location, field, kind);
        }
    }

    fn check_size(&mut self, field: &str, bytes: usize, maximum: usize) {
        if bytes > maximum {
            let kind = FindingKind::TooLarge {
                bytes: bytes as u64,
                maximum: maximum as u64,
            };
            self.push(Location::Bundle, field, kind);
        }
    }

    fn into_result(self) -> Result<(), Vec<Finding>> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(self.0)
    }
}
