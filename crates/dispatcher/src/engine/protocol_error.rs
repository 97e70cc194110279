//! What can be wrong with the bytes that an engine sends.

use super::rows::RowsError;
use thiserror::Error;

/// A violation of the engine protocol. Nothing that comes behind it on the same connection can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The frame starts with something else than `*`, or an element with something else than `$`.
    #[error("not an array of bulk strings: expected {expected:?}, found {found:?}")]
    UnexpectedType {
        /// The marker that RESP wants there.
        expected: char,
        /// The byte that was there, as a character.
        found: char,
    },
    /// The number behind a marker isn't a decimal number that ends in CRLF.
    #[error("a length is not a decimal number")]
    MalformedLength,
    /// The number behind a marker has more digits than any legal one.
    #[error("a length has {digits} digits")]
    LengthTooLong {
        /// Digits found.
        digits: usize,
    },
    /// More elements than any reply has.
    #[error("an array of {count} elements is too long")]
    TooManyElements {
        /// Elements announced.
        count: usize,
    },
    /// A longer element than any reply has.
    #[error("a bulk string of {length} bytes is too long")]
    ElementTooLong {
        /// Bytes announced.
        length: usize,
    },
    /// A bulk string that isn't followed by CRLF.
    #[error("a bulk string does not end in CRLF")]
    MissingTerminator,
    /// The rest of a frame did not come in time.
    #[error("an answer stopped short")]
    StalledFrame,
    /// The first element, the id of an attempt or of a health check, isn't UTF-8.
    #[error("an id is not text")]
    InvalidId,
    /// The second element isn't a word of the protocol.
    #[error("the reply's word is unknown")]
    UnknownReply,
    /// `batches` of a first page is missing, no number, 0 or over the limit.
    #[error("a first page has no usable number of pages")]
    InvalidPageCount,
    /// `batch` of a further page is missing or no number.
    #[error("a page has no number")]
    MissingPageNumber,
    /// `batch` of a further page is not below the number of pages.
    #[error("page {number} of {pages}")]
    PageOutOfRange {
        /// The page's number, from 0.
        number: usize,
        /// Pages that the first one announced.
        pages: usize,
    },
    /// The rows of a page can't be read.
    #[error("a page can't be read: {0}")]
    MalformedPage(#[from] RowsError),
    /// All pages together are longer than any result.
    #[error("a result of more than {limit} bytes is too long")]
    ResultTooLong {
        /// The limit in bytes.
        limit: usize,
    },
}
