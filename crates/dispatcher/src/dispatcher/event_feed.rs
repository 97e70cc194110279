//! The event source of a round: takes the events from the registry, and passes them to the subsystems and the
//! admission controller.

use super::decision_sink::record_answer;
use crate::attempt_end::EndCause;
use crate::engine::EnginePool;
use crate::ids::AttemptId;
use crate::query_registry::{
    Answer, ArrivedQuery, EndpointEntry, Event, Pages, Query, QueryRegistry,
};
use crate::statement_shape::ClassifiedAttempt;
use crate::subsystems::service_levels::AnswerKind;
use crate::subsystems::Subsystems;
use tansymux::control::{Control, EventSource};
use tansymux::events::{
    AttemptEnded, DecisionSink, EndpointListKind, EndpointUpdate, HealthCheckEnded, NoteKind,
    Outcome, PeerMessage, ProgressNote, QueryArrived,
};

/// An [`EventSource`] of the events that are queued in the registry.
pub(super) struct EventFeed<'a> {
    pub registry: &'a QueryRegistry,
    pub engines: &'a EnginePool,
    pub subsystems: &'a Subsystems,
    /// Time of the round (ms).
    pub now_ms: f64,
}

impl EventSource for EventFeed<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        while let Some(event) = self.registry.next_event() {
            self.deliver_event(event, control, out);
        }
    }
}

