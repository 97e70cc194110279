//! Checks of the block `statements`.

use super::rules;
use crate::error_collector::ErrorCollector;
use crate::schema::{Cache, Estimate, Groups, Learning, Statements};
use std::collections::HashSet;

/// Prefixes of the dispatcher's status paths and of paths that name a class.
const RESERVED_PATHS: [&str; 3] = ["/_", "/invoke/", "/query/"];
/// Maximum length of a path or function name (bytes).
const MAX_NAME_BYTES: usize = 128;

pub(super) fn validate(statements: &Statements, errors: &mut ErrorCollector) {
    if let Some(path) = &statements.path {
        validate_path(path, errors);
        validate_groups(statements.groups.as_ref(), errors);
    }
    validate_dialects(statements, errors);
    rules::validate(&statements.rule, errors);
    validate_functions(statements, errors);
    if let Some(estimate) = &statements.estimate {
        validate_estimate(estimate, errors);
    }
    if let Some(cache) = &statements.cache {
        validate_cache(cache, errors);
    }
    if let Some(learning) = &statements.learning {
        validate_learning(learning, errors);
    }
}

fn validate_path(path: &str, errors: &mut ErrorCollector) {
    let is_path_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'/' | b'_' | b'-' | b'.');
    let is_well_formed = path.starts_with('/')
        && path.len() > 1
        && path.len() <= MAX_NAME_BYTES
        && path.bytes().all(is_path_byte);
    let is_reserved = path == "/invoke"
        || RESERVED_PATHS
            .iter()
            .any(|reserved| path.starts_with(reserved));
    if !is_well_formed || is_reserved {
        let allowed = "a path of letters, digits and / _ - . that is not reserved";
        errors.add("statements.path", format!("{path:?}"), allowed);
    }
}

/// Requires a resource group for each class except `unknown`.
fn validate_groups(groups: Option<&Groups>, errors: &mut ErrorCollector) {
    let look_up = groups.and_then(|groups| groups.look_up.as_deref());
    let report = groups.and_then(|groups| groups.report.as_deref());
    let load = groups.and_then(|groups| groups.load.as_deref());
    for (class, group) in [("look_up", look_up), ("report", report), ("load", load)] {
        if group.unwrap_or_default().is_empty() {
            errors.add_missing(
                &format!("statements.groups.{class}"),
                "the name of a resource group, since statements.path is set",
            );
        }
    }
}

fn validate_dialects(statements: &Statements, errors: &mut ErrorCollector) {
    let mut earlier = HashSet::new();
    for (index, dialect) in statements.dialect().enumerate() {
        if !earlier.insert(dialect) {
            errors.add(
                &format!("statements.dialect.{index}"),
                format!("{} a second time", dialect.as_str_name()),
                "each dialect once",
            );
        }
    }
}

fn validate_functions(statements: &Statements, errors: &mut ErrorCollector) {
    let mut earlier = HashSet::new();
    for (list, names) in [
        ("pure_function", &statements.pure_function),
        ("effect_function", &statements.effect_function),
    ] {
        for (index, name) in names.iter().enumerate() {
            let key = format!("statements.{list}.{index}");
            if !is_function_name(name) {
                let allowed = "a name, or schema.name, of letters, digits and _";
                errors.add(&key, format!("{name:?}"), allowed);
            } else if !earlier.insert(name.to_ascii_lowercase()) {
                let allowed = "each function once in the two lists together";
                errors.add(&key, format!("{name:?} a second time"), allowed);
            }
        }
    }
}

fn is_function_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && name.split('.').all(is_identifier)
}

fn is_identifier(text: &str) -> bool {
    let is_identifier_byte = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
    let starts_with_digit = text.starts_with(|first: char| first.is_ascii_digit());
    !text.is_empty() && !starts_with_digit && text.bytes().all(is_identifier_byte)
}

fn validate_estimate(estimate: &Estimate, errors: &mut ErrorCollector) {
    for (name, cost) in [
        ("look_up_ms", estimate.look_up_ms),
        ("report_ms", estimate.report_ms),
        ("load_ms", estimate.load_ms),
        ("unknown_ms", estimate.unknown_ms),
        ("look_up_mb", estimate.look_up_mb),
        ("report_mb", estimate.report_mb),
        ("load_mb", estimate.load_mb),
        ("unknown_mb", estimate.unknown_mb),
    ] {
        errors.check_range(&format!("statements.estimate.{name}"), cost, 1e-3, 1e9);
    }
    for (name, factor) in [
        ("a_join", estimate.a_join),
        ("a_window", estimate.a_window),
        ("an_order", estimate.an_order),
        ("no_filter", estimate.no_filter),
    ] {
        errors.check_range(&format!("statements.estimate.{name}"), factor, 1.0, 10.0);
    }
}

fn validate_cache(cache: &Cache, errors: &mut ErrorCollector) {
    let max_bytes = f64::from(1 << 30);
    errors.check_range("statements.cache.shapes", cache.shapes, 16.0, 1e6);
    errors.check_range("statements.cache.bytes", cache.bytes, 65_536.0, max_bytes);
    errors.check_range("statements.cache.costs", cache.costs, 16.0, 1e6);
}

fn validate_learning(learning: &Learning, errors: &mut ErrorCollector) {
    let shift_after = learning.shift_after.map(f64::from);
    for (name, value, min, max) in [
        ("half_sure", learning.half_sure, 1.0, 100.0),
        ("half_life_s", learning.half_life_s, 1.0, 1e7),
        ("shift_after", shift_after, 2.0, 20.0),
        ("most_step", learning.most_step, 1.1, 100.0),
    ] {
        errors.check_range(&format!("statements.learning.{name}"), value, min, max);
    }
}
