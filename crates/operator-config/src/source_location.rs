//! Locations of the keys of a text-format file, by a scan over its tokens. It serves error messages only; the meaning of
//! the file is the parser's.

use crate::error::SourceLocation;
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// Messages may be nested this deeply; the schema needs less than half of it.
const MAX_DEPTH: usize = 32;

/// The location of a byte.
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

#[derive(Debug, Clone, Copy, PartialEq)]
enum TokenKind<'a> {
    /// A name, number or enum value.
    Name(&'a str),
    /// A quoted string.
    QuotedString,
    Punctuation(u8),
}

#[derive(Debug, Clone, Copy)]
struct Token<'a> {
    offset: usize,
    kind: TokenKind<'a>,
}

/// The tokens of a text; comments and blanks are skipped. Any text is accepted.
struct Tokens<'a> {
    text: &'a str,
    offset: usize,
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-' | b'.')
}

impl Tokens<'_> {
    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.offset).copied()
    }

    fn skip_comment(&mut self) {
        while self.peek().is_some_and(|byte| byte != b'\n') {
            self.offset += 1;
        }
    }

    /// Skips a string whose opening quote was read. It ends at the line's end at the latest.
    fn skip_string(&mut self, quote: u8) {
        while let Some(byte) = self.peek() {
            if byte == quote || byte == b'\n' {
                break;
            }
            let is_escape = byte == b'\\';
            self.offset += if is_escape { 2 } else { 1 };
        }
        self.offset = (self.offset + 1).min(self.text.len());
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let first = self.peek()?;
            let offset = self.offset;
            self.offset += 1;
            let kind = match first {
                b'#' => {
                    self.skip_comment();
                    continue;
                }
                b'"' | b'\'' => {
                    self.skip_string(first);
                    TokenKind::QuotedString
                }
                _ if is_name_byte(first) => {
                    while self.peek().is_some_and(is_name_byte) {
                        self.offset += 1;
                    }
                    TokenKind::Name(&self.text[offset..self.offset])
                }
                _ if first.is_ascii_whitespace() || !first.is_ascii() => continue,
                _ => TokenKind::Punctuation(first),
            };
            return Some(Token { offset, kind });
        }
    }
}

fn tokens(text: &str) -> Tokens<'_> {
    Tokens { text, offset: 0 }
}

/// The location where messages are first nested more deeply than `MAX_DEPTH`.
pub(crate) fn first_too_deep(text: &str) -> Option<SourceLocation> {
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

/// Locations of all keys by their paths. A path has the number of its occurrence, from 0, after each name; the first
/// occurrence is also found without it.
#[derive(Debug, Default)]
pub(crate) struct SourceMap {
    by_path: HashMap<String, SourceLocation>,
    /// Every key in the order of the text.
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

    /// The location of a key as checks name it: with numbers only after repeated fields.
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

    /// The key at a byte, or the last one before it.
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
