//! The retry budget (rule 7).

use super::START_MS;
use crate::model::{RetryBudget, CHECK_INTERVAL_MS};
use crate::settings::RetryBudgetRule;

const RULE: RetryBudgetRule = RetryBudgetRule {
    span_ms: 1000.0,
    free: 1.0,
    ratio: 0.5,
};

#[test]
fn every_retry_is_allowed_without_a_rule() {
    let mut budget = RetryBudget::new(None);
    for _ in 0..100 {
        budget.record_retry(START_MS);
    }
    assert!(budget.allows_retry(START_MS));
    assert!(budget.allows_migration(START_MS));
}

#[test]
fn arrivals_within_the_span_earn_retries() {
    let mut budget = RetryBudget::new(Some(RULE));
    budget.record_retry(START_MS);
    assert!(!budget.allows_retry(START_MS), "the free retry is used");
    budget.record_arrival(START_MS);
    assert!(
        !budget.allows_retry(START_MS),
        "one arrival earns only half a retry"
    );
    budget.record_arrival(START_MS);
    assert!(budget.allows_retry(START_MS));
    budget.record_retry(START_MS);
    assert!(!budget.allows_retry(START_MS));
}

#[test]
fn retries_count_for_the_span_and_one_check_interval() {
    let mut budget = RetryBudget::new(Some(RULE));
    budget.record_retry(START_MS);
    assert!(!budget.allows_retry(START_MS + RULE.span_ms + 0.5 * CHECK_INTERVAL_MS));
    assert!(budget.allows_retry(START_MS + RULE.span_ms + CHECK_INTERVAL_MS));
}

#[test]
fn pending_migration_reserves_its_retry_against_other_migrations() {
    let mut budget = RetryBudget::new(Some(RULE));
    budget.begin_migration();
    assert!(!budget.allows_migration(START_MS));
    assert!(
        budget.allows_retry(START_MS),
        "the retry may belong to the migration"
    );
    budget.finish_migration();
    assert!(budget.allows_migration(START_MS));
}
