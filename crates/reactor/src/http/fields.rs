//! Header fields of a message.

use std::ops::Range;

/// Largest number of header fields in a message.
pub(super) const MAX_FIELDS: usize = 100;

/// Hop-by-hop fields and those that describe the framing; they are never forwarded.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Whether a field is hop-by-hop or describes the framing.
pub fn is_connection_field(name: &str) -> bool {
    CONNECTION_FIELDS
        .iter()
        .any(|field| field.eq_ignore_ascii_case(name))
}

/// Header fields in the order of the message.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    text: Vec<u8>,
    fields: Vec<(Range<u32>, Range<u32>)>,
}

impl Fields {
    pub(super) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let mut fields = Self::default();
        for header in parsed {
            fields.push(header.name, header.value);
        }
        fields
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        let name = self.append(name.as_bytes());
        let value = self.append(value);
        self.fields.push((name, value));
    }

    fn append(&mut self, bytes: &[u8]) -> Range<u32> {
        let start = self.text.len() as u32;
        self.text.extend_from_slice(bytes);
        start..self.text.len() as u32
    }

    fn slice(&self, range: &Range<u32>) -> &[u8] {
        &self.text[range.start as usize..range.end as usize]
    }

    /// All fields with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(self.slice(name)).unwrap_or_default();
            (name, self.slice(value))
        })
    }

    /// Values of all fields with a name, which is compared without regard to case.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Value of the first field with a name; `None` if there is none or it is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let value = self.all(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether a comma-separated field contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let text = std::str::from_utf8(value).unwrap_or_default();
            text.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    }

    /// Fields that may be forwarded: neither hop-by-hop nor named in `Connection`.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let names_fields = self.all("connection").any(|value| {
            !value.eq_ignore_ascii_case(b"close") && !value.eq_ignore_ascii_case(b"keep-alive")
        });
        self.iter().filter(move |(name, _)| {
            let is_named = names_fields && self.has_token("connection", name);
            !is_named && !is_connection_field(name)
        })
    }
}
