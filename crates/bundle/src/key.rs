//! Text form of operators' keys: 64 hexadecimal digits for either half.

use ed25519_dalek::SigningKey;
use grebepin_schema::TrustedOperatorPublicKey;

const SECRET_BYTES: usize = 32;

/// Why a text is no signing key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text holds something else than hexadecimal digits.
    #[error("a signing key is 64 hexadecimal digits; this text holds other characters")]
    NotHexadecimal,
    /// The text has the wrong length.
    #[error("a signing key is {SECRET_BYTES} bytes in hexadecimal; this one has {bytes} bytes")]
    WrongLength {
        /// Bytes found.
        bytes: usize,
    },
}

/// Reads a signing key from its text form; white space round it is ignored.
pub fn parse_signing_key(text: &str) -> Result<SigningKey, KeyError> {
    let bytes = hex::decode(text.trim()).map_err(|_| KeyError::NotHexadecimal)?;
    let count = bytes.len();
    let secret: [u8; SECRET_BYTES] = bytes
        .try_into()
        .map_err(|_| KeyError::WrongLength { bytes: count })?;
    Ok(SigningKey::from_bytes(&secret))
}

/// Text form of a signing key, for a file that only its operator may read.
pub fn signing_key_text(key: &SigningKey) -> String {
    hex::encode(key.to_bytes())
}

/// Public half of a signing key, as settings files name it.
pub fn public_key(key: &SigningKey) -> TrustedOperatorPublicKey {
    hex::encode(key.verifying_key().to_bytes())
        .parse()
        .expect("32 bytes in hexadecimal are a public key")
}
