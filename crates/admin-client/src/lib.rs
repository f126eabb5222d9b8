//! Typed client of the control replicas' admin interface.
//!
//! Invariant: a request that only the leader answers is retried until a replica answers it as leader or
//! the search time is over. Each such request is idempotent, so it is safe to retry after a lost answer.

mod client;
mod error;
mod founding;
mod http;
mod search;

pub use client::{AdminClient, ClientOptions};
pub use error::{Attempt, ClientError};
pub use founding::founding_voter;
