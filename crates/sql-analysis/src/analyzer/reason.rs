//! Reasons why a statement could not be parsed or proven read-only.

use crate::lexer::Unproven;

/// A reason. Its text may contain parts of the statement's shape, but none of its literals.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum Reason {
    /// The text is ambiguous or too large.
    #[error(transparent)]
    Lexical(#[from] Unproven),
    /// The text has no tokens or no statement.
    #[error("the statement is empty")]
    Empty,
    /// A token belongs to no grammar.
    #[error("a character belongs to no grammar")]
    UnknownToken,
    /// The parser's message, without its location, which would be one in the shape.
    #[error("{0}")]
    Syntax(String),
    /// Dialects split the text into different statements.
    #[error("the dialects read different statements")]
    DialectsDisagree,
    /// A word that occurs in no read-only statement.
    #[error("a word occurs only in statements that change data")]
    EffectWord,
    /// The first word is not one of a read-only statement.
    #[error("a read-only statement does not begin with {0}")]
    FirstWord(String),
    /// A comma before a clause or bracket.
    #[error("a comma is followed by nothing")]
    TrailingComma,
    /// FOR UPDATE, FOR SHARE and the like.
    #[error("rows are locked")]
    RowsLocked,
    /// A function with effects.
    #[error("function {0} has effects")]
    EffectFunction(String),
    /// A function in no list.
    #[error("function {0} is not known to have no effects")]
    UnknownFunction(String),
    /// A call with parameters of its own, or in ODBC syntax.
    #[error("function {0} is called in an unknown way")]
    UnknownCall(String),
    /// A statement with effects.
    #[error("{0} changes data")]
    ChangesData(&'static str),
    /// SELECT INTO.
    #[error("SELECT INTO creates a table")]
    SelectInto,
    /// COPY to a file or program.
    #[error("COPY writes to a file or program")]
    CopyOut,
    /// EXPLAIN of a statement that is no query.
    #[error("the explained statement is not a query")]
    ExplainsNoQuery,
    /// Another kind of statement.
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
    /// FROM something that is no table, subquery or known function.
    #[error("the statement reads from something that is not a table")]
    NotATable,
    /// An operator of one engine, or an assignment.
    #[error("an operator is unknown")]
    UnknownOperator,
}
