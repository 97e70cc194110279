//! Classifies statements by their text, if the operators' file enables it: finds the resource group of a query that
//! names none, estimates the query's cost, and detects statements that may write although their class is read-only.
//!
//! The classifier only decides the group of a query that names none. Its other results go to the admission controller
//! with the query. The `tansymux-sql-analysis` package analyzes SQL. Start reading at
//! [`StatementClassifier::classify`].
//!
//! | file | concern |
//! | --- | --- |
//! | `definition` | conversion of the operators' file into the configuration of the analysis |
//! | `counters` | statement counters |
//! | `warm_up` | engines that are warming up |

mod counters;
mod definition;
mod warm_up;

pub use definition::analysis_settings;

use crate::query_registry::EndpointEntry;
use crate::statement_shape::{ClassifiedAttempt, StatementShape};
use counters::StatementCounters;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use tansymux::events::{AttemptEnded, Outcome, StatementTraits};
use tansymux::settings::{self, GroupSettings, Settings};
use tansymux_operator_config::schema;
use tansymux_operator_config::schema::statements::Check;
use tansymux_sql_analysis::{
    Analysis, AnalyzedStatement, Class, Effect, Execution, ExecutionOutcome, StatementAnalyzer,
};
use warm_up::WarmUpTracker;

/// Classification of a statement when its query arrives.
#[derive(Debug, Clone)]
pub struct ClassifiedStatement {
    /// Resource group of the statement's class; `None` if the query names its group.
    pub group: Option<Rc<str>>,
    /// Estimated cost (ms on one core); 0 if the query names its group, because the client's estimate is used then.
    pub cost_ms: f64,
    /// Estimated memory (MB); 0 if the query names its group.
    pub memory_mb: f64,
    /// Input of the admission controller.
    pub traits: StatementTraits,
    /// Input of the cost model when an attempt ends.
    pub shape: StatementShape,
}

/// State of the classifier while the operators' file enables it.
struct ActiveClassifier {
    analyzer: StatementAnalyzer,
    /// HTTP path of queries that name no class.
    path: Option<Rc<str>>,
    /// Whether the class that a query names is compared with its statement, and whether a mismatch is only logged or
    /// enforced.
    check: Check,
    /// Resource groups by class, in the order of `Class::ALL`.
    groups: Option<[Rc<str>; 4]>,
}

/// Statement classifier of this dispatcher.
pub struct StatementClassifier {
    active: RefCell<Option<ActiveClassifier>>,
    groups: FxHashMap<String, GroupSettings>,
    warm_up: WarmUpTracker,
    hash_key: [u8; 16],
    counters: StatementCounters,
}

impl StatementClassifier {
    /// Creates a classifier that is off until [`reconfigure`](Self::reconfigure) enables it. `warm_up_ms`: duration of
    /// an engine's warm-up after its start. `hash_key` is secret: a client that knows it could make shapes collide.
    pub fn new(settings: &Settings, warm_up_ms: f64, hash_key: [u8; 16]) -> Self {
        let mut groups = FxHashMap::default();
        for group in &settings.groups {
            groups.insert(group.name.clone(), group.clone());
        }
        StatementClassifier {
            active: RefCell::default(),
            groups,
            warm_up: WarmUpTracker::new(warm_up_ms),
            hash_key,
            counters: StatementCounters::default(),
        }
    }

    /// Applies `statements` of a valid operators' file. Learned costs are kept, unless the file turns classification
    /// off.
    pub fn reconfigure(&self, definition: Option<&schema::Statements>) {
        let mut active = self.active.borrow_mut();
        let is_enabled = |definition: &&schema::Statements| {
            definition.path.is_some() || definition.check() != Check::Off
        };
        let Some(definition) = definition.filter(is_enabled) else {
            *active = None;
            return;
        };
        let settings = analysis_settings(definition);
        let analyzer = match active.take() {
            Some(mut current) => {
                current.analyzer.reconfigure(settings);
                current.analyzer
            }
            None => StatementAnalyzer::new(settings, self.hash_key),
        };
        *active = Some(ActiveClassifier {
            analyzer,
            path: definition.path.as_deref().map(Rc::from),
            check: definition.check(),
            groups: definition
                .groups
                .as_ref()
                .map(|groups| self.groups_by_class(groups)),
        });
    }

    /// Returns the resource groups by class, with their names as the settings map spells them.
    fn groups_by_class(&self, groups: &schema::Groups) -> [Rc<str>; 4] {
        let load = groups.load();
        let unknown = groups.unknown.as_deref().unwrap_or(load);
        let names = [groups.look_up(), groups.report(), load, unknown];
        names.map(|name| Rc::from(self.settings_name(name)))
    }

    /// Returns a group's name as the settings map spells it.
    fn settings_name<'a>(&'a self, name: &'a str) -> &'a str {
        self.groups
            .keys()
            .find(|known| settings::matches_name(known, name))
            .map_or(name, String::as_str)
    }

