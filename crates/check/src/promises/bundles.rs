//! An accepted bundle is in force everywhere within seconds and never reverts.
//!
//! The time counts for a router that is neither killed, frozen nor cut off, while a majority of the
//! control group isn't either, and starts again when such a fault ends. One control replica that
//! fails gives no extra time.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{BundleRecord, HistoryEvent, InForceRecord, RouterName};

use crate::{CheckLimits, History, Located, Promise, Violation};

/// A bundle that was accepted.
struct Accepted<'a> {
    record: &'a BundleRecord,
    at_us: u64,
    position: usize,
}

/// What a router has in force.
#[derive(Default)]
struct Router {
    version: u64,
    index: u64,
    incarnation: u64,
    position: usize,
    /// Since when the time to the latest bundle counts.
    ready_us: u64,
    out: bool,
    late_version: u64,
}

/// The checker's state while it goes over a history.
struct Progress<'a> {
    limits: &'a CheckLimits,
    accepted: Vec<Accepted<'a>>,
    routers: BTreeMap<&'a RouterName, Router>,
    out: BTreeSet<&'a str>,
    majority_since_us: Option<u64>,
    violations: Vec<Violation>,
}

pub(crate) fn check(history: &History<'_>, limits: &CheckLimits) -> Vec<Violation> {
    let mut progress = Progress {
        limits,
        accepted: Vec::new(),
        routers: BTreeMap::new(),
        out: BTreeSet::new(),
        majority_since_us: Some(0),
        violations: Vec::new(),
    };
    for located in &history.records {
        progress.find_late(located.record.at_us);
        progress.observe(located);
    }
    progress.violations
}

impl<'a> Progress<'a> {
    fn observe(&mut self, located: &Located<'a>) {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Accepted(record) => self.accept(record, at_us, located.position),
            HistoryEvent::InForce(record) => self.put_in_force(record, at_us, located.position),
            HistoryEvent::Killed(name)
            | HistoryEvent::Frozen(name)
            | HistoryEvent::CutOff(name) => {
                self.out.insert(name);
                self.note_fault(name, at_us, true);
            }
            HistoryEvent::Returned(name) => {
                self.out.remove(name.as_str());
                self.note_fault(name, at_us, false);
            }
            _ => {}
        }
    }

    fn note_fault(&mut self, name: &str, at_us: u64, out: bool) {
        if let Some((_, router)) = self
            .routers
            .iter_mut()
            .find(|(router, _)| router.as_str() == name)
        {
            router.out = out;
            router.ready_us = at_us;
        }
        let prefix = self.limits.control_prefix.as_str();
        if !name.starts_with(prefix) {
            return;
        }
        let out = self.out.iter().filter(|name| name.starts_with(prefix));
        let majority = out.count() * 2 < self.limits.control_replicas.max(1);
        match (majority, self.majority_since_us) {
            (false, _) => self.majority_since_us = None,
            (true, None) => self.majority_since_us = Some(at_us),
            (true, Some(_)) => {}
        }
    }

    fn accept(&mut self, record: &'a BundleRecord, at_us: u64, position: usize) {
        let same = self
            .accepted
            .iter()
            .find(|accepted| accepted.record.version == record.version);
        if let Some(same) = same {
            if same.record.digest != record.digest {
                let explanation =
                    format!("two bundles with version {} were accepted", record.version);
                let events = vec![same.position, position];
                self.report(at_us, events, explanation);
            }
            return;
        }
        if let Some(latest) = self.accepted.last() {
            if record.version < latest.record.version || record.index <= latest.record.index {
                let explanation = format!(
                    "version {} was accepted at index {} after version {} at index {}",
                    record.version, record.index, latest.record.version, latest.record.index
                );
                let events = vec![latest.position, position];
                self.report(at_us, events, explanation);
                return;
            }
        }
        self.accepted.push(Accepted {
            record,
            at_us,
            position,
        });
    }

    fn put_in_force(&mut self, record: &'a InForceRecord, at_us: u64, position: usize) {
        let out = self.out.contains(record.router.as_str());
        let router = self.routers.entry(&record.router).or_insert(Router {
            ready_us: at_us,
            out,
            incarnation: record.incarnation,
            ..Router::default()
        });
        let older = router.version > record.bundle_version;
        let lower = router.incarnation == record.incarnation && router.index > *record.index;
        let events = vec![router.position, position];
        let explanation = format!(
            "{} went from version {} at index {} to version {} at index {}",
            record.router.as_str(),
            router.version,
            router.index,
            record.bundle_version,
            record.index
        );
        router.version = router.version.max(record.bundle_version);
        router.index = *record.index;
        router.incarnation = record.incarnation;
        router.position = position;
        if older || lower {
            self.report(at_us, events, explanation);
        }
    }

    /// Reports routers that by now should have the latest bundle that is old enough in force.
    fn find_late(&mut self, now_us: u64) {
        let Some(majority_since_us) = self.majority_since_us else {
            return;
        };
        let limit_us = self.limits.in_force_us + self.limits.clock_tolerance_us;
        let mut late = Vec::new();
        for (name, router) in self.routers.iter_mut().filter(|(_, router)| !router.out) {
            let since_us = router.ready_us.max(majority_since_us);
            let due = self
                .accepted
                .iter()
                .rev()
                .find(|accepted| now_us > accepted.at_us.max(since_us) + limit_us);
            let Some(due) = due else { continue };
            let version = due.record.version;
            if router.version < version && router.late_version < version {
                router.late_version = version;
                let explanation = format!(
                    "version {version} is not in force at {} after {limit_us} us, which has version {}",
                    name.as_str(),
                    router.version
                );
                let deadline_us = due.at_us.max(since_us) + limit_us;
                late.push((
                    deadline_us,
                    vec![due.position, router.position],
                    explanation,
                ));
            }
        }
        for (at_us, events, explanation) in late {
            self.report(at_us, events, explanation);
        }
    }

    fn report(&mut self, at_us: u64, events: Vec<usize>, explanation: String) {
        self.violations.push(Violation {
            promise: Promise::BundleInForce,
            at_us,
            events,
            explanation,
        });
    }
}
