//! Reports the ends of attempts and health checks to the decisions.

use super::channel::Channel;
use super::connection::Attempt;
use crate::attempt_end::EndCause;
use crate::clock::Clock;
use crate::ids::ConnectionId;
use crate::query_registry::{AttemptKey, Event, Pages, QueryRegistry};
use crate::trace::TraceEvent;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
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
    pub cause: EndCause,
    /// The connection that carried it, unless there was none.
    pub connection: Option<ConnectionId>,
    pub engine_id: u64,
    /// Time since the attempt was handed to its connection.
    pub latency_ms: f64,
    pub pages: Pages,
}

impl AttemptReport {
    /// The report of an attempt that ends on a connection without a result.
    pub fn without_result(
        channel: &Channel,
        attempt: &Attempt,
        outcome: Outcome,
        cause: EndCause,
        now_ms: f64,
    ) -> Self {
        AttemptReport {
            query_id: attempt.query_id,
            attempt: attempt.number,
            outcome,
            cause,
            connection: Some(channel.id),
            engine_id: channel.engine_id,
            latency_ms: now_ms - attempt.sent_ms,
            pages: Pages::new(),
        }
    }
}

impl From<AttemptReport> for Event {
    fn from(report: AttemptReport) -> Event {
        Event::AttemptEnded {
            query_id: report.query_id,
            attempt: report.attempt,
            outcome: report.outcome,
            cause: report.cause,
            engine_id: report.engine_id,
            latency_ms: report.latency_ms,
            pages: report.pages,
        }
    }
}

/// The end of an abandoned attempt, to be reported at `due_ms`.
struct SettlingReport {
    due_ms: f64,
    event: Event,
}

/// Reports to the decisions, through the registry.
pub(super) struct Reporter {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    /// Ends of abandoned attempts whose report is delayed, in the order of their due times.
    settling: RefCell<VecDeque<SettlingReport>>,
}

impl Reporter {
    /// A reporter without delayed reports.
    pub fn new(registry: Rc<QueryRegistry>, clock: Clock) -> Self {
        Reporter {
            registry,
            clock,
            settling: RefCell::default(),
        }
    }

    /// Reports the end of an attempt immediately.
    pub fn report_ended(&self, report: AttemptReport) {
        self.note_ended(&report);
        self.registry.push_event(report.into());
    }

    /// Reports the end of an attempt that this side abandoned, after [`SETTLE_MS`].
    pub fn report_abandoned(&self, report: AttemptReport) {
        self.note_ended(&report);
        let due_ms = self.clock.now() + SETTLE_MS;
        let event = report.into();
        let mut settling = self.settling.borrow_mut();
        settling.push_back(SettlingReport { due_ms, event });
        drop(settling);
        self.registry.notify.notify();
    }

    /// Publishes the delayed reports that are due. Returns when the next one is (ms), or infinity.
    pub fn publish_settled(&self, now_ms: f64) -> f64 {
        let mut settling = self.settling.borrow_mut();
        while let Some(settled) = settling.pop_front_if(|report| report.due_ms <= now_ms) {
            self.registry.push_event(settled.event);
        }
        let next = settling.front();
        next.map_or(f64::INFINITY, |report| report.due_ms)
    }

    /// Reports the same outcome for `count` health checks of an engine.
    pub fn report_health(&self, engine_id: u64, outcome: Outcome, count: usize) {
        for _ in 0..count {
            self.registry
                .push_event(Event::HealthCheckEnded { engine_id, outcome });
        }
    }

    /// Counts and logs the end of an attempt.
    fn note_ended(&self, report: &AttemptReport) {
        self.registry.counters.count_outcome(report.outcome);
        self.registry.counters.count_end_cause(report.cause);
        let key = AttemptKey {
            query_id: report.query_id,
            attempt: report.attempt,
            engine_id: report.engine_id,
        };
        let event = TraceEvent::AttemptEnded {
            outcome: report.outcome,
            cause: report.cause,
        };
        self.registry.trace_attempt(&key, event);
        if report.outcome == Outcome::Completed {
            return self.log_completed(report);
        }
        let client_id = self.registry.client_id(report.query_id);
        tracing::info!(
            query_id = report.query_id,
            client_id = client_id.as_deref(),
            attempt = report.attempt,
            connection = report.connection.map(|id| id.0),
            engine_id = %format_args!("{:08x}", report.engine_id),
            outcome = ?report.outcome,
            cause = %report.cause,
            latency_ms = report.latency_ms,
            "attempt ended"
        );
    }

    fn log_completed(&self, report: &AttemptReport) {
        tracing::debug!(
            query_id = report.query_id,
            attempt = report.attempt,
            connection = report.connection.map(|id| id.0),
            engine_id = %format_args!("{:08x}", report.engine_id),
            latency_ms = report.latency_ms,
            "attempt completed"
        );
    }
}

#[cfg(test)]
mod tests;
