//! The reasons for rejecting an update of the endpoint list.

use thiserror::Error;

/// Why an update of the endpoint list was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The answer has no SOA record, so its age is unknown.
    #[error("no serial")]
    MissingSerial,
    /// The answer has more SRV records than there can be engines.
    #[error("too many endpoints")]
    TooManyEndpoints,
    /// The serial is ahead of the accepted list by more changes than the engines can have caused.
    #[error("serial leaps ahead")]
    SerialLeapsAhead,
    /// The serial is older than that of the accepted list.
    #[error("serial goes back")]
    SerialGoesBack,
    /// The serial is that of the accepted list, but the records differ.
    #[error("different records under the same serial")]
    RecordsDiffer,
}
