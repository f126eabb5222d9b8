//! Text form of the ed25519 keys of operators: 64 hexadecimal digits for a signing key or a public key.

use ed25519_dalek::SigningKey;
use grebepin_schema::TrustedOperatorPublicKey;

const SECRET_BYTES: usize = 32;

/// A text is not a valid signing key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text contains characters other than hexadecimal digits, or an odd number of digits.
    #[error("a signing key is 64 hexadecimal digits; this text contains other characters or an odd number of digits")]
    NotHexadecimal,
    /// The text does not encode 32 bytes.
    #[error("a signing key is {SECRET_BYTES} bytes in hexadecimal; this one has {bytes} bytes")]
    WrongLength {
        /// Number of bytes that the text encodes.
        bytes: usize,
    },
}

/// Parses a signing key; white space around it is ignored.
pub fn parse_signing_key(text: &str) -> Result<SigningKey, KeyError> {
    let bytes = hex::decode(text.trim()).map_err(|_| KeyError::NotHexadecimal)?;
    let count = bytes.len();
    let secret: [u8; SECRET_BYTES] = bytes
        .try_into()
        .map_err(|_| KeyError::WrongLength { bytes: count })?;
    Ok(SigningKey::from_bytes(&secret))
}

/// Encodes a signing key. The text is secret: it belongs in a file that only the operator can read.
pub fn signing_key_text(key: &SigningKey) -> String {
    hex::encode(key.to_bytes())
}

/// Public key of a signing key, in the form used in settings files.
pub fn public_key(key: &SigningKey) -> TrustedOperatorPublicKey {
    hex::encode(key.verifying_key().to_bytes())
        .parse()
        .expect("32 bytes in hexadecimal are a public key")
}
