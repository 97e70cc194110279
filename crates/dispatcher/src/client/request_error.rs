//! Refusals of requests, with the status and the text that their clients get.

use crate::query_registry::AdmissionError;

/// A refused request. Status and message go to the client as they are: both are part of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{status} {message}")]
pub struct RequestError {
    /// The HTTP status.
    pub status: u16,
    /// The error's text in the JSON body.
    pub message: &'static str,
}

impl RequestError {
    /// There is no room for the request at the moment; the client may come back.
    pub const TRY_LATER: RequestError = RequestError::new(503, "TryLater");
    /// No such path, or a statement that no resource group takes.
    pub const UNKNOWN: RequestError = RequestError::new(404, "Unknown");
    /// The request was not complete in its time.
    pub const INCOMPLETE: RequestError = RequestError::new(408, "the request did not become whole");

    /// An error with this status and message.
    pub const fn new(status: u16, message: &'static str) -> Self {
        RequestError { status, message }
    }
}

impl From<AdmissionError> for RequestError {
    fn from(error: AdmissionError) -> Self {
        match error {
            AdmissionError::InFlight => {
                RequestError::new(409, "a query with this Req-Id is in hand")
            }
            AdmissionError::AlreadySubmitted => {
                RequestError::new(409, "a query with this Req-Id was taken before")
            }
            AdmissionError::Overloaded => RequestError::TRY_LATER,
        }
    }
}
