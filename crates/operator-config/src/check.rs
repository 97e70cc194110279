//! What the types of the schema can't say: ranges, references, duplicates.

use crate::place::Places;
use crate::schema::{Class, Log, Operator, Rule, Statements};
use crate::Fault;
use std::collections::HashSet;

/// Paths that the dispatcher answers itself or that name a class.
const PATHS_TAKEN: [&str; 3] = ["/_", "/invoke/", "/query/"];

pub(crate) struct Faults<'a> {
    places: &'a Places,
    all: Vec<Fault>,
}

impl Faults<'_> {
    pub(crate) fn add(&mut self, key: &str, found: impl Into<String>, allowed: impl Into<String>) {
        // What is left out has no place of its own: the message it is missing in has.
        let over = |key: &str| key.rsplit_once('.').map(|(over, _)| over.to_owned());
        let mut named = Some(key.to_owned());
        let mut at = None;
        while let Some(name) = named.filter(|_| at.is_none()) {
            at = self.places.of(&name);
            named = over(&name);
        }
        self.all.push(Fault {
            at,
            key: key.to_owned(),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    /// A number that is given must lie in a range.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(crate) fn within(
        &mut self,
        key: &str,
        given: Option<impl Into<f64>>,
        least: f64,
        most: f64,
    ) {
        if let Some(given) = given.map(Into::into) {
            if !(given >= least && given <= most) {
                self.add(key, given.to_string(), format!("{least} to {most}"));
            }
        }
    }
}

pub fn check(operator: &Operator, places: &Places) -> Vec<Fault> {
    let mut faults = Faults {
        places,
        all: Vec::new(),
    };
    if let Some(log) = &operator.log {
        of_log(log, &mut faults);
    }
    if let Some(statements) = &operator.statements {
        of_statements(statements, &mut faults);
    }
    if let Some(levels) = &operator.levels {
        crate::levels::check(levels, &mut faults);
    }
    if let Some(halls) = &operator.halls {
        crate::zone_routing::check(halls, &mut faults);
    }
    if let Some(fleet) = &operator.fleet {
        crate::fleet::check(fleet, &mut faults);
        if fleet.zones.is_some() && operator.halls.is_none() {
            faults.add(
                "fleet.zones",
                "without halls",
                "a block halls beside it, which judges what one dispatcher sees",
            );
        }
    }
    faults.all
}

fn of_log(log: &Log, faults: &mut Faults) {
    faults.within("log.lines_a_second", log.lines_a_second, 1.0, 1000.0);
    faults.within("log.lines_at_once", log.lines_at_once, 1.0, 10_000.0);
}

fn of_statements(s: &Statements, faults: &mut Faults) {
    if let Some(path) = &s.path {
        let of_path = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'/' | b'_' | b'-' | b'.');
        let good = path.starts_with('/')
            && path.len() > 1
            && path.len() <= 128
            && path.bytes().all(of_path);
        let taken = PATHS_TAKEN.iter().any(|taken| path.starts_with(taken)) || path == "/invoke";
        if !good || taken {
            let allowed = "a path of letters, digits and / _ - . that no other call uses";
            faults.add("statements.path", format!("{path:?}"), allowed);
        }
        let groups = s.groups.as_ref();
        let named = |name: Option<&String>| name.is_some_and(|name| !name.is_empty());
        for (key, name) in [
            ("look_up", groups.and_then(|g| g.look_up.as_ref())),
            ("report", groups.and_then(|g| g.report.as_ref())),
            ("load", groups.and_then(|g| g.load.as_ref())),
        ] {
            if !named(name) {
                let key = format!("statements.groups.{key}");
                faults.add(
                    &key,
                    "missing",
                    "the name of a resource group, as statements.path is given",
                );
            }
        }
    }
    let mut dialects = HashSet::new();
    for (n, dialect) in s.dialect().enumerate() {
        if !dialects.insert(dialect) {
            let key = format!("statements.dialect.{n}");
            faults.add(
                &key,
                format!("{} a second time", dialect.as_str_name()),
                "each dialect once",
            );
        }
    }
    of_rules(&s.rule, faults);
    of_functions(s, faults);
    if let Some(e) = &s.estimate {
        let costs = [
            ("look_up_ms", e.look_up_ms),
            ("report_ms", e.report_ms),
            ("load_ms", e.load_ms),
            ("unknown_ms", e.unknown_ms),
            ("look_up_mb", e.look_up_mb),
            ("report_mb", e.report_mb),
            ("load_mb", e.load_mb),
            ("unknown_mb", e.unknown_mb),
        ];
        for (name, given) in costs {
            faults.within(&format!("statements.estimate.{name}"), given, 1e-3, 1e9);
        }
        let factors = [
            ("a_join", e.a_join),
            ("a_window", e.a_window),
            ("an_order", e.an_order),
            ("no_filter", e.no_filter),
        ];
        for (name, given) in factors {
            faults.within(&format!("statements.estimate.{name}"), given, 1.0, 10.0);
        }
    }
    if let Some(cache) = &s.cache {
        faults.within("statements.cache.shapes", cache.shapes, 16.0, 1e6);
        faults.within(
            "statements.cache.bytes",
            cache.bytes,
            65_536.0,
            f64::from(1 << 30),
        );
        faults.within("statements.cache.costs", cache.costs, 16.0, 1e6);
    }
    if let Some(learning) = &s.learning {
        faults.within(
            "statements.learning.half_sure",
            learning.half_sure,
            1.0,
            100.0,
        );
        faults.within(
            "statements.learning.half_life_s",
            learning.half_life_s,
            1.0,
            1e7,
        );
        faults.within(
            "statements.learning.shift_after",
            learning.shift_after,
            2.0,
            20.0,
        );
        faults.within(
            "statements.learning.most_step",
            learning.most_step,
            1.1,
            100.0,
        );
    }
}

