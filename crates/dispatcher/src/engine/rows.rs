//! Converts a page of rows (three columns, tabs between them, a line feed after each row) to JSON arrays of strings.

use thiserror::Error;

/// Number of columns of each row in the protocol's results.
const COLUMNS: usize = 3;

/// Defect of a malformed page of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RowsError {
    /// The page is not UTF-8.
    #[error("rows are not UTF-8")]
    InvalidUtf8,
    /// The last row does not end in a line feed.
    #[error("the last row does not end in a line feed")]
    TruncatedRow,
    /// A row has too few or too many columns.
    #[error("row {row} has {columns} columns, expected {COLUMNS}")]
    WrongColumnCount {
        /// Number of the row in the page, from 0.
        row: usize,
        /// Number of columns in the row.
        columns: usize,
    },
}

/// Converts a page's rows to the form `["a","b","c"],["d","e","f"]`.
///
/// # Errors
/// The page is not UTF-8, a row has too few or too many columns, or the last row does not end in a line feed.
pub fn json_rows(page: &[u8]) -> Result<Vec<u8>, RowsError> {
    let text = std::str::from_utf8(page).map_err(|_| RowsError::InvalidUtf8)?;
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let rows = text.strip_suffix('\n').ok_or(RowsError::TruncatedRow)?;
    // Capacity for quotes, commas and brackets: avoids most reallocations.
    let mut json = Vec::with_capacity(page.len() + page.len() / 2 + 8);
    for (number, row) in rows.split('\n').enumerate() {
        let columns = row.split('\t').count();
        if columns != COLUMNS {
            return Err(RowsError::WrongColumnCount {
                row: number,
                columns,
            });
        }
        if number > 0 {
            json.push(b',');
        }
        push_row(&mut json, row);
    }
    Ok(json)
}

fn push_row(json: &mut Vec<u8>, row: &str) {
    json.push(b'[');
    for (number, column) in row.split('\t').enumerate() {
        if number > 0 {
            json.push(b',');
        }
        json.push(b'"');
        push_escaped(json, column);
        json.push(b'"');
    }
    json.push(b']');
}

fn push_escaped(json: &mut Vec<u8>, text: &str) {
    for &byte in text.as_bytes() {
        match byte {
            b'"' | b'\\' => json.extend_from_slice(&[b'\\', byte]),
            0..=0x1f => json.extend_from_slice(format!("\\u{byte:04x}").as_bytes()),
            _ => json.push(byte),
        }
    }
}

#[cfg(test)]
mod tests;
