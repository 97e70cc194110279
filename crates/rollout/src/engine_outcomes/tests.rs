use super::*;

#[test]
fn failing_engine_among_healthy_engines_is_reported_until_its_failures_expire() {
    let mut outcomes = EngineOutcomes::default();
    for n in 0..40 {
        outcomes.record(1 + n % 4, n % 4 == 2, 100.0);
    }
    let threshold = FailureThreshold::default();
    assert_eq!(outcomes.failing_engine(&threshold, 200.0), Some(3));
    assert_eq!(
        outcomes.failing_engine(&threshold, 200.0 + 3.0 * INTERVAL_MS),
        None
    );
}

#[test]
fn no_engine_is_reported_if_all_engines_fail_or_too_few_attempts_are_counted() {
    let threshold = FailureThreshold::default();
    let mut all_fail = EngineOutcomes::default();
    (0..40).for_each(|n| all_fail.record(n % 4, true, 0.0));
    assert_eq!(all_fail.failing_engine(&threshold, 1.0), None);
    let mut too_few = EngineOutcomes::default();
    (0..7).for_each(|_| too_few.record(1, true, 0.0));
    (0..40).for_each(|_| too_few.record(2, false, 0.0));
    assert_eq!(too_few.failing_engine(&threshold, 1.0), None);
}
