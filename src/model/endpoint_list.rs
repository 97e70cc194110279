//! Requests for the endpoint list, where it is sent on request.

/// Time after which a request that brought no list is repeated (ms).
const RETRY_INTERVAL_MS: f64 = 1000.0;

/// Whether the endpoint list has to be requested, and when it last was.
#[derive(Debug, Default)]
pub(crate) struct EndpointListRequest {
    is_wanted: bool,
    requested_ms: f64,
}

impl EndpointListRequest {
    /// No request yet; one is wanted at once where the list is sent on request only.
    pub(crate) fn new(is_sent_on_request: bool) -> Self {
        EndpointListRequest {
            is_wanted: is_sent_on_request,
            requested_ms: 0.0,
        }
    }

    /// Whether a list is wanted and has not arrived.
    pub(crate) fn is_wanted(&self) -> bool {
        self.is_wanted
    }

    /// Records that the list could not be obtained now: it is requested again later.
    pub(crate) fn record_failure(&mut self, now_ms: f64) {
        self.is_wanted = true;
        self.requested_ms = now_ms;
    }

    /// Records that a current list arrived.
    pub(crate) fn record_success(&mut self) {
        self.is_wanted = false;
    }

    /// Whether to send a request now. Records that it is sent.
    pub(crate) fn begin_if_due(&mut self, now_ms: f64) -> bool {
        let is_due = self.is_wanted && now_ms - self.requested_ms > RETRY_INTERVAL_MS;
        if is_due {
            self.requested_ms = now_ms;
        }
        is_due
    }
}
