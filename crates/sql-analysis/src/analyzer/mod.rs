//! The analysis of a shape. The shape's tokens are parsed in each configured dialect (`dialect`), the syntax trees are
//! searched for effects and features (`visitor`), and the words of the shape are checked independently
//! (`lexical_check`). A statement is proven read-only only if both agree.

mod dialect;
mod findings;
mod lexical_check;
mod point_lookup;
mod reason;
mod statement_effect;
mod visitor;

use crate::config::{Config, Dialect};
use crate::lexer::Shape;
use crate::{Analysis, Class, Effect, Features};
use findings::Findings;
use reason::Reason;
use sqlparser::ast::Statement;
use std::collections::BTreeSet;

/// Maximum number of table names in an analysis, separately for tables read and tables written.
const MAX_TABLES: usize = 64;
/// Maximum length of a reason's text (bytes).
const MAX_REASON_BYTES: usize = 160;

/// Analyzes a shape: its effect, class, tables, features and base cost.
pub(crate) fn analyze(shape: &Shape, config: &Config) -> Analysis {
    let parsed = parse_and_search(shape, config);
    let ProvenEffect { effect, reason } = proven_effect(shape, &parsed, config);
    let findings = parsed.ok();
    let features = findings
        .as_ref()
        .map_or_else(Features::default, |findings| findings.features);
    let class = class_of(effect, &features, config);
    let base_cost = config.base_costs.of(class, &features);
    let mut tables_read = BTreeSet::new();
    let mut tables_written = BTreeSet::new();
    if let Some(findings) = findings {
        tables_read = findings.tables_read;
        tables_written = findings.tables_written;
    }
    Analysis {
        class,
        effect,
        tables_read: tables_read.into_iter().take(MAX_TABLES).collect(),
        tables_written: tables_written.into_iter().take(MAX_TABLES).collect(),
        features,
        reason: reason.map(|reason| truncated_text(&reason)),
        cost_ms: base_cost.cost_ms,
        memory_mb: base_cost.memory_mb,
    }
}

/// The combined findings of the dialects that accept the shape, or the error of the first dialect if none does. The
/// error is `None` if `shape.unproven` prevents parsing.
fn parse_and_search(shape: &Shape, config: &Config) -> Result<Findings, Option<Reason>> {
    if shape.text.is_empty() {
        return Err(Some(Reason::Empty));
    }
    if shape
        .unproven
        .is_some_and(|reason| reason.prevents_parsing())
    {
        return Err(None);
    }
    let tokens = dialect::parser_tokens(shape).ok_or(Some(Reason::UnknownToken))?;
    let mut findings: Option<Findings> = None;
    let mut first_error = None;
    let mut previous: Option<Vec<Statement>> = None;
    for dialect in dialects_in_order(config) {
        if dialect == Dialect::Generic && findings.is_some() {
            continue;
        }
        match dialect::parse(&tokens, dialect) {
            // Two dialects with the same syntax tree have the same findings.
            Ok(statements) if previous.as_ref() == Some(&statements) => {}
            Ok(statements) => {
                let found = visitor::search(&statements, config);
                findings = Some(match findings {
                    Some(earlier) => earlier.combine(found),
                    None => found,
                });
                previous = Some(statements);
            }
            Err(error) => {
                first_error.get_or_insert(error);
            }
        }
    }
    findings.ok_or(first_error)
}

/// The configured dialects, with [`Dialect::Generic`] last, since it is tried only if no other one accepts the shape.
fn dialects_in_order(config: &Config) -> impl Iterator<Item = Dialect> + '_ {
    let dialects = config.dialects.iter().copied();
    let specific = dialects
        .clone()
        .filter(|dialect| *dialect != Dialect::Generic);
    let generic = dialects.filter(|dialect| *dialect == Dialect::Generic);
    specific.chain(generic)
}

/// The effect of a statement, as far as it is proven.
struct ProvenEffect {
    effect: Effect,
    /// The reason why the statement could not be parsed or proven read-only. For [`Effect::NonIdempotent`], only a
    /// lexical reason is given.
    reason: Option<Reason>,
}

fn proven_effect(
    shape: &Shape,
    parsed: &Result<Findings, Option<Reason>>,
    config: &Config,
) -> ProvenEffect {
    let lexical_reason = shape.unproven.map(Reason::Lexical);
    let findings = match parsed {
        Ok(findings) => findings,
        Err(error) => {
            return ProvenEffect {
                effect: Effect::Unknown,
                reason: lexical_reason.or_else(|| error.clone()),
            };
        }
    };
    match findings.effect {
        Effect::NonIdempotent => ProvenEffect {
            effect: Effect::NonIdempotent,
            reason: lexical_reason,
        },
        Effect::Unknown => ProvenEffect {
            effect: Effect::Unknown,
            reason: lexical_reason.or_else(|| findings.reason.clone()),
        },
        Effect::ReadOnly => {
            let reason =
                lexical_reason.or_else(|| lexical_check::unproven_reason(shape, findings, config));
            let effect = match reason {
                Some(_) => Effect::Unknown,
                None => Effect::ReadOnly,
            };
            ProvenEffect { effect, reason }
        }
    }
}

fn class_of(effect: Effect, features: &Features, config: &Config) -> Class {
    match effect {
        Effect::NonIdempotent => Class::Load,
        Effect::Unknown => Class::Unknown,
        Effect::ReadOnly => config
            .rules
            .iter()
            .find(|rule| rule.matches(features))
            .map_or(Class::LookUp, |rule| rule.class),
    }
}

/// A reason's text, truncated at a character boundary to at most `MAX_REASON_BYTES`.
fn truncated_text(reason: &Reason) -> String {
    let mut text = reason.to_string();
    let mut end = MAX_REASON_BYTES.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
