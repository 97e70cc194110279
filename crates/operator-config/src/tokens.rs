//! The tokens of a text-format file.

/// The kind of a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum TokenKind<'a> {
    /// A name, number or enum value.
    Name(&'a str),
    /// A quoted string.
    QuotedString,
    /// Any other character.
    Punctuation(u8),
}

/// A token of the text.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Token<'a> {
    /// Offset of the token's first byte.
    pub offset: usize,
    /// The token's kind.
    pub kind: TokenKind<'a>,
}

/// An iterator over the tokens of a text, without comments and white space. Any text is accepted.
pub(crate) struct Tokens<'a> {
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

    /// Skips the rest of a string after its opening quote, through the closing quote or the end of the line.
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

/// The tokens of a text.
pub(crate) fn tokens(text: &str) -> Tokens<'_> {
    Tokens { text, offset: 0 }
}
