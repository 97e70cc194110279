//! Test oracle for the effect of a statement, independent of the analyzer under test. It tokenizes a text under every
//! combination of SQL dialect rules and searches the tokens for keywords and functions that modify state. In doubt it
//! reports a change.

/// Keywords that modify state at the start of a statement.
const STATEMENT_KEYWORDS: [&[u8]; 30] = [
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

/// Keywords that modify state anywhere in a statement.
const CLAUSE_KEYWORDS: [&[u8]; 10] = [
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

/// Functions that modify state. They count only if an opening parenthesis follows.
const FUNCTIONS_WITH_EFFECTS: [&[u8]; 4] =
    [b"nextval", b"setval", b"pg_advisory_lock", b"set_config"];

/// Characters that end a line in some engines.
const VERTICAL_TAB: u8 = 11;
const FORM_FEED: u8 = 12;

/// Number of rules in [`Dialect`]. Each rule is on or off.
const DIALECT_RULE_COUNT: u32 = 9;

/// Returns whether a text may modify state under at least one combination of dialect rules.
pub fn may_change(text: &[u8]) -> bool {
    (0..1_u16 << DIALECT_RULE_COUNT)
        .any(|rules| Scanner::new(text, Dialect::from_bits(rules)).finds_change())
}

/// Lexical rules in which SQL dialects differ.
#[derive(Debug, Clone, Copy)]
struct Dialect {
    /// A backslash escapes the next character of a string.
    backslash_escapes: bool,
    /// Block comments nest.
    nested_comments: bool,
    /// `#` starts a line comment.
    hash_comments: bool,
    /// `--` starts a comment only if whitespace or the end of the text follows.
    dashes_need_blank: bool,
    /// `$tag$` quotes strings.
    dollar_quotes: bool,
    /// The content of `/*! ... */` is executed, and a carriage return, vertical tab or form feed ends a `--` comment.
    executable_comments: bool,
    /// The end of a block comment may share its asterisk with the start, as in `/*/`.
    overlapping_comment_delimiters: bool,
    /// Brackets quote names. A doubled closing bracket doesn't end a name.
    bracket_names: bool,
    /// `q'x...x'` quotes strings, with any character for the x.
    alternative_quotes: bool,
}

impl Dialect {
    fn from_bits(bits: u16) -> Self {
        let is_set = |bit: u16| bits >> bit & 1 == 1;
        Dialect {
            backslash_escapes: is_set(0),
            nested_comments: is_set(1),
            hash_comments: is_set(2),
            dashes_need_blank: is_set(3),
            dollar_quotes: is_set(4),
            executable_comments: is_set(5),
            overlapping_comment_delimiters: is_set(6),
            bracket_names: is_set(7),
            alternative_quotes: is_set(8),
        }
    }
}

/// One pass over a text under one dialect.
struct Scanner<'a> {
    text: &'a [u8],
    dialect: Dialect,
    position: usize,
    /// No word of the current statement has been read yet.
    at_statement_start: bool,
    /// The preceding token is a dot, so the next word is the name of a column or table, as in `t.update`.
    after_dot: bool,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a [u8], dialect: Dialect) -> Self {
        Scanner {
            text,
            dialect,
            position: 0,
            at_statement_start: true,
            after_dot: false,
        }
    }

    fn finds_change(mut self) -> bool {
        while self.position < self.text.len() {
            let byte = self.text[self.position];
            match byte {
                b'\'' | b'"' | b'`' => self.skip_quoted(byte),
                b'#' if self.dialect.hash_comments => self.skip_until(|byte| byte == b'\n'),
                b'-' if self.at_dash_comment() => self.skip_dash_comment(),
                b'/' if self.peek(1) == b'*' => self.skip_block_comment(),
                b'$' if self.dialect.dollar_quotes => self.skip_dollar_quoted(),
                b'[' if self.dialect.bracket_names => self.skip_quoted(b']'),
                b'q' | b'Q' if self.at_alternative_quote() => self.skip_alternative_quoted(),
                byte if byte.is_ascii_alphabetic() || byte == b'_' => {
                    if self.skip_identifier_and_check() {
                        return true;
                    }
                }
                byte => self.consume_other(byte),
            }
        }
        false
    }

    /// Returns the byte at this offset from the current position, or 0 past the end.
    fn peek(&self, offset: usize) -> u8 {
        let byte = self.text.get(self.position + offset);
        byte.copied().unwrap_or(0)
    }

    fn skip_until(&mut self, is_end: impl Fn(u8) -> bool) {
        while self.position < self.text.len() && !is_end(self.text[self.position]) {
            self.position += 1;
        }
    }

    /// Skips a quoted string or name including its closing quote. A doubled quote doesn't close it.
    fn skip_quoted(&mut self, quote: u8) {
        self.position += 1;
        while self.position < self.text.len() {
            if self.dialect.backslash_escapes && self.text[self.position] == b'\\' {
                self.position += 1;
            } else if self.text[self.position] == quote {
                if self.peek(1) != quote {
                    break;
                }
                self.position += 1;
            }
            self.position += 1;
        }
        self.position += 1;
        self.at_statement_start = false;
        self.after_dot = false;
    }

    fn at_dash_comment(&self) -> bool {
        if self.peek(1) != b'-' {
            return false;
        }
        let is_at_end = self.position + 2 >= self.text.len();
        !self.dialect.dashes_need_blank || self.peek(2).is_ascii_whitespace() || is_at_end
    }

    fn skip_dash_comment(&mut self) {
        let separators_end_line = self.dialect.executable_comments;
        let is_separator = |byte| matches!(byte, b'\r' | VERTICAL_TAB | FORM_FEED);
        self.skip_until(|byte| byte == b'\n' || separators_end_line && is_separator(byte));
    }

    /// Skips a block comment. If it is executable (`/*!`, `/*M!`), skips only its opening and version number.
    fn skip_block_comment(&mut self) {
        let is_executable =
            self.peek(2) == b'!' || matches!(self.peek(2), b'M' | b'T') && self.peek(3) == b'!';
        if self.dialect.executable_comments && is_executable {
            self.position += 3;
            while self.peek(0).is_ascii_digit() || self.peek(0) == b'!' {
                self.position += 1;
            }
            return;
        }
        let mut depth = 1;
        let start_length = if self.dialect.overlapping_comment_delimiters {
            1
        } else {
            2
        };
        self.position += start_length;
        while self.position < self.text.len() && depth > 0 {
            if self.peek(0) == b'*' && self.peek(1) == b'/' {
                depth -= 1;
                self.position += 1;
            } else if self.dialect.nested_comments && self.peek(0) == b'/' && self.peek(1) == b'*' {
                depth += 1;
                self.position += start_length - 1;
            }
            self.position += 1;
        }
    }

    fn at_alternative_quote(&self) -> bool {
        let is_word_start = self.position == 0 || {
            let before = self.text[self.position - 1];
            !(before.is_ascii_alphanumeric() || before == b'_')
        };
        self.dialect.alternative_quotes && is_word_start && self.peek(1) == b'\''
    }

    /// Skips a string with an alternative quote, up to the end of the text if it has no end.
    fn skip_alternative_quoted(&mut self) {
        let delimiter = match self.peek(2) {
            b'(' => b')',
            b'[' => b']',
            b'{' => b'}',
            b'<' => b'>',
            other => other,
        };
        self.position = (self.position + 3).min(self.text.len());
        let content = &self.text[self.position..];
        let length = content
            .windows(2)
            .position(|pair| pair == [delimiter, b'\'']);
        self.position += length.map_or(content.len(), |length| length + 2);
        self.at_statement_start = false;
        self.after_dot = false;
    }

    /// Skips a dollar-quoted string. Skips only the dollar sign if no complete dollar-quoted string starts here.
    fn skip_dollar_quoted(&mut self) {
        let end = self.dollar_quoted_end();
        self.position = end.unwrap_or(self.position + 1);
    }

    fn dollar_quoted_end(&self) -> Option<usize> {
        let after_dollar = self.position + 1;
        let tag_length = self.text[after_dollar..]
            .iter()
            .position(|byte| !(byte.is_ascii_alphanumeric() || *byte == b'_'))?;
        if self.text[after_dollar + tag_length] != b'$' {
            return None;
        }
        let body_start = after_dollar + tag_length + 1;
        let delimiter = &self.text[self.position..body_start];
        let body_length = self.text[body_start..]
            .windows(delimiter.len())
            .position(|window| window == delimiter)?;
        Some(body_start + body_length + delimiter.len())
    }

    /// Skips a word. Returns whether the word modifies state.
    fn skip_identifier_and_check(&mut self) -> bool {
        let start = self.position;
        while self.peek(0).is_ascii_alphanumeric() || self.peek(0) == b'_' {
            self.position += 1;
        }
        let word = self.text[start..self.position].to_ascii_lowercase();
        let is_in = |list: &[&[u8]]| list.contains(&word.as_slice());
        let next = self.text[self.position..]
            .iter()
            .find(|byte| !byte.is_ascii_whitespace());
        let is_called = next == Some(&b'(');
        let changes = self.at_statement_start && is_in(&STATEMENT_KEYWORDS)
            || is_in(&CLAUSE_KEYWORDS)
            || is_called && is_in(&FUNCTIONS_WITH_EFFECTS);
        if changes && !self.after_dot {
            return true;
        }
        self.at_statement_start = false;
        self.after_dot = false;
        false
    }

    fn consume_other(&mut self, byte: u8) {
        self.position += 1;
        if byte == b';' {
            self.at_statement_start = true;
            self.after_dot = false;
        } else if !byte.is_ascii_whitespace() {
            self.after_dot = byte == b'.';
            self.at_statement_start &= byte == b'(';
        }
    }
}
