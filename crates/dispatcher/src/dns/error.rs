//! Errors of parsing DNS messages.

use thiserror::Error;

/// The reasons why a message cannot be used as an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DnsError {
    /// The message ends within a field.
    #[error("message ends within a field")]
    UnexpectedEnd,
    /// The message is a query.
    #[error("message is not an answer")]
    NotAnAnswer,
    /// The answer has the flag TC: its sender truncated it.
    #[error("answer is truncated by its sender")]
    Truncated,
    /// The name service reports an error.
    #[error("name service answered with error code {0}")]
    ErrorCode(u16),
    /// The message has more questions or records than the limit.
    #[error("too many records: {count}")]
    TooManyRecords {
        /// Number of questions or records according to the header.
        count: usize,
    },
    /// A name is longer than the protocol allows.
    #[error("name exceeds 255 bytes")]
    NameTooLong,
    /// A name has too many compression pointers, perhaps in a loop.
    #[error("too many compression pointers in a name")]
    TooManyPointers,
    /// The type bits of a label are reserved by the protocol.
    #[error("label has a reserved type")]
    ReservedLabelType,
    /// The fields of a record extend beyond the record's length.
    #[error("fields of a record exceed its length")]
    RecordOverrun,
}
