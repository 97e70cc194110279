//! Statements classed by their text, where the operators' file says so: which resource group a bare one runs in, what
//! it is likely to cost, and whether a named class promises what its text does not show.
//!
//! Nothing is decided here but the group of a query without one. Effect, cost and how sure it is go to the decisions
//! with the query, and they keep the rules.

use crate::query_registry::{EndpointEntry, QueryRegistry};
use crate::service_levels::ServiceLevels;
use crate::statement_shape::{ClassifiedAttempt, StatementShape};
use crate::zone_routing::ZoneRouting;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tansymux::events::{Outcome, StatementTraits};
use tansymux::settings::{self, RawSettings, SettingsMap};
use tansymux_operator_config::schema::statements::{Check, Dialect as ToldDialect};
use tansymux_operator_config::schema::{self, Class as ToldClass};
use tansymux_sql_analysis::{
    Class, Counts, Dialect, Effect, End, Learning, Observation, Prices, Read, Rule, Settings,
    Statements,
};

/// A statement as it was read for a query.
#[derive(Debug, Clone)]
pub struct Classed {
    /// The group that its class runs in; none where its client named one.
    pub rg: Option<Rc<str>>,
    pub cost: f64,
    pub memory: f64,
    pub text: StatementTraits,
    pub shape: StatementShape,
}

struct On {
    statements: Statements,
    path: Option<Rc<str>>,
    check: Check,
    /// By class, in the order of `Class::ALL`.
    groups: Option<[Rc<str>; 4]>,
}

pub struct StatementClassifier {
    on: RefCell<Option<On>>,
    /// Threads that a group's queries run on, its effect in the settings, and how long an engine is cold (ms).
    groups: FxHashMap<String, (f64, bool)>,
    cold_for: f64,
    /// When engines started, where the list tells.
    started: RefCell<FxHashMap<u64, f64>>,
    key: [u8; 16],
    /// Statements whose class was named and whose text was read in vain: it told of more.
    pub milder: Cell<u64>,
    pub other_class: Cell<u64>,
    pub bare: Cell<u64>,
    pub unknown: Cell<u64>,
}

impl StatementClassifier {
    /// `key`: secret, for the hashes of shapes.
    pub fn new(settings: &SettingsMap, key: [u8; 16]) -> Self {
        let count = settings
            .number(&settings::list_count("services"))
            .unwrap_or(0.0) as usize;
        let group = |i: usize| {
            let item = settings::list_item("services", i);
            let name = settings.get(&format!("{item}.name"))?.clone();
            let threads = settings
                .list("family-info.dop")
                .get(i)
                .and_then(|n| n.parse().ok())
                .unwrap_or(1.0f64);
            let reads = settings
                .get(&format!("{item}.effect"))
                .is_some_and(|effect| effect == "read_like");
            Some((name, (threads.max(1.0), reads)))
        };
        StatementClassifier {
            groups: (0..count).filter_map(group).collect(),
            cold_for: settings.millis("rules.warm-after-us").unwrap_or(0.0),
            key,
            on: RefCell::default(),
            started: RefCell::default(),
            milder: Cell::default(),
            other_class: Cell::default(),
            bare: Cell::default(),
            unknown: Cell::default(),
        }
    }

    /// Takes on what the operators' file says; what was learned of costs stays. It was checked before.
    pub fn set(&self, told: Option<&schema::Statements>) {
        let mut on = self.on.borrow_mut();
        let Some(told) = told.filter(|told| told.path.is_some() || told.check() != Check::Off)
        else {
            *on = None;
            return;
        };
        let statements = match on.take() {
            Some(mut before) => {
                before.statements.set(settings_of(told));
                before.statements
            }
            None => Statements::new(settings_of(told), self.key),
        };
        let groups = told.groups.as_ref().map(|groups| {
            let load = groups.load();
            let unknown = groups.unknown.as_deref().unwrap_or(load);
            [groups.look_up(), groups.report(), load, unknown]
                .map(|name| Rc::from(self.as_put(name)))
        });
        *on = Some(On {
            statements,
            path: told.path.as_deref().map(Rc::from),
            check: told.check(),
            groups,
        });
    }

    /// A group's name as the settings hold it.
    fn as_put(&self, name: &str) -> String {
        let known = self
            .groups
            .keys()
            .find(|known| settings::matches_name(known, name));
        known.map_or_else(|| name.to_owned(), Clone::clone)
    }

    /// Whether queries that name no class come by this path.
    pub fn is_path(&self, path: &str) -> bool {
        self.on
            .borrow()
            .as_ref()
            .is_some_and(|on| on.path.as_deref() == Some(path))
    }

