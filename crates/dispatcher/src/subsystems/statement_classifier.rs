//! Classification of statements by their text, where the operators' file enables it: the resource group of a query that
//! names none, its estimated cost, and whether its text may write although its class is read-only.
//!
//! The classifier decides only on the group of a query without one. Other findings are passed to the decisions with the
//! query. The `tansymux-sql-analysis` package analyzes SQL. Start reading at [`StatementClassifier::classify`].
//!
//! | file | concern |
//! | --- | --- |
//! | `definition` | the operators' file as configuration of the analysis |
//! | `counters` | counts of statements |
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
    Analysis, AnalyzedStatement, Class, Effect, Execution, ExecutionEnd, StatementAnalyzer,
};
use warm_up::WarmUpTracker;

/// The classification of a query's statement at the query's arrival.
#[derive(Debug, Clone)]
pub struct ClassifiedStatement {
    /// The resource group of the statement's class; none where the query names its group.
    pub group: Option<Rc<str>>,
    /// Estimated cost (ms on one core); 0 where the query names its group, since the client's own estimate is used then.
    pub cost_ms: f64,
    /// Estimated memory (MB); 0 where the query names its group.
    pub memory_mb: f64,
    /// Input of the decisions.
    pub traits: StatementTraits,
    /// Input of the cost model at the end of an attempt.
    pub shape: StatementShape,
}

/// The classifier while the operators' file enables it.
struct ActiveClassifier {
    analyzer: StatementAnalyzer,
    /// HTTP path of statements without a class.
    path: Option<Rc<str>>,
    /// Whether the class that a query names is compared with its statement, and enforced.
    check: Check,
    /// Resource groups by class, in the order of `Class::ALL`.
    groups: Option<[Rc<str>; 4]>,
}

/// The classifier of this dispatcher.
pub struct StatementClassifier {
    active: RefCell<Option<ActiveClassifier>>,
    groups: FxHashMap<String, GroupSettings>,
    warm_up: WarmUpTracker,
    hash_key: [u8; 16],
    counters: StatementCounters,
}

impl StatementClassifier {
    /// Classification is off until [`reconfigure`](Self::reconfigure) defines it. `warm_up_ms`: how long an engine is
    /// warming up after its start. `hash_key` is secret: a client that knows it could make shapes collide.
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

    /// Applies `statements` of a valid operators' file. Learned costs are kept, unless classification is switched off.
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

    /// Names of groups by class, as the settings map holds them.
    fn groups_by_class(&self, groups: &schema::Groups) -> [Rc<str>; 4] {
        let load = groups.load();
        let unknown = groups.unknown.as_deref().unwrap_or(load);
        let names = [groups.look_up(), groups.report(), load, unknown];
        names.map(|name| Rc::from(self.settings_name(name)))
    }

    /// A group's name as the settings map holds it.
    fn settings_name<'a>(&'a self, name: &'a str) -> &'a str {
        self.groups
            .keys()
            .find(|known| settings::matches_name(known, name))
            .map_or(name, String::as_str)
    }

    /// Whether this is the HTTP path of queries without a class.
    pub fn is_path(&self, path: &str) -> bool {
        let active = self.active.borrow();
        active
            .as_ref()
            .is_some_and(|active| active.path.as_deref() == Some(path))
    }

    /// Classifies the statement of a query that names no class; none while that is off.
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
            shape: shape_of(&analyzed),
        })
    }

    /// Compares the statement of a query with the class (`group`) that the query names; none while that is off. `id` is
    /// the query's id, for the log.
    pub fn check(&self, group: &str, id: &str, statement: &[u8]) -> Option<ClassifiedStatement> {
        let mut active = self.active.borrow_mut();
        let active = active
            .as_mut()
            .filter(|active| active.check != Check::Off)?;
        let analyzed = active.analyzer.analyze(statement);
        let analysis = &analyzed.analysis;
        let is_understated = self.is_understated(group, analysis);
        if is_understated {
            self.counters.count_understated();
            tracing::warn!(
                query = id,
                class = group,
                effect = analysis.effect.name(),
                reason = analysis.reason.as_deref().unwrap_or("its text"),
                "class promises read-only, statement does not"
            );
        }
        if let Some(groups) = &active.groups {
            if *groups[analysis.class as usize] != *group {
                self.counters.count_other_class();
            }
        }
        Some(ClassifiedStatement {
            group: None,
            cost_ms: 0.0,
            memory_mb: 0.0,
            traits: StatementTraits {
                confidence: 1.0,
                may_write: is_understated && active.check == Check::Enforce,
            },
            shape: shape_of(&analyzed),
        })
    }

    /// Whether the group is one of read-only queries, and the statement is not proven read-only.
    fn is_understated(&self, group: &str, analysis: &Analysis) -> bool {
        let is_read_only_group = self
            .groups
            .get(group)
            .is_some_and(|group| group.effect == settings::Effect::ReadOnly);
        is_read_only_group && analysis.effect != Effect::ReadOnly
    }

    /// Records the start times of engines: the cost model gives runs on an engine that is warming up less weight.
    pub fn on_endpoints(&self, entries: &[EndpointEntry]) {
        self.warm_up.on_endpoints(entries);
    }

    /// Updates the cost model with the end of an attempt of a classified query.
    pub fn on_attempt_ended(&self, event: &AttemptEnded, attempt: &ClassifiedAttempt, now_ms: f64) {
        let end = match event.outcome {
            Outcome::Completed => ExecutionEnd::Completed,
            Outcome::Timeout => ExecutionEnd::Interrupted,
            // The query never ran, or its end may be unrelated to its cost.
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
            end,
            waited: attempt.waited,
            warming_up: self.warm_up.is_warming_up(event.engine_id, now_ms),
        };
        let shape = attempt.shape;
        active
            .analyzer
            .record_execution(shape.shape_id, shape.class, shape.cost_ms, &execution);
    }

    /// Appends a line for each counter; none while off.
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

fn shape_of(analyzed: &AnalyzedStatement) -> StatementShape {
    StatementShape {
        shape_id: analyzed.shape_id,
        class: analyzed.analysis.class,
        cost_ms: analyzed.analysis.cost_ms,
    }
}

#[cfg(test)]
mod tests;
