//! The phases of the program from start to end, and the times between them.
//!
//! Starting, Serving, Draining, Closing, Ended: docs/design/life-cycle.md has what may arrive in each, and what is done.
//! Nothing here does anything: the driver ([`crate::dispatcher`]) asks for the next phase and acts on it.

/// How long (ms) after SIGTERM new connections are still accepted. The platform sends new connections for 0.4 s after
/// the signal, and requests on open ones for 0.2 s more.
pub const ACCEPT_AFTER_SIGTERM_MS: f64 = 700.0;
/// How long (ms) connections that have their answer may take to close, after the time by which all is answered.
const FINAL_LINGER_MS: f64 = 250.0;
/// Longest time (ms) that queries in flight are waited for after SIGTERM. The platform waits for the longest deadline
/// of the settings, but no longer than this, before it kills the program.
const MAX_GRACE_MS: f64 = 3000.0;
/// All is answered this long (ms) before the platform's kill, so that the last answers are written out in time.
const LAST_WRITES_MS: f64 = 500.0;

/// How long (ms) after SIGTERM all is answered, from the longest deadline of the settings.
pub fn shutdown_grace_ms(max_deadline_ms: Option<f64>) -> f64 {
    max_deadline_ms.unwrap_or(MAX_GRACE_MS).min(MAX_GRACE_MS) + ACCEPT_AFTER_SIGTERM_MS
        - LAST_WRITES_MS
}

/// Where the program is between start and end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Sockets are bound, nothing is accepted yet.
    Starting,
    /// The ordinary state.
    Serving,
    /// SIGTERM came: the health path answers 503, and what still arrives is served.
    Draining {
        /// Time of the signal.
        since_ms: f64,
    },
    /// New connections are no longer accepted, and idle ones are half-closed. Queries in flight are completed, and each
    /// connection closes behind its last answer.
    Closing {
        /// Time of the signal.
        since_ms: f64,
    },
    /// Nothing is left to do.
    Ended,
}

/// What a change of phase depends on.
#[derive(Debug, Clone, Copy)]
pub struct PhaseInput {
    /// Now.
    pub now_ms: f64,
    /// How long after SIGTERM all is answered: [`shutdown_grace_ms`].
    pub shutdown_grace_ms: f64,
    /// No client is connected any more.
    pub all_clients_closed: bool,
}

impl Phase {
    /// Whether SIGTERM or SIGHUP still changes something.
    pub fn is_before_shutdown(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving)
    }

    /// Whether SIGTERM came and the end is not reached.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Phase::Draining { .. } | Phase::Closing { .. })
    }

    /// The phase that holds now. Only SIGTERM leads from Serving to Draining.
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
