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

/// Guards against a record of every arrival that only a retry shortens: eight bytes for each query, for ever.
#[test]
fn memory_is_bounded_while_no_retry_is_asked_for() {
    let mut without_rule = RetryBudget::new(None);
    let mut with_rule = RetryBudget::new(Some(RULE));
    for query in 0..2_000_000 {
        // 80 queries in a millisecond: 80,000 within the span.
        let now_ms = START_MS + f64::from(query) / 80.0;
        for budget in [&mut without_rule, &mut with_rule] {
            budget.record_arrival(now_ms);
            budget.record_retry(now_ms);
        }
    }
    assert_eq!(without_rule.entries(), 0);
    assert!(with_rule.entries() < 11_000, "{}", with_rule.entries());
}

#[test]
fn merged_events_allow_no_more_retries_than_exact_times_would() {
    let mut budget = RetryBudget::new(Some(RULE));
    // 20,000 arrivals, and 9,900 retries, within a tenth of the span.
    for event in 0..20_000 {
        let now_ms = START_MS + 100.0 * f64::from(event) / 20_000.0;
        budget.record_arrival(now_ms);
        if event < 9900 {
            budget.record_retry(now_ms);
        }
    }
    let end_of_span_ms = START_MS + RULE.span_ms;
    assert!(budget.allows_retry(end_of_span_ms - 1.0));
    // A quarter of the arrivals have left the span. Retries count for a check interval longer, so that most still do.
    assert!(!budget.allows_retry(end_of_span_ms + 25.0));
    let all_expired_ms = end_of_span_ms + 100.0 + CHECK_INTERVAL_MS;
    assert!(budget.allows_retry(all_expired_ms), "the free retry");
    budget.record_retry(all_expired_ms);
    assert!(!budget.allows_retry(all_expired_ms));
}
