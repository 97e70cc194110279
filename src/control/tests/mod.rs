//! Tests of the admission controller: each rule, each mechanism and each known failure, with one file per concern. This
//! file has the shared helpers: settings, a dispatcher with engines, and a sink that records the decisions.

mod admission;
mod completion;
mod dispatch;
mod endpoints;
mod outlier;
mod peer_load;
mod periodic;
mod placement;
mod pressure;
mod retry;
mod service_levels;
mod settings;
mod slow_start;
mod zone_plan;

use crate::control::{Control, EventSource};
use crate::events::{
    AttemptEnded, AttemptLimits, DecisionSink, EndpointListKind, EndpointState, EndpointUpdate,
    HealthCheckEnded, NoteKind, Outcome, PeerMessage, ProgressNote, QueryArrived, StatementTraits,
};
use crate::model::{DecayingMedian, EngineIndex, GroupIndex, Lane, LaneSlowdowns, LevelEffects};
use crate::peer_codec;
use crate::settings::SettingsMap;
use crate::zone_plan::{ZoneLimits, ZonePlan};

const SETTINGS: &str = "balancers=2 zone=h1 kinds=small,big family-info.cores-by-kind=8,16 \
    family-info.kind-memory-mb=1000,2000 family-info.dop=1,2,2,2 family-info.class-load=0,0,1,1 \
    family-info.class-waits=1,0,0,0 limits.max-attempts=4 limits.cancelling=1 limits.probes=0 \
    limits.max-retry-after-us=300000 services.count=4 \
    services.0.name=look services.0.effect=read_like services.0.aim-us=500000 \
    services.1.name=rep services.1.effect=read_like services.1.aim-us=2000000 services.1.aim-stretch=2.5 \
    services.2.name=load services.2.effect=non_idempotent services.2.aim-us=4000000 \
    services.3.name=tok services.3.effect=idempotency_key services.3.aim-us=4000000 \
    services.3.repeat-window-us=10000000 services.3.dedup-scope=all services.3.in-order=1";

/// Returns [`SETTINGS`], with the settings in `overrides` added or replaced.
pub(crate) fn settings(overrides: &str) -> SettingsMap {
    let pairs = SETTINGS
        .split_whitespace()
        .chain(overrides.split_whitespace());
    pairs
        .map(|pair| pair.split_once('=').unwrap())
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Records each decision as a line of text, and the limits of each attempt.
#[derive(Default)]
pub(crate) struct RecordedDecisions {
    pub(crate) decisions: Vec<String>,
    pub(crate) limits: Vec<AttemptLimits>,
}

impl DecisionSink for RecordedDecisions {
    fn submit(&mut self, query_id: u64, engine_id: u64, limits: AttemptLimits) {
        self.limits.push(limits);
        self.decisions
            .push(format!("submit {query_id} {engine_id}"));
    }
    fn reject(&mut self, query_id: u64, retry_after_ms: f64) {
        self.decisions
            .push(format!("reject {query_id} {retry_after_ms}"));
    }
    fn fail(&mut self, query_id: u64) {
        self.decisions.push(format!("fail {query_id}"));
    }
    fn cancel(&mut self, query_id: u64, attempt: usize) {
        self.decisions.push(format!("cancel {query_id} {attempt}"));
    }
    fn grant(&mut self, query_id: u64, priority: u8, memory_mb: f64) {
        self.decisions
            .push(format!("grant {query_id} {priority} {memory_mb}"));
    }
    fn check_health(&mut self, engine_id: u64) {
        self.decisions.push(format!("probe {engine_id}"));
    }
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]) {
        self.decisions.push(format!("tell {peer:?} {content:?}"));
    }
    fn set_timer(&mut self, _delay_ms: f64, _handle: u64) {}
    fn watch_endpoints(&mut self) {
        self.decisions.push("watch".into());
    }
}

/// Event source that delivers the events of one round by calling a closure.
pub(crate) struct ScriptedEvents<F>(pub Option<F>);

impl<F: FnOnce(&mut Control, &mut dyn DecisionSink)> EventSource for ScriptedEvents<F> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        (self.0.take().unwrap())(control, out);
    }
}

/// Time of a dispatcher's first round (ms).
pub(crate) const START_MS: f64 = 1e6;

/// Runs one round at `START_MS + at_ms` and returns its decisions.
pub(crate) fn run_round(
    control: &mut Control,
    at_ms: f64,
    events: impl FnOnce(&mut Control, &mut dyn DecisionSink),
) -> Vec<String> {
    let mut recorded = RecordedDecisions::default();
    control.run_round(
        START_MS + at_ms,
        &mut ScriptedEvents(Some(events)),
        &mut recorded,
    );
    recorded.decisions
}

/// Returns the endpoint list entry of a ready engine in cell 0.
pub(crate) fn ready_endpoint<'a>(
    engine_id: u64,
    kind: &'a str,
    zone: &'a str,
    started_ms: Option<f64>,
) -> EndpointUpdate<'a> {
    EndpointUpdate {
        engine_id,
        kind,
        zone,
        state: EndpointState::Ready,
        started_ms,
        cell: 0,
    }
}

