//! Tokens of a shape.

/// What a token is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenKind {
    /// An unquoted name or keyword, in lower case.
    Word,
    /// A name in quotes, with them.
    QuotedName,
    /// A literal's placeholder.
    Literal,
    /// Punctuation or an operator.
    Punctuation,
}

/// A token: its place in the shape's text, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Token {
    /// Its first byte.
    pub start: u32,
    /// The byte after its last one.
    pub end: u32,
    /// What it is.
    pub kind: TokenKind,
}
