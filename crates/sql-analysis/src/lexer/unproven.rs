//! Lexical reasons why a statement cannot be proven read-only.

/// The reason why the text of a statement does not allow a proof: engines interpret it in different ways, or the
/// analysis does not support it. Only the first reason that the lexer finds is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Unproven {
    /// Not UTF-8, or with a NUL byte.
    #[error("the statement is not text")]
    NotText,
    /// Longer than 64 KiB.
    #[error("the statement is too long")]
    TooLong,
    /// Above one of the limits on tokens, operators and nested parentheses.
    #[error("the statement has too many tokens, operators or nested parentheses")]
    TooComplex,
    /// A string, quoted name or comment is not terminated.
    #[error("a string, name or comment is not terminated")]
    Unterminated,
    /// `/*!`, `/*M!` and `/*T!` are executed by MySQL, MariaDB and TiDB.
    #[error("a comment may be executed")]
    ExecutableComment,
    /// Engines disagree on where a comment ends that holds a further delimiter, also one that shares a byte with the
    /// comment's own, as in `/*/`.
    #[error("a comment contains the start of a nested comment")]
    NestedComment,
    /// Some engines end a line comment at a lone carriage return.
    #[error("a line comment contains a lone carriage return")]
    BareLineEnd,
    /// Some engines end a line comment at a vertical tab, a form feed or a Unicode line separator.
    #[error("a line comment contains a character that may end the line")]
    LineSeparator,
    /// Some engines quote names in brackets, in which quotes and comments do not begin.
    #[error("a quoted text or comment reaches over a closing bracket")]
    Bracket,
    /// Some engines end a text that begins with three quotes only at three quotes.
    #[error("a quoted text begins with three quotes")]
    TripleQuote,
    /// `q'...'` and its like select other rules for the end of the text in some engines.
    #[error("a word directly before a quoted text may change where it ends")]
    LiteralPrefix,
    /// `--x` is a comment or two minus signs, depending on the engine.
    #[error("two dashes without a following space may be a comment or two minus signs")]
    Dashes,
    /// `#` starts a comment or is an operator, depending on the engine.
    #[error("a hash sign may start a comment or be an operator")]
    HashMark,
    /// A backslash is an escape or a literal character, depending on the engine.
    #[error("a backslash may be an escape or a literal character")]
    Backslash,
    /// `$tag$` quotes a string in some engines only.
    #[error("dollar signs may or may not quote a string")]
    DollarQuote,
    /// A letter that some engines may fold to an ASCII letter.
    #[error("a letter outside quotes is not ASCII")]
    NotAscii,
    /// A control byte that is not white space.
    #[error("a control byte is outside quotes")]
    ControlByte,
    /// `@name` is a variable, which an expression may assign.
    #[error("a variable may be set")]
    Variable,
    /// `:=` assigns a variable.
    #[error("a variable is assigned")]
    Assignment,
    /// Braces enclose ODBC escapes.
    #[error("a brace is outside quotes")]
    Brace,
    /// An operator that is not in the list of common operators.
    #[error("an operator is unknown")]
    Operator,
    /// `1a` is one token or two, depending on the engine.
    #[error("a number is followed by a letter")]
    NumberAndWord,
    /// `u&'...'` and `_charset'...'` change the interpretation of the text.
    #[error("a quoted text has Unicode escapes or a character set")]
    UnicodeEscape,
}

impl Unproven {
    /// Whether a shape with this reason is not parsed.
    pub(crate) fn prevents_parsing(self) -> bool {
        matches!(
            self,
            Unproven::NotText | Unproven::TooLong | Unproven::TooComplex | Unproven::Unterminated
        )
    }
}
