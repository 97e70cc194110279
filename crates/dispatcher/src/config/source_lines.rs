//! The line of each key in a JSON text, for error messages. The text has been parsed before, so it is well-formed.

use std::collections::HashMap;

/// The lines (from 1) of all keys by their paths. An item of a list has its index in the path, as in `known.cmds.0`.
pub fn find(text: &str) -> HashMap<String, usize> {
    let mut scanner = Scanner::new(text);
    while scanner.step() {}
    scanner.lines
}

/// An open object or list.
struct Container {
    path: String,
    /// The index of the current item, in a list.
    item: Option<usize>,
}

struct Scanner<'a> {
    text: &'a str,
    bytes: &'a [u8],
    position: usize,
    line: usize,
    open: Vec<Container>,
    /// The path of the key or item that is being read.
    path: String,
    lines: HashMap<String, usize>,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str) -> Self {
        Scanner {
            text,
            bytes: text.as_bytes(),
            position: 0,
            line: 1,
            open: Vec::new(),
            path: String::new(),
            lines: HashMap::new(),
        }
    }

    /// Reads one byte, or one string. False at the end.
    fn step(&mut self) -> bool {
        let Some(&byte) = self.bytes.get(self.position) else {
            return false;
        };
        self.position += 1;
        match byte {
            b'\n' => self.line += 1,
            b'"' => self.read_string(),
            b'{' => self.open.push(Container {
                path: self.path.clone(),
                item: None,
            }),
            b'[' => self.open_list(),
            b'}' | b']' => {
                self.path = self
                    .open
                    .pop()
                    .map_or_else(String::new, |container| container.path);
            }
            b',' => self.next_item(),
            _ => {}
        }
        true
    }

    /// A string, which is a key if a colon comes after it.
    fn read_string(&mut self) {
        let start = self.position;
        while let Some(&byte) = self.bytes.get(self.position) {
            match byte {
                b'"' => break,
                b'\\' => self.position += 2,
                _ => self.position += 1,
            }
        }
        let word = self.text.get(start..self.position).unwrap_or("");
        self.position += 1;
        let rest = self.text.get(self.position..).unwrap_or("").trim_start();
        if !rest.starts_with(':') {
            return;
        }
        let Some(container) = self.open.last() else {
            return;
        };
        if container.item.is_none() {
            self.path = join(&container.path, word);
            self.lines.entry(self.path.clone()).or_insert(self.line);
        }
    }

    fn open_list(&mut self) {
        self.open.push(Container {
            path: self.path.clone(),
            item: Some(0),
        });
        self.path = join(&self.path, "0");
        self.record_item();
    }

    fn next_item(&mut self) {
        let Some(container) = self.open.last_mut() else {
            return;
        };
        let Some(item) = &mut container.item else {
            return;
        };
        *item += 1;
        self.path = join(&container.path, &item.to_string());
        self.record_item();
    }

    /// An item begins behind the line ends that come before it.
    fn record_item(&mut self) {
        let line_ends = self.bytes[self.position..]
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .filter(|byte| **byte == b'\n')
            .count();
        self.lines
            .entry(self.path.clone())
            .or_insert(self.line + line_ends);
    }
}

/// The path of a key within the object or list at `parent`.
fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}

#[cfg(test)]
mod tests;
