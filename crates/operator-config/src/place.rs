//! Where each key of a text-format file stands: a bare scan over its marks, words and strings. It is only asked
//! for places; what a file means is the library's to say.

use std::collections::HashMap;

/// Messages within messages at most.
const MAX_DEEP: usize = 32;

/// Line and column (from 1, in characters) of a byte.
pub fn line_of(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mark<'a> {
    Word(&'a str),
    Value,
    Sign(u8),
}

/// Words, strings and signs with their offsets; comments and blanks are passed over.
fn marks(text: &str) -> impl Iterator<Item = (usize, Mark<'_>)> {
    let bytes = text.as_bytes();
    let mut at = 0;
    std::iter::from_fn(move || loop {
        let first = *bytes.get(at)?;
        let start = at;
        at += 1;
        match first {
            b'#' => {
                while at < bytes.len() && bytes[at] != b'\n' {
                    at += 1;
                }
            }
            b'"' | b'\'' => {
                while at < bytes.len() && bytes[at] != first && bytes[at] != b'\n' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at = (at + 1).min(bytes.len());
                return Some((start, Mark::Value));
            }
            b if b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.') => {
                let of_word = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-' | b'.');
                while bytes.get(at).is_some_and(of_word) {
                    at += 1;
                }
                return Some((start, Mark::Word(&text[start..at])));
            }
            b if b.is_ascii_whitespace() || b >= 128 => {}
            b => return Some((start, Mark::Sign(b))),
        }
    })
}

/// Where messages first stand in each other more deeply than any schema of ours.
pub fn too_deep(text: &str) -> Option<(usize, usize)> {
    let mut depth = 0_usize;
    for (at, mark) in marks(text) {
        match mark {
            Mark::Sign(b'{' | b'<' | b'[') => depth += 1,
            Mark::Sign(b'}' | b'>' | b']') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEEP {
            return Some(line_of(text, at));
        }
    }
    None
}

/// The places of all keys by their paths. A key that comes again has its number behind it, from 0, and the first
/// is also found without.
#[derive(Debug, Default)]
pub struct Places {
    by_key: HashMap<String, (usize, usize)>,
    /// Offset and path of every key, in the order of the text.
    in_order: Vec<(usize, String)>,
}

impl Places {
    pub fn find(text: &str) -> Self {
        let mut places = Places::default();
        let mut counts: HashMap<String, usize> = HashMap::new();
        let mut inside: Vec<String> = Vec::new();
        let mut last: Option<(usize, String)> = None;
        let mut expects_value = false;
        for (at, mark) in marks(text) {
            match mark {
                Mark::Word(_) if expects_value => expects_value = false,
                Mark::Word(word) => {
                    let path = inside
                        .last()
                        .map_or(word.to_owned(), |over| format!("{over}.{word}"));
                    let count = counts.entry(path.clone()).or_default();
                    let numbered = format!("{path}.{count}");
                    *count += 1;
                    let line = line_of(text, at);
                    places.by_key.entry(path).or_insert(line);
                    places.by_key.insert(numbered.clone(), line);
                    places.in_order.push((at, numbered.clone()));
                    last = Some((at, numbered));
                }
                Mark::Value => expects_value = false,
                Mark::Sign(b':') => expects_value = true,
                Mark::Sign(b'{' | b'<') => {
                    expects_value = false;
                    inside.push(
                        last.as_ref()
                            .map_or_else(String::new, |(_, path)| path.clone()),
                    );
                }
                Mark::Sign(b'}' | b'>') => drop(inside.pop()),
                Mark::Sign(_) => {}
            }
        }
        places
    }

    /// The place of a key as the checks name it: numbers stand only where a field may be repeated.
    pub fn of(&self, key: &str) -> Option<(usize, usize)> {
        let numbered = self.by_key.get(&all_numbered(key));
        numbered.or_else(|| self.by_key.get(key)).copied()
    }

    /// The key that stands last before a byte or at it.
    pub fn key_at(&self, offset: usize) -> Option<String> {
        let behind = self.in_order.partition_point(|(at, _)| *at <= offset);
        let (_, path) = self.in_order.get(behind.checked_sub(1)?)?;
        Some(
            path.split('.')
                .filter(|part| *part != "0")
                .collect::<Vec<_>>()
                .join("."),
        )
    }
}

/// Every name of the path with a number behind it, as the scan writes them.
fn all_numbered(key: &str) -> String {
    let mut path = String::new();
    let mut parts = key.split('.').peekable();
    while let Some(name) = parts.next() {
        let is_number = |part: &&str| part.bytes().all(|b| b.is_ascii_digit());
        let number = parts.next_if(is_number).unwrap_or("0");
        if !path.is_empty() {
            path.push('.');
        }
        path += name;
        path.push('.');
        path += number;
    }
    path
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_found_where_they_stand() {
        let text = "log { # level: x\n  level: WARN format: JSON }\nstatements {\n rule { class: LOAD }\n rule {\n  \
                    class: REPORT least_joins: 2 }\n path: \"a: b { c\" }";
        let places = Places::find(text);
        assert_eq!(places.of("log.level"), Some((2, 3)));
        assert_eq!(places.of("log.format"), Some((2, 15)));
        assert_eq!(places.of("statements.rule.0.class"), Some((4, 9)));
        assert_eq!(places.of("statements.rule.1.class"), Some((6, 3)));
        assert_eq!(places.of("statements.path"), Some((7, 2)));
        assert_eq!(places.of("statements.check"), None);
        assert_eq!(
            places.key_at(text.find("least").unwrap()).unwrap(),
            "statements.rule.1.least_joins"
        );
    }
}
