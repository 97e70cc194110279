//! The scanner: splits a statement's bytes into tokens for the shape builder.

use super::characters::{is_identifier_byte, is_operator_byte, is_sign, OPERATORS};
use super::shape_builder::{ShapeBuilder, NUMBER_PLACEHOLDER, STRING_PLACEHOLDER};
use super::unproven::Unproven;
use super::{MAX_BYTES, MAX_OPERATORS, MAX_PARENTHESIS_DEPTH, MAX_TOKENS};

/// Maximum length (bytes) of the text of a shape with too many tokens. Such a shape is never parsed, but must still be
/// distinct from others, so a hash of the unread input follows this text.
const MAX_UNPARSED_SHAPE_BYTES: usize = MAX_BYTES / 4;
/// The form feed character, which counts as white space.
const FORM_FEED: u8 = 12;
/// The delimiters of a block comment.
const COMMENT_START: &[u8; 2] = b"/*";
const COMMENT_END: &[u8; 2] = b"*/";
/// Characters other than a newline and a carriage return that end a line in some engines: vertical tab, form feed, and
/// in UTF-8 next line, line separator and paragraph separator.
const LINE_SEPARATORS: [&[u8]; 5] = [
    b"\x0b",
    b"\x0c",
    b"\xc2\x85",
    b"\xe2\x80\xa8",
    b"\xe2\x80\xa9",
];
/// Words directly before a quoted literal that do not change where it ends.
const LITERAL_PREFIXES: [&str; 4] = ["date", "time", "timestamp", "interval"];

/// A scan of one statement.
pub(super) struct Scanner<'a> {
    bytes: &'a [u8],
    offset: usize,
    shape: &'a mut ShapeBuilder,
    unproven: Option<Unproven>,
    /// Offset of the first closing bracket behind the last opening one; the length of the text if there is none.
    bracket_end: usize,
}

impl<'a> Scanner<'a> {
    /// A scanner of `bytes` that writes to `shape`.
    pub fn new(bytes: &'a [u8], shape: &'a mut ShapeBuilder) -> Self {
        Scanner {
            bytes,
            offset: 0,
            shape,
            unproven: None,
            bracket_end: 0,
        }
    }

    /// Records why the statement cannot be proven read-only, unless there is an earlier reason.
    pub fn set_unproven(&mut self, reason: Unproven) {
        self.unproven.get_or_insert(reason);
    }

    /// The byte `ahead` bytes after the current one; 0 after the end.
    fn peek(&self, ahead: usize) -> u8 {
        self.bytes.get(self.offset + ahead).copied().unwrap_or(0)
    }

