//! The sink of decisions: queues commands for the engine side in the registry, answers queries, and sends messages to
//! peers.

use crate::peers::Peers;
use crate::query_registry::{Answer, Grant, QueryRegistry};
use crate::subsystems::service_levels::{AnswerKind, QueryAnswered, ServiceLevels};
use tansymux::events::{AttemptLimits, DecisionSink, EndReason};

/// The sink of one round.
pub(super) struct DecisionQueue<'a> {
    pub registry: &'a QueryRegistry,
    pub peers: Option<&'a Peers>,
    pub levels: &'a ServiceLevels,
    /// Time of the round (ms).
    pub now_ms: f64,
    /// Time (ms) of the next round that the admission controller requests: the earliest of its timers.
    pub timer_ms: &'a mut f64,
}

impl DecisionSink for DecisionQueue<'_> {
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        self.registry.submit(query_id, engine_id, limits);
    }

    fn reject(&mut self, query_id: u64, retry_after_ms: f64) {
        let kind = AnswerKind::Rejected;
        record_answer(self.registry, self.levels, query_id, self.now_ms, kind);
        self.registry
            .answer(query_id, Answer::Rejected { retry_after_ms });
    }

    fn fail(&mut self, query_id: u64) {
        let kind = AnswerKind::Failed;
        record_answer(self.registry, self.levels, query_id, self.now_ms, kind);
        self.registry.answer(query_id, Answer::Failed);
    }

    fn report_end_reason(&mut self, query_id: u64, reason: EndReason) {
        self.registry.on_end_reason(query_id, reason);
    }

    fn cancel(&mut self, query_id: u64, attempt: usize) {
        self.registry.cancel(query_id, attempt);
    }

    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64) {
        let grant = Grant {
            priority,
            memory_mb,
        };
        self.registry.grant(query_id, grant);
    }

    fn check_health(&mut self, engine_id: u64) {
        self.registry.health_check(engine_id);
    }

    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]) {
        if let Some(peers) = self.peers {
            peers.send(peer, content);
        }
    }

    fn set_timer(&mut self, delay_ms: f64, _handle: u64) {
        *self.timer_ms = self.timer_ms.min(self.now_ms + delay_ms);
    }

    /// Does nothing: discovery polls the name service from the start, and queues each change as an event.
    fn watch_endpoints(&mut self) {}
}

/// Reports an answer to the service levels, unless the query is already answered or its client has disconnected. Must
/// be called before the query is answered.
pub(super) fn record_answer(
    registry: &QueryRegistry,
    levels: &ServiceLevels,
    query_id: u64,
    now_ms: f64,
    kind: AnswerKind,
) {
    if registry.is_over(query_id) {
        return;
    }
    registry.with_query(query_id, |query| {
        let event = QueryAnswered {
            group: &query.resource_group,
            kind,
            latency_ms: now_ms - query.received_ms,
            cost_ms: query.estimated_cost_ms,
        };
        levels.on_query_answered(&event, now_ms);
    });
}
