//! The lexer: turns a statement's bytes into a shape. In a shape, words are in lower case, literals are placeholders, a
//! list of literals is a single literal, comments and white space are removed, and one space separates tokens.
//!
//! Text that engines may interpret differently makes the shape [`Unproven`]: such a statement is never proven
//! read-only. `scanner` reads the input, `shape_builder` writes the shape.

mod characters;
mod scanner;
mod shape_builder;
mod token;
mod unproven;

#[cfg(test)]
mod tests;

pub use token::{Token, TokenKind};
pub use unproven::Unproven;

use scanner::Scanner;
use shape_builder::ShapeBuilder;

/// Maximum number of tokens of a statement that is parsed, which bounds the parser's time.
pub(crate) const MAX_TOKENS: usize = 4000;
/// Maximum number of operators of a statement that is parsed. Each may add a level to a left-deep tree, which is walked
/// and dropped recursively.
pub(crate) const MAX_OPERATORS: usize = 400;
/// Maximum depth of nested parentheses of a statement that is parsed, which bounds the parser's stack.
pub(crate) const MAX_PARENTHESIS_DEPTH: usize = 40;
/// Maximum length of an analyzed statement (bytes).
pub(crate) const MAX_BYTES: usize = 64 * 1024;

/// The shape of a statement.
#[derive(Debug)]
pub struct Shape<'a> {
    /// The text of the shape; empty for a statement without tokens, or with invalid UTF-8 outside strings and
    /// comments.
    pub text: &'a str,
    /// The reason why the statement cannot be proven read-only, if there is a lexical one.
    pub unproven: Option<Unproven>,
    /// The tokens of `text`.
    pub tokens: &'a [Token],
    /// Whether the shape contains an unquoted keyword that occurs in no read-only statement.
    pub has_effect_keyword: bool,
}

impl Shape<'_> {
    /// The text of a token.
    pub(crate) fn token_text(&self, token: &Token) -> &str {
        &self.text[token.start as usize..token.end as usize]
    }

    /// The text of the token at `index`; empty for `None` and after the last token.
    pub(crate) fn text_at(&self, index: Option<usize>) -> &str {
        let token = index.and_then(|index| self.tokens.get(index));
        token.map_or("", |token| self.token_text(token))
    }
}

/// The lexer. It reuses its buffers.
#[derive(Debug, Default)]
pub struct Lexer {
    builder: ShapeBuilder,
}

impl Lexer {
    /// The shape of a statement, borrowed until the next call. Any bytes are accepted.
    pub fn lex(&mut self, statement: &[u8]) -> Shape<'_> {
        self.builder.reset();
        let is_too_long = statement.len() > MAX_BYTES;
        let bytes = &statement[..statement.len().min(MAX_BYTES)];
        let mut scanner = Scanner::new(bytes, &mut self.builder);
        if is_too_long {
            scanner.set_unproven(Unproven::TooLong);
        }
        // Truncation of a long statement may split a character.
        let is_not_utf8 = !is_too_long && std::str::from_utf8(bytes).is_err();
        if is_not_utf8 || bytes.contains(&0) {
            scanner.set_unproven(Unproven::NotText);
        }
        let unproven = scanner.scan();
        // If the shape's text is not valid UTF-8, the shape is empty.
        let text = std::str::from_utf8(&self.builder.text).unwrap_or_default();
        let tokens = if text.is_empty() {
            &[][..]
        } else {
            &self.builder.tokens
        };
        Shape {
            text,
            unproven,
            tokens,
            has_effect_keyword: self.builder.has_effect_keyword,
        }
    }
}
