//! What of a connection runs out of time.

use super::{Attempt, Connection};
use std::rc::Rc;

/// A frame of which no further byte came for this long (ms) never becomes whole: twice the connect timeout that the
/// operators' pages name.
pub const FRAME_STALL_MS: f64 = 500.0;

/// Health checks whose time was up.
#[derive(Debug, Clone, Copy)]
pub struct ExpiredHealthChecks {
    /// How many.
    pub count: usize,
    /// Nothing at all came on the connection since one of them went out.
    pub connection_silent: bool,
}

impl Connection {
    /// The attempts that may not begin any more and of whose requests nothing was written yet.
    pub fn too_late_to_begin(&self, now_ms: f64) -> impl Iterator<Item = Rc<str>> + '_ {
        let too_late = move |id: &Rc<str>| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|attempt| attempt.start_by_ms <= now_ms)
        };
        self.unstarted_requests().filter(too_late)
    }

    /// The attempts whose time is up, whether they have begun or not.
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

    /// Cuts the time of all attempts to `deadline_ms`.
    pub fn limit_deadlines(&mut self, deadline_ms: f64) {
        for attempt in self.attempts.values_mut() {
            attempt.deadline_ms = attempt.deadline_ms.min(deadline_ms);
        }
    }

    /// Drops the health checks whose time is up.
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

    /// Whether a frame has begun to come and then stopped. Says so once.
    pub fn take_stalled_frame(&mut self, now_ms: f64) -> bool {
        let stalled = |since_ms: &mut f64| now_ms - *since_ms >= FRAME_STALL_MS;
        self.partial_frame_since_ms.take_if(stalled).is_some()
    }

    /// Whether the engine is to be checked now over another connection. Says so once.
    pub fn take_due_reachability_check(&mut self, now_ms: f64) -> bool {
        if self.check_at_ms > now_ms {
            return false;
        }
        self.check_at_ms = f64::INFINITY;
        self.is_reused_in_silence()
    }

    /// Whether something is out that went out after an idle time, and nothing came since.
    pub fn is_reused_in_silence(&self) -> bool {
        self.idle_reuse.is_some() && self.in_flight() > 0
    }

    /// When something runs out of time next; infinity if nothing does.
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
            .fold(self.check_at_ms, f64::min)
    }
}
