//! An acknowledged assignment survives.
//!
//! Four rules over what the replicas acknowledged and believe:
//! 1. one epoch of a shard names one server everywhere;
//! 2. an assignment that a replica applied follows the latest acknowledged one before it, so no
//!    acknowledged epoch lies between the epoch it names as replaced and its own;
//! 3. one replica never acknowledges an earlier epoch after a later one;
//! 4. at the end some replica believes the latest acknowledged epoch, or a later one. A replica that
//!    lost what it knew says so by a belief in epoch 0.

use std::collections::BTreeMap;

use grebepin_schema::{AssignmentRecord, Epoch, HistoryEvent, ReplicaId, ServerName};

use crate::holdings::Shard;
use crate::{CheckLimits, History, Promise, Violation};

/// What is known of one shard.
#[derive(Default)]
struct ShardHistory {
    owners: BTreeMap<Epoch, (Option<ServerName>, usize)>,
    acknowledged: BTreeMap<Epoch, (u64, usize)>,
    replaced: BTreeMap<Epoch, (Epoch, usize)>,
    /// Latest belief of each replica.
    believed: BTreeMap<ReplicaId, Epoch>,
}

pub(crate) fn check(history: &History<'_>, _limits: &CheckLimits) -> Vec<Violation> {
    let mut shards: BTreeMap<Shard, ShardHistory> = BTreeMap::new();
    let mut violations = Vec::new();
    for located in &history.records {
        let (record, acknowledged) = match &located.record.event {
            HistoryEvent::Acknowledged(record) => (record, true),
            HistoryEvent::Believed(record) => (record, false),
            _ => continue,
        };
        let shard = shards
            .entry((record.service.clone(), record.shard))
            .or_default();
        let at_us = located.record.at_us;
        violations.extend(check_owner(shard, record, at_us, located.position));
        if acknowledged {
            violations.extend(check_order(shard, record, at_us, located.position));
            shard
                .acknowledged
                .entry(record.epoch)
                .or_insert((at_us, located.position));
        } else {
            note_belief(shard, record, located.position);
        }
    }
    for (name, shard) in &shards {
        violations.extend(check_chain(name, shard));
        violations.extend(check_end(name, shard, history.end_us()));
    }
    violations
}

fn note_belief(shard: &mut ShardHistory, record: &AssignmentRecord, position: usize) {
    shard.believed.insert(record.replica, record.epoch);
    if let Some(previous) = record.previous {
        shard
            .replaced
            .entry(record.epoch)
            .or_insert((previous, position));
    }
}

fn check_owner(
    shard: &mut ShardHistory,
    record: &AssignmentRecord,
    at_us: u64,
    position: usize,
) -> Option<Violation> {
    let (owner, first) = shard
        .owners
        .entry(record.epoch)
        .or_insert_with(|| (record.server.clone(), position));
    (*owner != record.server).then(|| {
        violation(
            at_us,
            vec![*first, position],
            format!(
                "epoch {} of {}/{} names {} and {}",
                record.epoch,
                *record.service,
                record.shard,
                server_text(owner),
                server_text(&record.server)
            ),
        )
    })
}

fn check_order(
    shard: &ShardHistory,
    record: &AssignmentRecord,
    at_us: u64,
    position: usize,
) -> Option<Violation> {
    let (latest, (_, later_position)) = shard.acknowledged.last_key_value()?;
    (*latest > record.epoch && !shard.acknowledged.contains_key(&record.epoch)).then(|| {
        violation(
            at_us,
            vec![*later_position, position],
            format!(
                "epoch {} of {}/{} was first acknowledged after epoch {latest}",
                record.epoch, *record.service, record.shard
            ),
        )
    })
}

fn check_chain(name: &Shard, shard: &ShardHistory) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (epoch, (previous, position)) in &shard.replaced {
        let lost = shard
            .acknowledged
            .range(*previous..*epoch)
            .find(|(between, _)| *between > previous);
        if let Some((between, (at_us, acknowledged))) = lost {
            violations.push(violation(
                *at_us,
                vec![*acknowledged, *position],
                format!(
                    "acknowledged epoch {between} of {}/{} was lost: epoch {epoch} replaced epoch {previous}",
                    *name.0, name.1
                ),
            ));
        }
    }
    violations
}

fn check_end(name: &Shard, shard: &ShardHistory, end_us: u64) -> Option<Violation> {
    let (latest, (_, position)) = shard.acknowledged.last_key_value()?;
    let believed = shard.believed.values().max().copied().unwrap_or(Epoch(0));
    (believed < *latest).then(|| {
        violation(
            end_us,
            vec![*position],
            format!(
                "acknowledged epoch {latest} of {}/{} is held by no replica at the end, which know {}",
                *name.0, name.1, believed
            ),
        )
    })
}

fn violation(at_us: u64, events: Vec<usize>, explanation: String) -> Violation {
    Violation {
        promise: Promise::AssignmentSurvives,
        at_us,
        events,
        explanation,
    }
}

fn server_text(server: &Option<ServerName>) -> &str {
    server
        .as_ref()
        .map_or("no server", |server| server.as_str())
}
