//! Types that describe the state of a connection.

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
    /// The connect timeout has passed, and the connect continues. The connection accepts no attempts.
    ConnectTimedOut,
    /// Connected.
    Up,
    /// Closed.
    Closed,
}

/// Suitability of a connection for another attempt, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// Idle for less than the trusted time.
    RecentlyUsed,
    /// Has not carried any attempt or health check.
    Unused,
    /// Other attempts are in flight on it.
    Shared,
    /// Idle for at least the trusted time: the engine may have closed or forgotten it.
    Stale,
}

/// Why the dispatcher closes a connection, even with attempts in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CloseReason {
    /// The engine violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// A request was withdrawn after some of its bytes were written. The close prevents the engine from receiving the
    /// rest.
    #[error("request withdrawn after a partial write")]
    RequestPartlyWritten,
    /// The connection has been silent since its reuse after idling, while the engine accepts other connections.
    /// Earlier connections that were reused after idling were lost in the same way.
    #[error("connection silent since its reuse after idling, like earlier connections")]
    SilentAfterReuse,
    /// The engine sent too many replies that were ignored.
    #[error("too many ignored replies")]
    Flood,
    /// The engine did not read the last command about an attempt in time.
    #[error("engine did not read the last command about an attempt in time")]
    LastCommandNotRead,
    /// The connection has been silent, and new connections to the engine did not come up.
    #[error("connection silent and new connections to the engine did not come up")]
    EngineUnreachable,
}

/// A health check in flight. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct HealthCheck {
    /// Id that the reply repeats.
    pub tag: Rc<str>,
    /// Time at which the health check was queued on the connection.
    pub sent_ms: f64,
    /// Time at which the health check counts as failed.
    pub deadline_ms: f64,
}

/// The last command about an ended attempt, until it is written: an abort or the release of the result.
#[derive(Debug)]
pub(super) struct UnwrittenLastCommand {
    pub attempt: AttemptId,
    /// Time at which the command was queued (ms).
    pub queued_ms: f64,
}

/// Reuse of a connection after an idle time.
#[derive(Debug, Clone, Copy)]
pub struct IdleReuse {
    /// Idle time before the reuse (ms).
    pub idle_ms: f64,
    /// Time at which the attempt was queued (ms).
    pub sent_ms: f64,
}

/// An attempt that the dispatcher abandoned.
#[derive(Debug)]
pub struct Abandoned {
    /// The attempt.
    pub attempt: Attempt,
    /// Why it ended: [`EndCause::Aborted`] if its request was written completely.
    pub cause: EndCause,
}

impl Abandoned {
    /// Whether its request was written completely, so that it may have run.
    pub fn was_sent(&self) -> bool {
        self.cause == EndCause::Aborted
    }
}
