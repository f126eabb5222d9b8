//! Limits on what one replica stores in memory or sends at once.

use std::time::Duration;

/// Maximum size of a command, in bytes. An append request with one entry of this size fits in an internal
/// frame.
pub const MAX_COMMAND_BYTES: usize = 8 << 20;

/// Maximum number of entries in one append request.
pub(crate) const MAX_BATCH_ENTRIES: usize = 128;

/// Maximum size of the entries in one append request, in bytes. A larger entry is sent alone.
pub(crate) const MAX_BATCH_BYTES: usize = 256 << 10;

/// Maximum number of append requests with entries that may be unacknowledged by one follower.
pub(crate) const MAX_IN_FLIGHT_BATCHES: usize = 16;

/// Maximum size of the entries that may be unacknowledged by one follower, in bytes, unless there is only one batch.
/// Batches with a single large entry exceed [`MAX_BATCH_BYTES`], and the leader holds a copy of each until it is sent.
pub(crate) const MAX_IN_FLIGHT_BYTES: usize = MAX_IN_FLIGHT_BATCHES * MAX_BATCH_BYTES;

/// Maximum number of committed entries that a learner may lack and still count as caught up, while it is sent
/// batches: a busy leader commits some entries during one round trip. A quarter of [`RETAINED_ENTRIES`].
pub(crate) const MAX_CAUGHT_UP_LAG: u64 = 64;

/// Minimum size, in bytes of entries, of a bulk transfer to a learner. It takes a few milliseconds on a link
/// of 100 Mbit/s.
pub(crate) const MIN_BULK_BYTES: usize = 64 << 10;

/// Maximum number of learners with a bulk transfer in flight. Sending a configuration of 1,000 routes to 13
/// learners at once would delay the leader's rounds on its link for longer than an election timeout.
pub(crate) const MAX_BULK_TRANSFERS: usize = 2;

/// Time after which an unacknowledged bulk transfer no longer delays those to other learners.
pub(crate) const BULK_ACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a bulk transfer that waits for others is tried again.
pub(crate) const BULK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of uncommitted entries on a leader; further proposals are refused.
pub(crate) const MAX_UNCOMMITTED_ENTRIES: usize = 8192;

/// Maximum size of the uncommitted entries on a leader, in bytes; a proposal that would exceed it is refused.
pub const MAX_UNCOMMITTED_BYTES: usize = 2 * MAX_COMMAND_BYTES;

/// Further bytes for commands of at most [`SMALL_COMMAND_BYTES`], so that large commands which cannot be committed
/// do not keep out the commands of heartbeats.
pub(crate) const SMALL_COMMANDS_RESERVE_BYTES: usize = 2 << 20;

/// Maximum size of a small command, in bytes.
pub(crate) const SMALL_COMMAND_BYTES: usize = 16 << 10;

/// Maximum size of the committed entries that are returned for the state machine at once, in bytes. A replica that
/// starts with a long log would otherwise hold a copy of all of it.
pub(crate) const MAX_COMMITTED_BATCH_BYTES: usize = 4 << 20;

/// Maximum number of reads on a leader that wait for a majority; further reads are refused.
pub(crate) const MAX_PENDING_READS: usize = 8192;

/// Number of entries before a snapshot that a leader retains for followers slightly behind it, so that a few
/// missed entries do not require a snapshot transfer.
pub(crate) const RETAINED_ENTRIES: u64 = 256;

/// Maximum size of those entries, in bytes: what may be in flight to a follower.
pub(crate) const RETAINED_BYTES: usize = MAX_IN_FLIGHT_BYTES;

/// Number of entries before a snapshot that a leader retains while it transfers an earlier snapshot to a
/// follower, so that the follower can continue with the log afterwards.
pub(crate) const RETAINED_DURING_TRANSFER: u64 = 8192;

/// Maximum size of those entries, in bytes. A follower that lacks more after the transfer gets another snapshot.
pub(crate) const RETAINED_DURING_TRANSFER_BYTES: usize = 4 * RETAINED_BYTES;

/// Maximum size of a snapshot that a replica accepts from a leader, in bytes.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Maximum number of rounds whose send times a leader stores.
pub(crate) const MAX_TRACKED_ROUNDS: usize = 4096;
