//! Rules that assign a class to a read-only statement by its features.

use crate::{Class, Features};

/// A rule: a statement matches if it meets every condition. `Some(true)` requires a feature, `Some(false)` excludes it,
/// and `None` ignores it.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// The class of statements that match.
    pub class: Class,
    /// At least this many joins.
    pub min_joins: u32,
    /// At least this many tables.
    pub min_tables: u32,
    /// At least this many subqueries.
    pub min_subqueries: u32,
    /// With or without GROUP BY.
    pub grouped: Option<bool>,
    /// With or without DISTINCT.
    pub distinct: Option<bool>,
    /// With or without an aggregate function.
    pub aggregated: Option<bool>,
    /// With or without window functions.
    pub windowed: Option<bool>,
    /// With or without UNION, EXCEPT or INTERSECT.
    pub set_operation: Option<bool>,
    /// With or without ORDER BY.
    pub ordered: Option<bool>,
    /// With or without LIMIT, FETCH or TOP.
    pub limited: Option<bool>,
    /// With or without WITH RECURSIVE.
    pub recursive: Option<bool>,
    /// With or without a condition that a column equals a literal, or one of a list of literals, for every row.
    pub point_lookup: Option<bool>,
    /// With or without WHERE or a semi join.
    pub filtered: Option<bool>,
    /// With or without a table.
    pub reads_tables: Option<bool>,
}

impl Rule {
    /// A rule that every statement matches.
    pub fn for_all(class: Class) -> Self {
        Rule {
            class,
            min_joins: 0,
            min_tables: 0,
            min_subqueries: 0,
            grouped: None,
            distinct: None,
            aggregated: None,
            windowed: None,
            set_operation: None,
            ordered: None,
            limited: None,
            recursive: None,
            point_lookup: None,
            filtered: None,
            reads_tables: None,
        }
    }

    /// Whether a statement with these features meets every condition.
    pub fn matches(&self, features: &Features) -> bool {
        features.joins >= self.min_joins
            && features.tables >= self.min_tables
            && features.subqueries >= self.min_subqueries
            && meets(self.grouped, features.grouped)
            && meets(self.distinct, features.distinct)
            && meets(self.aggregated, features.aggregated)
            && meets(self.windowed, features.windows > 0)
            && meets(self.set_operation, features.set_operation)
            && meets(self.ordered, features.ordered)
            && meets(self.limited, features.limited)
            && meets(self.recursive, features.recursive)
            && meets(self.point_lookup, features.point_lookup)
            && meets(self.filtered, features.filtered)
            && meets(self.reads_tables, features.tables > 0)
    }

    /// The default rules, used if none are configured.
    pub fn defaults() -> Vec<Rule> {
        vec![
            Rule::with(Class::LookUp, |rule| rule.reads_tables = Some(false)),
            Rule::with(Class::Report, |rule| rule.recursive = Some(true)),
            Rule::with(Class::Report, |rule| rule.windowed = Some(true)),
            Rule::with(Class::Report, |rule| rule.min_joins = 4),
            Rule::with(Class::LookUp, |rule| {
                rule.point_lookup = Some(true);
                rule.grouped = Some(false);
                rule.set_operation = Some(false);
                rule.min_tables = 1;
                rule.distinct = Some(false);
            }),
            Rule::with(Class::Report, |rule| rule.grouped = Some(true)),
            Rule::with(Class::Report, |rule| rule.set_operation = Some(true)),
            Rule::with(Class::Report, |rule| rule.distinct = Some(true)),
            Rule::with(Class::Report, |rule| rule.aggregated = Some(true)),
            Rule::with(Class::Report, |rule| {
                rule.filtered = Some(false);
                rule.limited = Some(false);
            }),
            Rule::with(Class::Report, |rule| rule.min_joins = 2),
        ]
    }

    /// A rule with the conditions that `set` adds.
    fn with(class: Class, set: impl FnOnce(&mut Rule)) -> Self {
        let mut rule = Rule::for_all(class);
        set(&mut rule);
        rule
    }
}

/// Whether a value meets a condition. A missing condition is always met.
fn meets(condition: Option<bool>, value: bool) -> bool {
    condition.is_none_or(|expected| expected == value)
}
