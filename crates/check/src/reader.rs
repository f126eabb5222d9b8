//! Streaming reader for histories in the JSON Lines format.

use std::io::{BufRead, Read};

use grebepin_schema::HistoryRecord;

/// Maximum length of a line of a history in bytes, including its line break.
pub const MAX_LINE_BYTES: usize = 64 << 10;

/// Why a history could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The underlying reader failed.
    #[error("line {line}: {source}")]
    Io {
        /// Line number, starting at 1.
        line: usize,
        /// Error of the underlying reader.
        source: std::io::Error,
    },
    /// A line is longer than [`MAX_LINE_BYTES`].
    #[error("line {line}: longer than {MAX_LINE_BYTES} bytes")]
    TooLong {
        /// Line number, starting at 1.
        line: usize,
    },
    /// A line is not a valid history record.
    #[error("line {line}: {source}")]
    Parse {
        /// Line number, starting at 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Iterator over the records of a history. Skips blank lines and ends after the first error.
pub struct HistoryReader<R> {
    reader: R,
    line: usize,
    failed: bool,
}

/// Reads a history with one JSON record per line.
pub fn read_history<R: BufRead>(reader: R) -> HistoryReader<R> {
    HistoryReader {
        reader,
        line: 0,
        failed: false,
    }
}

impl<R: BufRead> HistoryReader<R> {
    fn next_line(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        let line = self.line;
        let mut bytes = Vec::new();
        (&mut self.reader)
            .take(MAX_LINE_BYTES as u64 + 1)
            .read_until(b'\n', &mut bytes)
            .map_err(|source| ReadError::Io { line, source })?;
        if bytes.len() > MAX_LINE_BYTES {
            return Err(ReadError::TooLong { line });
        }
        Ok((!bytes.is_empty()).then_some(bytes))
    }

    fn next_record(&mut self) -> Result<Option<HistoryRecord>, ReadError> {
        loop {
            self.line += 1;
            let Some(bytes) = self.next_line()? else {
                return Ok(None);
            };
            if bytes.trim_ascii().is_empty() {
                continue;
            }
            let line = self.line;
            let record = serde_json::from_slice(&bytes)
                .map_err(|source| ReadError::Parse { line, source })?;
            return Ok(Some(record));
        }
    }
}

impl<R: BufRead> Iterator for HistoryReader<R> {
    type Item = Result<HistoryRecord, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.failed {
            return None;
        }
        let result = self.next_record().transpose();
        self.failed = matches!(result, Some(Err(_)));
        result
    }
}
