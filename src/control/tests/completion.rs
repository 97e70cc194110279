//! Completion: outcomes of attempts, the concurrency limit, final answers.

use super::*;

#[test]
fn rule_1_query_gets_one_final_answer_and_nothing_after_it() {
    let mut control = dispatcher("", ONE_ENGINE);
    send_query(&mut control, 1.0, 1, "load", 100.0);
    assert_eq!(
        end_attempt(&mut control, 20_001.0, 1, 0, Outcome::Timeout, 1),
        ["fail 1"]
    );
    assert!(end_attempt(&mut control, 20_002.0, 1, 0, Outcome::Completed, 1).is_empty());
    assert!(run_round(&mut control, 20_003.0, |control, out| control
        .on_client_disconnected(1, out))
    .is_empty());
}

#[test]
fn rule_1_attempt_is_cancelled_without_an_answer_when_the_client_disconnects() {
    let mut control = dispatcher("", ONE_ENGINE);
    send_query(&mut control, 1.0, 1, "look", 100.0);
    assert_eq!(
        run_round(&mut control, 2.0, |control, out| control
            .on_client_disconnected(1, out)),
        ["cancel 1 0"]
    );
    assert!(end_attempt(&mut control, 3.0, 1, 0, Outcome::Cancelled, 1).is_empty());
    assert!(control.queries.is_empty());
}

#[test]
fn concurrency_limit_grows_with_quick_low_answers_and_is_halved_once_per_overload() {
    let mut control = dispatcher("", ONE_ENGINE);
    for id in 1..=4 {
        send_query(&mut control, 1.0, id, "rep", 100.0);
    }
    end_attempt(&mut control, 101.0, 1, 0, Outcome::Completed, 1);
    assert!(
        (control.engines[EngineIndex(0)].limit.threads_per_core() - 1.2).abs() < 1e-9,
        "1.2 threads per core of this dispatcher's share"
    );
    end_attempt(&mut control, 102.0, 2, 0, Outcome::Full, 1);
    end_attempt(&mut control, 103.0, 3, 0, Outcome::Full, 1);
    assert!(
        (control.engines[EngineIndex(0)].limit.threads_per_core() - 0.6).abs() < 1e-9,
        "halved once, not twice"
    );
}

#[test]
fn concurrency_estimate_grows_with_quick_answers_and_is_reset_with_the_limit() {
    let mut control = dispatcher("", ONE_ENGINE);
    let initial_concurrency = control.engines[EngineIndex(0)]
        .limit
        .estimated_concurrency();
    send_query(&mut control, 1.0, 1, "rep", 100.0);
    send_query(&mut control, 1.0, 2, "rep", 100.0);
    end_attempt(&mut control, 101.0, 1, 0, Outcome::Completed, 1);
    assert_eq!(
        control.engines[EngineIndex(0)]
            .limit
            .estimated_concurrency(),
        initial_concurrency + 1.0
    );
    end_attempt(&mut control, 102.0, 2, 0, Outcome::Full, 1);
    assert_eq!(
        control.engines[EngineIndex(0)]
            .limit
            .estimated_concurrency(),
        initial_concurrency
    );
}
