//! Statements that share a shape.

use crate::analyzer;
use tansymux_sql_analysis::{Config, Effect, StatementAnalyzer};

#[test]
fn list_of_ten_thousand_items_has_the_shape_of_a_short_one() {
    let items: Vec<String> = (0..10_000).map(|n| n.to_string()).collect();
    let mut analyzer = analyzer();
    let long =
        analyzer.analyze(format!("select a from t where b in ({})", items.join(", ")).as_bytes());
    let short = analyzer.analyze(b"SELECT a FROM t WHERE b IN (7)");
    assert_eq!(
        (long.shape_id, long.analysis.effect, short.is_cache_hit),
        (short.shape_id, Effect::ReadOnly, true)
    );
}

#[test]
fn statements_that_differ_in_literals_only_share_a_shape() {
    let mut analyzer = analyzer();
    let mut shape = |statement: &str| analyzer.analyze(statement.as_bytes()).shape_id;
    let shape_id = shape("select a from t where b = 1 and c = 'x'");
    assert_eq!(
        shape("SELECT a\nFROM t -- c\n WHERE b=22 AND c='y''z'"),
        shape_id
    );
    for other in [
        "select a from t where b = 1 or c = 'x'",
        "select a from u where b = 1 and c = 'x'",
        "select a from t where b <> 1 and c = 'x'",
        "select distinct a from t where b = 1 and c = 'x'",
        "select a from t where b = 1 and c = 'x' for update",
        "select a from \"T\" where b = 1 and c = 'x'",
        "select a from t where b = 1 and c = 'x' # y",
    ] {
        assert_ne!(shape(other), shape_id, "{other}");
    }
    // The hash depends on the secret key of the process, so nobody can construct shapes with equal hashes.
    let other_key_shape_id = StatementAnalyzer::new(Config::default(), [8; 16])
        .analyze(b"select a from t where b = 1 and c = 'x'")
        .shape_id;
    assert_ne!(other_key_shape_id, shape_id);
}
