//! The parts of a connection's state.

use super::Attempt;
use crate::attempt_end::EndCause;
use crate::engine::protocol_error::ProtocolError;
use crate::ids::AttemptId;
use std::rc::Rc;
use thiserror::Error;

/// Life-cycle state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Connecting, within the connect timeout.
    Connecting,
    /// The connect timed out but continues. Nothing is queued here.
    Late,
    /// Connected.
    Up,
    /// Closed.
    Closed,
}

/// How suitable a connection is for another attempt, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// Idle for less than the trusted time.
    Proven,
    /// Never used.
    Fresh,
    /// Other attempts are in flight on it.
    Shared,
    /// Idle for longer than is trusted: the other end may have closed it.
    Stale,
}

/// Why this side closes a connection, even with attempts in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CloseReason {
    /// The engine violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// A request was withdrawn after some of its bytes were written. Closing keeps the engine from receiving the rest.
    #[error("a request was given up half written")]
    RequestPartlyWritten,
    /// The connection has been silent since it was reused after idling, while its engine accepts connections and other
    /// connections were lost in silence before.
    #[error("silent after idling, as others before")]
    ForgottenByEngine,
    /// The engine sent too many replies without effect.
    #[error("too many replies for nothing in flight")]
    Flood,
    /// The engine did not read the end of an attempt in time.
    #[error("the engine does not read the end of an attempt")]
    EndNotRead,
    /// The connection has been silent, and the engine accepts no other one.
    #[error("no other connection comes up")]
    EngineUnreachable,
}

/// A health check in flight. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct HealthCheck {
    /// The id that the reply repeats.
    pub tag: Rc<str>,
    /// When it was handed to the connection.
    pub sent_ms: f64,
    /// When it counts as failed.
    pub deadline_ms: f64,
}

/// An attempt that has ended on a connection, and whose last command is queued there.
#[derive(Debug)]
pub(super) struct EndingAttempt {
    pub attempt: AttemptId,
    /// When the command was queued (ms).
    pub queued_ms: f64,
}

/// The reuse of a connection after it had idled.
#[derive(Debug, Clone, Copy)]
pub struct IdleReuse {
    /// How long (ms) the connection had idled.
    pub idle_ms: f64,
    /// When the attempt was queued (ms).
    pub sent_ms: f64,
}

/// An attempt that this side abandoned.
#[derive(Debug)]
pub struct Abandoned {
    /// The attempt.
    pub attempt: Attempt,
    /// What ends it: [`EndCause::Aborted`] if its request was written completely.
    pub cause: EndCause,
}

impl Abandoned {
    /// Whether its request was written completely, so that it may have run.
    pub fn was_sent(&self) -> bool {
        self.cause == EndCause::Aborted
    }
}