impl EventFeed<'_> {
    /// Calls the handler of one event.
    fn deliver_event(&self, event: Event, control: &mut Control, out: &mut dyn DecisionSink) {
        match event {
            Event::QueryArrived(arrived) => self.on_query_arrived(&arrived, control, out),
            Event::ClientDisconnected { query_id } => {
                self.on_client_disconnected(query_id, control, out)
            }
            Event::AttemptEnded {
                query_id,
                attempt,
                outcome,
                cause,
                engine_id,
                latency_ms,
                pages,
            } => {
                let ended = AttemptEnded {
                    query_id,
                    attempt,
                    engine_id,
                    outcome,
                    answer_delivered: false,
                    latency_ms,
                    used: None,
                };
                self.on_attempt_ended(ended, cause, pages, control, out);
            }
            Event::ProgressReported {
                query_id,
                attempt,
                kind,
                amount,
            } => {
                let note = ProgressNote {
                    query_id,
                    attempt,
                    kind,
                    amount,
                };
                self.on_progress_note(&note, control);
            }
            Event::HealthCheckEnded { engine_id, outcome } => {
                self.on_health_check_ended(&HealthCheckEnded { engine_id, outcome }, control);
            }
            Event::EndpointList { kind, endpoints } => {
                self.on_endpoint_list(kind, endpoints, control, out);
            }
            Event::PeerMessage { peer, content } => self.on_peer_message(peer, &content, control),
        }
    }

    /// Passes a query to the admission controller, unless its client disconnected before this round.
    fn on_query_arrived(
        &self,
        arrived: &ArrivedQuery,
        control: &mut Control,
        out: &mut dyn DecisionSink,
    ) {
        let query_id = arrived.query_id;
        let group_and_deadline = self.registry.with_query(query_id, |query| {
            (query.resource_group.clone(), query.deadline_ms)
        });
        let Some((group, deadline_ms)) = group_and_deadline else {
            return;
        };
        if self.registry.is_over(query_id) {
            return;
        }
        let arrived = QueryArrived {
            query_id,
            group: &group,
            tenant: &arrived.tenant,
            key: arrived.ordering_key,
            deadline_ms,
            estimated_cost_ms: arrived.estimated_cost_ms,
            memory_mb: arrived.memory_mb,
            tables: arrived.tables,
            statement: arrived.traits,
        };
        if let Err(error) = control.on_query_arrived(&arrived, out) {
            tracing::error!(query_id, %error, "query failed: not accepted by the admission controller");
            self.registry.answer(query_id, Answer::Failed);
        }
    }

    fn on_client_disconnected(
        &self,
        query_id: u64,
        control: &mut Control,
        out: &mut dyn DecisionSink,
    ) {
        control.on_client_disconnected(query_id, out);
        self.registry.remove_if_over(query_id);
    }

    /// Handles an attempt that completed, failed or was cancelled: informs the subsystems, answers the query if the
    /// attempt completed, and then informs the admission controller, including whether the query is answered.
    fn on_attempt_ended(
        &self,
        mut ended: AttemptEnded,
        cause: EndCause,
        pages: Pages,
        control: &mut Control,
        out: &mut dyn DecisionSink,
    ) {
        let query_id = ended.query_id;
        let attempt = AttemptId {
            query_id,
            number: ended.attempt,
        };
        if !self.registry.is_in_flight(attempt) {
            self.registry.counters.ends_ignored.increment();
            tracing::error!(
                query_id,
                attempt = attempt.number,
                %cause,
                "outcome ignored: the attempt is not in flight"
            );
            return;
        }
        let statement = self
            .registry
            .with_query(query_id, classified_attempt)
            .flatten();
        self.subsystems
            .on_attempt_ended(&ended, statement.as_ref(), self.now_ms);
        if ended.outcome == Outcome::Completed {
            let levels = &self.subsystems.levels;
            let kind = AnswerKind::Completed;
            record_answer(self.registry, levels, query_id, self.now_ms, kind);
            self.registry.complete(query_id, pages);
        }
        ended.answer_delivered = self.registry.is_over(query_id);
        self.registry.attempt_ended(attempt, cause);
        control.on_attempt_ended(&ended, out);
    }

    fn on_progress_note(&self, note: &ProgressNote, control: &mut Control) {
        let zones = &self.subsystems.zones;
        if zones.is_enabled() {
            let engine_id = self
                .registry
                .with_query(note.query_id, |query| query.engine_id);
            if let Some(engine_id) = engine_id {
                zones.on_progress_note(engine_id, self.now_ms);
            }
        }
        if note.kind == NoteKind::Waiting {
            self.registry.record_wait(AttemptId {
                query_id: note.query_id,
                number: note.attempt,
            });
        }
        control.on_progress_note(note);
    }

    fn on_health_check_ended(&self, ended: &HealthCheckEnded, control: &mut Control) {
        let zones = &self.subsystems.zones;
        zones.on_health_check_ended(ended, self.now_ms);
        control.on_health_check_ended(ended);
    }

    /// Passes a peer's message to the subsystem that handles it, or else to the admission controller.
    fn on_peer_message(&self, peer: u32, content: &[u8], control: &mut Control) {
        let message = PeerMessage { peer, content };
        if !self.subsystems.on_peer_message(&message, self.now_ms) {
            control.on_peer_message(&message);
        }
    }

    /// Passes an endpoint list to the subsystems, which may change its entries, and then to the engine side and the
    /// admission controller.
    fn on_endpoint_list(
        &self,
        kind: EndpointListKind,
        mut endpoints: Vec<EndpointEntry>,
        control: &mut Control,
        out: &mut dyn DecisionSink,
    ) {
        self.subsystems.on_endpoints(&mut endpoints, self.now_ms);
        control.begin_update(kind);
        for endpoint in &endpoints {
            self.engines.upsert_endpoint(endpoint);
            control.upsert_endpoint(&EndpointUpdate {
                engine_id: endpoint.engine_id,
                kind: &endpoint.kind,
                zone: &endpoint.zone,
                state: endpoint.state,
                started_ms: endpoint.started_ms,
                cell: endpoint.cell,
            });
        }
        control.finish_update(kind, out);
    }
}

/// Returns the input that the statement classifier learns from; `None` if the query's statement was not classified.
fn classified_attempt(query: &Query) -> Option<ClassifiedAttempt> {
    Some(ClassifiedAttempt {
        shape: query.shape?,
        group: query.resource_group.clone(),
        waited: query.waited,
    })
}
