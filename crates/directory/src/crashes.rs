//! Detection of requests that crash the servers executing them, from crash reports of gateways.
//!
//! Gateways repeat each crash report for as long as they remember the crash. A new leader therefore knows all
//! crashes within one report interval, and a crash that turns out to be harmless is forgotten soon after its
//! gateway stops reporting it.
//!
//! Invariant: a request is quarantined only for crashes of different server incarnations at different times,
//! so that many servers failing at one moment do not quarantine the requests they were executing.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_catalog::{Catalog, Command, Fingerprint, InstanceId};
use serde::{Deserialize, Serialize};

/// Number of crashes after which a request is quarantined.
const QUARANTINE_THRESHOLD: usize = 3;

/// Minimum time between two crashes that both count.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(250);

/// Time that reports may have waited unread. Later ones, as after a standstill, would put crashes of one moment at
/// different times; they are dropped, and gateways send them again each second.
pub const MAX_REPORT_WAIT: Duration = Duration::from_secs(1);

/// How long a crash counts after its last report; gateways report each second.
const CRASH_REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// How long a request stays quarantined. By then the operators of the servers have fixed the fault, or one
/// more crash shows that it persists.
const QUARANTINE_DURATION: Duration = Duration::from_secs(15 * 60);

/// Maximum number of crashes remembered, over all requests.
const MAX_CRASHES: usize = 4_096;

/// Maximum number of crashes that a replica forwards to the leader in one report.
const MAX_REPORTS_PER_MESSAGE: usize = 256;

/// Crash of a server while it executed a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The server incarnation that crashed.
    pub server: InstanceId,
    /// Time since the crash, as measured by the reporting gateway.
    pub age: Duration,
}

/// Crash reports that a replica buffers for its next report to the leader.
#[derive(Debug, Default)]
pub struct CrashReportBuffer {
    /// The reports with the times at which they were received.
    reports: Vec<(Duration, CrashReport)>,
}

impl CrashReportBuffer {
    /// Adds the reports of a gateway that are received at `now`. Reports beyond the limit per message are dropped; gateways
    /// send them again.
    pub fn add(&mut self, now: Duration, reports: &[CrashReport]) {
        let room = MAX_REPORTS_PER_MESSAGE.saturating_sub(self.reports.len());
        let added = reports.iter().take(room).cloned();
        self.reports.extend(added.map(|report| (now, report)));
    }

    /// Removes and returns the buffered reports, with the ages that the crashes have at `now`.
    pub fn take(&mut self, now: Duration) -> Vec<CrashReport> {
        let reports = std::mem::take(&mut self.reports).into_iter();
        reports
            .map(|(received_at, report)| CrashReport {
                age: report.age + now.saturating_sub(received_at),
                ..report
            })
            .collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    /// Time of the crash in milliseconds on this process's clock; negative if it was before the process
    /// started.
    at_ms: i64,
    /// When a gateway last reported the crash.
    last_reported: Duration,
}

/// The leader's record of all crashes that gateways currently report.
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: BTreeMap<(Fingerprint, InstanceId), Crash>,
    /// When this leader first saw each quarantined request in the catalog.
    quarantined_since: BTreeMap<Fingerprint, Duration>,
}

impl CrashTracker {
    /// Records a crash report. A new crash is ignored while the maximum number is already recorded.
    pub fn record(&mut self, now: Duration, report: &CrashReport) {
        let key = (report.fingerprint, report.server.clone());
        if !self.crashes.contains_key(&key) && self.crashes.len() >= MAX_CRASHES {
            return;
        }
        let at_ms = now.as_millis() as i64 - report.age.as_millis() as i64;
        let crash = self.crashes.entry(key).or_insert(Crash {
            at_ms,
            last_reported: now,
        });
        // A report that was under way for longer makes the crash seem later.
        crash.at_ms = crash.at_ms.min(at_ms);
        crash.last_reported = now;
    }

    /// Returns the commands that start and end quarantines at this time.
    pub fn due_commands(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        self.crashes
            .retain(|_, crash| now < crash.last_reported + CRASH_REPORT_LIFETIME);
        let mut commands: Vec<Command> = self
            .over_threshold()
            .into_iter()
            .filter(|fingerprint| !catalog.quarantine().contains(*fingerprint))
            .map(|fingerprint| Command::SetQuarantine {
                fingerprint,
                quarantined: true,
            })
            .collect();
        commands.extend(self.expired_quarantines(now, catalog));
        commands
    }

    /// Requests whose crashes reach the threshold.
    fn over_threshold(&self) -> Vec<Fingerprint> {
        let mut times: BTreeMap<Fingerprint, Vec<i64>> = BTreeMap::new();
        for ((fingerprint, _), crash) in &self.crashes {
            times.entry(*fingerprint).or_default().push(crash.at_ms);
        }
        let over_threshold = times
            .into_iter()
            .filter(|(_, times)| count_spaced(times) >= QUARANTINE_THRESHOLD);
        over_threshold.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Commands that end quarantines whose duration has passed.
    fn expired_quarantines(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        let quarantine = catalog.quarantine();
        self.quarantined_since
            .retain(|fingerprint, _| quarantine.contains(*fingerprint));
        for fingerprint in quarantine.requests() {
            self.quarantined_since.entry(fingerprint).or_insert(now);
        }
        let known = self.quarantined_since.iter();
        let over = known.filter(|(_, since)| now >= **since + QUARANTINE_DURATION);
        over.map(|(fingerprint, _)| Command::SetQuarantine {
            fingerprint: *fingerprint,
            quarantined: false,
        })
        .collect()
    }
}

/// Counts the times, in milliseconds, that are at least the minimum interval after the previously counted
/// one.
fn count_spaced(times: &[i64]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut count = 0;
    let mut last: Option<i64> = None;
    for at in times {
        if last.is_none_or(|last| at >= last + MIN_CRASH_SPACING.as_millis() as i64) {
            last = Some(at);
            count += 1;
        }
    }
    count
}
