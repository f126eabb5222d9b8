//! Names and addresses that may stand once.

use std::collections::BTreeMap;

use super::place::Place;
use super::Findings;
use crate::finding::FindingKind;

/// Values seen so far, with the place of the first use.
#[derive(Default)]
pub(super) struct Unique<'a>(BTreeMap<&'a str, Place<'a>>);

impl<'a> Unique<'a> {
    /// Notes the value of a field; a finding when it was noted before.
    pub(super) fn insert(
        &mut self,
        value: &'a str,
        place: Place<'a>,
        field: &str,
        findings: &mut Findings,
    ) {
        let Some(first) = self.0.get(value) else {
            self.0.insert(value, place);
            return;
        };
        let kind = FindingKind::Duplicate {
            value: value.to_owned(),
            first: first.field(field),
        };
        findings.push(place, field, kind);
    }
}
