//! Load reports to the control group.
//!
//! Invariant: the reported index is that of the table that request threads read.

use std::time::Duration;

use grebepin_schema::{LoadReport, RouterFrame};

use crate::shared::Shared;

/// Builds the report over the last `interval` and resets the load counters.
pub fn report(shared: &Shared, interval: Duration) -> RouterFrame {
    let (servers, shards) = shared.load.take();
    RouterFrame::Report(LoadReport {
        group: shared.settings.group,
        router: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        in_force: shared.view().table.index(),
        interval_ms: interval.as_millis() as u64,
        servers,
        shards,
    })
}
