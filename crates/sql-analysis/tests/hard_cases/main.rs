//! Hard cases: statements that must never be proven read-only, bounds on time and stack, floods of new shapes.

mod bounds;
mod comments;
mod costs_and_rules;
mod effects;
mod shapes;
mod text;

use tansymux_sql_analysis::{AnalyzedStatement, Class, Config, Effect, StatementAnalyzer};

fn analyzer() -> StatementAnalyzer {
    StatementAnalyzer::new(Config::default(), [7; 16])
}

fn analyze(statement: &str) -> AnalyzedStatement {
    analyzer().analyze(statement.as_bytes())
}

/// Asserts that each statement has this effect and a class that matches the effect.
fn assert_effects(effect: Effect, statements: &[&str]) {
    for statement in statements {
        let analysis = analyze(statement).analysis;
        assert_eq!(analysis.effect, effect, "{statement}: {analysis:?}");
        let is_class_consistent = match effect {
            Effect::ReadOnly => analysis.class == Class::LookUp || analysis.class == Class::Report,
            Effect::NonIdempotent => analysis.class == Class::Load,
            Effect::Unknown => analysis.class == Class::Unknown,
        };
        assert!(is_class_consistent, "{statement}: {analysis:?}");
    }
}

/// Asserts that no statement has a read-only effect or class.
fn assert_none_read_only(statements: &[&str]) {
    for statement in statements {
        let analysis = analyze(statement).analysis;
        assert_ne!(analysis.effect, Effect::ReadOnly, "{statement}");
        assert!(
            matches!(analysis.class, Class::Load | Class::Unknown),
            "{statement}: {analysis:?}"
        );
    }
}
