//! Locations of the keys in a text-format file, found by a scan of its tokens. They are used in error messages only:
//! the parser interprets the file independently.

use crate::error::SourceLocation;
use crate::tokens::{tokens, TokenKind};
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// Maximum depth of nested messages. The schema needs less than half of it.
const MAX_DEPTH: usize = 32;

/// The line and column of the byte at `offset`.
pub(crate) fn location_of(text: &str, offset: usize) -> SourceLocation {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let current_line = before.rsplit('\n').next().unwrap_or("");
    SourceLocation {
        line: before.matches('\n').count() + 1,
        column: current_line.chars().count() + 1,
    }
}

/// The first location where messages are nested more deeply than `MAX_DEPTH`.
pub(crate) fn first_excessive_nesting(text: &str) -> Option<SourceLocation> {
    let mut depth = 0_usize;
    for token in tokens(text) {
        match token.kind {
            TokenKind::Punctuation(b'{' | b'<' | b'[') => depth += 1,
            TokenKind::Punctuation(b'}' | b'>' | b']') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(location_of(text, token.offset));
        }
    }
    None
}

/// The locations of all keys by their paths. A path has an occurrence number (from 0) after each name. The first
/// occurrence of a path is also stored without its last number.
#[derive(Debug, Default)]
pub(crate) struct SourceMap {
    by_path: HashMap<String, SourceLocation>,
    /// All keys in the order of the text.
    in_order: Vec<Key>,
}

#[derive(Debug)]
struct Key {
    offset: usize,
    path: String,
}

impl SourceMap {
    /// Scans a text. Any text is accepted.
    pub fn scan(text: &str) -> Self {
        let mut source_map = SourceMap::default();
        let mut occurrences: HashMap<String, usize> = HashMap::new();
        let mut enclosing: Vec<String> = Vec::new();
        let mut expects_value = false;
        for token in tokens(text) {
            match token.kind {
                TokenKind::Name(_) if expects_value => expects_value = false,
                TokenKind::Name(name) => {
                    let path = match enclosing.last() {
                        Some(message) => format!("{message}.{name}"),
                        None => name.to_owned(),
                    };
                    let occurrence = occurrences.entry(path.clone()).or_default();
                    let numbered_path = format!("{path}.{occurrence}");
                    *occurrence += 1;
                    let location = location_of(text, token.offset);
                    source_map.by_path.entry(path).or_insert(location);
                    source_map.add(numbered_path, token.offset, location);
                }
                TokenKind::QuotedString => expects_value = false,
                TokenKind::Punctuation(b':') => expects_value = true,
                TokenKind::Punctuation(b'{' | b'<') => {
                    expects_value = false;
                    enclosing.push(source_map.last_path());
                }
                TokenKind::Punctuation(b'}' | b'>') => drop(enclosing.pop()),
                TokenKind::Punctuation(_) => {}
            }
        }
        source_map
    }

    fn add(&mut self, path: String, offset: usize, location: SourceLocation) {
        self.by_path.insert(path.clone(), location);
        self.in_order.push(Key { offset, path });
    }

    fn last_path(&self) -> String {
        self.in_order
            .last()
            .map_or_else(String::new, |key| key.path.clone())
    }

    /// The location of a key as checks write it, with numbers only after repeated fields.
    pub fn location(&self, key: &str) -> Option<SourceLocation> {
        let numbered = self.by_path.get(&number_all_names(key));
        numbered.or_else(|| self.by_path.get(key)).copied()
    }

    /// The location of a key, or of the nearest enclosing message if the key was left out.
    pub fn nearest_location(&self, key: &str) -> Option<SourceLocation> {
        let mut candidate = Some(key);
        while let Some(path) = candidate {
            if let Some(location) = self.location(path) {
                return Some(location);
            }
            candidate = path.rsplit_once('.').map(|(enclosing, _)| enclosing);
        }
        None
    }

    /// The key at `offset`, or the last key before it. Occurrence numbers of 0 are left out.
    pub fn key_at(&self, offset: usize) -> Option<String> {
        let after = self.in_order.partition_point(|key| key.offset <= offset);
        let key = self.in_order.get(after.checked_sub(1)?)?;
        let names: Vec<&str> = key.path.split('.').filter(|name| *name != "0").collect();
        Some(names.join("."))
    }
}

/// A key with a number after every name, as the scan stores it.
fn number_all_names(key: &str) -> String {
    let mut numbered = Vec::new();
    let mut parts = key.split('.').peekable();
    while let Some(name) = parts.next() {
        let is_number = |part: &&str| part.bytes().all(|byte| byte.is_ascii_digit());
        let number = parts.next_if(is_number).unwrap_or("0");
        numbered.push(name);
        numbered.push(number);
    }
    numbered.join(".")
}
