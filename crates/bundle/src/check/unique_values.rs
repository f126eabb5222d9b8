//! Detects names and addresses that occur more than once.

use std::collections::BTreeMap;

use super::location::Location;
use super::Findings;
use crate::finding::FindingKind;

/// Values seen so far, with the location of the first use.
#[derive(Default)]
pub(super) struct UniqueValues<'a>(BTreeMap<&'a str, Location<'a>>);

impl<'a> UniqueValues<'a> {
    /// Records the value of a field; adds a finding if it was recorded before.
    pub(super) fn insert(
        &mut self,
        value: &'a str,
        location: Location<'a>,
        field: &str,
        findings: &mut Findings,
    ) {
        let Some(first) = self.0.get(value) else {
            self.0.insert(value, location);
            return;
        };
        let kind = FindingKind::Duplicate {
            value: value.to_owned(),
            first: first.field(field),
        };
        findings.push(location, field, kind);
    }
}
