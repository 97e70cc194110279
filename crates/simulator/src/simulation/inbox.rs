//! The events that a round delivers to a dispatcher's admission controller, and the decisions of the round.

use tansymux::control::{Control, EventSource};
use tansymux::events::{
    AttemptEnded, AttemptLimits, DecisionSink, EndpointListKind, EndpointState, EndpointUpdate,
    HealthCheckEnded, ProgressNote, QueryArrived, StatementTraits,
};

/// Declared memory of each query (MB).
const QUERY_MEMORY_MB: f64 = 10.0;
/// Number of distinct table sets, assigned to queries round-robin.
const TABLE_SETS: u32 = 24;

/// An entry of the endpoint list.
pub(super) struct Endpoint {
    pub engine_id: u64,
    pub zone: String,
    pub state: EndpointState,
    /// Time of the engine's last start on the admission controller's clock (ms); `None` if the engine has not started
    /// since the beginning of the run.
    pub started_ms: Option<f64>,
}

/// A query at its arrival at a dispatcher.
pub(super) struct IncomingQuery {
    pub id: u64,
    /// Index of the query's class, which is also the index of its resource group.
    pub class: usize,
    pub estimated_cost_ms: f64,
    /// Deadline on the admission controller's clock (ms).
    pub deadline_ms: f64,
}

/// An event that reached a dispatcher since its last round.
pub(super) enum Incoming {
    Query(IncomingQuery),
    AttemptEnded(AttemptEnded),
    Progress(ProgressNote),
    HealthCheckEnded(HealthCheckEnded),
    EndpointList,
}

/// A decision of a dispatcher's admission controller.
pub(super) enum Decision {
    Submit {
        query_id: u64,
        engine_id: u64,
        /// Deadline on the admission controller's clock (ms).
        deadline_ms: f64,
    },
    Reject {
        query_id: u64,
        retry_after_ms: f64,
    },
    Fail {
        query_id: u64,
    },
    Cancel {
        query_id: u64,
        attempt: usize,
    },
    CheckHealth {
        engine_id: u64,
    },
    SetTimer {
        delay_ms: f64,
    },
}

/// The decisions of one round, in order.
#[derive(Default)]
pub(super) struct Decisions(pub Vec<Decision>);

impl DecisionSink for Decisions {
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        self.0.push(Decision::Submit {
            query_id,
            engine_id,
            deadline_ms: limits.deadline_ms,
        });
    }
    fn reject(&mut self, query_id: u64, retry_after_ms: f64) {
        self.0.push(Decision::Reject {
            query_id,
            retry_after_ms,
        });
    }
    fn fail(&mut self, query_id: u64) {
        self.0.push(Decision::Fail { query_id });
    }
    fn cancel(&mut self, query_id: u64, attempt: usize) {
        self.0.push(Decision::Cancel { query_id, attempt });
    }
    fn grant(&mut self, _: u64, _: u8, _: f64) {}
    fn check_health(&mut self, engine_id: u64) {
        self.0.push(Decision::CheckHealth { engine_id });
    }
    fn send_to_peer(&mut self, _: Option<u32>, _: &[u8]) {}
    fn set_timer(&mut self, delay_ms: f64, _: u64) {
        self.0.push(Decision::SetTimer { delay_ms });
    }
    fn watch_endpoints(&mut self) {}
}

/// The events of one round.
pub(super) struct Inbox<'a> {
    pub events: Vec<Incoming>,
    pub groups: &'a [String],
    pub endpoints: &'a [Endpoint],
}

impl EventSource for Inbox<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        for event in self.events.drain(..) {
            deliver_event(&event, self.groups, self.endpoints, control, out);
        }
    }
}

fn deliver_event(
    event: &Incoming,
    groups: &[String],
    endpoints: &[Endpoint],
    control: &mut Control,
    out: &mut dyn DecisionSink,
) {
    match event {
        Incoming::Query(query) => deliver_query(query, groups, control, out),
        Incoming::AttemptEnded(ended) => control.on_attempt_ended(ended, out),
        Incoming::Progress(note) => control.on_progress_note(note),
        Incoming::HealthCheckEnded(ended) => control.on_health_check_ended(ended),
        Incoming::EndpointList => deliver_endpoints(endpoints, control, out),
    }
}

fn deliver_query(
    query: &IncomingQuery,
    groups: &[String],
    control: &mut Control,
    out: &mut dyn DecisionSink,
) {
    let arrived = QueryArrived {
        query_id: query.id,
        group: &groups[query.class],
        tenant: "",
        key: None,
        deadline_ms: query.deadline_ms,
        estimated_cost_ms: query.estimated_cost_ms,
        memory_mb: QUERY_MEMORY_MB,
        tables: query.id as u32 % TABLE_SETS,
        statement: StatementTraits::UNKNOWN,
    };
    let accepted = control.on_query_arrived(&arrived, out);
    debug_assert!(accepted.is_ok());
}

fn deliver_endpoints(endpoints: &[Endpoint], control: &mut Control, out: &mut dyn DecisionSink) {
    control.begin_update(EndpointListKind::Snapshot);
    for endpoint in endpoints {
        control.upsert_endpoint(&EndpointUpdate {
            engine_id: endpoint.engine_id,
            kind: "std",
            zone: &endpoint.zone,
            state: endpoint.state,
            started_ms: endpoint.started_ms,
            cell: 0,
        });
    }
    control.finish_update(EndpointListKind::Snapshot, out);
}
