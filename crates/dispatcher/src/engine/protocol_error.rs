//! Violations of the engine protocol.

use super::rows::RowsError;
use thiserror::Error;

/// A violation of the engine protocol. No further bytes of the connection can be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The frame does not start with `*`, or an element does not start with `$`.
    #[error("not an array of bulk strings: expected {expected:?}, found {found:?}")]
    UnexpectedType {
        /// Type byte that the protocol requires at this position.
        expected: char,
        /// Received byte, as a character.
        found: char,
    },
    /// The type byte is not followed by a decimal number and CRLF.
    #[error("malformed RESP length: expected a decimal number and CRLF")]
    MalformedLength,
    /// The number after a type byte has too many digits.
    #[error("RESP length too long: {digits} digits")]
    LengthTooLong {
        /// Number of digits received.
        digits: usize,
    },
    /// An array has too many elements.
    #[error("RESP array too long: {count} elements")]
    TooManyElements {
        /// Announced number of elements.
        count: usize,
    },
    /// An element is too long.
    #[error("RESP bulk string too long: {length} bytes")]
    ElementTooLong {
        /// Announced length in bytes.
        length: usize,
    },
    /// A bulk string is not followed by CRLF.
    #[error("RESP bulk string not followed by CRLF")]
    MissingTerminator,
    /// The rest of a frame did not arrive in time.
    #[error("reply truncated: the rest did not arrive in time")]
    StalledFrame,
    /// The first element, the id of a query or the tag of a health check, is not UTF-8.
    #[error("reply id is not UTF-8")]
    InvalidId,
    /// The reply's type, its second element, is unknown.
    #[error("unknown reply type")]
    UnknownReply,
    /// The number of pages in a first page is missing, malformed, 0 or over the limit.
    #[error("first page without a valid number of pages")]
    InvalidPageCount,
    /// The number of a page other than the first is missing or malformed.
    #[error("page without a valid page number")]
    MissingPageNumber,
    /// The number of a page other than the first is not below the number of pages.
    #[error("page number {number} out of range: the result has {pages} pages")]
    PageOutOfRange {
        /// Number of the page, from 0.
        number: usize,
        /// Number of pages that the first page announced; 0 if it has not arrived.
        pages: usize,
    },
    /// The rows of a page are malformed.
    #[error("malformed page: {0}")]
    MalformedPage(#[from] RowsError),
    /// The rows of all pages together are too long.
    #[error("result too long: more than {limit} bytes")]
    ResultTooLong {
        /// Maximum length in bytes.
        limit: usize,
    },
}
