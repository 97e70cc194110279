//! Reasons why a statement could not be parsed or proven read-only.

use crate::lexer::Unproven;

/// The reason for an unproven effect. Its text may contain parts of the statement's shape, but none of its literals.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum Reason {
    /// The text is invalid, ambiguous or too large.
    #[error(transparent)]
    Lexical(#[from] Unproven),
    /// The text has no tokens or no statement.
    #[error("the statement is empty")]
    Empty,
    /// The parser has no such token.
    #[error("a character is not valid in any dialect")]
    UnknownToken,
    /// The parser's message, without its location, which refers to the shape and not to the statement.
    #[error("{0}")]
    Syntax(String),
    /// Dialects split the text into different numbers of statements.
    #[error("the dialects disagree on the number of statements")]
    DialectsDisagree,
    /// A keyword that occurs in no read-only statement.
    #[error("a keyword occurs only in statements that change data")]
    EffectKeyword,
    /// No read-only statement begins with this word.
    #[error("a read-only statement does not begin with {0}")]
    FirstWord(String),
    /// A comma before a clause or a closing parenthesis.
    #[error("no item follows a comma")]
    TrailingComma,
    /// FOR UPDATE, FOR SHARE and other clauses that lock rows or tables.
    #[error("the statement locks rows or tables")]
    RowsLocked,
    /// A function with effects.
    #[error("function {0} has effects")]
    EffectFunction(String),
    /// A function that is in none of the lists.
    #[error("function {0} is not known to have no effects")]
    UnknownFunction(String),
    /// A call with two parameter lists, as in ClickHouse, or in ODBC syntax.
    #[error("function {0} is called with a syntax that is not analyzed")]
    UnknownCall(String),
    /// A statement with effects.
    #[error("{0} changes data")]
    ChangesData(&'static str),
    /// SELECT INTO.
    #[error("SELECT INTO creates a table")]
    SelectInto,
    /// COPY TO, even to the client.
    #[error("COPY may write to a file or program")]
    CopyOut,
    /// EXPLAIN of a statement that is not a query.
    #[error("the explained statement is not a query")]
    ExplainsNoQuery,
    /// A statement of a kind that is not known to be read-only.
    #[error("{0} is not known to be read-only")]
    UnknownStatement(String),
    /// A clause that the analysis does not model.
    #[error("a clause is not known to be read-only")]
    UnknownClause,
    /// Pipe operators.
    #[error("pipe operators are not analyzed")]
    PipeOperators,
    /// Table hints.
    #[error("table hints are not analyzed")]
    TableHints,
    /// A FROM item of a kind that is not modeled, such as PIVOT, or IN with a table instead of a list.
    #[error("the statement reads from a source that is not analyzed")]
    UnknownSource,
    /// An operator specific to one engine, or an assignment.
    #[error("an operator is unknown")]
    UnknownOperator,
}
