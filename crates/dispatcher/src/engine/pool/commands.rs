//! Executes the decisions' commands: submit, withdraw, cancel, set priority, check health.

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

/// After an attempt was sent on a connection that had idled, the engine is checked over another connection if no
/// frame arrived for this multiple of the attempt's estimated run time: a lost connection accepts writes and never
/// answers.
const CHECK_AFTER_RUN_TIMES: f64 = 2.0;

/// The connection that carries a query's attempt.
struct Located {
    channel: Rc<Channel>,
    id: Rc<str>,
}

/// The command to start an attempt.
struct AttemptOrder {
    query_id: u64,
    number: usize,
    engine_id: u64,
    limits: AttemptLimits,
}

/// The parts of a query that its attempt needs.
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
                } => self.submit(&AttemptOrder {
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

    fn submit(self: &Rc<Self>, order: &AttemptOrder) {
        let now_ms = self.clock.now();
        let Some(request) = self.request_of(order) else {
            return;
        };
        let limits = order.limits;
        // The endpoint list may have closed the engine since it was chosen, in the same round.
        if !self.takes_attempts(order.engine_id) {
            return self.report_not_sent(order, Outcome::Withdrawn);
        }
        let channel_request = ChannelRequest {
            engine_id: order.engine_id,
            id: &request.id,
            used_connections: &request.used_connections,
            side_effect_free: limits.side_effect_free,
        };
        let Some(channel) = self.allocator.select(self, &channel_request) else {
            // Only this dispatcher knows which connections it may not use again: no evidence about the engine.
            let outcome = if request.used_connections.is_empty() {
                Outcome::NoConnection
            } else {
                Outcome::Withdrawn
            };
            return self.report_not_sent(order, outcome);
        };
        let attempt = Attempt::new(order.query_id, order.number, now_ms, limits);
        let mut connection = channel.connection.borrow_mut();
        connection.submit(&request.id, request.fields, request.statement, attempt);
        let is_reused_now = |reuse: &IdleReuse| reuse.sent_ms == now_ms;
        if let Some(reuse) = connection.idle_reuse().filter(is_reused_now) {
            self.reuses.begin(now_ms, reuse);
            connection.check_engine_at(now_ms + self.check_after_ms(request.cost_ms));
        }
        drop(connection);
        channel.notify.notify();
    }

    fn takes_attempts(&self, engine_id: u64) -> bool {
        let is_ready = self.engines.with(engine_id, Engine::is_ready);
        is_ready.unwrap_or(false)
    }

    fn report_not_sent(&self, order: &AttemptOrder, outcome: Outcome) {
        self.reporter.report(AttemptReport {
            query_id: order.query_id,
            attempt: order.number,
            outcome,
            cause: EndCause::NotBegun,
            connection: None,
            engine_id: order.engine_id,
            deadline_ms: order.limits.deadline_ms,
            latency_ms: 0.0,
            pages: Pages::new(),
        });
    }

    fn request_of(&self, order: &AttemptOrder) -> Option<Request> {
        self.registry.with_query(order.query_id, |query| Request {
            id: query.id.clone(),
            used_connections: query.used_connections.clone(),
            fields: RequestFields::of(query),
            statement: query.statement.clone(),
            cost_ms: query.estimated_cost_ms,
        })
    }

    /// Silence (ms) after which the engine is checked, for an attempt with this estimated run time. Where the estimate is
    /// unknown (0), the limit of the settings applies.
    fn check_after_ms(&self, cost_ms: f64) -> f64 {
        let run_times_ms = if cost_ms > 0.0 {
            CHECK_AFTER_RUN_TIMES * cost_ms
        } else {
            f64::INFINITY
        };
        MIN_SILENCE_MS
            .max(run_times_ms)
            .min(self.settings.max_silence_ms())
    }

    /// Finds the connection that carries the query's attempt: it leads to the engine of the last attempt.
    fn locate(&self, query_id: u64) -> Option<Located> {
        let (id, engine_id) = self
            .registry
            .with_query(query_id, |query| (query.id.clone(), query.engine_id))?;
        let channel = self.engines.locate(engine_id, &id, query_id)?;
        Some(Located { channel, id })
    }

    /// Sends the engine a new priority for an attempt in flight.
    fn set_priority(&self, query_id: u64, priority: u8) {
        if let Some(Located { channel, id }) = self.locate(query_id) {
            channel.connection.borrow_mut().set_priority(&id, priority);
            channel.notify.notify();
        }
    }

    /// Cancels an attempt if it is still in flight.
    fn cancel(&self, query_id: u64, number: usize) {
        let Some(Located { channel, id }) = self.locate(query_id) else {
            return;
        };
        let current = channel
            .connection
            .borrow()
            .attempt(&id)
            .map(|attempt| attempt.number);
        if current == Some(number) {
            self.abandoner.abandon(&channel, &id, Outcome::Cancelled);
        }
    }

    /// Withdraws the attempt of a completed query, unless its request has been written completely.
    fn withdraw(&self, query_id: u64) {
        let Some(Located { channel, id }) = self.locate(query_id) else {
            return;
        };
        let is_written = channel.connection.borrow().is_fully_written(&id);
        if !is_written {
            self.abandoner.abandon(&channel, &id, Outcome::Cancelled);
        }
    }
}
