//! Set-up shared by the runs on loopback: classes of traffic, engines, the name service, settings and rules.

use crate::engine::{Engine, EngineSpec, QueryWork, ResultShape, RunContext};
use crate::invariants::{ClassRules, Effect, RetryBudget, Rules};
use crate::name_service::{Endpoint, NameService};
use crate::program::{resource_group, Config, Program, TempFile};
use crate::record::Status;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::thread::JoinHandle;
use tansymux::settings::keys;

/// The retry budget of the runs, as [`with_retry_budget`] sets it.
pub(crate) const RETRY_BUDGET: RetryBudget = RetryBudget {
    span_ms: 10_000.0,
    free: 10.0,
    query_fraction: 0.2,
};

/// A class of queries in a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrafficClass {
    pub name: &'static str,
    /// Median work on one core (ms).
    pub work_ms: f64,
    pub threads: f64,
    /// Latency objective (ms). An answer within it has the full weight as its value, a later one a third of the weight.
    pub objective_ms: f64,
    pub max_wait_ms: f64,
    pub weight: f64,
    pub changes_tables: bool,
}

impl TrafficClass {
    /// The value of an answer after `latency_ms`.
    pub fn value_of(&self, latency_ms: f64) -> f64 {
        value_of(self.weight, self.objective_ms, latency_ms)
    }

    /// The work of a query of this class.
    pub fn query_work(&self, drawn_work_ms: f64, tables: u32) -> QueryWork {
        QueryWork {
            work_ms: drawn_work_ms,
            threads: self.threads,
            changes_tables: self.changes_tables,
            tables,
            result: ResultShape::OneRow,
        }
    }

    fn effect(&self) -> Effect {
        if self.changes_tables {
            Effect::NonIdempotent
        } else {
            Effect::ReadOnly
        }
    }

    fn group_settings(&self) -> Value {
        let effect = effect_value(self.effect());
        resource_group(self.name, self.objective_ms, self.max_wait_ms, effect)
    }
}

/// Look-ups of the runs of service levels and of zone routing.
pub(crate) const LOOKUPS: TrafficClass = TrafficClass {
    name: "look",
    work_ms: 12.0,
    threads: 1.0,
    objective_ms: 120.0,
    max_wait_ms: 1500.0,
    weight: 1.0,
    changes_tables: false,
};
/// Reports of the same runs.
pub(crate) const REPORTS: TrafficClass = TrafficClass {
    name: "report",
    work_ms: 500.0,
    threads: 4.0,
    objective_ms: 900.0,
    max_wait_ms: 3000.0,
    weight: 2.0,
    changes_tables: false,
};
/// Loads of the same runs.
pub(crate) const LOADS: TrafficClass = TrafficClass {
    name: "load",
    work_ms: 400.0,
    threads: 2.0,
    objective_ms: 1500.0,
    max_wait_ms: 3000.0,
    weight: 3.0,
    changes_tables: true,
};

/// The value of an effect in the settings.
pub(crate) fn effect_value(effect: Effect) -> &'static str {
    match effect {
        Effect::ReadOnly => keys::effect::READ_ONLY,
        Effect::IdempotencyKey => keys::effect::IDEMPOTENCY_KEY,
        Effect::NonIdempotent => keys::effect::NON_IDEMPOTENT,
    }
}

/// The value of an answer: its full weight within the objective, a third of the weight later.
pub(crate) fn value_of(weight: f64, objective_ms: f64, latency_ms: f64) -> f64 {
    if latency_ms <= objective_ms {
        weight
    } else {
        weight / 3.0
    }
}

/// The checker's rules for a run with these classes.
pub(crate) fn rules(classes: &[TrafficClass], retry_budget: Option<RetryBudget>) -> Rules {
    let classes = classes.iter().map(|class| {
        (
            class.name.to_owned(),
            ClassRules::for_effect(class.effect()),
        )
    });
    Rules {
        retry_budget,
        ..Rules::for_classes(classes)
    }
}

/// Starts engines `s-0`, `s-1` and so on, with ascending seeds from `first_seed`.
pub(crate) fn start_engines(
    count: usize,
    spec: EngineSpec,
    first_seed: u64,
    context: &Arc<RunContext>,
) -> Vec<Engine> {
    (0..count)
        .map(|index| {
            Engine::start(
                &format!("s-{index}"),
                spec,
                first_seed + index as u64,
                context.clone(),
            )
        })
        .collect()
}

/// The engines' ids and addresses, as a configuration lists them.
pub(crate) fn known_engines(engines: &[Engine]) -> Vec<(String, SocketAddr)> {
    engines
        .iter()
        .map(|engine| (engine.id.clone(), engine.address))
        .collect()
}

/// Starts a name service that announces these engines as ready, in zone `h`.
pub(crate) fn start_name_service(engines: &[Engine], context: &RunContext) -> NameService {
    let endpoints = engines
        .iter()
        .map(|engine| Endpoint {
            id: engine.id.clone(),
            zone: "h".into(),
            kind: "std".into(),
            cell: 0,
            address: engine.address,
            status: Status::Ready,
            started_ms: 0.0,
        })
        .collect();
    NameService::start(endpoints, context.record.clone())
}

/// A configuration with these classes and with health checks. Classes that change tables are marked as loads.
pub(crate) fn traffic_config(
    listen: SocketAddr,
    engines: &[Engine],
    classes: &[TrafficClass],
) -> Config {
    let groups: Vec<Value> = classes.iter().map(TrafficClass::group_settings).collect();
    let threads: Vec<u32> = classes.iter().map(|class| class.threads as u32).collect();
    let loads: Vec<bool> = classes.iter().map(|class| class.changes_tables).collect();
    Config::new(listen, &known_engines(engines), &groups, &threads)
        .with_setting(keys::HEALTH_CHECKS, true)
        .with_setting(keys::PROGRESS_INTERVAL_US, 100_000)
        .with_setting(keys::IS_LOAD_BY_GROUP, json!(loads))
}

/// Starts the program with an operators' file, and waits until it is healthy.
pub(crate) fn start_with_operator(exe: &Path, config: &Config, operator: &TempFile) -> Program {
    let program = launch_with_operator(exe, config, operator);
    program.wait_until_healthy();
    program
}

/// Starts the program with an operators' file, without waiting until it is healthy.
pub(crate) fn launch_with_operator(exe: &Path, config: &Config, operator: &TempFile) -> Program {
    let path = operator.0.display().to_string();
    let arguments = ["--operator", path.as_str(), "--log-level", "error"];
    Program::launch(exe, config, &arguments, Stdio::piped())
}

/// Adds [`RETRY_BUDGET`] to a configuration.
pub(crate) fn with_retry_budget(config: Config) -> Config {
    config
        .with_setting(keys::RETRY_BUDGET_SPAN_US, RETRY_BUDGET.span_ms * 1e3)
        .with_setting(keys::RETRY_BUDGET_FREE, RETRY_BUDGET.free)
        .with_setting(keys::RETRY_BUDGET_RATIO, RETRY_BUDGET.query_fraction)
}

/// Waits for all threads, even if one panicked.
pub(crate) fn join_all(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        let _ = thread.join();
    }
}
