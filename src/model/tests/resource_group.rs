//! The lane, cost and effect of a resource group's queries.

use super::group;
use crate::events::{QueryArrived, StatementTraits};
use crate::model::Lane;
use crate::settings::Effect;

fn arrival(estimated_cost_ms: f64, confidence: f64) -> QueryArrived<'static> {
    QueryArrived {
        query_id: 1,
        group: "group",
        tenant: "",
        key: None,
        deadline_ms: 0.0,
        estimated_cost_ms,
        memory_mb: 0.0,
        tables: 0,
        statement: StatementTraits {
            confidence,
            may_write: false,
        },
    }
}

#[test]
fn costly_query_is_demoted_once_the_mean_has_enough_samples() {
    let mut group = group(1000.0);
    for _ in 0..20 {
        let (lane, _) = group.classify(&arrival(10.0, 1.0), 1.0);
        assert_eq!(lane, Lane::Fast);
    }
    assert_eq!(group.classify(&arrival(39.0, 1.0), 1.0).0, Lane::Fast);
    assert_eq!(group.classify(&arrival(100.0, 1.0), 1.0).0, Lane::Low);
    assert_eq!(group.classify(&arrival(100.0, 1.0), 10.0).0, Lane::Fast);
}

#[test]
fn first_query_without_an_estimate_has_the_cost_that_its_objective_allows() {
    let mut group = group(1000.0);
    let (_, cost) = group.classify(&arrival(0.0, 1.0), 1.0);
    assert!(cost.has_no_estimate);
    assert_eq!(group.expected_run_time_ms(cost), 1000.0);
}

#[test]
fn uncertain_estimate_is_moved_towards_the_mean() {
    let mut group = group(1000.0);
    group.classify(&arrival(10.0, 1.0), 1.0);
    let (_, cost) = group.classify(&arrival(1000.0, 0.5), 1.0);
    assert!((cost.estimate_ms - 100.0).abs() < 1e-9, "{cost:?}");
}

#[test]
fn statement_that_may_write_is_not_read_only() {
    let may_write = StatementTraits {
        confidence: 1.0,
        may_write: true,
    };
    let group = group(1000.0);
    assert_eq!(group.effect_of(StatementTraits::UNKNOWN), Effect::ReadOnly);
    assert_eq!(group.effect_of(may_write), Effect::NonIdempotent);
}
