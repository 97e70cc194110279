//! Learned costs, and classes by rules.

use crate::{analyze, analyzer};
use tansymux_sql_analysis::{Class, Config, Execution, ExecutionOutcome, Rule, StatementAnalyzer};

const EXECUTION: Execution = Execution {
    ended_at_ms: 0.0,
    engine_id: 1,
    latency_ms: 10.0,
    threads: 1.0,
    outcome: ExecutionOutcome::Completed,
    waited: false,
    warming_up: false,
};

#[test]
fn learned_costs_outlive_cached_analyses_and_reconfiguration() {
    let config = Config {
        max_shapes: 16,
        max_shape_bytes: 65_536,
        max_learned_costs: 4096,
        ..Config::default()
    };
    let mut analyzer = StatementAnalyzer::new(config.clone(), [7; 16]);
    let query = b"select a from t where b = 1";
    for _ in 0..10 {
        let analyzed = analyzer.analyze(query);
        analyzer.record_execution(
            analyzed.shape_id,
            analyzed.analysis.class,
            analyzed.analysis.cost_ms,
            &EXECUTION,
        );
    }
    for n in 0..1000 {
        analyzer.analyze(format!("select x{n} from flood").as_bytes());
    }
    analyzer.reconfigure(config);
    let analyzed = analyzer.analyze(query);
    let estimate = analyzer.estimate(&analyzed, 0.0);
    assert!(
        !analyzed.is_cache_hit
            && (estimate.cost_ms - 10.0).abs() < 1.0
            && estimate.confidence > 0.5,
        "{estimate:?}"
    );
}

#[test]
fn estimate_follows_a_hundredfold_change_of_cost() {
    let mut analyzer = analyzer();
    let analyzed = analyzer.analyze(b"select a from t where b = 1");
    let mut cost_after_samples = |samples: usize, latency: f64| {
        for _ in 0..samples {
            let execution = Execution {
                latency_ms: latency,
                ..EXECUTION
            };
            analyzer.record_execution(
                analyzed.shape_id,
                analyzed.analysis.class,
                analyzed.analysis.cost_ms,
                &execution,
            );
        }
        analyzer.estimate(&analyzed, 0.0).cost_ms
    };
    assert!((cost_after_samples(50, 10.0) - 10.0).abs() < 0.5);
    assert!((cost_after_samples(3, 1000.0) / 1000.0 - 1.0).abs() < 0.2);
    assert!((cost_after_samples(50, 1000.0) / 1000.0 - 1.0).abs() < 0.05);
    assert!((cost_after_samples(4, 10.0) / 10.0 - 1.0).abs() < 0.2);
}

#[test]
fn new_rules_apply_to_new_statements_and_not_to_those_in_flight() {
    let mut analyzer = analyzer();
    let query = b"select count(*) from t where b = 1 group by c";
    let before = analyzer.analyze(query);
    assert_eq!(before.analysis.class, Class::Report);
    analyzer.record_execution(
        before.shape_id,
        before.analysis.class,
        before.analysis.cost_ms,
        &EXECUTION,
    );
    analyzer.reconfigure(Config {
        rules: vec![Rule::for_all(Class::LookUp)],
        ..Config::default()
    });
    let after = analyzer.analyze(query);
    assert_eq!(
        (before.analysis.class, after.analysis.class),
        (Class::Report, Class::LookUp)
    );
    assert_eq!(before.shape_id, after.shape_id);
    // The cost of an attempt that started under the old rules and ends under the new ones is learned.
    analyzer.record_execution(
        before.shape_id,
        before.analysis.class,
        before.analysis.cost_ms,
        &EXECUTION,
    );
    assert!((analyzer.estimate(&after, 0.0).cost_ms - 10.0).abs() < 1.0);
}

#[test]
fn classes_follow_the_default_rules() {
    for (statement, class) in [
        ("select 1", Class::LookUp),
        ("select a, b from t where id = 1", Class::LookUp),
        ("select count(*) from t where id = 1", Class::LookUp),
        (
            "select a from t join u on t.x = u.x join v on v.y = u.y where t.id = 'a'",
            Class::LookUp,
        ),
        (
            "select a from t where id in (1, 2, 3) order by b limit 3",
            Class::LookUp,
        ),
        ("select a from t limit 10", Class::LookUp),
        ("select a from t", Class::Report),
        (
            "select a, count(*) from t where day > '2020' group by a",
            Class::Report,
        ),
        ("select distinct a from t where b > 1", Class::Report),
        (
            "select a from t where b > 1 union select a from u where b > 1",
            Class::Report,
        ),
        (
            "select rank() over (order by a) from t where id = 1",
            Class::Report,
        ),
        (
            "select sum(a) from t where b between 1 and 2",
            Class::Report,
        ),
        ("insert into t select * from staging.x", Class::Load),
        ("select * from t for update", Class::Load),
        ("nonsense", Class::Unknown),
    ] {
        assert_eq!(
            analyze(statement).analysis.class,
            class,
            "{statement}: {:?}",
            analyze(statement).analysis
        );
    }
}
