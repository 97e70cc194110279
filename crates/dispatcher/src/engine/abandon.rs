//! Abandons attempts: removes them from their connections and reports their outcomes.

use super::channel::Channel;
use super::connection::Abandoned;
use super::reports::Reporter;
use super::silence::{SilenceDetector, SilenceScope};
use crate::clock::Clock;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Returns the outcome of an attempt that was abandoned as `outcome` and provably never ran. It counts against
/// the engine only if no connection came up in time, or if the engine did not read from a connection that was
/// up. [`Outcome::NotSent`] stays: the query may not be sent any more.
fn unsent_outcome(outcome: Outcome, is_connection_up: bool) -> Outcome {
    match outcome {
        Outcome::NoConnection | Outcome::NotSent => outcome,
        Outcome::Timeout if is_connection_up => Outcome::NoConnection,
        _ => Outcome::Withdrawn,
    }
}

/// Abandons attempts.
pub(super) struct Abandoner {
    clock: Clock,
    /// Silence (ms) after which a connection with an attempt in flight may be lost.
    max_silence_ms: f64,
    reporter: Rc<Reporter>,
    silence_detector: Rc<SilenceDetector>,
}

impl Abandoner {
    /// Creates an abandoner. It reports the outcomes of attempts to `reporter`, and connections that may be lost to
    /// `silence_detector`.
    pub fn new(
        clock: Clock,
        max_silence_ms: f64,
        reporter: Rc<Reporter>,
        silence_detector: Rc<SilenceDetector>,
    ) -> Self {
        Abandoner {
            clock,
            max_silence_ms,
            reporter,
            silence_detector,
        }
    }

    /// Abandons an attempt and reports its outcome: `outcome` if the attempt may have run, otherwise
    /// [`unsent_outcome`].
    pub fn abandon(&self, channel: &Channel, id: &str, outcome: Outcome) {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        let Some(abandoned) = connection.abandon(id, now_ms) else {
            return;
        };
        let was_sent = abandoned.was_sent();
        let Abandoned { attempt, cause } = abandoned;
        // After a silence of more than `max_silence_ms` the connection may be lost, so later attempts use another one.
        let is_up = connection.is_up();
        let silent_ms = connection.silence_ms(now_ms, attempt.sent_ms);
        let may_be_lost = was_sent && silent_ms > self.max_silence_ms;
        let mut silent_reuse = None;
        if may_be_lost {
            connection.retire();
            silent_reuse = connection.take_idle_reuse();
        }
        drop(connection);
        channel.notify.notify();
        if let Some(reuse) = silent_reuse {
            self.silence_detector
                .on_silent_reuse(channel.engine_id, reuse);
        }
        if may_be_lost {
            self.silence_detector
                .retire_idle(channel.engine_id, SilenceScope::Engine);
        }
        let outcome = if was_sent {
            outcome
        } else {
            unsent_outcome(outcome, is_up)
        };
        self.reporter.report_lost(channel, &attempt, outcome, cause);
    }

    /// Withdraws the attempts whose requests have no byte written.
    pub fn withdraw_unstarted(&self, channel: &Channel) {
        let unstarted: Vec<Rc<str>> = channel.connection.borrow().unstarted_requests().collect();
        for id in &unstarted {
            self.abandon(channel, id, Outcome::Withdrawn);
        }
    }

    /// Abandons the attempts that are past their start limit and whose requests have no byte written.
    pub fn abandon_too_late(&self, channel: &Channel) {
        let now_ms = self.clock.now();
        let connection = channel.connection.borrow();
        let too_late: Vec<Rc<str>> = connection.too_late_to_begin(now_ms).collect();
        drop(connection);
        for id in &too_late {
            self.abandon(channel, id, Outcome::Timeout);
        }
    }

    /// Abandons the attempts that are past their deadline, or past their start limit without a byte written.
    pub fn abandon_expired(&self, channel: &Channel, now_ms: f64) {
        let expired = channel.connection.borrow().expired_attempts(now_ms);
        for id in &expired {
            self.abandon(channel, id, Outcome::Timeout);
        }
    }
}
