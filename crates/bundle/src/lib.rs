//! Bundles: canonical form, digest, sign-off and the rules a bundle must meet.
//!
//! Invariant: two bundles have the same digest exactly when they say the same, however their JSON
//! was laid out; a signature counts only for the digest it was made over.

mod canonical;
mod check;
mod finding;
mod key;
mod sign_off;
mod successor;

pub use canonical::{canonical_bytes, digest};
pub use check::check;
pub use ed25519_dalek::SigningKey;
pub use finding::{Finding, FindingKind};
pub use key::{parse_signing_key, public_key, signing_key_text, KeyError};
pub use sign_off::{sign, verify, VerifyError};
pub use successor::{check_first, check_successor};
