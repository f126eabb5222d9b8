//! Builds the rows of a heartbeat response and keeps them within its size limit.

use grebepin_catalog::{InstanceId, KeyRange, ShardOwnership, KEYS_PER_SHARD};

use crate::heartbeat::Heartbeat;
use crate::placement::MAX_ROWS;
use crate::server::Server;

/// Limit on the bytes of all rows in a response, and the bytes of one row without its handover text.
const RESPONSE_BYTES: usize = 3_800;

const ROW_BYTES: usize = 23;

/// Rows of the server's shards that it isn't releasing. A handover text is included only until the
/// server reports that it holds the shard. Shards that the heartbeat does not list are left out unless their
/// grant is recorded.
pub(crate) fn granted_rows(
    ownership: &ShardOwnership,
    server: &Server,
    heartbeat: &Heartbeat,
) -> Vec<KeyRange> {
    let (taken, new): (Vec<usize>, Vec<usize>) = kept_shards(ownership, server, heartbeat)
        .partition(|shard| is_listed(ownership, heartbeat, *shard));
    let mut rows = ownership.key_ranges(taken.into_iter());
    for row in &mut rows {
        row.handover.clear();
    }
    if ownership.last_grant(&heartbeat.id) < Some(heartbeat.sequence) {
        return rows;
    }
    rows.extend(ownership.key_ranges(new.into_iter()));
    drop_handovers_beyond_limit(&mut rows);
    rows
}

/// Whether the response to a heartbeat grants shards that the heartbeat does not list.
pub(crate) fn grants_unlisted(
    ownership: &ShardOwnership,
    server: &Server,
    heartbeat: &Heartbeat,
) -> bool {
    let mut kept = kept_shards(ownership, server, heartbeat);
    kept.any(|shard| !is_listed(ownership, heartbeat, shard))
}

/// Shards of a server that it isn't releasing.
fn kept_shards<'a>(
    ownership: &'a ShardOwnership,
    server: &'a Server,
    heartbeat: &'a Heartbeat,
) -> impl Iterator<Item = usize> + 'a {
    let owned = ownership.owned_by(&heartbeat.id);
    owned.filter(|shard| !server.releasing.contains_key(shard))
}

/// Whether a heartbeat lists a shard under its present fence.
fn is_listed(ownership: &ShardOwnership, heartbeat: &Heartbeat, shard: usize) -> bool {
    heartbeat.fence_of(shard) == Some(ownership.shards()[shard].fence)
}

/// Withholds the shards whose rows exceed the limit of a response, which happens after many small moves.
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
    let rows = ownership.key_ranges(kept.iter().copied());
    let Some(first_surplus) = rows.get(MAX_ROWS) else {
        return;
    };
    let is_surplus = |shard: &&usize| **shard as u32 * KEYS_PER_SHARD >= first_surplus.from;
    let surplus = kept.iter().filter(is_surplus);
    server
        .releasing
        .extend(surplus.map(|shard| (*shard, sequence)));
}

/// Drops handover texts that would exceed the limit of a response. A server without the text starts cold
/// for these keys, which makes them slow for a while.
fn drop_handovers_beyond_limit(rows: &mut [KeyRange]) {
    let mut left = RESPONSE_BYTES.saturating_sub(rows.len() * ROW_BYTES);
    for row in rows {
        match row.handover.len() <= left {
            true => left -= row.handover.len(),
            false => row.handover.clear(),
        }
    }
}
