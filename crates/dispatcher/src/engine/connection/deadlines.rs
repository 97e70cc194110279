//! Expiry of attempts, health checks and incomplete frames of one connection.

use super::{Attempt, CloseReason, Connection};
use std::rc::Rc;

/// An incomplete frame that receives no byte for this long (ms) counts as truncated. Twice the operators' connect
/// timeout.
const FRAME_STALL_MS: f64 = 500.0;

/// A retired connection unused for this long (ms) is closed without writing its outbox: its engine does not read. Twice
/// the operators' connect timeout.
const LAST_WRITE_MS: f64 = 500.0;

/// An engine that has not read the last command about an attempt for this long (ms) is not waited for: the connection takes
/// no other attempt, and closes as soon as none is in flight, which gives the attempt up as well. The operators' connect
/// timeout.
const LAST_COMMAND_TIMEOUT_MS: f64 = 250.0;

/// Health checks that timed out.
#[derive(Debug, Clone, Copy)]
pub struct ExpiredHealthChecks {
    /// How many.
    pub count: usize,
    /// Whether no frame has arrived on the connection since one of them was queued.
    pub connection_silent: bool,
}

impl Connection {
    /// The attempts that may no longer start and of whose requests no byte was written.
    pub fn too_late_to_begin(&self, now_ms: f64) -> impl Iterator<Item = Rc<str>> + '_ {
        let too_late = move |id: &Rc<str>| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|attempt| attempt.start_by_ms <= now_ms)
        };
        self.unstarted_requests().filter(too_late)
    }

    /// The attempts that are past their deadline, or past their start limit and not started.
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

    /// Moves all later deadlines of attempts forward to `deadline_ms`.
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

    /// Whether an incomplete frame has stalled. True once per frame.
    pub fn take_stalled_frame(&mut self, now_ms: f64) -> bool {
        let stalled = |since_ms: &mut f64| now_ms - *since_ms >= FRAME_STALL_MS;
        self.partial_frame_since_ms.take_if(stalled).is_some()
    }

    /// Closes the connection if the engine does not read the last command about an attempt and nothing else is in flight;
    /// retires it until then.
    pub fn expire_last_command(&mut self, now_ms: f64) {
        if self.last_command_due_ms() > now_ms {
            return;
        }
        self.retired = true;
        if self.in_flight() == 0 {
            self.close_reason = Some(CloseReason::EndNotRead);
        }
    }

    /// When the engine must have read the last command about an attempt (ms); infinity if none is unwritten, or if the
    /// connection closes, or is retired and waits for its attempts in flight.
    fn last_command_due_ms(&self) -> f64 {
        let is_waiting = self.close_reason.is_some() || self.retired && self.in_flight() > 0;
        match self.ending.front() {
            Some(ending) if !is_waiting => ending.queued_ms + LAST_COMMAND_TIMEOUT_MS,
            _ => f64::INFINITY,
        }
    }

    /// Whether it is time to check the engine over another connection. True once per reuse.
    pub fn take_due_reachability_check(&mut self, now_ms: f64) -> bool {
        if self.check_at_ms > now_ms {
            return false;
        }
        self.check_at_ms = f64::INFINITY;
        self.is_reused_in_silence()
    }

    /// Retires a connection that has idled for longer than `max_idle_ms`. Returns whether it is retired, by this call or
    /// before.
    pub fn retire_if_idle(&mut self, now_ms: f64, max_idle_ms: f64) -> bool {
        let is_idle = self.is_up() && self.in_flight() == 0;
        let unused_ms = now_ms - self.last_used_ms;
        self.retired |= is_idle && unused_ms > max_idle_ms;
        // The abort of its last attempt is still written, if the engine reads it.
        if self.retired && self.in_flight() == 0 && unused_ms >= LAST_WRITE_MS {
            self.outbox.clear();
        }
        self.retired
    }

    /// Records whether the received bytes end within a frame.
    pub fn set_partial_frame(&mut self, is_partial: bool, now_ms: f64) {
        self.partial_frame_since_ms = is_partial.then_some(now_ms);
    }

    /// When something expires next (ms); infinity if nothing does.
    pub fn next_deadline_ms(&self, now_ms: f64) -> f64 {
        let attempts = self
            .attempts
            .values()
            .map(|attempt: &Attempt| attempt.next_deadline_ms(now_ms));
        let health_checks = self.health_checks.iter().map(|check| check.deadline_ms);
        let frame = self
            .partial_frame_since_ms
            .map(|since_ms| since_ms + FRAME_STALL_MS);
        attempts
            .chain(health_checks)
            .chain(frame)
            .chain([self.last_command_due_ms()])
            .fold(self.check_at_ms, f64::min)
    }
}
