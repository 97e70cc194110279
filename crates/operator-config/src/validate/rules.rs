//! Checks of `statements.rule`: each rule must have a class of read-only statements and must be reachable.

use crate::error_collector::ErrorCollector;
use crate::schema::{Class, Rule};

pub(super) fn validate(rules: &[Rule], errors: &mut ErrorCollector) {
    for (index, rule) in rules.iter().enumerate() {
        let key = format!("statements.rule.{index}");
        validate_class(&key, rule, errors);
        for (name, min_count) in [
            ("least_joins", rule.least_joins),
            ("least_tables", rule.least_tables),
            ("least_subqueries", rule.least_subqueries),
        ] {
            errors.check_range(&format!("{key}.{name}"), min_count, 1.0, 1000.0);
        }
        let shadowed_by = rules[..index]
            .iter()
            .position(|earlier| includes(earlier, rule));
        if let Some(earlier) = shadowed_by {
            let found = format!("shadowed by statements.rule.{earlier}");
            errors.add(&key, found, "a rule that can be reached");
        }
    }
}

fn validate_class(key: &str, rule: &Rule, errors: &mut ErrorCollector) {
    match rule.class.map(Class::try_from) {
        None => errors.add_missing(&format!("{key}.class"), "LOOK_UP or REPORT"),
        Some(Ok(Class::Load)) => {
            let allowed = "LOOK_UP or REPORT, since rules apply to read-only statements";
            errors.add(&format!("{key}.class"), "LOAD", allowed);
        }
        Some(_) => {}
    }
}

/// Whether every statement that matches `later` also matches `earlier`, so that `later` is never reached.
fn includes(earlier: &Rule, later: &Rule) -> bool {
    includes_min(earlier.least_joins, later.least_joins)
        && includes_min(earlier.least_tables, later.least_tables)
        && includes_min(earlier.least_subqueries, later.least_subqueries)
        && includes_flag(earlier.grouped, later.grouped)
        && includes_flag(earlier.distinct, later.distinct)
        && includes_flag(earlier.aggregated, later.aggregated)
        && includes_flag(earlier.windowed, later.windowed)
        && includes_flag(earlier.united, later.united)
        && includes_flag(earlier.ordered, later.ordered)
        && includes_flag(earlier.limited, later.limited)
        && includes_flag(earlier.recursive, later.recursive)
        && includes_flag(earlier.pointed, later.pointed)
        && includes_flag(earlier.filtered, later.filtered)
        && includes_flag(earlier.reads, later.reads)
}

fn includes_min(earlier: Option<u32>, later: Option<u32>) -> bool {
    match (earlier, later) {
        (None, _) => true,
        (Some(earlier), Some(later)) => later >= earlier,
        (Some(_), None) => false,
    }
}

fn includes_flag(earlier: Option<bool>, later: Option<bool>) -> bool {
    earlier.is_none() || earlier == later
}
