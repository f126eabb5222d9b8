//! Canonical form of a bundle: JSON without white space, with the fields of each object sorted by
//! name, defaults filled in and absent fields left out.
//!
//! The generated types declare their fields in this order, so that serializing them yields the canonical
//! form. A test compares the result with JSON whose fields were sorted explicitly.

use grebepin_schema::{Bundle, Digest};
use sha2::{Digest as _, Sha256};

/// Canonical form of a bundle, which its digest is computed over.
pub fn canonical_bytes(bundle: &Bundle) -> Vec<u8> {
    serde_json::to_vec(bundle).expect("a bundle holds only strings, numbers and lists")
}

/// SHA-256 of the canonical form of a bundle.
pub fn digest(bundle: &Bundle) -> Digest {
    let hash = Sha256::digest(canonical_bytes(bundle));
    hex::encode(hash)
        .parse()
        .expect("a SHA-256 in hexadecimal is a digest")
}
