//! Expiry of attempts, health checks and incomplete frames of one connection.

use super::{Attempt, CloseReason, Connection};
use std::rc::Rc;

/// Time (ms) without a received byte after which an incomplete frame counts as truncated. Twice the connect
/// timeout that operators configure.
const PARTIAL_FRAME_TIMEOUT_MS: f64 = 500.0;

/// Time (ms) for which a retired connection with nothing in flight waits for its engine to read the outbox. After this
/// time the outbox is discarded and the connection closes. Twice the connect timeout that operators configure.
const RETIRED_FLUSH_TIMEOUT_MS: f64 = 500.0;

/// Time (ms) that an engine has to read the last command about an attempt. After this time the connection accepts no
/// attempts and closes once nothing is in flight; the close makes the engine abort the attempt. Equal to the connect
/// timeout that operators configure.
const LAST_COMMAND_TIMEOUT_MS: f64 = 250.0;

/// Health checks that timed out.
#[derive(Debug, Clone, Copy)]
pub struct ExpiredHealthChecks {
    /// Number of health checks that timed out.
    pub count: usize,
    /// Whether no frame has arrived on the connection since at least one of these checks was queued.
    pub connection_silent: bool,
}

impl Connection {
    /// Query ids of the attempts that are past their start limit and whose requests have no byte written.
    pub fn too_late_to_begin(&self, now_ms: f64) -> impl Iterator<Item = Rc<str>> + '_ {
        let too_late = move |id: &Rc<str>| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|attempt| attempt.start_by_ms <= now_ms)
        };
        self.unstarted_requests().filter(too_late)
    }

    /// Query ids of the attempts that are past their deadline, or past their start limit without a byte written.
    pub fn expired_attempts(&self, now_ms: f64) -> Vec<Rc<str>> {
        let mut expired = Vec::new();
        for (id, attempt) in &self.attempts {
            if attempt.deadline_ms <= now_ms {
                expired.push(id.clone());
            }
        }
        expired.extend(self.too_late_to_begin(now_ms));
        expired
    }

    /// Lowers the deadlines of all attempts to at most `deadline_ms`.
    pub fn limit_deadlines(&mut self, deadline_ms: f64) {
        for attempt in self.attempts.values_mut() {
            attempt.deadline_ms = attempt.deadline_ms.min(deadline_ms);
        }
    }

    /// Drops the health checks that timed out.
    pub fn expire_health_checks(&mut self, now_ms: f64) -> ExpiredHealthChecks {
        let last_frame_ms = self.last_frame_ms;
        let before = self.health_checks.len();
        let mut connection_silent = false;
        self.health_checks.retain(|check| {
            let expired = check.deadline_ms <= now_ms;
            connection_silent |= expired && last_frame_ms <= check.sent_ms;
            !expired
        });
        ExpiredHealthChecks {
            count: before - self.health_checks.len(),
            connection_silent,
        }
    }

    /// Returns whether an incomplete frame has timed out; true once per frame.
    pub fn take_frame_timeout(&mut self, now_ms: f64) -> bool {
        let timed_out = |since_ms: &mut f64| now_ms - *since_ms >= PARTIAL_FRAME_TIMEOUT_MS;
        self.partial_frame_since_ms.take_if(timed_out).is_some()
    }

    /// Retires the connection if its engine has not read the last command about an attempt in time, and closes it once
    /// nothing is in flight.
    pub fn enforce_last_command_timeout(&mut self, now_ms: f64) {
        if self.last_command_due_ms() > now_ms {
            return;
        }
        self.retired = true;
        if self.in_flight() == 0 {
            self.close_reason = Some(CloseReason::LastCommandNotRead);
        }
    }

    /// Time by which the engine must have read the oldest unwritten last command (ms). Infinity if there is no such
    /// command, if the connection is about to close, or if it is retired and has attempts or health checks in flight.
    fn last_command_due_ms(&self) -> f64 {
        let is_already_closing =
            self.close_reason.is_some() || self.retired && self.in_flight() > 0;
        match self.unwritten_last_commands.front() {
            Some(command) if !is_already_closing => command.queued_ms + LAST_COMMAND_TIMEOUT_MS,
            _ => f64::INFINITY,
        }
    }

    /// Returns whether the scheduled reachability check is due and the connection is still silent; true at most
    /// once per scheduled check.
    pub fn take_due_reachability_check(&mut self, now_ms: f64) -> bool {
        if self.reachability_check_at_ms > now_ms {
            return false;
        }
        self.reachability_check_at_ms = f64::INFINITY;
        self.is_silent_since_reuse()
    }

    /// Retires the connection if it has idled for longer than `max_idle_ms`. Returns whether it is retired, by
    /// this call or an earlier one.
    pub fn retire_if_idle(&mut self, now_ms: f64, max_idle_ms: f64) -> bool {
        let is_idle = self.is_up() && self.in_flight() == 0;
        let since_last_use_ms = now_ms - self.last_used_ms;
        self.retired |= is_idle && since_last_use_ms > max_idle_ms;
        // Until this timeout, a queued abort of the last attempt can still be written.
        if self.retired && self.in_flight() == 0 && since_last_use_ms >= RETIRED_FLUSH_TIMEOUT_MS {
            self.outbox.clear();
        }
        self.retired
    }

    /// Records whether the received bytes end within a frame.
    pub fn set_partial_frame(&mut self, is_partial: bool, now_ms: f64) {
        self.partial_frame_since_ms = is_partial.then_some(now_ms);
    }

    /// Time of the next expiry on this connection (ms), not counting the timeouts of an idle or retired connection;
    /// infinity if there is none.
    pub fn next_deadline_ms(&self, now_ms: f64) -> f64 {
        let attempts = self
            .attempts
            .values()
            .map(|attempt: &Attempt| attempt.next_deadline_ms(now_ms));
        let health_checks = self.health_checks.iter().map(|check| check.deadline_ms);
        let frame = self
            .partial_frame_since_ms
            .map(|since_ms| since_ms + PARTIAL_FRAME_TIMEOUT_MS);
        attempts
            .chain(health_checks)
            .chain(frame)
            .chain([self.last_command_due_ms()])
            .fold(self.reachability_check_at_ms, f64::min)
    }
}
