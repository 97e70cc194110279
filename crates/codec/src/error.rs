//! The error of decoders.

use thiserror::Error;

/// Why bytes could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end within a field.
    #[error("the datagram ends within a field")]
    Truncated,
    /// A field has a code without a meaning in this version.
    #[error("{field} has no code {code}")]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// The code.
        code: u8,
    },
    /// A floating point field has a NaN or an infinity.
    #[error("a number is not finite")]
    NotFinite,
    /// An embedded message of another package is malformed.
    #[error("the embedded {0} is malformed")]
    Embedded(&'static str),
}
