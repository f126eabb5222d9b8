//! Names and addresses that may stand once.

use std::collections::BTreeMap;

use super::Findings;
use crate::finding::FindingKind;

/// Values seen so far, with the path of the first use.
#[derive(Default)]
pub(super) struct Unique(BTreeMap<String, String>);

impl Unique {
    /// Notes a value; a finding when it was noted before.
    pub(super) fn insert(&mut self, value: &str, path: &str, findings: &mut Findings) {
        let Some(first) = self.0.get(value) else {
            self.0.insert(value.to_owned(), path.to_owned());
            return;
        };
        let kind = FindingKind::Duplicate {
            value: value.to_owned(),
            first: first.clone(),
        };
        findings.push(path, kind);
    }
}