    /// Reads a statement that comes without a class.
    pub fn bare(&self, statement: &[u8], now: f64) -> Option<Classed> {
        let mut on = self.on.borrow_mut();
        let on = on.as_mut()?;
        let read = on.statements.read(statement);
        let reading = &read.reading;
        let groups = on.groups.as_ref()?;
        let rg = groups[reading.class as usize].clone();
        self.bare.set(self.bare.get() + 1);
        if reading.class == Class::Unknown {
            self.unknown.set(self.unknown.get() + 1);
        }
        let estimate = on.statements.estimate(&read, now);
        let text = StatementTraits {
            confidence: estimate.sure,
            may_write: reading.effect != Effect::ReadOnly,
        };
        let (cost, memory, shape) = (estimate.cost, estimate.memory, shape_of(&read));
        Some(Classed {
            rg: Some(rg),
            cost,
            memory,
            text,
            shape,
        })
    }

    /// Reads a statement whose class was named, where it is checked. What its client told of cost and memory holds.
    pub fn named(&self, rg: &str, id: &str, statement: &[u8]) -> Option<Classed> {
        let mut on = self.on.borrow_mut();
        let on = on.as_mut().filter(|on| on.check != Check::Off)?;
        let read = on.statements.read(statement);
        let reading = &read.reading;
        let promised = self.groups.get(rg).is_some_and(|(_, reads)| *reads);
        let may_write = promised && reading.effect != Effect::ReadOnly;
        if may_write {
            self.milder.set(self.milder.get() + 1);
            let (effect, why) = (
                reading.effect.name(),
                reading.error.as_deref().unwrap_or("its text"),
            );
            tracing::warn!(
                query = id,
                class = rg,
                effect,
                why,
                "a class promises to read only and its text does not"
            );
        }
        if on
            .groups
            .as_ref()
            .is_some_and(|groups| *groups[reading.class as usize] != *rg)
        {
            self.other_class.set(self.other_class.get() + 1);
        }
        let may_write = may_write && on.check == Check::Enforce;
        let text = StatementTraits {
            confidence: 1.0,
            may_write,
        };
        Some(Classed {
            rg: None,
            cost: 0.0,
            memory: 0.0,
            text,
            shape: shape_of(&read),
        })
    }

    /// Follows when engines started: what runs on a cold one tells little of costs.
    pub fn listed(&self, engines: &[EndpointEntry]) {
        let mut started = self.started.borrow_mut();
        for engine in engines {
            match engine.started {
                Some(at) if engine.status != tansymux::events::EndpointState::Gone => {
                    started.insert(engine.engine_id, at);
                }
                _ => drop(started.remove(&engine.engine_id)),
            }
        }
    }

    /// A attempt of a query that was read has ended, after so long (ms), and perhaps having waited.
    pub fn ended(
        &self,
        taken: &ClassifiedAttempt,
        engine_id: u64,
        latency: f64,
        outcome: Outcome,
        now: f64,
    ) {
        let end = match outcome {
            Outcome::Completed => End::Completed,
            Outcome::Timeout => End::CutOff,
            // Given up for what may have nothing to do with its cost, or never ran.
            _ => return,
        };
        let mut on = self.on.borrow_mut();
        let Some(on) = on.as_mut() else { return };
        let threads = self
            .groups
            .get(&*taken.rg)
            .map_or(1.0, |(threads, _)| *threads);
        let cold = self
            .started
            .borrow()
            .get(&engine_id)
            .is_some_and(|started| now - started < self.cold_for);
        let seen = Observation {
            now,
            engine: engine_id,
            latency,
            threads,
            end,
            waited: taken.waited,
            cold,
        };
        on.statements.ended(
            taken.shape.shape,
            taken.shape.class,
            taken.shape.cost,
            &seen,
        );
    }

    pub fn counts(&self) -> Option<Counts> {
        self.on.borrow().as_ref().map(|on| on.statements.counts())
    }

    /// Lines for the counters; none while off.
    pub fn report(&self, text: &mut String) {
        use std::fmt::Write;
        let Some(counts) = self.counts() else { return };
        for (name, count) in [
            ("statements_bare", self.bare.get()),
            ("statements_unknown", self.unknown.get()),
            ("statements_milder_class_named", self.milder.get()),
            ("statements_other_class_named", self.other_class.get()),
            ("statement_hits", counts.hits),
            ("statement_misses", counts.misses),
            ("statement_collisions", counts.collisions),
            ("statement_shapes", counts.shapes as u64),
            ("statement_shape_bytes", counts.bytes),
            ("statement_costs", counts.costs as u64),
        ] {
            let _ = writeln!(text, "{name} {count}");
        }
    }
}

