//! Typed client of the control replicas' admin interface.
//!
//! Invariant: a call that only the leader answers is sent until one replica answers it as leader, or
//! the time is over; each such call may be sent again without harm, so an answer that was lost costs
//! nothing.

mod client;
mod error;
mod founding;
mod http;
mod search;

pub use client::{AdminClient, ClientOptions};
pub use error::{Attempt, ClientError};
pub use founding::founding_voter;
