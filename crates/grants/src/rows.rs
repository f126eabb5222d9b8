//! The rows of an answer to a heartbeat, and what it has room for.

use grebepin_catalog::{InstanceId, KeyRow, ShardOwnership, KEYS_PER_SHARD};

use crate::heartbeat::Heartbeat;
use crate::placement::MAXIMUM_ROWS;
use crate::server::Server;

/// Bytes of rows that an answer may hold, and those of one row without its handover.
const ANSWER_BYTES: usize = 3_800;

const ROW_BYTES: usize = 23;

/// Rows of the server's shards that it is not releasing; a handover only until it was taken.
pub(crate) fn granted_rows(
    ownership: &ShardOwnership,
    server: &Server,
    beat: &Heartbeat,
) -> Vec<KeyRow> {
    let granted = ownership
        .owned_by(&beat.id)
        .filter(|shard| !server.releasing.contains_key(shard));
    let (taken, new): (Vec<usize>, Vec<usize>) =
        granted.partition(|shard| beat.fence_of(*shard) == Some(ownership.shards()[*shard].fence));
    let mut rows = ownership.rows(taken.into_iter());
    for row in &mut rows {
        row.handover.clear();
    }
    rows.extend(ownership.rows(new.into_iter()));
    fit_into_answer(&mut rows);
    rows
}

/// Tells a server to release what an answer has no room to list, as after many small moves.
pub(crate) fn withhold_surplus(
    ownership: &ShardOwnership,
    server: &mut Server,
    sequence: u64,
    id: &InstanceId,
) {
    let kept: Vec<usize> = ownership
        .owned_by(id)
        .filter(|shard| !server.releasing.contains_key(shard))
        .collect();
    let rows = ownership.rows(kept.iter().copied());
    let Some(first_surplus) = rows.get(MAXIMUM_ROWS) else {
        return;
    };
    let is_surplus = |shard: &&usize| **shard as u32 * KEYS_PER_SHARD >= first_surplus.from;
    let surplus = kept.iter().filter(is_surplus);
    server
        .releasing
        .extend(surplus.map(|shard| (*shard, sequence)));
}

/// Keeps the rows within what an answer may hold: a handover that is left out only makes the keys
/// slow for a while.
fn fit_into_answer(rows: &mut [KeyRow]) {
    let mut left = ANSWER_BYTES.saturating_sub(rows.len() * ROW_BYTES);
    for row in rows {
        match row.handover.len() <= left {
            true => left -= row.handover.len(),
            false => row.handover.clear(),
        }
    }
}