impl std::fmt::Debug for StatementClassifier {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Classes")
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

fn shape_of(read: &Read) -> StatementShape {
    StatementShape {
        shape: read.shape,
        class: read.reading.class,
        cost: read.reading.cost,
    }
}

/// The operators' words as settings; what is not given takes its default.
pub fn settings_of(told: &schema::Statements) -> Settings {
    let mut settings = Settings::default();
    if !told.dialect.is_empty() {
        let dialect = |told| match told {
            ToldDialect::Generic => Dialect::Generic,
            ToldDialect::Ansi => Dialect::Ansi,
            ToldDialect::Postgresql => Dialect::PostgreSql,
            ToldDialect::Mysql => Dialect::MySql,
        };
        settings.dialects = told.dialect().map(dialect).collect();
    }
    if !told.rule.is_empty() {
        settings.rules = told.rule.iter().map(rule_of).collect();
    }
    let lower = |names: &[String]| names.iter().map(|name| name.to_ascii_lowercase()).collect();
    settings.pure_functions = lower(&told.pure_function);
    settings.effect_functions = lower(&told.effect_function);
    let e = told.estimate.unwrap_or_default();
    settings.prices = Prices {
        cost: [e.look_up_ms(), e.report_ms(), e.load_ms(), e.unknown_ms()],
        memory: [e.look_up_mb(), e.report_mb(), e.load_mb(), e.unknown_mb()],
        a_join: e.a_join(),
        a_window: e.a_window(),
        an_order: e.an_order(),
        no_filter: e.no_filter(),
    };
    let cache = told.cache.unwrap_or_default();
    settings.max_shapes = cache.shapes() as usize;
    settings.max_bytes = cache.bytes() as usize;
    settings.max_costs = cache.costs() as usize;
    let learning = told.learning.unwrap_or_default();
    settings.learning = Learning {
        half_sure: learning.half_sure(),
        half_life: learning.half_life_s() * 1000.0,
        shift_after: learning.shift_after(),
        max_step: learning.most_step(),
    };
    settings
}

fn rule_of(told: &schema::Rule) -> Rule {
    let class = match told.class() {
        ToldClass::LookUp => Class::LookUp,
        ToldClass::Report => Class::Report,
        ToldClass::Load => Class::Load,
    };
    Rule {
        class,
        min_joins: told.least_joins(),
        min_tables: told.least_tables(),
        min_subqueries: told.least_subqueries(),
        grouped: told.grouped,
        distinct: told.distinct,
        aggregated: told.aggregated,
        windowed: told.windowed,
        united: told.united,
        ordered: told.ordered,
        limited: told.limited,
        recursive: told.recursive,
        pointed: told.pointed,
        filtered: told.filtered,
        reads: told.reads,
    }
}

/// All counters as text: those of the registry, of statements, of levels and of zones.
pub fn counters(
    registry: &QueryRegistry,
    classes: &StatementClassifier,
    levels: &ServiceLevels,
    zones: &ZoneRouting,
) -> String {
    let mut text = registry.counters.report(registry.in_flight());
    classes.report(&mut text);
    levels.report(&mut text);
    zones.report(&mut text);
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_operators_example_gives_the_same_settings_as_none() {
        let text = include_str!("../../../deploy/operator.textproto");
        let operator = tansymux_operator_config::parse(text).unwrap();
        assert_eq!(
            settings_of(&operator.statements.unwrap()),
            Settings::default()
        );
        assert_eq!(
            settings_of(&schema::Statements::default()),
            Settings::default()
        );
    }

    #[test]
    fn off_reads_nothing_and_other_rules_leave_what_was_learned() {
        let settings = settings::parse_pairs(
            "services.count=2 services.0.name=look services.0.effect=read_like services.1.name=load \
             services.1.effect=non_idempotent family-info.dop=1,4",
        );
        let classes = StatementClassifier::new(&settings.unwrap(), [1; 16]);
        assert!(
            classes.bare(b"select 1", 0.0).is_none()
                && classes.named("look", "1", b"delete from t").is_none()
        );
        let told = |check: Check| schema::Statements {
            path: Some("/s".into()),
            check: Some(check as i32),
            groups: Some(schema::Groups {
                look_up: Some("look".into()),
                report: Some("look".into()),
                load: Some("load".into()),
                unknown: None,
            }),
            ..Default::default()
        };
        classes.set(Some(&told(Check::Log)));
        let first = classes.bare(b"select a from t where b = 1", 0.0).unwrap();
        assert_eq!(
            (first.rg.as_deref(), first.text.may_write),
            (Some("look"), false)
        );
        let taken = ClassifiedAttempt {
            shape: first.shape,
            rg: "look".into(),
            waited: false,
        };
        (0..9).for_each(|_| classes.ended(&taken, 1, 7.0, Outcome::Completed, 0.0));
        let unknown = classes.bare(b"call f()", 0.0).unwrap();
        assert_eq!(
            (unknown.rg.as_deref(), unknown.text.may_write),
            (Some("load"), true)
        );
        assert!(
            !classes
                .named("look", "1", b"delete from t")
                .unwrap()
                .text
                .may_write
        );
        classes.set(Some(&told(Check::Enforce)));
        assert!(
            classes
                .named("look", "1", b"delete from t")
                .unwrap()
                .text
                .may_write
        );
        assert!(
            !classes
                .named("load", "1", b"delete from t")
                .unwrap()
                .text
                .may_write
        );
        assert_eq!(classes.milder.get(), 2);
        let again = classes.bare(b"select a from t where b = 2", 0.0).unwrap();
        assert!(
            (again.cost - 7.0).abs() < 0.1 && again.text.confidence > 0.4,
            "{again:?}"
        );
        classes.set(None);
        assert!(!classes.is_path("/s"));
    }
}
