//! Handles closed connections: reports the attempts and health checks that are lost with them.

use super::channel::error::ChannelError;
use super::channel::Channel;
use super::connection::{ClosedConnection, Connection, RequestState};
use super::idle_reuse::ReuseTracker;
use super::reports::Reporter;
use crate::attempt_end::EndCause;
use crate::clock::Clock;
use crate::close_reason::EngineCloseReason;
use crate::ids::EngineId;
use crate::query_registry::QueryRegistry;
use std::rc::Rc;
use tansymux::events::Outcome;

/// Outcomes and end causes of the attempts and health checks that are lost with a connection.
struct LossOutcomes {
    was_up: bool,
    /// Outcome of the next attempt that may have run.
    next_sent_outcome: Outcome,
    /// Outcome of the attempts that cannot have run.
    unsent_outcome: Outcome,
    /// End cause of the attempts whose requests were written completely.
    sent_cause: EndCause,
}

impl LossOutcomes {
    fn new(was_up: bool, error: Option<&ChannelError>) -> Self {
        let is_local_fault = error.is_some_and(ChannelError::is_local_fault);
        LossOutcomes {
            was_up,
            sent_cause: sent_cause(was_up, error),
            next_sent_outcome: Outcome::Reset,
            unsent_outcome: if is_local_fault {
                Outcome::Withdrawn
            } else {
                Outcome::NoConnection
            },
        }
    }

    /// Returns the outcome of the next attempt. Only the first attempt that may have run counts against the engine,
    /// because a lost connection is a single failure, regardless of the number of attempts in flight.
    fn outcome(&mut self, was_sent: bool) -> Outcome {
        if self.was_up && was_sent {
            std::mem::replace(&mut self.next_sent_outcome, Outcome::Cancelled)
        } else {
            self.unsent_outcome
        }
    }

    /// Returns the end cause of an attempt whose request has this write state.
    fn end_cause(&self, request_state: RequestState) -> EndCause {
        match request_state {
            RequestState::Written => self.sent_cause,
            RequestState::PartlyWritten => EndCause::HalfWritten,
            RequestState::NotStarted if self.was_up => EndCause::NotBegun,
            RequestState::NotStarted => EndCause::NotConnected,
        }
    }

    /// Returns the outcome of the health checks in flight.
    fn health_check_outcome(&self) -> Outcome {
        if self.was_up {
            Outcome::Reset
        } else {
            Outcome::NoConnection
        }
    }
}

/// Returns the end cause of attempts whose requests were written completely.
fn sent_cause(was_up: bool, error: Option<&ChannelError>) -> EndCause {
    match error {
        _ if !was_up => EndCause::NotConnected,
        None => EndCause::EndOfStream,
        Some(error) if error.is_closed_locally() => EndCause::ClosedHere,
        Some(error) if error.is_reset() => EndCause::Reset,
        Some(_) => EndCause::ConnectionFailed,
    }
}

/// Handles closed connections.
pub(super) struct CloseHandler {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    reporter: Rc<Reporter>,
    reuse_tracker: Rc<ReuseTracker>,
}

impl CloseHandler {
    /// Creates a handler. It reports lost attempts and health checks to `reporter`, and connections lost upon reuse
    /// after idling to `reuse_tracker`.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        reporter: Rc<Reporter>,
        reuse_tracker: Rc<ReuseTracker>,
    ) -> Self {
        CloseHandler {
            registry,
            clock,
            reporter,
            reuse_tracker,
        }
    }

    /// Records the close of a connection and reports the attempts lost with it. An attempt whose request was
    /// written completely may have run; any other attempt cannot have run.
    pub fn close(&self, channel: &Channel, error: Option<&ChannelError>) {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        let ClosedConnection {
            was_up,
            attempts,
            unwritten_last_commands,
            health_checks,
        } = connection.on_closed();
        self.record_close(channel, &connection, error, attempts.len());
        let mut outcomes = LossOutcomes::new(was_up, error);
        let is_closed_locally = error.is_some_and(ChannelError::is_closed_locally);
        let may_be_lost_reuse = was_up && !is_closed_locally && !attempts.is_empty();
        if may_be_lost_reuse && self.is_lost_reuse(&connection, now_ms) {
            outcomes.next_sent_outcome = Outcome::Cancelled;
        }
        for (id, attempt) in attempts {
            let request_state = connection.request_state(&id);
            let outcome = outcomes.outcome(request_state == RequestState::Written);
            let cause = outcomes.end_cause(request_state);
            self.reporter.report_lost(channel, &attempt, outcome, cause);
        }
        for attempt in unwritten_last_commands {
            self.reporter.on_last_command(attempt);
        }
        // After a local fault the health checks did not leave this machine and say nothing about the engine.
        if !error.is_some_and(ChannelError::is_local_fault) {
            let outcome = outcomes.health_check_outcome();
            self.reporter
                .report_failed_checks(channel, outcome, health_checks);
        }
    }

    /// Returns whether the connection was lost upon its reuse after idling, and records this loss.
    fn is_lost_reuse(&self, connection: &Connection, now_ms: f64) -> bool {
        let reuse = connection.idle_reuse();
        reuse.is_some_and(|reuse| self.reuse_tracker.record_if_lost(now_ms, reuse))
    }

    /// Counts and logs the close of a connection.
    fn record_close(
        &self,
        channel: &Channel,
        connection: &Connection,
        error: Option<&ChannelError>,
        lost_attempts: usize,
    ) {
        let reason = match error {
            Some(error) => error.close_reason(),
            None if connection.is_retired() => EngineCloseReason::Retired,
            None => EngineCloseReason::ByEngine,
        };
        let engine_id = EngineId(channel.engine_id);
        let connection = channel.id;
        self.registry.counters.count_engine_close(reason);
        tracing::debug!(%connection, %engine_id, %reason, lost_attempts, "engine connection closed");
        let Some(error) = error else {
            return;
        };
        if error.is_protocol_error() {
            self.registry.counters.protocol_errors.increment();
        }
        if lost_attempts > 0 {
            tracing::warn!(%connection, %engine_id, lost_attempts, %error, "engine connection lost");
        }
    }
}
