//! Transitions of a connection's state, from its connect to its close.

use super::{Attempt, CloseReason, Connection, ConnectionState, IdleReuse};
use crate::ids::AttemptId;
use std::rc::Rc;

/// The content of a connection at its end.
pub struct ClosedConnection {
    /// Whether the connection was up.
    pub was_up: bool,
    /// The attempts in flight with their ids, in the order of their queries' numbers.
    pub attempts: Vec<(Rc<str>, Attempt)>,
    /// Attempts that have ended here, and whose last command was not written.
    pub ending: Vec<AttemptId>,
    /// Number of health checks in flight.
    pub health_checks: usize,
}

impl Connection {
    /// Records that the connect timed out. Drops the health checks queued here and returns their number.
    pub fn on_connect_timeout(&mut self) -> usize {
        self.state = ConnectionState::Late;
        let dropped = std::mem::take(&mut self.health_checks).len();
        self.outbox.discard_commands();
        dropped
    }

    /// Records that the connect succeeded. If nothing is queued here any more, the connection idles from now on and
    /// counts as unused.
    pub fn on_connected(&mut self, now_ms: f64) {
        self.state = ConnectionState::Up;
        self.last_used_ms = now_ms;
        if self.in_flight() == 0 {
            self.unused = true;
            self.idle_reuse = None;
        }
    }

    /// Retires the connection: it accepts nothing new, and closes when nothing is in flight.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Closes the connection immediately, even with attempts in flight.
    pub fn close(&mut self, reason: CloseReason) {
        self.close_reason = Some(reason);
    }

    /// Records that the connection is closed, and takes its attempts and health checks in flight.
    pub fn on_closed(&mut self) -> ClosedConnection {
        let was_up = self.is_up();
        self.state = ConnectionState::Closed;
        let mut attempts: Vec<(Rc<str>, Attempt)> = self.attempts.drain().collect();
        attempts.sort_by_key(|(_, attempt)| attempt.query_id);
        let health_checks = std::mem::take(&mut self.health_checks).len();
        let ending = self.ending.drain(..).map(|ending| ending.attempt);
        ClosedConnection {
            was_up,
            ending: ending.collect(),
            attempts,
            health_checks,
        }
    }

    // ---- Reuse after idling ----

    /// The last reuse after idling, unless a frame has arrived since.
    pub fn idle_reuse(&self) -> Option<IdleReuse> {
        self.idle_reuse
    }

    /// Takes the last reuse after idling, unless a frame has arrived since.
    pub fn take_idle_reuse(&mut self) -> Option<IdleReuse> {
        self.idle_reuse.take()
    }

    /// Takes the last reuse after idling if something is in flight and no frame has arrived for longer than
    /// `max_silence_ms` since then.
    pub fn take_silent_reuse(&mut self, now_ms: f64, max_silence_ms: f64) -> Option<IdleReuse> {
        let is_busy = self.in_flight() > 0;
        self.idle_reuse
            .take_if(|reuse| is_busy && now_ms - reuse.sent_ms > max_silence_ms)
    }

    /// Schedules a check of the engine over another connection, in case this one is still silent then.
    pub fn check_engine_at(&mut self, at_ms: f64) {
        self.check_at_ms = at_ms;
    }

    /// Whether it was reused after idling, has something in flight and has been silent since.
    pub fn is_reused_in_silence(&self) -> bool {
        self.idle_reuse.is_some() && self.in_flight() > 0
    }

    /// How long (ms) no frame has arrived, counted from `since_ms` at the earliest.
    pub fn silence_ms(&self, now_ms: f64, since_ms: f64) -> f64 {
        now_ms - self.last_frame_ms.max(since_ms)
    }
}
