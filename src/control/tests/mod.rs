//! Tests of the decisions: each rule, each mechanism and each known failure, one file a concern. This file has what they
//! share: settings, a dispatcher with engines, and a sink that records the decisions.

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
use crate::model::{EngineIndex, FadingMedian, GroupIndex, Lane, LaneSlowdowns, LevelEffects};
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

/// The settings above, with those of `more` in place of theirs.
pub(crate) fn settings(more: &str) -> SettingsMap {
    let pairs = SETTINGS.split_whitespace().chain(more.split_whitespace());
    pairs
        .map(|p| p.split_once('=').unwrap())
        .map(|(n, v)| (n.to_owned(), v.to_owned()))
        .collect()
}

/// Records each decision as a line, and the limits of each attempt.
#[derive(Default)]
pub(crate) struct RecordedDecisions {
    pub(crate) decisions: Vec<String>,
    pub(crate) limits: Vec<AttemptLimits>,
}

impl DecisionSink for RecordedDecisions {
    fn submit(&mut self, id: u64, engine_id: u64, limits: AttemptLimits) {
        self.limits.push(limits);
        self.decisions.push(format!("submit {id} {engine_id}"));
    }
    fn reject(&mut self, id: u64, retry_after_ms: f64) {
        self.decisions.push(format!("reject {id} {retry_after_ms}"));
    }
    fn fail(&mut self, id: u64) {
        self.decisions.push(format!("fail {id}"));
    }
    fn cancel(&mut self, id: u64, attempt: usize) {
        self.decisions.push(format!("cancel {id} {attempt}"));
    }
    fn grant(&mut self, id: u64, priority: u8, memory: f64) {
        self.decisions
            .push(format!("grant {id} {priority} {memory}"));
    }
    fn check_health(&mut self, engine_id: u64) {
        self.decisions.push(format!("probe {engine_id}"));
    }
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]) {
        self.decisions.push(format!("tell {peer:?} {content:?}"));
    }
    fn set_timer(&mut self, _delay: f64, _handle: u64) {}
    fn watch_endpoints(&mut self) {
        self.decisions.push("watch".into());
    }
}

/// Runs a closure as a round's events.
pub(crate) struct Script<F>(pub Option<F>);

impl<F: FnOnce(&mut Control, &mut dyn DecisionSink)> EventSource for Script<F> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        (self.0.take().unwrap())(control, out);
    }
}

/// The clock of a dispatcher's first round (ms).
pub(crate) const START_MS: f64 = 1e6;

/// Runs one round at `START_MS + at` and returns what was decided in it.
pub(crate) fn round(
    control: &mut Control,
    at: f64,
    events: impl FnOnce(&mut Control, &mut dyn DecisionSink),
) -> Vec<String> {
    let mut recorded = RecordedDecisions::default();
    control.run_round(START_MS + at, &mut Script(Some(events)), &mut recorded);
    recorded.decisions
}

/// A list entry of a ready engine in cell 0.
pub(crate) fn ready<'a>(
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

/// A query without tenant, key and tables that needs 10 MB.
pub(crate) fn arriving(
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

/// The end of an attempt on an engine that reports no usage.
pub(crate) fn ended(
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

/// A dispatcher with engines numbered from 1, each given as kind and zone, all started long ago.
pub(crate) fn dispatcher(more: &str, engines: &[(&str, &str)]) -> Control {
    let mut control = Control::new(7, &settings(more)).unwrap();
    round(&mut control, 0.0, |control, out| {
        control.begin_update(EndpointListKind::Snapshot);
        for (i, (kind, zone)) in engines.iter().enumerate() {
            control.upsert_endpoint(&ready(i as u64 + 1, kind, zone, None));
        }
        control.finish_update(EndpointListKind::Snapshot, out);
    });
    control
}

/// Sends a query of `group` with this estimate and a deadline of 20 s.
pub(crate) fn send_query(
    control: &mut Control,
    at: f64,
    id: u64,
    group: &str,
    cost: f64,
) -> Vec<String> {
    send_query_with_key(control, at, id, group, cost, None, 0)
}

/// The same with an ordering key and tables.
pub(crate) fn send_query_with_key(
    control: &mut Control,
    at: f64,
    id: u64,
    group: &str,
    cost: f64,
    key: Option<u64>,
    tables: u32,
) -> Vec<String> {
    round(control, at, |control, out| {
        let query = QueryArrived {
            key,
            tables,
            ..arriving(id, group, START_MS + at + 20_000.0, cost)
        };
        control.on_query_arrived(&query, out).unwrap()
    })
}

/// Ends a query's attempt on an engine.
pub(crate) fn end_attempt(
    control: &mut Control,
    at: f64,
    id: u64,
    attempt: usize,
    outcome: Outcome,
    engine_id: u64,
) -> Vec<String> {
    let complete = outcome == Outcome::Completed;
    round(control, at, |control, out| {
        control.on_attempt_ended(
            &ended(id, attempt, complete, outcome, engine_id, 100.0),
            out,
        )
    })
}

/// Whether a decision begins like this.
pub(crate) fn has_decision(decided: &[String], with: &str) -> bool {
    decided.iter().any(|d| d.starts_with(with))
}

pub(crate) const ONE: &[(&str, &str)] = &[("small", "h1")];

pub(crate) const SLOW: FadingMedian = FadingMedian::new(2.0, START_MS);

pub(crate) const TWO: &[(&str, &str)] = &[("small", "h1"), ("small", "h1")];

/// An engine's note on an attempt.
pub(crate) fn note(query_id: u64, attempt: usize, kind: NoteKind, amount: f64) -> ProgressNote {
    ProgressNote {
        query_id,
        attempt,
        kind,
        amount,
    }
}

/// The first slot whose engine has exactly one attempt.
pub(crate) fn busy_slot(control: &Control) -> usize {
    let mut engines = control.engines.iter();
    engines
        .position(|engine| engine.load.attempts() == 1)
        .unwrap()
}

/// The engine of a query's attempt.
pub(crate) fn engine_of(control: &Control, id: u64, attempt: usize) -> u64 {
    let query = &control.queries[control.queries.find(id).unwrap()];
    control.engines[query.attempts.all()[attempt].engine].engine_id
}

/// Puts an engine under pressure, as slow answers would.
pub(crate) fn put_under_pressure(control: &mut Control, slot: usize) {
    control.engines[EngineIndex(slot)]
        .slowdown
        .set(Lane::Fast, SLOW);
}
