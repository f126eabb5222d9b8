//! Configuration bundles: canonical form, digest, sign-off and validation.
//!
//! Invariant: two bundles have the same digest exactly if their content is the same, regardless of the layout
//! of their JSON. A signature is valid only for the digest that was signed.

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
