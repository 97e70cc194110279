//! Violations of the engine protocol.

use super::rows::RowsError;
use thiserror::Error;

/// A violation of the engine protocol. No further bytes of the connection can be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The frame does not start with `*`, or an element does not start with `$`.
    #[error("not an array of bulk strings: expected {expected:?}, found {found:?}")]
    UnexpectedType {
        /// The marker that RESP requires there.
        expected: char,
        /// The byte that was there, as a character.
        found: char,
    },
    /// The marker is not followed by a decimal number and CRLF.
    #[error("a length is not a decimal number")]
    MalformedLength,
    /// The number after a marker has too many digits.
    #[error("a length has {digits} digits")]
    LengthTooLong {
        /// Digits found.
        digits: usize,
    },
    /// An array has too many elements.
    #[error("an array of {count} elements is too long")]
    TooManyElements {
        /// Elements announced.
        count: usize,
    },
    /// An element is too long.
    #[error("a bulk string of {length} bytes is too long")]
    ElementTooLong {
        /// Bytes announced.
        length: usize,
    },
    /// A bulk string is not followed by CRLF.
    #[error("a bulk string does not end in CRLF")]
    MissingTerminator,
    /// The rest of a frame did not arrive in time.
    #[error("an answer stopped short")]
    StalledFrame,
    /// The first element, the id of an attempt or of a health check, isn't UTF-8.
    #[error("an id is not text")]
    InvalidId,
    /// The reply's type, its second element, is unknown.
    #[error("the reply's word is unknown")]
    UnknownReply,
    /// The number of pages in a first page is missing, malformed, 0 or over the limit.
    #[error("a first page has no usable number of pages")]
    InvalidPageCount,
    /// The number of a later page is missing or malformed.
    #[error("a page has no number")]
    MissingPageNumber,
    /// The number of a later page is not below the number of pages.
    #[error("page {number} of {pages}")]
    PageOutOfRange {
        /// The page's number, from 0.
        number: usize,
        /// The number of pages in the first page.
        pages: usize,
    },
    /// The rows of a page can't be read.
    #[error("a page can't be read: {0}")]
    MalformedPage(#[from] RowsError),
    /// All pages together are too long.
    #[error("a result of more than {limit} bytes is too long")]
    ResultTooLong {
        /// The limit in bytes.
        limit: usize,
    },
}