/// Returns the arrival of a query without tenant, ordering key and tables that needs 10 MB.
pub(crate) fn query_arrived(
    query_id: u64,
    group: &str,
    deadline_ms: f64,
    cost_ms: f64,
) -> QueryArrived<'_> {
    QueryArrived {
        query_id,
        group,
        tenant: "",
        key: None,
        deadline_ms,
        estimated_cost_ms: cost_ms,
        memory_mb: 10.0,
        tables: 0,
        statement: StatementTraits::UNKNOWN,
    }
}

/// Returns the event of an attempt's outcome on an engine that reports no resource usage.
pub(crate) fn attempt_ended(
    query_id: u64,
    attempt: usize,
    answer_delivered: bool,
    outcome: Outcome,
    engine_id: u64,
    latency_ms: f64,
) -> AttemptEnded {
    AttemptEnded {
        query_id,
        attempt,
        engine_id,
        outcome,
        answer_delivered,
        latency_ms,
        used: None,
    }
}

/// Returns a dispatcher with engines numbered from 1, each given as kind and zone. Their start times are unknown, so
/// they count as started long ago.
pub(crate) fn dispatcher(overrides: &str, engines: &[(&str, &str)]) -> Control {
    let mut control = Control::new(7, &settings(overrides)).unwrap();
    run_round(&mut control, 0.0, |control, out| {
        control.begin_update(EndpointListKind::Snapshot);
        for (index, (kind, zone)) in engines.iter().enumerate() {
            control.upsert_endpoint(&ready_endpoint(index as u64 + 1, kind, zone, None));
        }
        control.finish_update(EndpointListKind::Snapshot, out);
    });
    control
}

/// Sends a query of `group` with the estimate `cost_ms` and a deadline 20 s later, and returns the decisions.
pub(crate) fn send_query(
    control: &mut Control,
    at_ms: f64,
    query_id: u64,
    group: &str,
    cost_ms: f64,
) -> Vec<String> {
    send_query_with_key(control, at_ms, query_id, group, cost_ms, None, 0)
}

/// Sends a query as [`send_query`] does, with an ordering key and a set of tables.
pub(crate) fn send_query_with_key(
    control: &mut Control,
    at_ms: f64,
    query_id: u64,
    group: &str,
    cost_ms: f64,
    key: Option<u64>,
    tables: u32,
) -> Vec<String> {
    run_round(control, at_ms, |control, out| {
        let query = QueryArrived {
            key,
            tables,
            ..query_arrived(query_id, group, START_MS + at_ms + 20_000.0, cost_ms)
        };
        control.on_query_arrived(&query, out).unwrap()
    })
}

/// Reports the outcome of a query's attempt on an engine, and returns the decisions.
pub(crate) fn end_attempt(
    control: &mut Control,
    at_ms: f64,
    query_id: u64,
    attempt: usize,
    outcome: Outcome,
    engine_id: u64,
) -> Vec<String> {
    let answer_delivered = outcome == Outcome::Completed;
    run_round(control, at_ms, |control, out| {
        control.on_attempt_ended(
            &attempt_ended(
                query_id,
                attempt,
                answer_delivered,
                outcome,
                engine_id,
                100.0,
            ),
            out,
        )
    })
}

/// Returns whether any decision begins with `prefix`.
pub(crate) fn has_decision(decisions: &[String], prefix: &str) -> bool {
    decisions
        .iter()
        .any(|decision| decision.starts_with(prefix))
}

pub(crate) const ONE_ENGINE: &[(&str, &str)] = &[("small", "h1")];

pub(crate) const HIGH_SLOWDOWN: DecayingMedian = DecayingMedian::new(2.0, START_MS);

pub(crate) const TWO_ENGINES: &[(&str, &str)] = &[("small", "h1"), ("small", "h1")];

/// Returns an engine's note on an attempt.
pub(crate) fn progress_note(
    query_id: u64,
    attempt: usize,
    kind: NoteKind,
    amount: f64,
) -> ProgressNote {
    ProgressNote {
        query_id,
        attempt,
        kind,
        amount,
    }
}

/// Returns the first slot whose engine has exactly one attempt in flight.
pub(crate) fn slot_with_one_attempt(control: &Control) -> usize {
    let mut engines = control.engines.iter();
    engines
        .position(|engine| engine.load.attempts() == 1)
        .unwrap()
}

/// Returns the number of the engine of a query's attempt.
pub(crate) fn engine_of(control: &Control, query_id: u64, attempt: usize) -> u64 {
    let query = &control.queries[control.queries.find(query_id).unwrap()];
    control.engines[query.attempts.all()[attempt].engine].engine_id
}

/// Puts an engine under pressure by setting a high slowdown, as slow answers would.
pub(crate) fn put_under_pressure(control: &mut Control, slot: usize) {
    control.engines[EngineIndex(slot)]
        .slowdown
        .set(Lane::Fast, HIGH_SLOWDOWN);
}
