//! Records the history of a run.
//!
//! Invariant: records reflect actions of the product at the time they happened; a hold whose lease expired
//! without any processing is recorded at the time of expiry.

use std::collections::BTreeSet;

use grebepin_schema::{Epoch, HistoryEvent, HistoryRecord, ServiceName, ShardId};

use crate::clock::Instant;

/// History recorded so far.
#[derive(Default)]
pub struct Recorder {
    records: Vec<HistoryRecord>,
    acknowledged: BTreeSet<(ServiceName, ShardId, Epoch)>,
}

impl Recorder {
    /// Appends a record.
    pub fn record(&mut self, at_us: Instant, event: HistoryEvent) {
        self.records.push(HistoryRecord { at_us, event });
    }

    /// Marks the assignment as acknowledged; returns whether it was not marked before.
    pub fn first_acknowledged(
        &mut self,
        service: &ServiceName,
        shard: ShardId,
        epoch: Epoch,
    ) -> bool {
        self.acknowledged.insert((service.clone(), shard, epoch))
    }

    /// The records sorted by time; records with equal times keep their order.
    pub fn into_records(mut self) -> Vec<HistoryRecord> {
        self.records.sort_by_key(|record| record.at_us);
        self.records
    }
}
