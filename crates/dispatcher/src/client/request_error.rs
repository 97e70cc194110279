//! Errors for which a request is refused. Their statuses and texts are part of the client protocol.

use super::protocol::{RequestField, Status, TRY_LATER, UNKNOWN};

/// Why a request is refused. The text is the `error` in the JSON body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RequestError {
    /// The dispatcher has no capacity for the request; the client may retry later.
    #[error("{TRY_LATER}")]
    Overloaded,
    /// The path is unknown, or neither the path nor the statement's analysis names a resource group.
    #[error("{UNKNOWN}")]
    Unknown,
    /// The request did not arrive completely in time.
    #[error("the request did not become whole")]
    Incomplete,
    /// The head exceeds its maximum size.
    #[error("the head is too long")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("the head is not text")]
    HeadNotText,
    /// The request line is not a method, a path and a version.
    #[error("the request line is not three words")]
    MalformedRequestLine,
    /// The request line's method or path is malformed.
    #[error("the request line has no method or path")]
    MissingMethodOrPath,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("the version is not HTTP/1.1")]
    UnsupportedVersion,
    /// A header field has no colon.
    #[error("a field has no colon")]
    MissingColon,
    /// The name of a header field is malformed.
    #[error("a field's name is not a word")]
    MalformedFieldName,
    /// The value of a header field has control characters.
    #[error("a field's value is not text")]
    MalformedFieldValue,
    /// The head has too many fields.
    #[error("there are too many fields")]
    TooManyFields,
    /// A field of the protocol appears twice.
    #[error("a field is told twice")]
    DuplicateField,
    /// `Content-Length` is not a decimal number.
    #[error("Content-Length")]
    MalformedContentLength,
    /// `Content-Length` appears twice.
    #[error("Content-Length is told twice")]
    DuplicateContentLength,
    /// Transfer codings are not supported.
    #[error("Transfer-Encoding is not taken")]
    UnsupportedTransferEncoding,
    /// The body exceeds its maximum size.
    #[error("the statement is too long")]
    StatementTooLong,
    /// The statement is empty, not UTF-8 or has a NUL character.
    #[error("the statement is not text")]
    StatementNotText,
    /// A field of the protocol is missing, malformed or outside the limits.
    #[error("{}", .0.as_str())]
    InvalidField(RequestField),
    /// The path names an unknown resource group.
    #[error("unknown resource group")]
    UnknownResourceGroup,
    /// The request names an unknown tenant.
    #[error("unknown customer")]
    UnknownTenant,
    /// A query with the same id is in flight.
    #[error("a query with this Req-Id is in hand")]
    InFlight,
    /// A query with the same id was submitted to an engine before.
    #[error("a query with this Req-Id was taken before")]
    AlreadySubmitted,
}

impl RequestError {
    /// The status of the response.
    pub const fn status(self) -> Status {
        match self {
            RequestError::Overloaded => Status::ServiceUnavailable,
            RequestError::Unknown | RequestError::UnknownResourceGroup => Status::NotFound,
            RequestError::Incomplete => Status::RequestTimeout,
            RequestError::HeadTooLong | RequestError::TooManyFields => Status::HeaderFieldsTooLarge,
            RequestError::UnsupportedVersion => Status::VersionNotSupported,
            RequestError::UnsupportedTransferEncoding => Status::NotImplemented,
            RequestError::StatementTooLong => Status::ContentTooLarge,
            RequestError::UnknownTenant => Status::Forbidden,
            RequestError::InFlight | RequestError::AlreadySubmitted => Status::Conflict,
            RequestError::HeadNotText
            | RequestError::MalformedRequestLine
            | RequestError::MissingMethodOrPath
            | RequestError::MissingColon
            | RequestError::MalformedFieldName
            | RequestError::MalformedFieldValue
            | RequestError::DuplicateField
            | RequestError::MalformedContentLength
            | RequestError::DuplicateContentLength
            | RequestError::StatementNotText
            | RequestError::InvalidField(_) => Status::BadRequest,
        }
    }
}
