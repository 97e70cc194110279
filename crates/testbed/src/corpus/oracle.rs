//! An oracle for effects, written apart from the code under test: it tries all ways in which an engine could split a
//! text into words, and looks for words alone.

/// Whether a text may change something under any way in which an engine could split it into words.
pub fn may_change(text: &[u8]) -> bool {
    (0..1 << DIALECT_SWITCHES).any(|switches| Reader::new(text, Dialect::of(switches)).may_change())
}

/// Switches of a dialect.
const DIALECT_SWITCHES: u8 = 6;

/// Words that change something at the start of a statement.
const STARTS: [&[u8]; 30] = [
    b"insert",
    b"update",
    b"delete",
    b"merge",
    b"truncate",
    b"drop",
    b"alter",
    b"create",
    b"grant",
    b"revoke",
    b"call",
    b"do",
    b"execute",
    b"prepare",
    b"copy",
    b"lock",
    b"set",
    b"reset",
    b"begin",
    b"commit",
    b"rollback",
    b"vacuum",
    b"replace",
    b"load",
    b"refresh",
    b"deallocate",
    b"start",
    b"savepoint",
    b"listen",
    b"notify",
];
/// Words that change something anywhere.
const ANYWHERE: [&[u8]; 10] = [
    b"insert",
    b"update",
    b"delete",
    b"merge",
    b"into",
    b"truncate",
    b"drop",
    b"alter",
    b"create",
    b"grant",
];
/// Functions with effects, where a bracket is behind them.
const CALLED: [&[u8]; 4] = [b"nextval", b"setval", b"pg_advisory_lock", b"set_config"];

/// How an engine splits a text into words.
#[derive(Debug, Clone, Copy)]
struct Dialect {
    /// A backslash in quotes escapes the next byte.
    backslash_escapes: bool,
    /// Comments in comments count.
    nested_comments: bool,
    /// `#` begins a comment.
    hash_comments: bool,
    /// `--` begins a comment only before a blank.
    dashes_need_blank: bool,
    /// `$tag$` quotes.
    dollar_quotes: bool,
    /// `/*!` is run, and a carriage return ends a line.
    runs_comments: bool,
}

impl Dialect {
    /// The dialect whose switches are the bits of a number.
    fn of(switches: u8) -> Self {
        let is_on = |bit: u8| switches >> bit & 1 == 1;
        Dialect {
            backslash_escapes: is_on(0),
            nested_comments: is_on(1),
            hash_comments: is_on(2),
            dashes_need_blank: is_on(3),
            dollar_quotes: is_on(4),
            runs_comments: is_on(5),
        }
    }
}

/// A reading of a text in one dialect.
struct Reader<'a> {
    text: &'a [u8],
    dialect: Dialect,
    at: usize,
    /// The next word begins a statement.
    starts_statement: bool,
    behind_dot: bool,
}

impl<'a> Reader<'a> {
    fn new(text: &'a [u8], dialect: Dialect) -> Self {
        Reader {
            text,
            dialect,
            at: 0,
            starts_statement: true,
            behind_dot: false,
        }
    }

    /// The byte so far ahead; 0 behind the end.
    fn peek(&self, ahead: usize) -> u8 {
        self.text.get(self.at + ahead).copied().unwrap_or(0)
    }

    fn is_at_end(&self) -> bool {
        self.at >= self.text.len()
    }

    fn may_change(&mut self) -> bool {
        while !self.is_at_end() {
            let byte = self.text[self.at];
            match byte {
                b'\'' | b'"' | b'`' => self.skip_quoted(byte),
                b'#' if self.dialect.hash_comments => self.skip_line(false),
                b'-' if self.is_dash_comment() => self.skip_line(self.dialect.runs_comments),
                b'/' if self.peek(1) == b'*' => self.skip_comment(),
                b'$' if self.dialect.dollar_quotes => self.skip_dollar_quoted(),
                _ if byte.is_ascii_alphabetic() || byte == b'_' => {
                    if self.is_changing_token() {
                        return true;
                    }
                }
                b';' => {
                    self.starts_statement = true;
                    self.behind_dot = false;
                    self.at += 1;
                }
                _ if byte.is_ascii_whitespace() => self.at += 1,
                _ => {
                    self.behind_dot = byte == b'.';
                    self.starts_statement &= byte == b'(';
                    self.at += 1;
                }
            }
        }
        false
    }

