//! The reasons for rejecting an update of the endpoint list.

use thiserror::Error;

/// The reasons for rejecting an answer as an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The answer has no SOA record, so its age is unknown.
    #[error("answer has no SOA record")]
    MissingSerial,
    /// The answer has more SRV records than the maximum size of a list.
    #[error("too many endpoints")]
    TooManyEndpoints,
    /// The serial is ahead of the accepted list by more changes than the engines plausibly caused.
    #[error("serial is implausibly far ahead")]
    SerialTooFarAhead,
    /// The serial is older than that of the accepted list.
    #[error("serial is older than that of the accepted list")]
    SerialOlder,
    /// The serial is that of the accepted list, but the records differ.
    #[error("records differ under the same serial")]
    RecordsDiffer,
}
