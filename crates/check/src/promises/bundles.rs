//! Checks that an accepted bundle is in force at every router within [`CheckLimits::in_force_us`] and
//! that no router reverts to an older one.
//!
//! The deadline applies while the router and a majority of the control replicas are neither killed,
//! frozen nor cut off, and starts again when such a fault ends. The failure of a minority of the
//! control replicas doesn't extend it.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{BundleRecord, HistoryEvent, InForceRecord, RouterName};

use crate::{CheckLimits, History, Located, Promise, Violation};

/// An accepted bundle, with the time and position of its record.
struct Accepted<'a> {
    record: &'a BundleRecord,
    at_us: u64,
    position: usize,
}

/// Bundle in force at a router, and the state of the deadline for the next one.
#[derive(Default)]
struct Router {
    /// Highest bundle version that has been in force.
    version: u64,
    index: u64,
    incarnation: u64,
    position: usize,
    /// Time from which the deadline counts: the first record or the last change of a fault.
    ready_us: u64,
    faulty: bool,
    /// Latest version that was reported as late, so that each is reported once.
    reported_version: u64,
}

/// State of the checker while it reads a history.
struct BundleChecker<'a> {
    limits: &'a CheckLimits,
    accepted: Vec<Accepted<'a>>,
    routers: BTreeMap<&'a RouterName, Router>,
    /// Processes that are killed, frozen or cut off.
    faulty: BTreeSet<&'a str>,
    /// Time since which a majority of the control replicas has no fault; `None` without a majority.
    majority_since_us: Option<u64>,
    violations: Vec<Violation>,
}

pub(crate) fn check(history: &History<'_>, limits: &CheckLimits) -> Vec<Violation> {
    let mut checker = BundleChecker {
        limits,
        accepted: Vec::new(),
        routers: BTreeMap::new(),
        faulty: BTreeSet::new(),
        majority_since_us: Some(0),
        violations: Vec::new(),
    };
    for located in &history.records {
        checker.report_late_routers(located.record.at_us);
        checker.observe(located);
    }
    checker.violations
}

impl<'a> BundleChecker<'a> {
    fn observe(&mut self, located: &Located<'a>) {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Accepted(record) => self.accept(record, at_us, located.position),
            HistoryEvent::InForce(record) => self.put_in_force(record, at_us, located.position),
            HistoryEvent::Killed(name)
            | HistoryEvent::Frozen(name)
            | HistoryEvent::CutOff(name) => {
                self.faulty.insert(name);
                self.set_fault(name, at_us, true);
            }
            HistoryEvent::Returned(name) => {
                self.faulty.remove(name.as_str());
                self.set_fault(name, at_us, false);
            }
            _ => {}
        }
    }

    fn set_fault(&mut self, name: &str, at_us: u64, faulty: bool) {
        if let Some((_, router)) = self
            .routers
            .iter_mut()
            .find(|(router, _)| router.as_str() == name)
        {
            router.faulty = faulty;
            router.ready_us = at_us;
        }
        let prefix = self.limits.control_prefix.as_str();
        if !name.starts_with(prefix) {
            return;
        }
        let faulty = self.faulty.iter().filter(|name| name.starts_with(prefix));
        let majority = faulty.count() * 2 < self.limits.control_replicas.max(1);
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
        let faulty = self.faulty.contains(record.router.as_str());
        let router = self.routers.entry(&record.router).or_insert(Router {
            ready_us: at_us,
            faulty,
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

    /// Reports each router where the latest bundle whose deadline has passed is not in force.
    fn report_late_routers(&mut self, now_us: u64) {
        let Some(majority_since_us) = self.majority_since_us else {
            return;
        };
        let limit_us = self.limits.in_force_us + self.limits.clock_tolerance_us;
        let mut late = Vec::new();
        for (name, router) in self.routers.iter_mut().filter(|(_, router)| !router.faulty) {
            let since_us = router.ready_us.max(majority_since_us);
            let due = self
                .accepted
                .iter()
                .rev()
                .find(|accepted| now_us > accepted.at_us.max(since_us) + limit_us);
            let Some(due) = due else { continue };
            let version = due.record.version;
            if router.version < version && router.reported_version < version {
                router.reported_version = version;
                let explanation = format!(
                    "version {version} is not in force at {} after {limit_us} us; version {} is",
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
