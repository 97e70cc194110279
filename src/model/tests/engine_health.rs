//! Outlier detection of one engine.

use super::START_MS;
use crate::events::{AttemptEnded, Outcome};
use crate::model::engine_health::EngineHealth;

/// The event that a query's first attempt ended with `outcome`.
fn first_attempt_ended(outcome: Outcome) -> AttemptEnded {
    AttemptEnded {
        query_id: 1,
        attempt: 0,
        engine_id: 1,
        outcome,
        answer_delivered: outcome == Outcome::Completed,
        latency_ms: 1.0,
        used: None,
    }
}

/// The health of an engine that was ejected at `START_MS` after two attempts with `outcome`.
fn ejected(outcome: Outcome) -> EngineHealth {
    let mut health = EngineHealth::default();
    health.record_end(&first_attempt_ended(outcome), false, START_MS);
    assert!(!health.is_ejected());
    health.record_end(&first_attempt_ended(outcome), false, START_MS);
    assert!(health.is_ejected());
    health
}

#[test]
fn repeated_failures_eject_an_engine_and_a_success_reinstates_it() {
    let mut health = ejected(Outcome::Error);
    assert!(!health.is_ejected_for_silence());
    health.record_end(
        &first_attempt_ended(Outcome::Completed),
        true,
        START_MS + 600.0,
    );
    assert!(!health.is_ejected());
}

#[test]
fn resets_and_timeouts_eject_for_silence_but_errors_do_not() {
    assert!(!ejected(Outcome::Error).is_ejected_for_silence());
    assert!(ejected(Outcome::Reset).is_ejected_for_silence());
    assert!(ejected(Outcome::Timeout).is_ejected_for_silence());
}

#[test]
fn attempts_that_waited_for_one_connection_count_as_one_failure() {
    let mut health = EngineHealth::default();
    for _ in 0..100 {
        health.record_end(&first_attempt_ended(Outcome::NoConnection), false, START_MS);
    }
    assert!(!health.is_ejected());
}

#[test]
fn error_on_a_retry_does_not_count() {
    let mut health = EngineHealth::default();
    let retry = AttemptEnded {
        attempt: 1,
        ..first_attempt_ended(Outcome::Error)
    };
    for _ in 0..100 {
        health.record_end(&retry, false, START_MS);
    }
    assert!(!health.is_ejected());
}

#[test]
fn failed_health_check_ejects_only_a_silent_engine() {
    let mut health = EngineHealth::default();
    health.record_signal(START_MS);
    health.record_health_check(Outcome::Timeout, START_MS + 900.0);
    assert!(!health.is_ejected(), "the last signal is only 900 ms old");
    health.record_health_check(Outcome::Timeout, START_MS + 901.0);
    assert!(health.is_ejected_for_silence());
}

#[test]
fn health_check_is_due_for_an_overdue_signal_once_per_interval() {
    let mut health = EngineHealth::default();
    assert!(!health.is_check_due(400.0, 100.0, START_MS));
    assert!(health.is_check_due(401.0, 100.0, START_MS));
    health.begin_health_check(START_MS);
    assert!(!health.is_check_due(901.0, 100.0, START_MS + 500.0));
    assert!(health.is_check_due(902.0, 100.0, START_MS + 501.0));
}
