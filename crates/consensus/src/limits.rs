//! Bounds on what one replica holds or sends at once.

use std::time::Duration;

/// Largest command in bytes; an append request with one such entry fits in an internal frame.
pub const MAXIMUM_COMMAND_BYTES: usize = 8 << 20;

/// Most entries of one append request.
pub(crate) const BATCH_ENTRIES: usize = 128;

/// Bytes after which an append request takes no further entry.
pub(crate) const BATCH_BYTES: usize = 256 << 10;

/// Most append requests with entries that may wait for one follower's answers.
pub(crate) const IN_FLIGHT_BATCHES: usize = 16;

/// Committed entries that a learner may lack and count as caught up, while batches flow to it: a busy leader
/// commits some in the time that an answer takes. A quarter of what is kept for followers slightly behind.
pub(crate) const CAUGHT_UP_WITHIN_ENTRIES: u64 = 64;

/// Bytes of entries from which a message to a learner counts as bulk: some milliseconds of a link of 100 megabits a
/// second.
pub(crate) const BULK_BYTES: usize = 64 << 10;

/// Learners to which bulk is under way at a time: a configuration of a thousand routes to 13 learners at once would
/// hold up the leader's rounds on its link for longer than an election timeout.
pub(crate) const BULK_AT_ONCE: usize = 2;

/// Time after which bulk that was not acknowledged no longer keeps others waiting.
pub(crate) const BULK_PATIENCE: Duration = Duration::from_millis(300);

/// Time after which a learner that waits for others' bulk is looked at again.
pub(crate) const BULK_LOOK_EVERY: Duration = Duration::from_millis(10);

/// Most entries of a leader that wait for a majority; further proposals are refused.
pub(crate) const UNCOMMITTED_ENTRIES: usize = 8192;

/// Most reads of a leader that wait for a majority; further ones are refused.
pub(crate) const WAITING_READS: usize = 8192;

/// Entries before a snapshot that a leader keeps for followers slightly behind it, so that a few
/// missed entries don't cost them a whole snapshot.
pub(crate) const RETAINED_ENTRIES: u64 = 256;

/// Entries before a snapshot that a leader keeps while an earlier snapshot is on its way to a
/// follower, so that the follower can go on from there.
pub(crate) const RETAINED_DURING_TRANSFER: u64 = 8192;

/// Largest snapshot in bytes that a replica takes from a leader.
pub(crate) const MAXIMUM_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Rounds whose send times a leader remembers.
pub(crate) const REMEMBERED_ROUNDS: usize = 4096;