    /// Whether `path` is the HTTP path of queries that name no class.
    pub fn is_path(&self, path: &str) -> bool {
        let active = self.active.borrow();
        active
            .as_ref()
            .is_some_and(|active| active.path.as_deref() == Some(path))
    }

    /// Classifies the statement of a query that names no class. Returns `None` while the classifier is off, or if the
    /// operators' file assigns no resource groups to classes.
    pub fn classify(&self, statement: &[u8], now_ms: f64) -> Option<ClassifiedStatement> {
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        let analyzed = active.analyzer.analyze(statement);
        let analysis = &analyzed.analysis;
        let groups = active.groups.as_ref()?;
        let group = groups[analysis.class as usize].clone();
        self.counters
            .count_unclassed(analysis.class == Class::Unknown);
        let estimate = active.analyzer.estimate(&analyzed, now_ms);
        Some(ClassifiedStatement {
            group: Some(group),
            cost_ms: estimate.cost_ms,
            memory_mb: estimate.memory_mb,
            traits: StatementTraits {
                confidence: estimate.confidence,
                may_write: analysis.effect != Effect::ReadOnly,
            },
            shape: statement_shape(&analyzed),
        })
    }

    /// Compares the statement of a query with the class (`group`) that the query names. Returns `None` while this check
    /// is off. `id` is the query's id, for the log.
    pub fn check(&self, group: &str, id: &str, statement: &[u8]) -> Option<ClassifiedStatement> {
        let mut active = self.active.borrow_mut();
        let active = active
            .as_mut()
            .filter(|active| active.check != Check::Off)?;
        let analyzed = active.analyzer.analyze(statement);
        let analysis = &analyzed.analysis;
        let is_unproven_read_only = self.is_unproven_read_only(group, analysis);
        if is_unproven_read_only {
            self.counters.count_unproven_read_only();
            tracing::warn!(
                query = id,
                class = group,
                effect = analysis.effect.name(),
                reason = analysis.reason.as_deref().unwrap_or("statement text"),
                "class promises read-only, statement does not"
            );
        }
        if let Some(groups) = &active.groups {
            if *groups[analysis.class as usize] != *group {
                self.counters.count_class_mismatch();
            }
        }
        Some(ClassifiedStatement {
            group: None,
            cost_ms: 0.0,
            memory_mb: 0.0,
            traits: StatementTraits {
                confidence: 1.0,
                may_write: is_unproven_read_only && active.check == Check::Enforce,
            },
            shape: statement_shape(&analyzed),
        })
    }

    /// Whether the group is read-only and the statement is not proven read-only.
    fn is_unproven_read_only(&self, group: &str, analysis: &Analysis) -> bool {
        let is_read_only_group = self
            .groups
            .get(group)
            .is_some_and(|group| group.effect == settings::Effect::ReadOnly);
        is_read_only_group && analysis.effect != Effect::ReadOnly
    }

    /// Records the start times of engines. The cost model gives less weight to executions on an engine that is warming
    /// up.
    pub fn on_endpoints(&self, entries: &[EndpointEntry]) {
        self.warm_up.on_endpoints(entries);
    }

    /// Updates the cost model with an ended attempt of a classified query.
    pub fn on_attempt_ended(&self, event: &AttemptEnded, attempt: &ClassifiedAttempt, now_ms: f64) {
        let outcome = match event.outcome {
            Outcome::Completed => ExecutionOutcome::Completed,
            Outcome::Timeout => ExecutionOutcome::Interrupted,
            // The query never ran, or ended for a reason that may be unrelated to its cost.
            _ => return,
        };
        let mut active = self.active.borrow_mut();
        let Some(active) = active.as_mut() else {
            return;
        };
        let group = self.groups.get(&*attempt.group);
        let execution = Execution {
            ended_at_ms: now_ms,
            engine_id: event.engine_id,
            latency_ms: event.latency_ms,
            threads: group.map_or(1.0, |group| group.threads),
            outcome,
            waited: attempt.waited,
            warming_up: self.warm_up.is_warming_up(event.engine_id, now_ms),
        };
        let shape = attempt.shape;
        active
            .analyzer
            .record_execution(shape.shape_id, shape.class, shape.cost_ms, &execution);
    }

    /// Appends one line per counter; none while classification is off.
    pub fn write_counters(&self, text: &mut String) {
        if let Some(active) = self.active.borrow().as_ref() {
            self.counters.write(&active.analyzer.counts(), text);
        }
    }
}

impl std::fmt::Debug for StatementClassifier {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter
            .debug_struct("StatementClassifier")
            .field("counters", &self.counters)
            .finish_non_exhaustive()
    }
}

fn statement_shape(analyzed: &AnalyzedStatement) -> StatementShape {
    StatementShape {
        shape_id: analyzed.shape_id,
        class: analyzed.analysis.class,
        cost_ms: analyzed.analysis.cost_ms,
    }
}

#[cfg(test)]
mod tests;
