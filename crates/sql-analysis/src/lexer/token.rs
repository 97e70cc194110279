//! Tokens of a shape.

/// The kind of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenKind {
    /// An unquoted name or keyword, in lower case.
    Word,
    /// A quoted name, with its quotes.
    QuotedName,
    /// The placeholder of a literal.
    Literal,
    /// Punctuation or an operator.
    Punctuation,
}

/// A token, as a range of bytes in the shape's text.
#[derive(Debug, Clone, Copy)]
pub struct Token {
    /// Offset of the token's first byte.
    pub start: u32,
    /// Offset of the byte after the token.
    pub end: u32,
    /// The kind of the token.
    pub kind: TokenKind,
}
