//! Checks that an acknowledged assignment is never lost.
//!
//! Four rules apply to the assignments that the replicas acknowledged and applied:
//! 1. An epoch of a shard names the same server in every record.
//! 2. No acknowledged epoch lies between the epoch of an applied assignment and the epoch that it
//!    names as replaced. Otherwise the acknowledged assignment was lost.
//! 3. No epoch of a shard is first acknowledged after a later epoch was acknowledged.
//! 4. At the end of the history at least one replica has applied the latest acknowledged epoch or a
//!    later one. A replica that lost its state is recorded with epoch 0.

use std::collections::BTreeMap;

use grebepin_schema::{AssignmentRecord, Epoch, HistoryEvent, ReplicaId, ServerName};

use crate::holdings::Shard;
use crate::{CheckLimits, History, Promise, Violation};

/// Assignment records of one shard.
#[derive(Default)]
struct ShardHistory {
    /// Owner of each epoch, and the position of the first record that names it.
    owners: BTreeMap<Epoch, (Option<ServerName>, usize)>,
    /// Time and position of the first acknowledgement of each epoch.
    acknowledged: BTreeMap<Epoch, (u64, usize)>,
    /// For each applied epoch, the epoch that it replaced and the position of the record.
    replaced: BTreeMap<Epoch, (Epoch, usize)>,
    /// Latest epoch that each replica applied.
    applied: BTreeMap<ReplicaId, Epoch>,
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
            violations.extend(check_acknowledgement_order(
                shard,
                record,
                at_us,
                located.position,
            ));
            shard
                .acknowledged
                .entry(record.epoch)
                .or_insert((at_us, located.position));
        } else {
            record_applied(shard, record, located.position);
        }
    }
    for (name, shard) in &shards {
        violations.extend(check_replaced_epochs(name, shard));
        violations.extend(check_final_state(name, shard, history.end_us()));
    }
    violations
}

fn record_applied(shard: &mut ShardHistory, record: &AssignmentRecord, position: usize) {
    shard.applied.insert(record.replica, record.epoch);
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
                server_label(owner),
                server_label(&record.server)
            ),
        )
    })
}

fn check_acknowledgement_order(
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

fn check_replaced_epochs(name: &Shard, shard: &ShardHistory) -> Vec<Violation> {
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

fn check_final_state(name: &Shard, shard: &ShardHistory, end_us: u64) -> Option<Violation> {
    let (latest, (_, position)) = shard.acknowledged.last_key_value()?;
    let applied = shard.applied.values().max().copied().unwrap_or(Epoch(0));
    (applied < *latest).then(|| {
        violation(
            end_us,
            vec![*position],
            format!(
                "acknowledged epoch {latest} of {}/{} is held by no replica at the end; the latest epoch held is {}",
                *name.0, name.1, applied
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

fn server_label(server: &Option<ServerName>) -> &str {
    server
        .as_ref()
        .map_or("no server", |server| server.as_str())
}
