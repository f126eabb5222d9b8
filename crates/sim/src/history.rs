//! Records what happens in a run.
//!
//! Invariant: what is recorded comes from what the product did, at the time it did it; a hold that
//! lapsed unnoticed is recorded at the moment its lease ended.

use std::collections::BTreeSet;

use grebepin_schema::{Epoch, HistoryEvent, HistoryRecord, ServiceName, ShardId};

use crate::clock::Instant;

/// Records of a run so far.
#[derive(Default)]
pub struct Recorder {
    records: Vec<HistoryRecord>,
    acknowledged: BTreeSet<(ServiceName, ShardId, Epoch)>,
}

impl Recorder {
    /// Adds a record.
    pub fn record(&mut self, at_us: Instant, event: HistoryEvent) {
        self.records.push(HistoryRecord { at_us, event });
    }

    /// Whether this assignment is acknowledged for the first time.
    pub fn first_acknowledged(
        &mut self,
        service: &ServiceName,
        shard: ShardId,
        epoch: Epoch,
    ) -> bool {
        self.acknowledged.insert((service.clone(), shard, epoch))
    }

    /// The records in the order of their times.
    pub fn into_records(mut self) -> Vec<HistoryRecord> {
        self.records.sort_by_key(|record| record.at_us);
        self.records
    }
}
