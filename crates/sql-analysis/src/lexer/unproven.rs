//! Lexical reasons why a statement cannot be proven read-only.

/// The reason why the text of a statement does not allow a proof: engines interpret it in different ways, or the analysis
/// does not support it. Only the first reason in a statement is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Unproven {
    /// Not UTF-8, or with a NUL byte.
    #[error("the statement is not text")]
    NotText,
    /// Longer than 64 KiB.
    #[error("the statement is too long")]
    TooLong,
    /// Above one of the limits on tokens, operators and brackets.
    #[error("the statement has too many tokens, operators or nested brackets")]
    TooComplex,
    /// A string, quoted name or comment has no end.
    #[error("a string, name or comment is not terminated")]
    Unterminated,
    /// `/*!` and `/*M!` are executed by MySQL and MariaDB.
    #[error("a comment may be executed")]
    ExecutableComment,
    /// Nested comments end in different places.
    #[error("a comment contains the start of another")]
    NestedComment,
    /// Some engines end a line comment at a lone carriage return.
    #[error("a line comment contains a lone carriage return")]
    BareLineEnd,
    /// `--x` is a comment or two minus signs.
    #[error("two dashes without a following blank may start a comment or not")]
    Dashes,
    /// `#` starts a comment or is an operator.
    #[error("a hash sign may start a comment or not")]
    HashMark,
    /// A backslash escapes the next character or not.
    #[error("a backslash may be an escape or not")]
    Backslash,
    /// `$tag$` quotes or not.
    #[error("dollar signs may quote or not")]
    DollarQuote,
    /// Letters that may fold to ASCII.
    #[error("a letter outside quotes is not ASCII")]
    NotAscii,
    /// A control byte that is not white space.
    #[error("a control byte is outside quotes")]
    ControlByte,
    /// `@name`.
    #[error("a variable may be set")]
    Variable,
    /// `:=`.
    #[error("a variable is assigned")]
    Assignment,
    /// ODBC escapes.
    #[error("a brace is outside quotes")]
    Brace,
    /// An operator that is not in the list.
    #[error("an operator is unknown")]
    Operator,
    /// `1a` is one token or two.
    #[error("a number is followed by a letter")]
    NumberAndWord,
    /// `u&'...'` and `_charset'...'`.
    #[error("a quoted text has escapes of its own")]
    UnicodeEscape,
}

impl Unproven {
    /// Whether the shape is not parsed at all.
    pub(crate) fn bars_parsing(self) -> bool {
        matches!(
            self,
            Unproven::NotText | Unproven::TooLong | Unproven::TooComplex | Unproven::Unterminated
        )
    }
}
