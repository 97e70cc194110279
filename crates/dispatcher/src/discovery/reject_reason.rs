//! The reasons for which an answer of the name service is not believed.

use thiserror::Error;

/// Why an answer of the name service is not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// There is no SOA record, so that nothing says how old the list is.
    #[error("no serial")]
    MissingSerial,
    /// More SRV records than there can be engines.
    #[error("too many endpoints")]
    TooManyEndpoints,
    /// More events seem to have passed since the known list than the engines can have caused.
    #[error("serial leaps ahead")]
    SerialLeapsAhead,
    /// The list is older than the known one.
    #[error("serial goes back")]
    SerialGoesBack,
    /// The serial is the known one, and the records are not.
    #[error("different records under the same serial")]
    RecordsDiffer,
}
