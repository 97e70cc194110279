//! Executes the commands of the admission controller: submit, withdraw, cancel, set priority, check health.

use super::EnginePool;
use crate::attempt_end::EndCause;
use crate::engine::channel::Channel;
use crate::engine::channel_request::ChannelRequest;
use crate::engine::connection::{Attempt, IdleReuse};
use crate::engine::engine_entry::Engine;
use crate::engine::protocol::RequestFields;
use crate::engine::reports::AttemptReport;
use crate::engine::settings::MIN_SILENCE_MS;
use crate::ids::ConnectionId;
use crate::query_registry::{EngineCommand, Pages};
use std::rc::Rc;
use tansymux::events::{AttemptLimits, Outcome};

/// Multiple of an attempt's estimated run time after which the engine is checked over another connection, if the
/// attempt was sent on a connection that had idled and no frame has arrived since. A lost connection accepts writes
/// and never answers.
const REACHABILITY_CHECK_RUN_TIMES: f64 = 2.0;

/// The location of a query's attempt in flight.
struct AttemptLocation {
    channel: Rc<Channel>,
    /// Id of the query, which also identifies the attempt on the connection.
    id: Rc<str>,
}

/// The content of an [`EngineCommand::Submit`].
struct AttemptRequest {
    query_id: u64,
    number: usize,
    engine_id: u64,
    limits: AttemptLimits,
}

/// The parts of a query that its attempt's request needs.
struct Request {
    id: Rc<str>,
    /// Connections that have carried an earlier attempt of the query.
    used_connections: Vec<ConnectionId>,
    fields: RequestFields,
    statement: Rc<[u8]>,
    /// Estimated run time (ms); 0 if none is known.
    cost_ms: f64,
}

impl EnginePool {
    /// Executes all queued commands.
    pub fn execute_commands(self: &Rc<Self>) {
        while let Some(command) = self.registry.next_command() {
            match command {
                EngineCommand::Submit {
                    query_id,
                    attempt,
                    engine_id,
                    limits,
                } => self.submit(&AttemptRequest {
                    query_id,
                    number: attempt,
                    engine_id,
                    limits,
                }),
                EngineCommand::Withdraw { query_id } => self.withdraw(query_id),
                EngineCommand::Cancel { query_id, attempt } => self.cancel(query_id, attempt),
                EngineCommand::SetPriority { query_id, priority } => {
                    self.set_priority(query_id, priority)
                }
                EngineCommand::HealthCheck { engine_id } => self.check_health(engine_id),
            }
        }
    }

    fn submit(self: &Rc<Self>, attempt_request: &AttemptRequest) {
        let now_ms = self.clock.now();
        let Some(request) = self.request_for(attempt_request) else {
            return;
        };
        let limits = attempt_request.limits;
        // An update of the endpoint list in the same round may have marked the engine as not ready after it was chosen.
        if !self.accepts_attempts(attempt_request.engine_id) {
            return self.report_not_sent(attempt_request, Outcome::Withdrawn);
        }
        let channel_request = ChannelRequest {
            engine_id: attempt_request.engine_id,
            id: &request.id,
            used_connections: &request.used_connections,
            side_effect_free: limits.side_effect_free,
        };
        let Some(channel) = self.allocator.select(self, &channel_request) else {
            // If the query may not use some connections again, the failure may be due to that restriction. It is then
            // no evidence about the engine.
            let outcome = if request.used_connections.is_empty() {
                Outcome::NoConnection
            } else {
                Outcome::Withdrawn
            };
            return self.report_not_sent(attempt_request, outcome);
        };
        let attempt = Attempt::new(
            attempt_request.query_id,
            attempt_request.number,
            now_ms,
            limits,
        );
        let mut connection = channel.connection.borrow_mut();
        connection.submit(&request.id, request.fields, request.statement, attempt);
        let is_reuse_by_this_attempt = |reuse: &IdleReuse| reuse.sent_ms == now_ms;
        if let Some(reuse) = connection.idle_reuse().filter(is_reuse_by_this_attempt) {
            self.reuse_tracker.begin(now_ms, reuse);
            connection.schedule_reachability_check(
                now_ms + self.reachability_check_delay_ms(request.cost_ms),
            );
        }
        drop(connection);
        channel.notify.notify();
    }

    fn accepts_attempts(&self, engine_id: u64) -> bool {
        let is_ready = self.engines.with(engine_id, Engine::is_ready);
        is_ready.unwrap_or(false)
    }

    fn report_not_sent(&self, attempt_request: &AttemptRequest, outcome: Outcome) {
        self.reporter.report(AttemptReport {
            query_id: attempt_request.query_id,
            attempt: attempt_request.number,
            outcome,
            cause: EndCause::NotBegun,
            connection: None,
            engine_id: attempt_request.engine_id,
            deadline_ms: attempt_request.limits.deadline_ms,
            latency_ms: 0.0,
            pages: Pages::new(),
        });
    }

    fn request_for(&self, attempt_request: &AttemptRequest) -> Option<Request> {
        self.registry
            .with_query(attempt_request.query_id, |query| Request {
                id: query.id.clone(),
                used_connections: query.used_connections.clone(),
                fields: RequestFields::of(query),
                statement: query.statement.clone(),
                cost_ms: query.estimated_cost_ms,
            })
    }

    /// Delay (ms) after which the engine is checked if no frame has arrived, for an attempt with this estimated run
    /// time. If the run time is unknown (0), the maximum silence of the settings applies.
    fn reachability_check_delay_ms(&self, cost_ms: f64) -> f64 {
        let run_time_bound_ms = if cost_ms > 0.0 {
            REACHABILITY_CHECK_RUN_TIMES * cost_ms
        } else {
            f64::INFINITY
        };
        MIN_SILENCE_MS
            .max(run_time_bound_ms)
            .min(self.settings.max_silence_ms())
    }

    /// Finds the connection that carries the query's attempt, among those to the engine of its last attempt.
    fn locate(&self, query_id: u64) -> Option<AttemptLocation> {
        let (id, engine_id) = self
            .registry
            .with_query(query_id, |query| (query.id.clone(), query.engine_id))?;
        let channel = self.engines.locate(engine_id, &id, query_id)?;
        Some(AttemptLocation { channel, id })
    }

    /// Sends the engine a new priority for an attempt in flight.
    fn set_priority(&self, query_id: u64, priority: u8) {
        if let Some(AttemptLocation { channel, id }) = self.locate(query_id) {
            channel.connection.borrow_mut().set_priority(&id, priority);
            channel.notify.notify();
        }
    }

    /// Cancels an attempt that is still in flight.
    fn cancel(&self, query_id: u64, number: usize) {
        let Some(AttemptLocation { channel, id }) = self.locate(query_id) else {
            return;
        };
        let current_number = channel
            .connection
            .borrow()
            .attempt(&id)
            .map(|attempt| attempt.number);
        if current_number == Some(number) {
            self.abandoner.abandon(&channel, &id, Outcome::Cancelled);
        }
    }

    /// Withdraws the attempt of a query that was answered or whose client left. If the attempt's request has been written
    /// completely, the attempt stays in flight, and the rows of its result are not kept.
    fn withdraw(&self, query_id: u64) {
        let Some(AttemptLocation { channel, id }) = self.locate(query_id) else {
            return;
        };
        let is_written = channel.connection.borrow().is_fully_written(&id);
        if is_written {
            channel.connection.borrow_mut().discard_rows(&id);
        } else {
            self.abandoner.abandon(&channel, &id, Outcome::Cancelled);
        }
    }
}
