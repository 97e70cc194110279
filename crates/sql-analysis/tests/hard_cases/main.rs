//! Hard cases: statements that must never be proven read-only, bounds of time and stack, floods of new shapes.

mod bounds;
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

/// Each statement has this effect, and a class that goes with it.
fn all_are(effect: Effect, cases: &[&str]) {
    for case in cases {
        let read = analyze(case).analysis;
        assert_eq!(read.effect, effect, "{case}: {read:?}");
        let class = match effect {
            Effect::ReadOnly => read.class == Class::LookUp || read.class == Class::Report,
            Effect::NonIdempotent => read.class == Class::Load,
            Effect::Unknown => read.class == Class::Unknown,
        };
        assert!(class, "{case}: {read:?}");
    }
}

fn none_is_read_only(cases: &[&str]) {
    for case in cases {
        let read = analyze(case).analysis;
        assert_ne!(read.effect, Effect::ReadOnly, "{case}");
        assert!(
            matches!(read.class, Class::Load | Class::Unknown),
            "{case}: {read:?}"
        );
    }
}
