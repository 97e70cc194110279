//! Handles the end of a connection: reports the attempts and health checks that are lost with it.

use super::channel::error::ChannelError;
use super::channel::Channel;
use super::connection::{ClosedConnection, Connection, RequestState};
use super::idle_reuse::ReuseTracker;
use super::reports::Reporter;
use crate::attempt_end::EndCause;
use crate::clock::Clock;
use crate::close_reason::EngineClose;
use crate::ids::EngineId;
use crate::query_registry::QueryRegistry;
use std::rc::Rc;
use tansymux::events::Outcome;

/// The consequences of a connection's end for its attempts in flight.
struct Loss {
    was_up: bool,
    /// The outcome of the next attempt that may have run.
    next_outcome: Outcome,
    /// The outcome of attempts that cannot have run.
    unsent_outcome: Outcome,
    /// What ends attempts whose requests were written.
    cause: EndCause,
}

impl Loss {
    fn new(was_up: bool, error: Option<&ChannelError>) -> Self {
        let is_local_fault = error.is_some_and(ChannelError::is_local_fault);
        Loss {
            was_up,
            cause: end_cause(was_up, error),
            next_outcome: Outcome::Reset,
            unsent_outcome: if is_local_fault {
                Outcome::Withdrawn
            } else {
                Outcome::NoConnection
            },
        }
    }

    /// The outcome of the next attempt. Only the first one that may have run counts against the engine: a lost
    /// connection is one failure, however many attempts were in flight.
    fn outcome(&mut self, was_sent: bool) -> Outcome {
        if self.was_up && was_sent {
            std::mem::replace(&mut self.next_outcome, Outcome::Cancelled)
        } else {
            self.unsent_outcome
        }
    }

    /// What ends an attempt, by how much of its request was written.
    fn cause(&self, written: RequestState) -> EndCause {
        match written {
            RequestState::Written => self.cause,
            RequestState::PartlyWritten => EndCause::HalfWritten,
            RequestState::NotStarted if self.was_up => EndCause::NotBegun,
            RequestState::NotStarted => EndCause::NotConnected,
        }
    }

    /// The outcome of health checks.
    fn health_outcome(&self) -> Outcome {
        if self.was_up {
            Outcome::Reset
        } else {
            Outcome::NoConnection
        }
    }
}

/// What the end of a connection is for attempts whose requests were written.
fn end_cause(was_up: bool, error: Option<&ChannelError>) -> EndCause {
    match error {
        _ if !was_up => EndCause::NotConnected,
        None => EndCause::EndOfStream,
        Some(error) if error.is_closed_locally() => EndCause::ClosedHere,
        Some(error) if error.is_reset() => EndCause::Reset,
        Some(_) => EndCause::ConnectionFailed,
    }
}

/// Handles the ends of connections.
pub(super) struct Closer {
    registry: Rc<QueryRegistry>,
    clock: Clock,
    reporter: Rc<Reporter>,
    reuses: Rc<ReuseTracker>,
}

impl Closer {
    /// A closer that reports to `reporter`, and to `reuses` what was lost after idling.
    pub fn new(
        registry: Rc<QueryRegistry>,
        clock: Clock,
        reporter: Rc<Reporter>,
        reuses: Rc<ReuseTracker>,
    ) -> Self {
        Closer {
            registry,
            clock,
            reporter,
            reuses,
        }
    }

    /// Reports the attempts lost with a connection: one whose request was written completely may have run, any other
    /// cannot have.
    pub fn close(&self, channel: &Channel, error: Option<&ChannelError>) {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        let ClosedConnection {
            was_up,
            attempts,
            ending,
            health_checks,
        } = connection.on_closed();
        self.note_close(channel, &connection, error, attempts.len());
        let mut loss = Loss::new(was_up, error);
        let is_closed_locally = error.is_some_and(ChannelError::is_closed_locally);
        let may_be_lost_reuse = was_up && !is_closed_locally && !attempts.is_empty();
        if may_be_lost_reuse && self.is_lost_reuse(&connection, now_ms) {
            loss.next_outcome = Outcome::Cancelled;
        }
        for (id, attempt) in attempts {
            let written = connection.request_state(&id);
            let outcome = loss.outcome(written == RequestState::Written);
            let cause = loss.cause(written);
            self.reporter.report_lost(channel, &attempt, outcome, cause);
        }
        for attempt in ending {
            self.reporter.on_last_command(attempt);
        }
        // A health check that could not leave this machine is no evidence about the engine.
        if !error.is_some_and(ChannelError::is_local_fault) {
            let outcome = loss.health_outcome();
            self.reporter
                .report_failed_checks(channel, outcome, health_checks);
        }
    }

    /// Whether the connection ended as soon as it was reused after idling.
    fn is_lost_reuse(&self, connection: &Connection, now_ms: f64) -> bool {
        let reuse = connection.idle_reuse();
        reuse.is_some_and(|reuse| self.reuses.record_if_lost(now_ms, reuse))
    }

    /// Counts and logs the end of a connection.
    fn note_close(
        &self,
        channel: &Channel,
        connection: &Connection,
        error: Option<&ChannelError>,
        lost_attempts: usize,
    ) {
        let reason = match error {
            Some(error) => error.close_reason(),
            None if connection.is_retired() => EngineClose::Retired,
            None => EngineClose::ByEngine,
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
