//! The phases of the program from start to end, and their durations.
//!
//! Starting, Serving, Draining, Closing, Ended: docs/design/life-cycle.md lists the events of each phase. This module
//! only computes phases; the driver ([`crate::dispatcher`]) acts on them.

/// Time (ms) after SIGTERM for which new connections are still accepted. The platform sends new connections for 0.4 s
/// after the signal, and requests on open ones for 0.2 s more.
pub const ACCEPT_AFTER_SIGTERM_MS: f64 = 700.0;
/// Time (ms) for which connections may still be open after the time by which all queries are answered.
const FINAL_LINGER_MS: f64 = 250.0;
/// Maximum (ms) by which the longest deadline prolongs the grace period after SIGTERM. Before the platform kills the
/// program, it waits for the longest deadline in the settings, but no longer than this.
const MAX_DEADLINE_GRACE_MS: f64 = 3000.0;
/// Time (ms) before the platform's kill by which all queries are answered, so that the last answers are written in
/// time.
const LAST_WRITES_MS: f64 = 500.0;

/// Returns the time (ms) after SIGTERM by which all queries are answered. `max_deadline_ms` is the longest deadline
/// in the settings.
pub fn shutdown_grace_ms(max_deadline_ms: Option<f64>) -> f64 {
    max_deadline_ms
        .unwrap_or(MAX_DEADLINE_GRACE_MS)
        .min(MAX_DEADLINE_GRACE_MS)
        + ACCEPT_AFTER_SIGTERM_MS
        - LAST_WRITES_MS
}

/// A phase of the program.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Sockets are bound, and no connection is accepted yet.
    Starting,
    /// Connections and queries are accepted.
    Serving,
    /// After SIGTERM: the health path answers 503, and requests are still served.
    Draining {
        /// Time of the signal (ms).
        since_ms: f64,
    },
    /// New connections are no longer accepted, and idle ones are half-closed. Queries in flight are completed, and
    /// each connection closes after its last answer.
    Closing {
        /// Time of the signal (ms).
        since_ms: f64,
    },
    /// The program may end.
    Ended,
}

/// The input of [`Phase::next`].
#[derive(Debug, Clone, Copy)]
pub struct PhaseInput {
    /// The current time (ms).
    pub now_ms: f64,
    /// Time (ms) after SIGTERM by which all queries are answered: [`shutdown_grace_ms`].
    pub shutdown_grace_ms: f64,
    /// Whether all clients' connections are closed.
    pub all_clients_closed: bool,
}

impl Phase {
    /// Whether no SIGTERM has been received. SIGTERM and SIGHUP have an effect only in these phases.
    pub fn is_before_shutdown(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving)
    }

    /// Whether the program is between SIGTERM and its end.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Phase::Draining { .. } | Phase::Closing { .. })
    }

    /// Returns the next phase, or the current one if no change is due. Serving changes to Draining only at SIGTERM,
    /// by the driver.
    pub fn next(self, input: PhaseInput) -> Phase {
        match self {
            Phase::Starting => Phase::Serving,
            Phase::Draining { since_ms } if input.now_ms >= since_ms + ACCEPT_AFTER_SIGTERM_MS => {
                Phase::Closing { since_ms }
            }
            Phase::Closing { since_ms } => {
                let end_ms = since_ms + input.shutdown_grace_ms + FINAL_LINGER_MS;
                if input.all_clients_closed || input.now_ms >= end_ms {
                    Phase::Ended
                } else {
                    self
                }
            }
            phase => phase,
        }
    }
}
