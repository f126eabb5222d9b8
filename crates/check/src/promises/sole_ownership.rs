//! Checks that no key is owned by more than one server at any time.
//!
//! Two rules apply: the holds of two servers on one shard never overlap, and a server makes an effect
//! only while it holds the shard at the epoch that the effect names. Both allow for
//! [`CheckLimits::clock_tolerance_us`].

use std::collections::BTreeMap;

use grebepin_schema::{EffectRecord, HistoryEvent};

use crate::holdings::{self, Hold, Holds, Shard};
use crate::{CheckLimits, History, Promise, Violation};

pub(crate) fn check(history: &History<'_>, limits: &CheckLimits) -> Vec<Violation> {
    let holds = holdings::collect(history);
    let mut violations = overlap_violations(&holds, limits);
    violations.extend(unowned_effect_violations(history, &holds, limits));
    violations
}

fn overlap_violations(holds: &Holds, limits: &CheckLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (shard, list) in holds {
        // For each server, the hold with the latest end among those seen so far. Comparing only with
        // the previous hold would miss an overlap with an earlier, longer one.
        let mut latest: BTreeMap<&str, &Hold> = BTreeMap::new();
        for hold in list {
            for other in latest.values() {
                if other.server != hold.server && overlaps(other, hold, limits) {
                    violations.push(overlap_violation(shard, other, hold));
                }
            }
            let longest = latest.entry(hold.server.as_str()).or_insert(hold);
            if hold.until_us > longest.until_us {
                *longest = hold;
            }
        }
    }
    violations
}

fn overlaps(earlier: &Hold, later: &Hold, limits: &CheckLimits) -> bool {
    let begin = earlier.from_us.max(later.from_us);
    let end = earlier.until_us.min(later.until_us);
    end.saturating_sub(begin) > limits.clock_tolerance_us
}

fn overlap_violation(shard: &Shard, earlier: &Hold, later: &Hold) -> Violation {
    let mut events = vec![earlier.acquired, later.acquired];
    events.extend(earlier.forfeited);
    Violation {
        promise: Promise::SoleOwnership,
        at_us: later.from_us,
        events,
        explanation: format!(
            "{} acquired {}/{} at epoch {} while {} still held it at epoch {}",
            later.server.as_str(),
            *shard.0,
            shard.1,
            later.epoch,
            earlier.server.as_str(),
            earlier.epoch
        ),
    }
}

fn unowned_effect_violations(
    history: &History<'_>,
    holds: &Holds,
    limits: &CheckLimits,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for located in &history.records {
        let HistoryEvent::Effect(effect) = &located.record.event else {
            continue;
        };
        let at_us = located.record.at_us;
        if !is_held(holds, effect, at_us, limits) {
            violations.push(Violation {
                promise: Promise::SoleOwnership,
                at_us,
                events: vec![located.position],
                explanation: format!(
                    "{} made the effect of {} on {}/{} at epoch {} without holding it",
                    effect.server.as_str(),
                    *effect.request_id,
                    *effect.service,
                    effect.shard,
                    effect.epoch
                ),
            });
        }
    }
    violations
}

fn is_held(holds: &Holds, effect: &EffectRecord, at_us: u64, limits: &CheckLimits) -> bool {
    let shard = (effect.service.clone(), effect.shard);
    let Some(list) = holds.get(&shard) else {
        return false;
    };
    let begun = at_us.saturating_add(limits.clock_tolerance_us);
    let count = list.partition_point(|hold| hold.from_us <= begun);
    list[..count].iter().rev().any(|hold| {
        let until = hold.until_us.saturating_add(limits.clock_tolerance_us);
        hold.server == effect.server && hold.epoch == effect.epoch && at_us <= until
    })
}
