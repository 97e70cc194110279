//! Turns a page of rows (three columns, tabs between them, a line feed after each row) into JSON arrays of strings.

use thiserror::Error;

/// Columns of each row of the protocol's results.
const COLUMNS: usize = 3;

/// Why a page of rows can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RowsError {
    /// The page isn't UTF-8.
    #[error("the page is not text")]
    NotText,
    /// The last row doesn't end in a line feed.
    #[error("the last row is cut off")]
    CutOff,
    /// A row has too few or too many columns.
    #[error("row {row} has {columns} columns, expected {COLUMNS}")]
    WrongColumnCount {
        /// The row's number in the page, from 0.
        row: usize,
        /// Columns found.
        columns: usize,
    },
}

/// The page's rows as `["a","b","c"],["d","e","f"]`.
///
/// # Errors
/// The page is not text, a row has too few columns or too many, or the last one is cut off.
pub fn json_rows(page: &[u8]) -> Result<Vec<u8>, RowsError> {
    let text = std::str::from_utf8(page).map_err(|_| RowsError::NotText)?;
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let rows = text.strip_suffix('\n').ok_or(RowsError::CutOff)?;
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
