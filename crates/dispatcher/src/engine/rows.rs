//! Turns a page of rows (three columns, tabs between them, a line feed after each row) into JSON arrays of strings.

const COLUMNS: usize = 3;

/// The rows as `["a","b","c"],["d","e","f"]`; none if the page is not text, a row has too few columns or too many,
/// or the last one is cut off.
pub fn json_rows(page: &[u8]) -> Option<Vec<u8>> {
    let text = std::str::from_utf8(page).ok()?;
    let Some(rows) = text.strip_suffix('\n') else {
        return text.is_empty().then(Vec::new);
    };
    let mut json = Vec::with_capacity(page.len() + page.len() / 2 + 8);
    for (r, row) in rows.split('\n').enumerate() {
        if row.bytes().filter(|b| *b == b'\t').count() + 1 != COLUMNS {
            return None;
        }
        json.extend_from_slice(if r > 0 { b",[" } else { b"[" });
        for (c, column) in row.split('\t').enumerate() {
            json.extend_from_slice(if c > 0 { b",\"" } else { b"\"" });
            for &byte in column.as_bytes() {
                match byte {
                    b'"' | b'\\' => json.extend_from_slice(&[b'\\', byte]),
                    0..=0x1f => json.extend_from_slice(format!("\\u{byte:04x}").as_bytes()),
                    _ => json.push(byte),
                }
            }
            json.push(b'"');
        }
        json.push(b']');
    }
    Some(json)
}

#[cfg(test)]
mod tests;
