//! Reports the ends of attempts to the decisions, and abandons attempts.

use super::channel::Channel;
use super::connection::{Abandoned, ConnectionState};
use super::health::SilenceScope;
use super::pool::EnginePool;
use crate::query_registry::{AttemptKey, Event, Pages};
use crate::trace::TraceEvent;
use tansymux::events::Outcome;

/// Delay (ms) before the end of an abandoned attempt is reported. Its query may then be retried on another
/// connection, and a busy engine reads its connections in any order: without the delay the retry could overtake the
/// abort. The protocol allows for 50 ms.
const SETTLE_MS: f64 = 40.0;

/// The end of an attempt.
pub(super) struct AttemptReport {
    pub query_id: u64,
    pub attempt: usize,
    pub outcome: Outcome,
    pub engine_id: u64,
    /// Time since the attempt was handed to its connection.
    pub latency_ms: f64,
    pub pages: Pages,
}

/// The end of an abandoned attempt, to be reported at `due_ms`.
pub(super) struct SettlingReport {
    due_ms: f64,
    event: Event,
}

impl From<AttemptReport> for Event {
    fn from(report: AttemptReport) -> Event {
        Event::AttemptEnded {
            query_id: report.query_id,
            attempt: report.attempt,
            outcome: report.outcome,
            engine_id: report.engine_id,
            latency_ms: report.latency_ms,
            pages: report.pages,
        }
    }
}

/// The outcome of an attempt that provably never ran and was given up as `outcome`. It counts against the engine only
/// where the engine kept it from going out: no connection came up in time, or an open one was not read.
fn unsent_outcome(outcome: Outcome, is_connection_up: bool) -> Outcome {
    match outcome {
        Outcome::NoConnection => Outcome::NoConnection,
        Outcome::Timeout if is_connection_up => Outcome::NoConnection,
        _ => Outcome::Withdrawn,
    }
}

impl EnginePool {
    /// Reports the end of an attempt immediately.
    pub(super) fn report_ended(&self, report: AttemptReport) {
        self.note_ended(&report);
        self.registry.push_event(report.into());
    }

    /// Counts and logs the end of an attempt.
    fn note_ended(&self, report: &AttemptReport) {
        self.registry.counters.count_outcome(report.outcome);
        let key = AttemptKey {
            query_id: report.query_id,
            attempt: report.attempt,
            engine_id: report.engine_id,
        };
        let event = TraceEvent::AttemptEnded(report.outcome);
        self.registry.trace_attempt(&key, event);
        tracing::debug!(
            query_id = report.query_id,
            attempt = report.attempt,
            engine_id = %format_args!("{:08x}", report.engine_id),
            outcome = ?report.outcome,
            latency_ms = report.latency_ms,
            "attempt ended"
        );
    }

    /// Reports the end of an attempt that this side abandoned, after [`SETTLE_MS`].
    pub(super) fn report_abandoned(&self, report: AttemptReport) {
        self.note_ended(&report);
        let due_ms = self.clock.now() + SETTLE_MS;
        let event = report.into();
        let mut settling = self.settling.borrow_mut();
        settling.push_back(SettlingReport { due_ms, event });
        drop(settling);
        self.registry.notify.notify();
    }

    /// Publishes the delayed reports that are due. Returns when the next one is (ms), or infinity.
    pub(super) fn publish_settled(&self, now_ms: f64) -> f64 {
        let mut settling = self.settling.borrow_mut();
        while let Some(settled) = settling.pop_front_if(|report| report.due_ms <= now_ms) {
            self.registry.push_event(settled.event);
        }
        let next = settling.front();
        next.map_or(f64::INFINITY, |report| report.due_ms)
    }

    /// Abandons an attempt and reports its end: as `outcome` if it may have run, else as [`unsent_outcome`].
    pub(super) fn abandon(&self, channel: &Channel, id: &str, outcome: Outcome) {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        let Some(Abandoned { attempt, was_sent }) = connection.abandon(id, now_ms) else {
            return;
        };
        // Silent for longer than the progress interval: the connection may be dead. The next attempt uses another
        // one.
        let is_up = connection.state == ConnectionState::Up;
        let unsent_outcome = unsent_outcome(outcome, is_up);
        let silent_ms = now_ms - connection.last_frame_ms.max(attempt.sent_ms);
        let may_be_dead = was_sent && silent_ms > self.settings.max_silence_ms();
        connection.retired |= may_be_dead;
        let silent_reuse = connection.idle_reuse.take_if(|_| may_be_dead);
        drop(connection);
        channel.notify.notify();
        if let Some(reuse) = silent_reuse {
            self.on_silent_reuse(channel.engine_id, reuse);
        }
        if may_be_dead {
            self.retire_idle(channel.engine_id, SilenceScope::Engine);
        }
        let report = AttemptReport {
            query_id: attempt.query_id,
            attempt: attempt.number,
            outcome: if was_sent { outcome } else { unsent_outcome },
            engine_id: channel.engine_id,
            latency_ms: now_ms - attempt.sent_ms,
            pages: Pages::new(),
        };
        if report.outcome == Outcome::Cancelled {
            self.report_abandoned(report);
        } else {
            self.report_ended(report);
        }
    }
}
