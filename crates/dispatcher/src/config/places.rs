//! At which line each key of a JSON text stands. The text was read by a library before; here only places are found.

use std::collections::HashMap;

/// Lines (from 1) by paths of keys; items of lists go by their numbers.
pub fn find(text: &str) -> HashMap<String, usize> {
    let mut lines = HashMap::new();
    // For each level that is open: the path to it, and the number of the item under way where it is a list.
    let mut open: Vec<(String, Option<usize>)> = Vec::new();
    let mut here = String::new();
    let (mut line, bytes, mut at) = (1, text.as_bytes(), 0);
    // Where what follows stands: blanks before it may hold line ends.
    let ahead = |at: usize| {
        bytes[at..]
            .iter()
            .take_while(|b| b.is_ascii_whitespace())
            .filter(|b| **b == b'\n')
            .count()
    };
    let under = |over: &str, key: &str| {
        if over.is_empty() {
            key.to_owned()
        } else {
            format!("{over}.{key}")
        }
    };
    while let Some(&byte) = bytes.get(at) {
        let start = at;
        at += 1;
        match byte {
            b'\n' => line += 1,
            b'"' => {
                while bytes.get(at).is_some_and(|b| *b != b'"') {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                let word = text.get(start + 1..at).unwrap_or("");
                at += 1;
                let rest = text.get(at..).unwrap_or("").trim_start();
                if let Some((over, None)) = open.last().filter(|_| rest.starts_with(':')) {
                    here = under(over, word);
                    lines.entry(here.clone()).or_insert(line);
                }
            }
            b'{' => open.push((here.clone(), None)),
            b'[' => {
                open.push((here.clone(), Some(0)));
                here = under(&here, "0");
                lines.entry(here.clone()).or_insert(line + ahead(at));
            }
            b'}' | b']' => here = open.pop().map_or_else(String::new, |(path, _)| path),
            b',' => {
                if let Some((over, Some(item))) = open.last_mut() {
                    *item += 1;
                    here = under(over, &item.to_string());
                    lines.entry(here.clone()).or_insert(line + ahead(at));
                }
            }
            _ => {}
        }
    }
    lines
}

#[cfg(test)]
mod tests {
    #[test]
    fn keys_and_items_are_found_by_their_lines() {
        let lines = super::find(
            "{\"a\":1,\n\"b\":{\"c\\\"\":\"x:{\",\n\"d\":[1,\n{\"e\":[]},\n2]},\n\"f\":null}",
        );
        for (key, line) in [
            ("a", 1),
            ("b", 2),
            ("b.d", 3),
            ("b.d.0", 3),
            ("b.d.1", 4),
            ("b.d.1.e", 4),
            ("b.d.2", 5),
            ("f", 6),
        ] {
            assert_eq!(lines.get(key), Some(&line), "{key} in {lines:?}");
        }
    }
}