/// A rule needs a class, must not send what only reads to LOAD, and must be reachable: one that asks for all that
/// an earlier one asks for never speaks.
fn of_rules(rules: &[Rule], faults: &mut Faults) {
    for (n, rule) in rules.iter().enumerate() {
        let key = format!("statements.rule.{n}");
        match rule.class.map(Class::try_from) {
            None => faults.add(&format!("{key}.class"), "missing", "LOOK_UP or REPORT"),
            Some(Ok(Class::Load)) => {
                let allowed = "LOOK_UP or REPORT, as a rule speaks of what only reads";
                faults.add(&format!("{key}.class"), "LOAD", allowed);
            }
            Some(_) => {}
        }
        for (name, least) in [
            ("least_joins", rule.least_joins),
            ("least_tables", rule.least_tables),
            ("least_subqueries", rule.least_subqueries),
        ] {
            faults.within(&format!("{key}.{name}"), least, 1.0, 1000.0);
        }
        if let Some(earlier) = rules[..n]
            .iter()
            .position(|earlier| asks_no_more(earlier, rule))
        {
            faults.add(
                &key,
                format!("shadowed by statements.rule.{earlier}"),
                "a rule that can be reached",
            );
        }
    }
}

/// Whether whatever satisfies `later` satisfies `earlier`.
fn asks_no_more(earlier: &Rule, later: &Rule) -> bool {
    let least = |a: Option<u32>, b: Option<u32>| a.is_none_or(|a| b.is_some_and(|b| b >= a));
    let same = |a: Option<bool>, b: Option<bool>| a.is_none() || a == b;
    least(earlier.least_joins, later.least_joins)
        && least(earlier.least_tables, later.least_tables)
        && least(earlier.least_subqueries, later.least_subqueries)
        && same(earlier.grouped, later.grouped)
        && same(earlier.distinct, later.distinct)
        && same(earlier.aggregated, later.aggregated)
        && same(earlier.windowed, later.windowed)
        && same(earlier.united, later.united)
        && same(earlier.ordered, later.ordered)
        && same(earlier.limited, later.limited)
        && same(earlier.recursive, later.recursive)
        && same(earlier.pointed, later.pointed)
        && same(earlier.filtered, later.filtered)
        && same(earlier.reads, later.reads)
}

fn of_functions(s: &Statements, faults: &mut Faults) {
    let mut seen = HashSet::new();
    let lists = [
        ("pure_function", &s.pure_function),
        ("effect_function", &s.effect_function),
    ];
    for (list, names) in lists {
        for (n, name) in names.iter().enumerate() {
            let key = format!("statements.{list}.{n}");
            let part = |part: &str| {
                part.bytes()
                    .next()
                    .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_')
                    && part.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
            };
            if !name.split('.').all(part) || name.len() > 128 {
                faults.add(
                    &key,
                    format!("{name:?}"),
                    "a name, or schema.name, of letters, digits and _",
                );
            } else if !seen.insert(name.to_ascii_lowercase()) {
                faults.add(
                    &key,
                    format!("{name:?} a second time"),
                    "each function once in both lists",
                );
            }
        }
    }
}
