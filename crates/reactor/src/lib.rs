//! Building blocks of daemons that serve all connections from one thread: non-blocking connections, HTTP/1.1
//! messages, frames and deadlines.
//!
//! Invariants: no function blocks. A message is returned only once it is complete and unambiguous. No buffer
//! grows beyond the caller's limit by more than one read.

mod clock;
mod compression;
mod connection;
mod deadlines;
mod frames;
pub mod http;
mod memory;
mod outbound;
mod poll_history;
mod reclaim;
mod text_server;

pub use clock::{Clock, StallDetector};
pub use compression::{compress, decompress};
pub use connection::{Connection, ReadOutcome};
pub use deadlines::Deadlines;
pub use frames::{decode_frame, encode_frame, take_frame, FrameError, MAX_FRAME_BYTES};
pub use memory::{MemoryAccount, MemoryCharge};
pub use poll_history::PollHistory;
pub use reclaim::{PeerMemory, Progress, StallSearch};
pub use text_server::{TextResponse, TextServer};
