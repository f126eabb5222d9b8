//! Sign-off: ed25519 signatures of `required` distinct trusted operators over a bundle's digest.
//!
//! Invariant: one key counts once, whatever names it stands under; a signature that claims a trusted
//! operator and does not verify refuses the whole bundle.

use std::collections::BTreeSet;

use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use grebepin_schema::{Bundle, Digest, OperatorName, Signature, SignedBundle, TrustedOperator};

use crate::canonical::digest;

/// Keeps a signature over a bundle apart from any other use of the same key.
const SIGNATURE_DOMAIN: &str = "grebepin bundle 1\n";

/// Why a bundle's sign-off does not suffice.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VerifyError {
    /// The public key of a trusted operator is not a point of the curve.
    #[error("the public key of operator {} is not an ed25519 key; correct it in the settings", operator.as_str())]
    InvalidPublicKey {
        /// Operator whose key is wrong.
        operator: OperatorName,
    },
    /// A trusted operator's signature does not belong to this bundle.
    #[error("the signature of operator {} is not over this bundle; sign it again", operator.as_str())]
    BadSignature {
        /// Operator named by the signature.
        operator: OperatorName,
    },
    /// Fewer trusted operators signed than are required.
    #[error(
        "{valid} of {required} required sign-offs by trusted operators{}",
        describe_untrusted(untrusted)
    )]
    TooFewSignatures {
        /// Trusted operators who signed.
        valid: u32,
        /// Sign-offs required.
        required: u32,
        /// Signers who are not trusted here.
        untrusted: Vec<OperatorName>,
    },
}

/// Signs a bundle for an operator.
pub fn sign(bundle: &Bundle, operator: &OperatorName, key: &SigningKey) -> Signature {
    let signature = key.sign(&signed_message(&digest(bundle)));
    Signature {
        operator: operator.clone(),
        signature: hex::encode(signature.to_bytes())
            .parse()
            .expect("64 bytes in hexadecimal are a signature"),
    }
}

/// Verifies that `required` distinct trusted operators signed, and returns the bundle's digest.
///
/// Signatures of operators who are not trusted count for nothing.
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
        // A repeated signature costs no second verification.
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
        verify_one(&message, signature, operator)?;
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

fn verify_one(
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
