//! Query results in pages. Rows are derived from the query id, so that a client can detect a wrong answer.

use std::fmt::Write;

/// Maximum number of rows per page: the protocol's limit of 6,000 bytes per page holds 260 rows of this form.
const MAX_ROWS_PER_PAGE: u64 = 250;

/// The form of a query's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ResultShape {
    /// One row, or none if the query changes tables.
    #[default]
    OneRow,
    /// Rows with the query id, the page number and the row number.
    Numbered {
        /// The number of pages, at least 1.
        pages: usize,
    },
}

/// Number of rows of a page; varies with the query id and the page.
fn row_count(query_id: &str, page: usize) -> u64 {
    let hash = fnv1a(query_id.as_bytes());
    1 + (hash >> (8 * (page % 4))) % MAX_ROWS_PER_PAGE
}

/// Returns the 64-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The rows of a page, each with its columns.
fn page_rows(query_id: &str, page: usize) -> impl Iterator<Item = [String; 3]> + '_ {
    (0..row_count(query_id, page))
        .map(move |row| [query_id.to_owned(), page.to_string(), row.to_string()])
}

/// The pages of a numbered result, as engines send them.
pub(super) fn numbered_pages(query_id: &str, pages: usize) -> Vec<String> {
    let format_page = |page| {
        let mut text = String::new();
        for row in page_rows(query_id, page) {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{}", row.join("\t"));
        }
        text
    };
    (0..pages).map(format_page).collect()
}

/// The complete answer with a numbered result, as clients receive it.
pub fn numbered_answer(query_id: &str, pages: usize) -> String {
    let rows = (0..pages).flat_map(|page| page_rows(query_id, page));
    let rows: Vec<String> = rows
        .map(|row| format!(r#"["{}"]"#, row.join(r#"",""#)))
        .collect();
    format!(r#"{{"data":[{}]}}"#, rows.join(","))
}

#[cfg(test)]
mod tests;
