//! Derives the intervals in which servers held shards from the `Acquired`, `Forfeited` and `Killed` records.

use std::collections::BTreeMap;

use grebepin_schema::{Epoch, HistoryEvent, Holding, ServerName, ServiceName, ShardId};

use crate::History;

/// An uninterrupted interval in which one server held a shard at one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) server: ServerName,
    pub(crate) epoch: Epoch,
    pub(crate) from_us: u64,
    /// `u64::MAX` if the shard is still held at the end of the history.
    pub(crate) until_us: u64,
    /// Position of the record that began the hold.
    pub(crate) acquired: usize,
    /// Position of the `Forfeited` or `Killed` record that ended the hold.
    pub(crate) forfeited: Option<usize>,
}

/// A shard, identified by its service and shard id.
pub(crate) type Shard = (ServiceName, ShardId);

/// The holds of each shard, ordered by start time.
pub(crate) type Holds = BTreeMap<Shard, Vec<Hold>>;

/// Collects the holds of a history. A hold ends when the server forfeits the shard at the same epoch,
/// acquires the shard again, or is killed.
pub(crate) fn collect(history: &History<'_>) -> Holds {
    let mut holds = Holds::new();
    let mut open: BTreeMap<ServerName, BTreeMap<Shard, usize>> = BTreeMap::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Acquired(holding) => {
                end_hold(&mut holds, &mut open, holding, None, at_us, None);
                begin_hold(&mut holds, &mut open, holding, at_us, located.position);
            }
            HistoryEvent::Forfeited(holding) => {
                let position = Some(located.position);
                let epoch = Some(holding.epoch);
                end_hold(&mut holds, &mut open, holding, epoch, at_us, position);
            }
            HistoryEvent::Killed(name) => {
                end_all(&mut holds, &mut open, name, at_us, located.position);
            }
            _ => {}
        }
    }
    holds
}

fn begin_hold(
    holds: &mut Holds,
    open: &mut BTreeMap<ServerName, BTreeMap<Shard, usize>>,
    holding: &Holding,
    at_us: u64,
    position: usize,
) {
    let shard = (holding.service.clone(), holding.shard);
    let list = holds.entry(shard.clone()).or_default();
    open.entry(holding.server.clone())
        .or_default()
        .insert(shard, list.len());
    list.push(Hold {
        server: holding.server.clone(),
        epoch: holding.epoch,
        from_us: at_us,
        until_us: u64::MAX,
        acquired: position,
        forfeited: None,
    });
}

fn end_hold(
    holds: &mut Holds,
    open: &mut BTreeMap<ServerName, BTreeMap<Shard, usize>>,
    holding: &Holding,
    epoch: Option<Epoch>,
    at_us: u64,
    position: Option<usize>,
) {
    let shard = (holding.service.clone(), holding.shard);
    let Some(shards) = open.get_mut(&holding.server) else {
        return;
    };
    let Some(&index) = shards.get(&shard) else {
        return;
    };
    let Some(hold) = holds.get_mut(&shard).and_then(|list| list.get_mut(index)) else {
        return;
    };
    if epoch.is_some_and(|epoch| epoch != hold.epoch) {
        return;
    }
    hold.until_us = at_us;
    hold.forfeited = position;
    shards.remove(&shard);
}

fn end_all(
    holds: &mut Holds,
    open: &mut BTreeMap<ServerName, BTreeMap<Shard, usize>>,
    name: &str,
    at_us: u64,
    position: usize,
) {
    let Ok(server) = name.parse::<ServerName>() else {
        return;
    };
    for (shard, index) in open.remove(&server).unwrap_or_default() {
        if let Some(hold) = holds.get_mut(&shard).and_then(|list| list.get_mut(index)) {
            hold.until_us = at_us;
            hold.forfeited = Some(position);
        }
    }
}
