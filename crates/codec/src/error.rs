//! The error type of the decoders.

use thiserror::Error;

/// The reason why bytes could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end within a field.
    #[error("the datagram ends within a field")]
    Truncated,
    /// A field has a code that is not defined in this version.
    #[error("{field} has no code {code}")]
    UnknownCode {
        /// Name of the field.
        field: &'static str,
        /// The undefined code.
        code: u8,
    },
    /// A floating-point field is NaN or infinite.
    #[error("a floating-point field is not finite")]
    NotFinite,
    /// An embedded message of another package is malformed.
    #[error("the embedded {0} is malformed")]
    Embedded(&'static str),
}
