//! Plain text tables.

use std::fmt;

const COLUMN_GAP: &str = "  ";

/// A table whose columns are as wide as their widest cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextTable {
    headers: Vec<&'static str>,

    /// Invariant: each row has as many cells as there are headers.
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// A table without rows.
    pub fn new<const N: usize>(headers: [&'static str; N]) -> Self {
        Self { headers: headers.to_vec(), rows: Vec::new() }
    }

    /// Adds a row; missing cells are empty.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        let mut cells = cells.to_vec();
        cells.resize(self.headers.len(), String::new());
        self.rows.push(cells);
    }

    /// Whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or_default().max(self.headers[column].len())
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let headers = self.headers.iter().map(|header| (*header).to_owned()).collect();
        for row in std::iter::once(&headers).chain(&self.rows) {
            let cells = row.iter().enumerate();
            let cells = cells.map(|(column, cell)| format!("{cell:<0$}", self.width(column)));
            let line = cells.collect::<Vec<_>>().join(COLUMN_GAP);
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
