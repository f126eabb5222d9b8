//! `grebepin key`: creates and shows operators' signing keys.

use std::fmt;
use std::path::Path;

use grebepin_bundle::{public_key, signing_key_text, SigningKey};
use rand::TryRngCore;
use serde::Serialize;

use crate::arguments::{KeyNew, KeyPublic};
use crate::error::CliError;
use crate::files;
use crate::output::Format;

#[derive(Serialize)]
struct KeyResult {
    public_key: String,
}

impl fmt::Display for KeyResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.public_key)
    }
}

pub(crate) fn new(arguments: &KeyNew, format: Format) -> Result<(), CliError> {
    let mut secret = [0; 32];
    rand::rngs::OsRng
        .try_fill_bytes(&mut secret)
        .map_err(|error| {
            files::file_error(Path::new("random source"), std::io::Error::other(error))
        })?;
    let key = SigningKey::from_bytes(&secret);
    let text = format!("{}\n", signing_key_text(&key));
    files::create_private(&arguments.file, &text)?;
    print(&key, format)
}

pub(crate) fn public(arguments: &KeyPublic, format: Format) -> Result<(), CliError> {
    print(&files::read_signing_key(&arguments.file)?, format)
}

fn print(key: &SigningKey, format: Format) -> Result<(), CliError> {
    format.print(&KeyResult {
        public_key: public_key(key).to_string(),
    })
}
