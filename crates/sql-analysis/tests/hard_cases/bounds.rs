//! Bounds on time, stack and memory for any input.

use crate::{analyze, analyzer};
use std::time::{Duration, Instant};
use tansymux_sql_analysis::{Config, Effect, StatementAnalyzer};

/// Maximum time of an analysis, also in a build without optimization.
const MAX_ANALYSIS_TIME: Duration = Duration::from_millis(1500);

#[test]
fn very_long_statements_take_bounded_time_and_stack() {
    let joins: String = (0..5000)
        .map(|n| format!(" join t{n} on a{n} = 1"))
        .collect();
    let unions = "select 1 union ".repeat(4000) + "select 1";
    let negations = format!("select {} 1", "not ".repeat(15_000));
    let statements: Vec<String> = vec![
        "(".repeat(65_536),
        format!("select {}1{}", "(".repeat(30_000), ")".repeat(30_000)),
        format!("select {}1", "-".repeat(60_000)),
        format!("select {}1", "- ".repeat(30_000)),
        format!("select 1{}", "+1".repeat(30_000)),
        format!("select a from t where a = 1{}", " and a = 1".repeat(5000)),
        format!("select * from t{joins}")
            .chars()
            .take(65_536)
            .collect(),
        unions.chars().take(65_536).collect(),
        negations,
        format!("select {}", "case when ".repeat(6000)),
        format!("select a{}", "[1]".repeat(20_000)),
        format!("select a{}", "::int".repeat(12_000)),
        format!("select {}", "f(".repeat(30_000)),
        format!("select {}", "a.".repeat(32_000)),
        "select ".repeat(9000),
        "with a as (".repeat(5000),
        format!("select '{}", "''".repeat(32_000)),
        "/*".repeat(32_000),
        "$a".repeat(32_000),
        "'?'".repeat(20_000),
        "x\u{0}".repeat(20_000),
        "insert into t values ".to_owned() + &"(1),".repeat(16_000),
        ";".repeat(65_536),
        "select 1;".repeat(7000),
        "z".repeat(200_000),
    ];
    for statement in statements {
        let started_at = Instant::now();
        let analysis = analyze(&statement).analysis;
        assert!(
            started_at.elapsed() < MAX_ANALYSIS_TIME,
            "{:?} for {}",
            started_at.elapsed(),
            &statement[..40]
        );
        assert_ne!(analysis.effect, Effect::ReadOnly, "{}", &statement[..40]);
    }
}

#[test]
fn flood_of_new_shapes_does_not_evict_common_ones_or_exceed_bounds() {
    let config = Config {
        max_shapes: 512,
        max_shape_bytes: 512 * 1024,
        max_learned_costs: 1024,
        ..Config::default()
    };
    let mut analyzer = StatementAnalyzer::new(config, [7; 16]);
    let common: Vec<String> = (0..200)
        .map(|n| format!("select a{n} from t where b = 1"))
        .collect();
    let (mut lookups, mut hits) = (0, 0);
    for n in 0..100_000_u32 {
        analyzer.analyze(format!("select x{n} from flood").as_bytes());
        if n % 4 == 0 {
            let analyzed = analyzer.analyze(common[(n / 4) as usize % common.len()].as_bytes());
            if n >= 8000 {
                lookups += 1;
                hits += u32::from(analyzed.is_cache_hit);
            }
        }
    }
    let counts = analyzer.counts();
    assert!(
        counts.shapes <= 512 && counts.bytes <= 512 * 1024,
        "{counts:?}"
    );
    assert!(
        f64::from(hits) > 0.9 * f64::from(lookups),
        "{hits} of {lookups}"
    );
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_give_the_same_analysis_twice(
        bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..300),
    ) {
        let (first, second) = (analyzer().analyze(&bytes), analyzer().analyze(&bytes));
        assert_eq!((first.shape_id, &first.analysis), (second.shape_id, &second.analysis));
    }

    #[test]
    fn arbitrary_tokens_never_panic_and_never_prove_a_delete_read_only(
        text in "(select|from|where|delete|insert into|t|a\\.b|'x'|1|,|\\(|\\)|;|--|/\\*|\\*/|\\$\\$|\"| |\n){0,40}",
    ) {
        let analysis = analyzer().analyze(text.as_bytes()).analysis;
        let has_plain_delete = !text.contains(['\'', '"', '$', '-', '/', '*']) && text.contains("delete");
        assert!(!(has_plain_delete && analysis.effect == Effect::ReadOnly), "{text}");
    }
}
