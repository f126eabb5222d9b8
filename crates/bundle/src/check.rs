//! Rules that each bundle meets by itself.
//!
//! Invariant: a bundle without findings can be placed, routed and served; every finding of a bundle
//! is reported, not just the first.

mod place;
mod service;
mod unique;

use grebepin_schema::limits::MAXIMUM_BUNDLE_BYTES;
use grebepin_schema::Bundle;

use crate::canonical::canonical_bytes;
use crate::finding::{Finding, FindingKind};
use place::Place;
use unique::Unique;

/// Most services of one bundle.
pub const MAXIMUM_SERVICES: usize = 1024;

/// Most bytes of a bundle's note.
pub const MAXIMUM_NOTE_BYTES: usize = 4096;

/// Name that no service may have: callers of `/NAME/...` would reach the back ends' control calls.
const RESERVED_SERVICE: &str = "grebepin";

/// Checks a bundle by itself; see [`crate::check_successor`] for the rules between two bundles.
pub fn check(bundle: &Bundle) -> Result<(), Vec<Finding>> {
    let mut findings = Findings::default();
    findings.range(Place::Bundle, "version", bundle.version, 1, u64::MAX);
    let note_bytes = bundle.note.as_ref().map_or(0, String::len);
    findings.size("note", note_bytes, MAXIMUM_NOTE_BYTES);
    let bytes = canonical_bytes(bundle).len();
    findings.size("bundle", bytes, MAXIMUM_BUNDLE_BYTES);
    check_services(bundle, &mut findings);
    findings.into_result()
}

fn check_services(bundle: &Bundle, findings: &mut Findings) {
    let count = bundle.services.len() as u64;
    findings.range(Place::Bundle, "services", count, 1, MAXIMUM_SERVICES as u64);
    let mut names = Unique::default();
    let mut servers = Unique::default();
    let mut addresses = Unique::default();
    for service in &bundle.services {
        let place = Place::Service(&service.name);
        names.insert(&service.name, place, "", findings);
        if service.name.as_str() == RESERVED_SERVICE {
            let name = service.name.to_string();
            findings.push(place, "name", FindingKind::ReservedName { name });
        }
        service::check_service(service, place, findings);
        for server in &service.servers {
            let place = place.entry("servers", &server.name);
            servers.insert(&server.name, place, "", findings);
            addresses.insert(&server.address, place, "address", findings);
        }
    }
}

/// Findings collected so far.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn push(&mut self, place: Place<'_>, field: &str, kind: FindingKind) {
        let field = place.field(field);
        self.0.push(Finding { field, kind });
    }

    fn range(&mut self, place: Place<'_>, field: &str, value: u64, minimum: u64, maximum: u64) {
        if value < minimum || value > maximum {
            let kind = FindingKind::OutOfRange {
                value,
                minimum,
                maximum,
            };
            self.push(place, field, kind);
        }
    }

    fn size(&mut self, field: &str, bytes: usize, maximum: usize) {
        if bytes > maximum {
            let kind = FindingKind::TooLarge {
                bytes: bytes as u64,
                maximum: maximum as u64,
            };
            self.push(Place::Bundle, field, kind);
        }
    }

    fn into_result(self) -> Result<(), Vec<Finding>> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(self.0)
    }
}
