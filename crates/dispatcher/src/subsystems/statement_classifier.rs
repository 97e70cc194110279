//! Classification of statements by their text, where the operators' file asks for it: the resource group of a query that
//! names none, its likely cost, and whether its text does more than its class promises.
//!
//! Only the group of a query without one is decided here. What else the text shows goes to the decisions with the query.
//! Reading SQL is the `tansymux-sql-analysis` package's. Start reading at [`StatementClassifier::classify`].

mod definition;

pub use definition::analysis_settings;

use crate::query_registry::EndpointEntry;
use crate::statement_shape::{ClassifiedAttempt, StatementShape};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use tansymux::events::{AttemptEnded, EndpointState, Outcome, StatementTraits};
use tansymux::settings::{self, GroupSettings, Settings};
use tansymux_operator_config::schema;
use tansymux_operator_config::schema::statements::Check;
use tansymux_sql_analysis::{
    AnalyzedStatement, CacheCounts, Class, Effect, Execution, ExecutionEnd, StatementAnalyzer,
};

/// What a query's statement was read as, when the query came in.
#[derive(Debug, Clone)]
pub struct ClassifiedStatement {
    /// The resource group that its class runs in; none where the query names its group.
    pub group: Option<Rc<str>>,
    /// Estimated cost (ms on one core); 0 where the query names its group: what its client says holds.
    pub cost_ms: f64,
    /// Estimated memory (MB); 0 where the query names its group.
    pub memory_mb: f64,
    /// For the decisions.
    pub traits: StatementTraits,
    /// For the cost model, when an attempt ends.
    pub shape: StatementShape,
}

/// What the operators' file asks for.
struct ActiveClassifier {
    analyzer: StatementAnalyzer,
    /// Path that statements without a class come by.
    path: Option<Rc<str>>,
    /// What is done about statements with a class.
    check: Check,
    /// Resource groups by class, in the order of `Class::ALL`.
    groups: Option<[Rc<str>; 4]>,
}

/// The classifier of this dispatcher.
pub struct StatementClassifier {
    active: RefCell<Option<ActiveClassifier>>,
    groups: FxHashMap<String, GroupSettings>,
    /// How long (ms) after its start an engine is cold.
    warm_up_ms: f64,
    /// When engines started, where the endpoint list says so.
    engine_starts_ms: RefCell<FxHashMap<u64, f64>>,
    hash_key: [u8; 16],
    counts: StatementCounts,
}

/// Counts since the start.
#[derive(Debug, Default)]
struct StatementCounts {
    /// Statements without a class.
    unclassed: Cell<u64>,
    /// Of these, the ones that could not be classified.
    unknown: Cell<u64>,
    /// Statements whose class promises to read only, and whose text does not show that.
    understated: Cell<u64>,
    /// Statements whose text is of another class than they name.
    other_class: Cell<u64>,
}

impl StatementClassifier {
    /// Classification is off until [`reconfigure`](Self::reconfigure) defines it. `warm_up_ms`: how long after its start an
    /// engine is cold. `hash_key` is secret: with it a client could make shapes collide.
    pub fn new(settings: &Settings, warm_up_ms: f64, hash_key: [u8; 16]) -> Self {
        let mut groups = FxHashMap::default();
        for group in &settings.groups {
            groups.insert(group.name.clone(), group.clone());
        }
        StatementClassifier {
            active: RefCell::default(),
            groups,
            warm_up_ms,
            engine_starts_ms: RefCell::default(),
            hash_key,
            counts: StatementCounts::default(),
        }
    }

