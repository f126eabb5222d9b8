//! Which shards without an owner the server of a heartbeat takes.
//!
//! Servers pull: a shard is assigned when an eligible server is about to be answered, so that it is
//! served from the moment the answer arrives and not one heartbeat later.

/// How many shards a server takes.
///
/// `owned` it has already, `unowned` have no owner, `eligible` servers share `total` shards.
/// `overdue` tells that shards have waited so long that balance no longer matters.
pub(crate) fn take_count(
    owned: usize,
    unowned: usize,
    eligible: usize,
    total: usize,
    overdue: bool,
) -> usize {
    let eligible = eligible.max(1);
    let target = total.div_ceil(eligible);
    let room = target.saturating_sub(owned);
    let forced = match overdue {
        true => unowned.div_ceil(eligible),
        false => 0,
    };
    room.max(forced).min(unowned)
}

/// Picks `count` of the candidates, evenly spread: neighbouring shards tend to be busy together.
pub(crate) fn spread(candidates: &[usize], count: usize) -> Vec<usize> {
    if count == 0 {
        return Vec::new();
    }
    let length = candidates.len();
    (0..count.min(length))
        .map(|number| candidates[number * length / count.min(length)])
        .collect()
}
