//! Reports the ends of attempts and health checks to the decisions. The only place that decides when the end of an attempt
//! is known: [`Reporter::report`].

use super::channel::Channel;
use super::connection::Attempt;
use super::engine_table::EngineTable;
use crate::attempt_end::{EndCause, EndProof};
use crate::clock::Clock;
use crate::ids::{AttemptId, ConnectionId, EngineId};
use crate::query_registry::{AttemptKey, Event, Pages, QueryRegistry};
use crate::trace::TraceEvent;
use std::cell::RefCell;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Delay (ms) between the last command about an attempt, or the close of its connection, and the report of its end. Its
/// query may then be retried on another connection, and a busy engine reads its connections in any order: without the
/// delay the retry could overtake the command. The protocol allows for 50 ms.
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
    /// The attempt's deadline (ms).
    pub deadline_ms: f64,
    /// Time since the attempt was handed to its connection.
    pub latency_ms: f64,
    pub pages: Pages,
}

impl AttemptReport {
    /// The report of an attempt that ends on a connection without a result.
    fn without_result(
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
            deadline_ms: attempt.deadline_ms,
            latency_ms: now_ms - attempt.sent_ms,
            pages: Pages::new(),
        }
    }

    fn attempt_id(&self) -> AttemptId {
        AttemptId {
            query_id: self.query_id,
            number: self.attempt,
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

/// When the end of an attempt is reported.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Due {
    /// Once the last command about the attempt was written and had time to settle.
    AfterCommand,
    /// At this time (ms).
    At(f64),
}

/// The end of an attempt that is not proven yet.
struct SettlingReport {
    attempt: AttemptId,
    due: Due,
    /// The attempt's deadline (ms). Its query is not retried after it, so that the report need not wait any longer.
    deadline_ms: f64,
    event: Event,
}

impl SettlingReport {
    /// When it is published (ms), as far as that is known.
    fn publish_ms(&self) -> f64 {
        match self.due {
            Due::AfterCommand => self.deadline_ms,
            Due::At(due_ms) => due_ms.min(self.deadline_ms),
        }
    }
}

/// Reports to the decisions, through the registry.
pub(super) struct Reporter {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    engines: Rc<EngineTable>,
    /// Ends of attempts that are not proven yet.
    settling: RefCell<Vec<SettlingReport>>,
}

impl Reporter {
    /// A reporter without delayed reports.
    pub fn new(registry: Rc<QueryRegistry>, clock: Clock, engines: Rc<EngineTable>) -> Self {
        Reporter {
            registry,
            clock,
            engines,
            settling: RefCell::default(),
        }
    }

    /// Reports the end of an attempt that ended on a connection without a result.
    pub fn report_lost(
        &self,
        channel: &Channel,
        attempt: &Attempt,
        outcome: Outcome,
        cause: EndCause,
    ) {
        let outcome = if self.engines.is_replaced(channel) {
            without_blame(outcome)
        } else {
            outcome
        };
        let now_ms = self.clock.now();
        let report = AttemptReport::without_result(channel, attempt, outcome, cause, now_ms);
        self.report(report);
    }

    /// Reports the end of an attempt once its cause proves it: every end passes here.
    pub fn report(&self, report: AttemptReport) {
        self.note_ended(&report);
        let due = match report.cause.proof() {
            EndProof::AtOnce => return self.registry.push_event(report.into()),
            EndProof::AfterCommand => Due::AfterCommand,
            EndProof::AfterClose => Due::At(self.clock.now() + SETTLE_MS),
        };
        let report = SettlingReport {
            attempt: report.attempt_id(),
            due,
            deadline_ms: report.deadline_ms,
            event: report.into(),
        };
        if report.publish_ms() <= self.clock.now() {
            return self.registry.push_event(report.event);
        }
        self.settling.borrow_mut().push(report);
        self.registry.notify.notify();
    }

    /// Handles that the last command about an attempt was written, or that its connection closed before that.
    pub fn on_last_command(&self, attempt: AttemptId) {
        let due = Due::At(self.clock.now() + SETTLE_MS);
        let mut settling = self.settling.borrow_mut();
        let waits = |report: &&mut SettlingReport| {
            report.attempt == attempt && report.due == Due::AfterCommand
        };
        if let Some(report) = settling.iter_mut().find(waits) {
            report.due = due;
            self.registry.notify.notify();
        }
    }

    /// Moves all later deadlines forward to `deadline_ms`.
    pub fn limit_deadlines(&self, deadline_ms: f64) {
        for report in self.settling.borrow_mut().iter_mut() {
            report.deadline_ms = report.deadline_ms.min(deadline_ms);
        }
    }

    /// Publishes the delayed reports that are due. Returns when the next one is (ms), or infinity.
    pub fn publish_settled(&self, now_ms: f64) -> f64 {
        let mut settling = self.settling.borrow_mut();
        let due = settling.extract_if(.., |report| report.publish_ms() <= now_ms);
        for report in due {
            self.registry.push_event(report.event);
        }
        let times = settling.iter().map(SettlingReport::publish_ms);
        times.fold(f64::INFINITY, f64::min)
    }

    /// Reports the same failure of `count` health checks that were sent on a connection. A failure of a process that another
    /// one has replaced is no evidence about the engine.
    pub fn report_failed_checks(&self, channel: &Channel, outcome: Outcome, count: usize) {
        if !self.engines.is_replaced(channel) {
            self.report_health(channel.engine_id, outcome, count);
        }
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
            engine_id = %EngineId(report.engine_id),
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
            engine_id = %EngineId(report.engine_id),
            latency_ms = report.latency_ms,
            "attempt completed"
        );
    }
}

/// The outcome of an attempt in place of one that counts against its engine: it may have run, or never ran, as before.
fn without_blame(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Reset | Outcome::Timeout => Outcome::Cancelled,
        Outcome::NoConnection => Outcome::Withdrawn,
        outcome => outcome,
    }
}

#[cfg(test)]
mod tests;
