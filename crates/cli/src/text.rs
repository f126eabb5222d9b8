//! Text tables with aligned columns.

use std::fmt;

const COLUMN_GAP: &str = "  ";

/// A table whose columns are as wide as their widest cell.
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| heading.to_string()).collect();
        Self {
            rows: vec![headings],
        }
    }

    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells: Vec<_> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(
                formatter,
                "{COLUMN_GAP}{}",
                cells.join(COLUMN_GAP).trim_end()
            )?;
        }
        Ok(())
    }
}

/// Formats a duration in ms with a unit that suits its length.
pub(crate) fn milliseconds(value: u64) -> String {
    match value {
        0..10_000 => format!("{value} ms"),
        10_000..120_000 => format!("{:.1} s", value as f64 / 1000.0),
        _ => format!("{:.1} min", value as f64 / 60_000.0),
    }
}
