//! Transitions of a connection's state, from its connect to its close.

use super::{Attempt, CloseReason, Connection, ConnectionState, IdleReuse};
use crate::ids::AttemptId;
use std::rc::Rc;

/// What was in flight on a connection when it closed.
pub struct ClosedConnection {
    /// Whether the connection was up.
    pub was_up: bool,
    /// Attempts in flight with their query ids, ordered by query number.
    pub attempts: Vec<(Rc<str>, Attempt)>,
    /// Attempts that ended before the close and whose last command was not written completely.
    pub unwritten_last_commands: Vec<AttemptId>,
    /// Number of health checks in flight.
    pub health_checks: usize,
}

impl Connection {
    /// Records that the connect timed out. Drops the queued health checks and returns their number.
    pub fn on_connect_timeout(&mut self) -> usize {
        self.state = ConnectionState::ConnectTimedOut;
        let dropped = std::mem::take(&mut self.health_checks).len();
        self.outbox.discard_commands();
        dropped
    }

    /// Records that the connect succeeded. If nothing is in flight, the connection is idle from now on and counts as
    /// unused.
    pub fn on_connected(&mut self, now_ms: f64) {
        self.state = ConnectionState::Up;
        self.last_used_ms = now_ms;
        if self.in_flight() == 0 {
            self.unused = true;
            self.idle_reuse = None;
        }
    }

    /// Retires the connection: it accepts no new attempts, and closes once nothing is in flight.
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
        let unwritten_last_commands = self
            .unwritten_last_commands
            .drain(..)
            .map(|command| command.attempt);
        ClosedConnection {
            was_up,
            unwritten_last_commands: unwritten_last_commands.collect(),
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

    /// Takes the last reuse after idling if no frame has arrived within `max_silence_ms` of it and an attempt
    /// or health check is in flight.
    pub fn take_silent_reuse(&mut self, now_ms: f64, max_silence_ms: f64) -> Option<IdleReuse> {
        let is_busy = self.in_flight() > 0;
        self.idle_reuse
            .take_if(|reuse| is_busy && now_ms - reuse.sent_ms > max_silence_ms)
    }

    /// Schedules a reachability check of the engine over another connection. The check is skipped if this
    /// connection is no longer silent at `at_ms`.
    pub fn schedule_reachability_check(&mut self, at_ms: f64) {
        self.reachability_check_at_ms = at_ms;
    }

    /// Whether the connection has been silent since its reuse after idling and has an attempt or health check
    /// in flight.
    pub fn is_silent_since_reuse(&self) -> bool {
        self.idle_reuse.is_some() && self.in_flight() > 0
    }

    /// Time (ms) since the last frame, or since `since_ms` if that is later.
    pub fn silence_ms(&self, now_ms: f64, since_ms: f64) -> f64 {
        now_ms - self.last_frame_ms.max(since_ms)
    }
}
