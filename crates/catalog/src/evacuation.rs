//! Which calls decided the evacuations in force, so that an older call does not undo a later one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Start or end of a zone's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the zone.
    pub zone: String,
    /// True if the evacuation started, false if it ended.
    pub evacuated: bool,
}

/// Numbers of the calls to start or end evacuations that took effect.
///
/// Such a call carries no version. What tells an old one from a new one is the number of the last call that its
/// receiver knew of before the call can have been sent: a call that was sent after another one was acknowledged comes
/// with the number of that one or a later one, unless its receiver lags behind, and then it may be repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvacuationCalls {
    last: u64,
    last_by_zone: BTreeMap<String, u64>,
}

impl EvacuationCalls {
    /// Number of the last call for any zone.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Whether a call for a zone took effect after the one with this number.
    pub(crate) fn has_later(&self, zone: &str, number: u64) -> bool {
        self.last_by_zone
            .get(zone)
            .is_some_and(|last| *last > number)
    }

    /// Numbers a call that takes effect.
    pub(crate) fn record(&mut self, zone: &str) {
        self.last += 1;
        self.last_by_zone.insert(zone.to_owned(), self.last);
    }
}