    /// Applies `statements` of an operators' file that was checked. What was learned of costs is kept, unless
    /// classification is switched off.
    pub fn reconfigure(&self, definition: Option<&schema::Statements>) {
        let mut active = self.active.borrow_mut();
        let is_wanted = |definition: &&schema::Statements| {
            definition.path.is_some() || definition.check() != Check::Off
        };
        let Some(definition) = definition.filter(is_wanted) else {
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

    /// Whether queries without a class come by this path.
    pub fn is_path(&self, path: &str) -> bool {
        let active = self.active.borrow();
        active
            .as_ref()
            .is_some_and(|active| active.path.as_deref() == Some(path))
    }

    /// Reads a statement that comes without a class. None while that is off.
    pub fn classify(&self, statement: &[u8], now_ms: f64) -> Option<ClassifiedStatement> {
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        let analyzed = active.analyzer.analyze(statement);
        let analysis = &analyzed.analysis;
        let groups = active.groups.as_ref()?;
        let group = groups[analysis.class as usize].clone();
        increment(&self.counts.unclassed);
        if analysis.class == Class::Unknown {
            increment(&self.counts.unknown);
        }
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

    /// Reads a statement that names its class, and compares the two. None while that is off.
    pub fn check(&self, group: &str, id: &str, statement: &[u8]) -> Option<ClassifiedStatement> {
        let mut active = self.active.borrow_mut();
        let active = active
            .as_mut()
            .filter(|active| active.check != Check::Off)?;
        let analyzed = active.analyzer.analyze(statement);
        let analysis = &analyzed.analysis;
        let promises_read_only = self
            .groups
            .get(group)
            .is_some_and(|group| group.effect == settings::Effect::ReadOnly);
        let understated = promises_read_only && analysis.effect != Effect::ReadOnly;
        if understated {
            increment(&self.counts.understated);
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
                increment(&self.counts.other_class);
            }
        }
        Some(ClassifiedStatement {
            group: None,
            cost_ms: 0.0,
            memory_mb: 0.0,
            traits: StatementTraits {
                confidence: 1.0,
                may_write: understated && active.check == Check::Enforce,
            },
            shape: shape_of(&analyzed),
        })
    }

    /// Keeps when engines started: a run on a cold one says little of a statement's cost.
    pub fn on_endpoints(&self, entries: &[EndpointEntry]) {
        let mut starts = self.engine_starts_ms.borrow_mut();
        for entry in entries {
            match entry.started_ms {
                Some(started_ms) if entry.state != EndpointState::Gone => {
                    starts.insert(entry.engine_id, started_ms);
                }
                _ => {
                    starts.remove(&entry.engine_id);
                }
            }
        }
    }

    /// Learns from the end of an attempt of a query whose statement was read.
    pub fn on_attempt_ended(&self, event: &AttemptEnded, attempt: &ClassifiedAttempt, now_ms: f64) {
        let end = match event.outcome {
            Outcome::Completed => ExecutionEnd::Completed,
            Outcome::Timeout => ExecutionEnd::Interrupted,
            // It never ran, or ended for what may have nothing to do with its cost.
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
            warming_up: self.is_cold(event.engine_id, now_ms),
        };
        let shape = attempt.shape;
        active
            .analyzer
            .record_execution(shape.shape_id, shape.class, shape.cost_ms, &execution);
    }

    fn is_cold(&self, engine_id: u64, now_ms: f64) -> bool {
        let starts = self.engine_starts_ms.borrow();
        starts
            .get(&engine_id)
            .is_some_and(|started_ms| now_ms - started_ms < self.warm_up_ms)
    }

    /// Counts of the analysis; none while off.
    fn analysis_counts(&self) -> Option<CacheCounts> {
        let active = self.active.borrow();
        active.as_ref().map(|active| active.analyzer.counts())
    }

    /// Lines for the counters; none while off.
    pub fn write_counters(&self, text: &mut String) {
        let Some(analysis) = self.analysis_counts() else {
            return;
        };
        for (name, count) in [
            ("statements_bare", self.counts.unclassed.get()),
            ("statements_unknown", self.counts.unknown.get()),
            (
                "statements_milder_class_named",
                self.counts.understated.get(),
            ),
            (
                "statements_other_class_named",
                self.counts.other_class.get(),
            ),
            ("statement_hits", analysis.hits),
            ("statement_misses", analysis.misses),
            ("statement_collisions", analysis.collisions),
            ("statement_shapes", analysis.shapes as u64),
            ("statement_shape_bytes", analysis.bytes),
            ("statement_costs", analysis.learned_costs as u64),
        ] {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{name} {count}");
        }
    }
}

impl std::fmt::Debug for StatementClassifier {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter
            .debug_struct("StatementClassifier")
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
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
