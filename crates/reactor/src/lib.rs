//! Plumbing of the daemons that serve all their connections from one thread: non-blocking
//! connections, HTTP/1.1 messages, frames, and deadlines.
//!
//! Invariants: nothing here waits; a message is handed out only once it is whole and unambiguous;
//! no buffer grows past the limit that the caller states.

mod clock;
mod connection;
mod deadlines;
mod frames;
pub mod http;
mod packing;
mod text_server;

pub use clock::{Clock, StandstillWatch};
pub use connection::{Connection, ReadOutcome};
pub use deadlines::Deadlines;
pub use frames::{decode_frame, encode_frame, take_frame, FrameError, MAXIMUM_FRAME_BYTES};
pub use packing::{pack, unpack};
pub use text_server::{TextAnswer, TextServer};
