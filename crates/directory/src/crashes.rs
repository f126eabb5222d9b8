//! What the leader makes of crashes that gateways saw: which request crashes the servers that run it.
//!
//! Gateways tell of each crash again and again for as long as they remember it, so that a new leader knows all of
//! them within a report, and one that turns out harmless is forgotten as soon as its gateway no longer tells it.
//!
//! Invariant: a request is quarantined only for crashes of different lives of servers at different times, so that many
//! servers that fail at one moment quarantine nothing of what they were running.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_catalog::{Catalog, Command, Fingerprint, InstanceId};
use serde::{Deserialize, Serialize};

/// Crashes for which a request is quarantined.
const QUARANTINE_AFTER: usize = 3;

/// Least time between two crashes that both count.
const APART: Duration = Duration::from_millis(250);

/// Time for which a crash counts that no gateway tells of again; they tell each second.
const TOLD_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which a request stays quarantined: whoever runs the servers has mended them by then, or one more crash
/// shows that nobody has.
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(15 * 60);

/// Crashes that are remembered at most, over all requests.
const MOST_CRASHES: usize = 4_096;

/// Crashes that a replica passes on in one word at most.
const MOST_TOLD: usize = 256;

/// A server crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life of the server that ended.
    pub server: InstanceId,
    /// How long ago, as the gateway that saw it tells.
    pub age: Duration,
}

/// Crashes that a replica gathers from its gateways for the leader.
#[derive(Debug, Default)]
pub struct GatheredCrashes {
    reports: Vec<CrashReport>,
}

impl GatheredCrashes {
    /// A gateway told of crashes.
    pub fn add(&mut self, reports: &[CrashReport]) {
        let room = MOST_TOLD.saturating_sub(self.reports.len());
        self.reports.extend(reports.iter().take(room).cloned());
    }

    /// Takes what was gathered.
    pub fn take(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.reports)
    }
}

/// One crash.
#[derive(Clone, Copy, Debug)]
struct Crash {
    /// When it was, in milliseconds of this process's clock: before its start, if negative.
    at_ms: i64,
    /// When a gateway last told of it.
    told: Duration,
}

/// All crashes that gateways tell of, at the leader.
#[derive(Debug, Default)]
pub struct CrashBook {
    crashes: BTreeMap<(Fingerprint, InstanceId), Crash>,
    /// Since when this leader has known each quarantined request.
    quarantined_since: BTreeMap<Fingerprint, Duration>,
}

impl CrashBook {
    /// A gateway tells of a crash.
    pub fn note(&mut self, now: Duration, report: &CrashReport) {
        let key = (report.fingerprint, report.server.clone());
        if !self.crashes.contains_key(&key) && self.crashes.len() >= MOST_CRASHES {
            return;
        }
        let crash = self.crashes.entry(key).or_insert(Crash {
            at_ms: now.as_millis() as i64 - report.age.as_millis() as i64,
            told: now,
        });
        crash.told = now;
    }

    /// Commands that are due: requests that are to be quarantined, and those for which that is over.
    pub fn due(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        self.crashes
            .retain(|_, crash| now < crash.told + TOLD_LIFETIME);
        let mut commands: Vec<Command> = self
            .repeated()
            .into_iter()
            .filter(|fingerprint| !catalog.quarantine().contains(*fingerprint))
            .map(|fingerprint| Command::SetQuarantine {
                fingerprint,
                quarantined: true,
            })
            .collect();
        commands.extend(self.released(now, catalog));
        commands
    }

    /// Requests with enough crashes.
    fn repeated(&self) -> Vec<Fingerprint> {
        let mut times: BTreeMap<Fingerprint, Vec<i64>> = BTreeMap::new();
        for ((fingerprint, _), crash) in &self.crashes {
            times.entry(*fingerprint).or_default().push(crash.at_ms);
        }
        let repeated = times
            .into_iter()
            .filter(|(_, times)| count_apart(times) >= QUARANTINE_AFTER);
        repeated.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Ends of quarantines whose time is over.
    fn released(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        let quarantine = catalog.quarantine();
        self.quarantined_since
            .retain(|fingerprint, _| quarantine.contains(*fingerprint));
        for fingerprint in quarantine.requests() {
            self.quarantined_since.entry(fingerprint).or_insert(now);
        }
        let known = self.quarantined_since.iter();
        let over = known.filter(|(_, since)| now >= **since + QUARANTINE_LIFETIME);
        over.map(|(fingerprint, _)| Command::SetQuarantine {
            fingerprint: *fingerprint,
            quarantined: false,
        })
        .collect()
    }
}

/// How many of some times, in milliseconds, lie apart from each other.
fn count_apart(times: &[i64]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut count = 0;
    let mut last: Option<i64> = None;
    for at in times {
        if last.is_none_or(|last| at >= last + APART.as_millis() as i64) {
            last = Some(at);
            count += 1;
        }
    }
    count
}