    fn end_token(&mut self) {
        self.starts_statement = false;
        self.behind_dot = false;
    }

    fn skip_quoted(&mut self, quote: u8) {
        self.at += 1;
        while !self.is_at_end() {
            if self.dialect.backslash_escapes && self.text[self.at] == b'\\' {
                self.at += 1;
            } else if self.text[self.at] == quote {
                if self.peek(1) != quote {
                    break;
                }
                self.at += 1;
            }
            self.at += 1;
        }
        self.at += 1;
        self.end_token();
    }

    fn is_dash_comment(&self) -> bool {
        let is_followed_by_blank =
            self.peek(2).is_ascii_whitespace() || self.at + 2 >= self.text.len();
        self.peek(1) == b'-' && (!self.dialect.dashes_need_blank || is_followed_by_blank)
    }

    fn skip_line(&mut self, carriage_return_ends: bool) {
        while !self.is_at_end() && self.text[self.at] != b'\n' {
            if carriage_return_ends && self.text[self.at] == b'\r' {
                break;
            }
            self.at += 1;
        }
    }

    /// Skips a comment; of one that the engine runs, only its beginning.
    fn skip_comment(&mut self) {
        let is_run = self.peek(2) == b'!' || self.peek(2) == b'M' && self.peek(3) == b'!';
        if self.dialect.runs_comments && is_run {
            self.at += 3;
            while self.peek(0).is_ascii_digit() || self.peek(0) == b'!' {
                self.at += 1;
            }
            return;
        }
        let mut depth = 1;
        self.at += 2;
        while !self.is_at_end() && depth > 0 {
            if self.text[self.at] == b'*' && self.peek(1) == b'/' {
                depth -= 1;
                self.at += 1;
            } else if self.dialect.nested_comments
                && self.text[self.at] == b'/'
                && self.peek(1) == b'*'
            {
                depth += 1;
                self.at += 1;
            }
            self.at += 1;
        }
    }

    /// Skips a text between two equal `$tag$`; where there is no such pair, only the `$`.
    fn skip_dollar_quoted(&mut self) {
        self.at = self.dollar_quote_end().unwrap_or(self.at + 1);
    }

    fn dollar_quote_end(&self) -> Option<usize> {
        let name_length = self.text[self.at + 1..]
            .iter()
            .position(|byte| !(byte.is_ascii_alphanumeric() || *byte == b'_'))?;
        let name_end = self.at + 1 + name_length;
        if self.text[name_end] != b'$' {
            return None;
        }
        let tag = &self.text[self.at..=name_end];
        let inside = name_end + 1;
        let close = self.text[inside..]
            .windows(tag.len())
            .position(|window| window == tag)?;
        Some(inside + close + tag.len())
    }

    /// Reads a word; whether it changes something where it is.
    fn is_changing_token(&mut self) -> bool {
        let from = self.at;
        while self.peek(0).is_ascii_alphanumeric() || self.peek(0) == b'_' {
            self.at += 1;
        }
        let word = self.text[from..self.at].to_ascii_lowercase();
        let is_in = |list: &[&[u8]]| list.contains(&word.as_slice());
        let next = self.text[self.at..]
            .iter()
            .find(|byte| !byte.is_ascii_whitespace());
        let is_called = next == Some(&b'(');
        let changes = !self.behind_dot
            && (self.starts_statement && is_in(&STARTS)
                || is_in(&ANYWHERE)
                || is_called && is_in(&CALLED));
        self.end_token();
        changes
    }
}
