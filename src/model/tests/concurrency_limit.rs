//! The concurrency limit of one engine.

use super::START_MS;
use crate::events::Outcome;
use crate::model::concurrency_limit::ConcurrencyLimit;
use crate::model::{AttemptResult, Lane};

const CORES: f64 = 10.0;

/// The result of a low-lane attempt with a latency objective of 1 s.
fn low_lane_result(outcome: Outcome, sent_ms: f64, latency_ms: f64) -> AttemptResult {
    AttemptResult {
        lane: Lane::Low,
        outcome,
        sent_ms,
        latency_ms,
        objective_ms: 1000.0,
    }
}

#[test]
fn low_lane_answer_within_half_its_objective_raises_the_limit() {
    let mut limit = ConcurrencyLimit::new(CORES);
    let before = limit.threads_per_core();
    let quick = low_lane_result(Outcome::Completed, START_MS, 500.0);
    limit.adapt(&quick, CORES, 1.0, START_MS + 500.0);
    assert!((limit.threads_per_core() - before - 0.1).abs() < 1e-9);
    let slower = low_lane_result(Outcome::Completed, START_MS, 501.0);
    limit.adapt(&slower, CORES, 1.0, START_MS + 501.0);
    assert!((limit.threads_per_core() - before - 0.1).abs() < 1e-9);
}

#[test]
fn overload_halves_the_limit_once_for_all_attempts_in_flight() {
    let mut limit = ConcurrencyLimit::new(CORES);
    let before = limit.threads_per_core();
    for _ in 0..3 {
        let late = low_lane_result(Outcome::Completed, START_MS, 1001.0);
        limit.adapt(&late, CORES, 1.0, START_MS + 1001.0);
    }
    assert_eq!(limit.threads_per_core(), before / 2.0);
    let later = low_lane_result(Outcome::Timeout, START_MS + 1002.0, 5000.0);
    limit.adapt(&later, CORES, 1.0, START_MS + 6002.0);
    assert_eq!(limit.threads_per_core(), before / 4.0);
}

#[test]
fn refusal_as_full_counts_for_two_seconds() {
    let mut limit = ConcurrencyLimit::new(CORES);
    assert!(!limit.was_recently_full(START_MS));
    let full = low_lane_result(Outcome::Full, START_MS, 1.0);
    limit.adapt(&full, CORES, 1.0, START_MS);
    assert!(limit.was_recently_full(START_MS + 1999.0));
    assert!(!limit.was_recently_full(START_MS + 2000.0));
}
