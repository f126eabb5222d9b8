//! Choice of the shards without an owner that a server takes with its heartbeat.
//!
//! A shard is assigned while the response to an eligible server's heartbeat is prepared, so that it is
//! served as soon as the response arrives and not one heartbeat later. The load of neighbouring shards
//! is correlated, so a server takes small blocks spread over the whole key range. The number of blocks
//! is bounded, since each takes a row in the response.

/// Target number of blocks that one server owns of a whole service.
const TARGET_BLOCKS: usize = 90;

/// Limit on the rows in one response.
pub(crate) const MAX_ROWS: usize = 150;

/// Factor by which a server without shards may exceed its equal share of the unassigned load, since
/// capacities differ.
const EMPTY_SERVER_MARGIN: f64 = 1.5;

/// Limit on the blocks that a server takes at once: rows of new blocks are longer, since they carry a
/// handover text.
const MAX_BLOCKS_AT_ONCE: usize = 60;

/// State of a service and of the server that shards are chosen for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AssignmentRequest {
    /// Number of shards of the service.
    pub total: usize,
    /// Number of shards that the server owns, and of the rows that list them.
    pub owned: usize,
    pub rows: usize,
    /// Load that the server can still take over, in the unit of the weights.
    pub headroom: f64,
    /// Number of servers that can take shards, including this one.
    pub eligible_servers: usize,
    /// Number of these servers that own no shard.
    pub empty_servers: usize,
    /// Whether shards have been without an owner for so long that they are assigned regardless of
    /// headroom.
    pub overdue: bool,
}

/// Chooses the shards that a server takes out of `unowned`, which must be in ascending order.
pub(crate) fn choose_shards(
    request: AssignmentRequest,
    unowned: &[usize],
    weight: impl Fn(usize) -> f64,
) -> Vec<usize> {
    let block = block_size(request);
    let blocks = split_into_blocks(unowned, block);
    if blocks.is_empty() {
        return Vec::new();
    }
    let most = max_blocks(request, unowned.len(), blocks.len());
    let waiting: f64 = unowned.iter().map(|shard| weight(*shard)).sum();
    let wanted = target_load(request, waiting);
    let mut taken = Vec::new();
    let mut load = 0.0;
    let mut count = 0;
    for number in spread_order(blocks.len(), most) {
        if count == most {
            break;
        }
        let shards = blocks[number];
        let more: f64 = shards.iter().map(|shard| weight(*shard)).sum();
        // The last block may exceed the target by half of its load; otherwise the result would never be
        // even.
        if load + more / 2.0 > wanted {
            continue;
        }
        load += more;
        count += 1;
        taken.extend(shards.iter().copied());
    }
    if taken.is_empty() && request.overdue && most > 0 {
        return blocks[0].to_vec();
    }
    taken
}

/// All numbers below `length`, ordered so that any first few are spread evenly. Covers the whole range,
/// so that blocks skipped for their load can be replaced by others.
fn spread_order(length: usize, most: usize) -> impl Iterator<Item = usize> {
    let count = most.min(length).max(1);
    let step = length.div_ceil(count);
    let order = (0..step).flat_map(move |offset| (offset..length).step_by(step));
    order.take(if most == 0 { 0 } else { length })
}

/// Limit on the blocks that a server takes with this heartbeat.
fn max_blocks(request: AssignmentRequest, unowned: usize, blocks: usize) -> usize {
    let rows_left = MAX_ROWS.saturating_sub(request.rows);
    let is_first = request.owned == 0 && unowned == request.total;
    let at_once = match is_first {
        true => MAX_ROWS,
        false => MAX_BLOCKS_AT_ONCE,
    };
    rows_left.min(at_once).min(blocks)
}

/// Load that a server takes of the unassigned load.
fn target_load(request: AssignmentRequest, waiting: f64) -> f64 {
    // Servers without shards divide the unassigned load among themselves.
    let share = match request.owned {
        0 => request
            .headroom
            .min(waiting / request.empty_servers.max(1) as f64 * EMPTY_SERVER_MARGIN),
        _ => request.headroom,
    };
    let forced = match request.overdue {
        true => waiting / request.eligible_servers.max(1) as f64,
        false => 0.0,
    };
    share.max(forced).max(0.0)
}

/// Shards per block, so that a server's fair share is about the target number of blocks.
fn block_size(request: AssignmentRequest) -> usize {
    let blocks = request.eligible_servers.max(1) * TARGET_BLOCKS;
    request.total.div_ceil(blocks).max(1)
}

/// Splits shards, which must be in ascending order, into blocks of neighbours. Blocks start at the first
/// shard of a run and not at fixed positions, so that shards released by servers with another block size
/// aren't split further.
fn split_into_blocks(shards: &[usize], block: usize) -> Vec<&[usize]> {
    let are_neighbours = |one: &usize, next: &usize| one + 1 == *next;
    let runs = shards.chunk_by(are_neighbours);
    runs.flat_map(|run| run.chunks(block)).collect()
}