    fn unread(&self) -> &'a [u8] {
        &self.bytes[self.offset.min(self.bytes.len())..]
    }

    /// Scans the statement, and returns the reason why it cannot be proven read-only, if there is one.
    pub fn scan(mut self) -> Option<Unproven> {
        while let Some(&first) = self.bytes.get(self.offset) {
            let start = self.offset;
            self.scan_token(first);
            self.check_brackets(first, start);
            let has_too_many_tokens = self.shape.tokens.len() > MAX_TOKENS;
            if has_too_many_tokens
                || self.shape.operator_count > MAX_OPERATORS
                || self.shape.parenthesis_depth > MAX_PARENTHESIS_DEPTH
            {
                self.set_unproven(Unproven::TooComplex);
            }
            if has_too_many_tokens {
                let unread = self.unread();
                self.shape
                    .finish_with_hash(MAX_UNPARSED_SHAPE_BYTES, unread);
                break;
            }
        }
        self.unproven
    }

    /// Scans white space, a comment or a token that begins with `first`.
    fn scan_token(&mut self, first: u8) {
        match first {
            b' ' | b'\t' | b'\n' | b'\r' | FORM_FEED => self.offset += 1,
            b'-' if self.peek(1) == b'-' => self.skip_line_comment(),
            b'/' if self.peek(1) == b'*' => self.skip_block_comment(),
            b'\'' => self.scan_string(),
            b'"' | b'`' => self.scan_quoted_name(first),
            b'0'..=b'9' => self.scan_number(),
            b'.' if self.peek(1).is_ascii_digit() && !self.shape.last_is_name() => {
                self.scan_number();
            }
            b'$' => self.scan_dollar(),
            b'?' => {
                self.offset += 1;
                self.shape.push_literal(STRING_PLACEHOLDER);
            }
            b':' => self.scan_colon(),
            _ if is_identifier_byte(first) => self.scan_identifier(),
            _ if is_operator_byte(first) => self.scan_operator(),
            b'(' | b')' | b',' | b'.' | b';' | b'[' | b']' => {
                self.offset += 1;
                self.shape.push_punctuation(first);
            }
            _ => self.scan_ambiguous(first),
        }
    }

    /// Scans a character that engines interpret differently.
    fn scan_ambiguous(&mut self, character: u8) {
        self.set_unproven(match character {
            b'#' => Unproven::HashMark,
            b'\\' => Unproven::Backslash,
            b'@' => Unproven::Variable,
            b'{' | b'}' => Unproven::Brace,
            _ => Unproven::ControlByte,
        });
        self.offset += 1;
        self.shape.push_punctuation(character);
    }

    /// Checks the token `start..offset`, which begins with `first`, against engines that quote names in brackets. They
    /// read the same statement only if no token reaches over the bracket that ends such a name.
    fn check_brackets(&mut self, first: u8, start: usize) {
        let is_split = start < self.bracket_end && self.bracket_end < self.offset;
        if is_split {
            self.set_unproven(Unproven::Bracket);
        }
        if first != b'[' || start < self.bracket_end {
            return;
        }
        let closing = self.unread().iter().position(|byte| *byte == b']');
        self.bracket_end = closing.map_or(self.bytes.len(), |length| self.offset + length);
        // A doubled closing bracket does not end a quoted name.
        let is_doubled = self.bytes.get(self.bracket_end + 1) == Some(&b']');
        if closing.is_none() || is_doubled {
            self.set_unproven(Unproven::Bracket);
        }
    }

    fn skip_line_comment(&mut self) {
        let after_dashes = self.peek(2);
        if !(after_dashes == 0 || after_dashes.is_ascii_whitespace()) {
            self.set_unproven(Unproven::Dashes);
        }
        let unread = self.unread();
        let line_end = unread.iter().position(|byte| *byte == b'\n');
        let comment = &unread[..line_end.unwrap_or(unread.len())];
        // A carriage return before the newline is part of the line end.
        let content = comment.strip_suffix(b"\r").unwrap_or(comment);
        if content.contains(&b'\r') {
            self.set_unproven(Unproven::BareLineEnd);
        }
        if has_line_separator(content) {
            self.set_unproven(Unproven::LineSeparator);
        }
        self.offset += comment.len();
    }

    /// Skips a block comment. All engines end it at the same place only if its two delimiters are the only ones in it,
    /// also counting those that share a byte with another delimiter or with the byte after the comment.
    fn skip_block_comment(&mut self) {
        let comment = self.unread();
        let content = &comment[COMMENT_START.len()..];
        if is_executable(content) {
            self.set_unproven(Unproven::ExecutableComment);
        }
        let Some(content_length) = content.windows(2).position(|pair| pair == COMMENT_END) else {
            self.set_unproven(Unproven::Unterminated);
            self.offset = self.bytes.len();
            return;
        };
        let length = COMMENT_START.len() + content_length + COMMENT_END.len();
        let with_next_byte = &comment[..comment.len().min(length + 1)];
        let is_delimiter = |pair: &&[u8]| *pair == COMMENT_START || *pair == COMMENT_END;
        if with_next_byte.windows(2).filter(is_delimiter).count() > 2 {
            self.set_unproven(Unproven::NestedComment);
        }
        self.offset += length;
    }

    /// Skips a quoted text that begins at the current byte, and returns its content. A doubled quote does not end the
    /// text.
    fn skip_quoted(&mut self, quote: u8) -> &'a [u8] {
        let start = self.offset + 1;
        let mut end = start;
        let mut has_escaped_quote = false;
        if self.peek(1) == quote && self.peek(2) == quote {
            self.set_unproven(Unproven::TripleQuote);
        }
        loop {
            match self.bytes.get(end) {
                None => {
                    self.set_unproven(Unproven::Unterminated);
                    break;
                }
                Some(&byte) if byte == quote => {
                    has_escaped_quote |= self.bytes[start..end].ends_with(b"\\");
                    if self.bytes.get(end + 1) != Some(&quote) {
                        break;
                    }
                    end += 2;
                }
                Some(_) => end += 1,
            }
        }
        if has_escaped_quote {
            self.set_unproven(Unproven::Backslash);
        }
        let end = end.min(self.bytes.len());
        self.offset = (end + 1).min(self.bytes.len());
        &self.bytes[start..end]
    }

    fn scan_string(&mut self) {
        self.skip_quoted(b'\'');
        // Some engines concatenate two strings with only white space between them.
        if !self.shape.last_is(STRING_PLACEHOLDER) {
            self.shape.push_literal(STRING_PLACEHOLDER);
        }
    }

    fn scan_quoted_name(&mut self, quote: u8) {
        let start = self.offset;
        self.skip_quoted(quote);
        let name = &self.bytes[start..self.offset];
        self.shape.push_quoted_name(name);
        let is_terminated = name.len() >= 2 && name.ends_with(&[quote]);
        if !is_terminated {
            self.shape.terminate_quoted_name(quote);
        }
    }

    fn skip_while(&mut self, predicate: fn(&u8) -> bool) {
        while self.bytes.get(self.offset).is_some_and(predicate) {
            self.offset += 1;
        }
    }

    fn scan_number(&mut self) {
        let is_hexadecimal = self.peek(0) == b'0'
            && matches!(self.peek(1), b'x' | b'X')
            && self.peek(2).is_ascii_hexdigit();
        if is_hexadecimal {
            self.offset += 2;
            self.skip_while(u8::is_ascii_hexdigit);
        } else {
            self.skip_decimal();
        }
        if is_identifier_byte(self.peek(0)) {
            self.set_unproven(Unproven::NumberAndWord);
        }
        self.shape.push_literal(NUMBER_PLACEHOLDER);
    }

    fn skip_decimal(&mut self) {
        self.skip_while(u8::is_ascii_digit);
        if self.peek(0) == b'.' {
            self.offset += 1;
            self.skip_while(u8::is_ascii_digit);
        }
        let sign_length = usize::from(matches!(self.peek(1), b'+' | b'-'));
        let has_exponent =
            matches!(self.peek(0), b'e' | b'E') && self.peek(1 + sign_length).is_ascii_digit();
        if has_exponent {
            self.offset += 1 + sign_length;
            self.skip_while(u8::is_ascii_digit);
        }
    }

    /// Scans a numbered parameter, a possible dollar-quoted string or a dollar sign.
    fn scan_dollar(&mut self) {
        if self.peek(1).is_ascii_digit() {
            self.offset += 1;
            self.skip_while(u8::is_ascii_digit);
            self.shape.push_literal(STRING_PLACEHOLDER);
            return;
        }
        self.set_unproven(Unproven::DollarQuote);
        let unread = self.unread();
        let Some(tag) = dollar_tag(unread) else {
            self.offset += 1;
            self.shape.push_punctuation(b'$');
            return;
        };
        let mut candidates = unread[tag.len()..].windows(tag.len());
        match candidates.position(|candidate| candidate == tag) {
            Some(content_length) => self.offset += 2 * tag.len() + content_length,
            None => {
                self.set_unproven(Unproven::Unterminated);
                self.offset = self.bytes.len();
            }
        }
        self.shape.push_literal(STRING_PLACEHOLDER);
    }

    /// Scans a cast, an assignment, a named parameter or a colon.
    fn scan_colon(&mut self) {
        if self.peek(1) == b':' {
            self.offset += 2;
            self.shape.operator_count += 1;
            self.shape.push_operator(b"::");
            return;
        }
        if self.peek(1) == b'=' {
            self.set_unproven(Unproven::Assignment);
        }
        self.offset += 1;
        if !self.peek(0).is_ascii_alphabetic() {
            self.shape.push_punctuation(b':');
            return;
        }
        self.skip_while(|byte| is_identifier_byte(*byte) && byte.is_ascii());
        self.shape.push_literal(STRING_PLACEHOLDER);
    }

    fn scan_identifier(&mut self) {
        let start = self.offset;
        self.skip_while(|byte| is_identifier_byte(*byte));
        let word = &self.bytes[start..self.offset];
        if self.peek(0) == b'\'' && self.scan_prefixed_string(word) {
            return;
        }
        let is_unicode_prefix = word.eq_ignore_ascii_case(b"u")
            && self.peek(0) == b'&'
            && matches!(self.peek(1), b'\'' | b'"');
        if is_unicode_prefix {
            self.set_unproven(Unproven::UnicodeEscape);
        }
        if !word.is_ascii() {
            self.set_unproven(Unproven::NotAscii);
        }
        self.shape.push_identifier(word);
    }

    /// Scans a string after its prefix, which marks bits, hexadecimal digits, national characters or escapes. Returns
    /// false, and scans nothing, for any other prefix.
    fn scan_prefixed_string(&mut self, prefix: &[u8]) -> bool {
        match prefix {
            b"b" | b"B" | b"x" | b"X" | b"n" | b"N" => {
                self.scan_string();
                true
            }
            b"e" | b"E" => {
                if self.skip_quoted(b'\'').contains(&b'\\') {
                    self.set_unproven(Unproven::Backslash);
                }
                self.shape.push_literal(STRING_PLACEHOLDER);
                true
            }
            _ => {
                // A character set, as in _utf8'...'.
                if prefix.starts_with(b"_") {
                    self.set_unproven(Unproven::UnicodeEscape);
                }
                let is_prefix = |known: &&str| prefix.eq_ignore_ascii_case(known.as_bytes());
                if !LITERAL_PREFIXES.iter().any(is_prefix) {
                    self.set_unproven(Unproven::LiteralPrefix);
                }
                false
            }
        }
    }

    fn scan_operator(&mut self) {
        let operator = self.take_operator_bytes();
        self.shape.operator_count += 1;
        if self.is_number_sign(operator) && !self.shape.last_ends_value() {
            // The sign is part of the literal, as in `(-1` or `= -1`.
            return;
        }
        if !OPERATORS.contains(&operator) {
            if self.push_operator_and_sign(operator) {
                return;
            }
            self.set_unproven(Unproven::Operator);
        }
        self.shape.push_operator(operator);
    }

    /// Reads a run of operator characters, up to a comment.
    fn take_operator_bytes(&mut self) -> &'a [u8] {
        let start = self.offset;
        while self
            .bytes
            .get(self.offset)
            .is_some_and(|byte| is_operator_byte(*byte))
        {
            let starts_comment =
                matches!((self.peek(0), self.peek(1)), (b'-', b'-') | (b'/', b'*'));
            if starts_comment && self.offset > start {
                break;
            }
            self.offset += 1;
        }
        &self.bytes[start..self.offset]
    }

    /// Whether `operator`, which was just read, is a sign directly before a digit.
    fn is_number_sign(&self, operator: &[u8]) -> bool {
        is_sign(operator) && self.peek(0).is_ascii_digit()
    }

    /// Appends a run such as `<-` as an operator and a sign. Returns false, and appends nothing, if engines would split
    /// the run differently.
    fn push_operator_and_sign(&mut self, run: &[u8]) -> bool {
        let (operator, sign) = run.split_at(run.len() - 1);
        let has_only_common_characters = operator
            .iter()
            .all(|byte| matches!(byte, b'+' | b'-' | b'*' | b'/' | b'<' | b'>' | b'='));
        let can_be_split = is_sign(sign)
            && OPERATORS.contains(&operator)
            && has_only_common_characters
            && operator != b"-";
        if !can_be_split {
            return false;
        }
        self.shape.push_operator(operator);
        if !self.is_number_sign(sign) {
            self.shape.push_operator(sign);
        }
        true
    }
}

/// The tag of a dollar-quoted string at the beginning of `bytes`, with its dollar signs.
fn dollar_tag(bytes: &[u8]) -> Option<&[u8]> {
    let after_first = bytes.get(1..)?;
    let length = after_first
        .iter()
        .position(|byte| !is_identifier_byte(*byte) || *byte == b'$')?;
    let tag = &bytes[..length + 2];
    tag.ends_with(b"$").then_some(tag)
}

/// Whether a block comment with this content is executed by MySQL (`!`), MariaDB (`M!`) or TiDB (`T!`). Any other
/// letters count like theirs.
fn is_executable(content: &[u8]) -> bool {
    let mut without_letters = content.iter().skip_while(|byte| byte.is_ascii_alphabetic());
    without_letters.next() == Some(&b'!')
}

/// Whether a line comment has a character that ends it in some engines.
fn has_line_separator(content: &[u8]) -> bool {
    LINE_SEPARATORS.iter().any(|separator| {
        content
            .windows(separator.len())
            .any(|bytes| bytes == *separator)
    })
}
