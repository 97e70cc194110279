//! The line of each key in a JSON text, for error messages. The text must be well-formed: its caller has parsed it.

use std::collections::HashMap;

/// The lines (from 1) of all keys, by path. The path of a list item has the item's index, as in `known.cmds.0`.
pub fn find_key_lines(text: &str) -> HashMap<String, usize> {
    let mut scanner = Scanner::new(text);
    while scanner.step() {}
    scanner.lines
}

/// An open object or list.
struct Container {
    path: String,
    /// Index of the current item; `None` for an object.
    item_index: Option<usize>,
}

struct Scanner<'a> {
    text: &'a str,
    bytes: &'a [u8],
    position: usize,
    line: usize,
    open_containers: Vec<Container>,
    /// The path of the current key or item.
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
            open_containers: Vec::new(),
            path: String::new(),
            lines: HashMap::new(),
        }
    }

    /// Reads one byte, or one string. Returns false at the end of the text.
    fn step(&mut self) -> bool {
        let Some(&byte) = self.bytes.get(self.position) else {
            return false;
        };
        self.position += 1;
        match byte {
            b'\n' => self.line += 1,
            b'"' => self.read_string(),
            b'{' => self.open_containers.push(Container {
                path: self.path.clone(),
                item_index: None,
            }),
            b'[' => self.open_list(),
            b'}' | b']' => {
                self.path = self
                    .open_containers
                    .pop()
                    .map_or_else(String::new, |container| container.path);
            }
            b',' => self.next_item(),
            _ => {}
        }
        true
    }

    /// Reads a string after its opening quote. The string is a key if a colon follows it.
    fn read_string(&mut self) {
        let start = self.position;
        while let Some(&byte) = self.bytes.get(self.position) {
            match byte {
                b'"' => break,
                b'\\' => self.position += 2,
                _ => self.position += 1,
            }
        }
        let string = self.text.get(start..self.position).unwrap_or("");
        self.position += 1;
        let rest = self.text.get(self.position..).unwrap_or("").trim_start();
        if !rest.starts_with(':') {
            return;
        }
        let Some(container) = self.open_containers.last() else {
            return;
        };
        if container.item_index.is_none() {
            self.path = child_path(&container.path, string);
            self.lines.entry(self.path.clone()).or_insert(self.line);
        }
    }

    fn open_list(&mut self) {
        self.open_containers.push(Container {
            path: self.path.clone(),
            item_index: Some(0),
        });
        self.path = child_path(&self.path, "0");
        self.record_item_line();
    }

    fn next_item(&mut self) {
        let Some(container) = self.open_containers.last_mut() else {
            return;
        };
        let Some(item_index) = &mut container.item_index else {
            return;
        };
        *item_index += 1;
        self.path = child_path(&container.path, &item_index.to_string());
        self.record_item_line();
    }

    /// Records the line of a list item, which may begin on a later line than the bracket or comma before it.
    fn record_item_line(&mut self) {
        let newlines = self.bytes[self.position..]
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .filter(|byte| **byte == b'\n')
            .count();
        self.lines
            .entry(self.path.clone())
            .or_insert(self.line + newlines);
    }
}

/// The path of a key within the object or list at `parent`.
fn child_path(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}

#[cfg(test)]
mod tests;
