//! Requests for the endpoint list, for platforms that send it on request.

/// Time after which a request without a reply is repeated (ms).
const RETRY_INTERVAL_MS: f64 = 1000.0;

/// Whether the endpoint list has to be requested, and when it was last requested.
#[derive(Debug, Default)]
pub(crate) struct EndpointListRequest {
    is_wanted: bool,
    /// When the list was last requested, or last could not be obtained (ms).
    requested_ms: f64,
}

impl EndpointListRequest {
    /// The state before the first request. A request is due at once if the list is sent on request only.
    pub(crate) fn new(is_sent_on_request: bool) -> Self {
        EndpointListRequest {
            is_wanted: is_sent_on_request,
            requested_ms: 0.0,
        }
    }

    /// Whether a list is needed and has not arrived yet.
    pub(crate) fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Records that the list could not be obtained. It is requested again after [`RETRY_INTERVAL_MS`].
    pub(crate) fn record_failure(&mut self, now_ms: f64) {
        self.is_wanted = true;
        self.requested_ms = now_ms;
    }

    /// Records that a current list arrived.
    pub(crate) fn record_success(&mut self) {
        self.is_wanted = false;
    }

    /// Returns whether a request is due, and if so records that it is sent now.
    pub(crate) fn begin_if_due(&mut self, now_ms: f64) -> bool {
        let is_due = self.is_wanted && now_ms - self.requested_ms > RETRY_INTERVAL_MS;
        if is_due {
            self.requested_ms = now_ms;
        }
        is_due
    }
}
