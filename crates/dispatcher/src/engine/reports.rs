//! Reports the outcomes of attempts and health checks to the dispatcher's admission controller. [`Reporter::report`]
//! alone decides when the outcome of an attempt is reported.

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

/// Delay (ms) between the last command about an attempt, or the close of its connection, and the report of its
/// outcome. The report allows a retry of the query on another connection, and a busy engine reads its connections in
/// any order: without the delay the retry could overtake the command or the close. The protocol allows for 50 ms.
const END_REPORT_DELAY_MS: f64 = 40.0;

/// Report of how an attempt ended.
pub(super) struct AttemptReport {
    pub query_id: u64,
    pub attempt: usize,
    pub outcome: Outcome,
    pub cause: EndCause,
    /// Connection of the attempt; `None` if no connection was assigned.
    pub connection: Option<ConnectionId>,
    pub engine_id: u64,
    /// Deadline of the attempt (ms).
    pub deadline_ms: f64,
    /// Time since the attempt was queued on its connection (ms).
    pub latency_ms: f64,
    pub pages: Pages,
}

impl AttemptReport {
    /// Creates the report of an attempt that ended on a connection without a result.
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

/// When the outcome of an attempt is reported.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PublishTime {
    /// [`END_REPORT_DELAY_MS`] after the last command about the attempt is written.
    AfterLastCommand,
    /// At this time (ms).
    At(f64),
}

/// The outcome of an attempt, not reported yet because the engine may still run the attempt.
struct DelayedReport {
    attempt: AttemptId,
    publish_time: PublishTime,
    /// Deadline of the attempt (ms). The report is due by then at the latest, because the query is not retried after
    /// it.
    deadline_ms: f64,
    event: Event,
}

impl DelayedReport {
    /// Time at which the report is published (ms). May become earlier when the last command is written.
    fn publish_ms(&self) -> f64 {
        match self.publish_time {
            PublishTime::AfterLastCommand => self.deadline_ms,
            PublishTime::At(time_ms) => time_ms.min(self.deadline_ms),
        }
    }
}

/// Reports to the dispatcher's admission controller through the registry.
pub(super) struct Reporter {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    engines: Rc<EngineTable>,
    /// Outcomes that are not reported yet.
    delayed: RefCell<Vec<DelayedReport>>,
}

impl Reporter {
    /// Creates a reporter without delayed reports.
    pub fn new(registry: Rc<QueryRegistry>, clock: Clock, engines: Rc<EngineTable>) -> Self {
        Reporter {
            registry,
            clock,
            engines,
            delayed: RefCell::default(),
        }
    }

    /// Reports an attempt that ended on a connection without a result.
    pub fn report_lost(
        &self,
        channel: &Channel,
        attempt: &Attempt,
        outcome: Outcome,
        cause: EndCause,
    ) {
        let outcome = if self.engines.is_replaced(channel) {
            neutral_outcome(outcome)
        } else {
            outcome
        };
        let now_ms = self.clock.now();
        let report = AttemptReport::without_result(channel, attempt, outcome, cause, now_ms);
        self.report(report);
    }

    /// Counts, traces and logs how an attempt ended, and reports its outcome as soon as the cause proves that the
    /// engine no longer runs the attempt. All outcomes of attempts are reported through this function.
    pub fn report(&self, report: AttemptReport) {
        self.record_end(&report);
        let publish_time = match report.cause.proof() {
            EndProof::Immediate => return self.registry.push_event(report.into()),
            EndProof::AfterLastCommand => PublishTime::AfterLastCommand,
            EndProof::AfterClose => PublishTime::At(self.clock.now() + END_REPORT_DELAY_MS),
        };
        let report = DelayedReport {
            attempt: report.attempt_id(),
            publish_time,
            deadline_ms: report.deadline_ms,
            event: report.into(),
        };
        if report.publish_ms() <= self.clock.now() {
            return self.registry.push_event(report.event);
        }
        self.delayed.borrow_mut().push(report);
        self.registry.notify.notify();
    }

    /// Handles the write of the last command about an attempt, or the close of its connection before this write.
    pub fn on_last_command(&self, attempt: AttemptId) {
        let publish_time = PublishTime::At(self.clock.now() + END_REPORT_DELAY_MS);
        let mut delayed = self.delayed.borrow_mut();
        let awaits_command = |report: &&mut DelayedReport| {
            report.attempt == attempt && report.publish_time == PublishTime::AfterLastCommand
        };
        if let Some(report) = delayed.iter_mut().find(awaits_command) {
            report.publish_time = publish_time;
            self.registry.notify.notify();
        }
    }

    /// Lowers the deadlines of all delayed reports to at most `deadline_ms`.
    pub fn limit_deadlines(&self, deadline_ms: f64) {
        for report in self.delayed.borrow_mut().iter_mut() {
            report.deadline_ms = report.deadline_ms.min(deadline_ms);
        }
    }

    /// Publishes the delayed reports that are due. Returns the time of the next one (ms); infinity if there is none.
    pub fn publish_delayed(&self, now_ms: f64) -> f64 {
        let mut delayed = self.delayed.borrow_mut();
        let due = delayed.extract_if(.., |report| report.publish_ms() <= now_ms);
        for report in due {
            self.registry.push_event(report.event);
        }
        let publish_times = delayed.iter().map(DelayedReport::publish_ms);
        publish_times.fold(f64::INFINITY, f64::min)
    }

    /// Reports the same failure of `count` health checks that were sent on a connection. Ignores failures of a process
    /// that has been replaced, because they say nothing about the engine's current process.
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

    /// Counts, traces and logs how an attempt ended.
    fn record_end(&self, report: &AttemptReport) {
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

/// Returns the outcome that does not count against the engine, and that agrees with `outcome` on whether the attempt
/// may have run.
fn neutral_outcome(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Reset | Outcome::Timeout => Outcome::Cancelled,
        Outcome::NoConnection => Outcome::Withdrawn,
        outcome => outcome,
    }
}

#[cfg(test)]
mod tests;
