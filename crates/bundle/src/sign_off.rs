//! Sign-off: ed25519 signatures of a required number of distinct trusted operators over the digest of a bundle.
//!
//! Invariant: a key counts once, even if several operators have the same key. An invalid signature under the
//! name of a trusted operator causes the whole bundle to be refused.

use std::collections::BTreeSet;

use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use grebepin_schema::{Bundle, Digest, OperatorName, Signature, SignedBundle, TrustedOperator};

use crate::canonical::digest;

/// Domain separation: prevents a signature over a bundle from being valid in any other use of the same key.
const SIGNATURE_DOMAIN: &str = "grebepin bundle 1\n";

/// The sign-off of a bundle is invalid or insufficient.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// The public key of a trusted operator is not a valid ed25519 key.
    #[error("the public key of operator {} is not an ed25519 key; correct it in the settings", operator.as_str())]
    InvalidPublicKey {
        /// Operator whose key is invalid.
        operator: OperatorName,
    },
    /// A signature under the name of a trusted operator is not valid for this bundle and the operator's key.
    #[error("the signature of operator {} is not over this bundle; sign it again", operator.as_str())]
    BadSignature {
        /// Operator named in the signature.
        operator: OperatorName,
    },
    /// Fewer distinct trusted keys signed than are required.
    #[error(
        "{valid} of {required} required sign-offs by trusted operators{}",
        describe_untrusted(untrusted)
    )]
    TooFewSignatures {
        /// Number of distinct trusted keys that signed.
        valid: u32,
        /// Number of sign-offs required; at least 1.
        required: u32,
        /// Signers that are not among the trusted operators.
        untrusted: Vec<OperatorName>,
    },
}

/// Signs a bundle with the key of an operator.
pub fn sign(bundle: &Bundle, operator: &OperatorName, key: &SigningKey) -> Signature {
    let signature = key.sign(&signed_message(&digest(bundle)));
    Signature {
        operator: operator.clone(),
        signature: hex::encode(signature.to_bytes())
            .parse()
            .expect("64 bytes in hexadecimal are a signature"),
    }
}

/// Verifies that at least `required` distinct trusted keys signed, and at least one. Returns the digest of the
/// bundle.
///
/// Signatures of operators that are not trusted are ignored.
pub fn verify(
    signed: &SignedBundle,
    trusted: &[TrustedOperator],
    required: u32,
) -> Result<Digest, VerifyError> {
    let digest = digest(&signed.bundle);
    let message = signed_message(&digest);
    let mut keys = BTreeSet::new();
    let mut untrusted = Vec::new();
    let mut seen = BTreeSet::new();
    for signature in &signed.signatures {
        // Duplicates are skipped, so that they cost no second verification.
        if !seen.insert((&signature.operator, &signature.signature)) {
            continue;
        }
        let Some(operator) = trusted
            .iter()
            .find(|known| known.name == signature.operator)
        else {
            untrusted.push(signature.operator.clone());
            continue;
        };
        verify_signature(&message, signature, operator)?;
        keys.insert(operator.public_key.clone());
    }
    let valid = keys.len() as u32;
    if valid < required.max(1) {
        return Err(VerifyError::TooFewSignatures {
            valid,
            required: required.max(1),
            untrusted,
        });
    }
    Ok(digest)
}

fn verify_signature(
    message: &[u8],
    signature: &Signature,
    operator: &TrustedOperator,
) -> Result<(), VerifyError> {
    let invalid_key = || VerifyError::InvalidPublicKey {
        operator: operator.name.clone(),
    };
    let bad_signature = || VerifyError::BadSignature {
        operator: operator.name.clone(),
    };
    let key_bytes: [u8; 32] = decode(&operator.public_key).ok_or_else(invalid_key)?;
    let key = VerifyingKey::from_bytes(&key_bytes).map_err(|_| invalid_key())?;
    let signature_bytes: [u8; 64] = decode(&signature.signature).ok_or_else(bad_signature)?;
    let signature = ed25519_dalek::Signature::from_bytes(&signature_bytes);
    key.verify_strict(message, &signature)
        .map_err(|_| bad_signature())
}

fn decode<const BYTES: usize>(text: &str) -> Option<[u8; BYTES]> {
    hex::decode(text).ok()?.try_into().ok()
}

fn signed_message(digest: &Digest) -> Vec<u8> {
    format!("{SIGNATURE_DOMAIN}{}", digest.as_str()).into_bytes()
}

fn describe_untrusted(untrusted: &[OperatorName]) -> String {
    if untrusted.is_empty() {
        return String::new();
    }
    let names: Vec<_> = untrusted.iter().map(|name| name.as_str()).collect();
    format!("; not trusted here: {}", names.join(", "))
}
