//! Errors of DNS messages.

use thiserror::Error;

/// Why a message can't be used as an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DnsError {
    /// The message ends within a field.
    #[error("the message ends early")]
    UnexpectedEnd,
    /// The message is a query.
    #[error("the message is not an answer")]
    NotAnAnswer,
    /// The sender truncated the answer.
    #[error("the answer is marked as cut off")]
    CutOff,
    /// The name service reports an error.
    #[error("the answer has error code {0}")]
    ErrorCode(u16),
    /// There are more questions or records than the limit.
    #[error("{count} records are too many")]
    TooManyRecords {
        /// Records announced.
        count: usize,
    },
    /// A name is longer than the protocol allows.
    #[error("a name is too long")]
    NameTooLong,
    /// A name has too many compression pointers, perhaps in a loop.
    #[error("a name has too many compression pointers")]
    TooManyPointers,
    /// The first bits of a label's length have no meaning.
    #[error("a label has a reserved type")]
    ReservedLabelType,
    /// The data of a record is longer than the record.
    #[error("a record is longer than it says")]
    RecordOverrun,
}
