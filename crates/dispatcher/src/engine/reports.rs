//! How attempts end, and when the decisions hear of it.

use super::channel::Channel;
use super::connection::Abandoned;
use super::health::SilenceScope;
use super::pool::EnginePool;
use crate::query_registry::{Event, Pages};
use tansymux::events::Outcome;

/// What is abandoned on one connection may be sent again on another, and a busy engine reads its connections late and
/// in any order. So that the abort is not overtaken, the decisions hear of the end so much (ms) later; the protocol's
/// own slack is 50 ms.
const SETTLE_MS: f64 = 40.0;

/// The end of an attempt.
pub(super) struct AttemptReport {
    pub query_id: u64,
    pub attempt: usize,
    pub outcome: Outcome,
    pub engine_id: u64,
    /// From when the attempt was handed to its connection.
    pub latency_ms: f64,
    pub pages: Pages,
}

/// The end of an abandoned attempt that the decisions have not heard of yet.
pub(super) struct SettlingReport {
    due_ms: f64,
    event: Event,
}

impl From<AttemptReport> for Event {
    fn from(report: AttemptReport) -> Event {
        Event::AttemptEnded {
            query: report.query_id,
            attempt: report.attempt,
            outcome: report.outcome,
            engine_id: report.engine_id,
            latency: report.latency_ms,
            pages: report.pages,
        }
    }
}

impl EnginePool {
    /// Reports the end of an attempt at once.
    pub(super) fn report_ended(&self, report: AttemptReport) {
        self.registry.counters.count_outcome(report.outcome);
        tracing::debug!(
            query_id = report.query_id,
            attempt = report.attempt,
            engine_id = %format_args!("{:08x}", report.engine_id),
            outcome = ?report.outcome,
            latency_ms = report.latency_ms,
            "attempt ended"
        );
        self.registry.push_event(report.into());
    }

    /// Reports the end of an attempt that was abandoned from here, once that has settled.
    pub(super) fn report_abandoned(&self, report: AttemptReport) {
        self.registry.counters.count_outcome(report.outcome);
        let due_ms = self.clock.now() + SETTLE_MS;
        let event = report.into();
        let mut settling = self.settling.borrow_mut();
        settling.push_back(SettlingReport { due_ms, event });
        drop(settling);
        self.registry.notify.notify();
    }

    /// Reports what has settled by now; when (ms) the next does, infinity if nothing settles.
    pub(super) fn publish_settled(&self, now_ms: f64) -> f64 {
        let mut settling = self.settling.borrow_mut();
        while let Some(settled) = settling.pop_front_if(|report| report.due_ms <= now_ms) {
            self.registry.push_event(settled.event);
        }
        let next = settling.front();
        next.map_or(f64::INFINITY, |report| report.due_ms)
    }

    /// Abandons an attempt and reports its end: with `outcome` if it may have run, else as one that never ran.
    pub(super) fn abandon(&self, channel: &Channel, id: &str, outcome: Outcome) {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        let Some(Abandoned { attempt, was_sent }) = connection.abandon(id, now_ms) else {
            return;
        };
        // Silent for longer than progress notes take: the connection may be dead, and the next one will show it.
        let silent_ms = now_ms - connection.last_frame_ms.max(attempt.sent_ms);
        let may_be_dead = was_sent && silent_ms > self.settings.max_silence_ms();
        connection.retired |= may_be_dead;
        drop(connection);
        channel.notify.notify();
        if may_be_dead {
            self.retire_idle(channel.engine_id, SilenceScope::Engine);
        }
        let report = AttemptReport {
            query_id: attempt.query_id,
            attempt: attempt.number,
            outcome: if was_sent {
                outcome
            } else {
                Outcome::NoConnection
            },
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
