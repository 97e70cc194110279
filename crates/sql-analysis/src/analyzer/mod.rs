//! What a shape shows. Its tokens are given to the parser under each configured dialect (`dialect`), the syntax trees
//! are searched for effects and features (`visitor`), and the result is compared with the words of the shape
//! (`lexical_check`). Only if both agree is a statement proven read-only.

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

/// Names of tables that are kept of each kind.
const MAX_TABLES: usize = 64;
/// Bytes that are kept of a reason's text.
const MAX_REASON_BYTES: usize = 160;

/// Analyzes a shape.
pub(crate) fn analyze(shape: &Shape, config: &Config) -> Analysis {
    let parsed = parse_and_search(shape, config);
    let verdict = verdict(shape, &parsed, config);
    let findings = parsed.ok();
    let features = findings
        .as_ref()
        .map_or_else(Features::default, |findings| findings.features);
    let class = class_of(verdict.effect, &features, config);
    let base_cost = config.base_costs.of(class, &features);
    let mut tables_read = BTreeSet::new();
    let mut tables_written = BTreeSet::new();
    if let Some(findings) = findings {
        tables_read = findings.tables_read;
        tables_written = findings.tables_written;
    }
    Analysis {
        class,
        effect: verdict.effect,
        tables_read: tables_read.into_iter().take(MAX_TABLES).collect(),
        tables_written: tables_written.into_iter().take(MAX_TABLES).collect(),
        features,
        reason: verdict.reason.map(|reason| short_text(&reason)),
        cost_ms: base_cost.cost_ms,
        memory_mb: base_cost.memory_mb,
    }
}

/// What the dialects that accept the shape find together; the first one's error if none does.
fn parse_and_search(shape: &Shape, config: &Config) -> Result<Findings, Option<Reason>> {
    if shape.text.is_empty() {
        return Err(Some(Reason::Empty));
    }
    if shape.unproven.is_some_and(|reason| reason.bars_parsing()) {
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

/// The configured dialects with the permissive one last: it is tried only if no real engine's dialect accepts the shape.
fn dialects_in_order(config: &Config) -> impl Iterator<Item = Dialect> + '_ {
    let real = config.dialects.iter().filter(|d| **d != Dialect::Generic);
    let generic = config.dialects.iter().filter(|d| **d == Dialect::Generic);
    real.chain(generic).copied()
}

struct Verdict {
    effect: Effect,
    /// Why the statement could not be parsed or proven. None for one with effects that was understood.
    reason: Option<Reason>,
}

fn verdict(shape: &Shape, parsed: &Result<Findings, Option<Reason>>, config: &Config) -> Verdict {
    let lexical_reason = shape.unproven.map(Reason::Lexical);
    let findings = match parsed {
        Ok(findings) => findings,
        Err(error) => {
            return Verdict {
                effect: Effect::Unknown,
                reason: lexical_reason.or_else(|| error.clone()),
            };
        }
    };
    match findings.effect {
        Effect::NonIdempotent => Verdict {
            effect: Effect::NonIdempotent,
            reason: lexical_reason,
        },
        Effect::Unknown => Verdict {
            effect: Effect::Unknown,
            reason: lexical_reason.or_else(|| findings.reason.clone()),
        },
        Effect::ReadOnly => {
            let reason =
                lexical_reason.or_else(|| lexical_check::objection(shape, findings, config));
            let effect = match reason {
                Some(_) => Effect::Unknown,
                None => Effect::ReadOnly,
            };
            Verdict { effect, reason }
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

/// A reason's text, cut to `MAX_REASON_BYTES` at a character.
fn short_text(reason: &Reason) -> String {
    let mut text = reason.to_string();
    let mut end = MAX_REASON_BYTES.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
