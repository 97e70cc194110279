//! Retries: rules 2 and 7.

use super::*;

#[test]
fn rule_2_non_idempotent_query_is_retried_only_if_it_never_ran() {
    let mut control = dispatcher("", TWO_ENGINES);
    send_query(&mut control, 1.0, 1, "load", 100.0);
    let first_engine_id = slot_with_one_attempt(&control) as u64 + 1;
    let decisions = end_attempt(
        &mut control,
        2.0,
        1,
        0,
        Outcome::NoConnection,
        first_engine_id,
    );
    assert_eq!(decisions, [format!("submit 1 {}", 3 - first_engine_id)]);
    assert_eq!(
        end_attempt(&mut control, 3.0, 1, 1, Outcome::Reset, 3 - first_engine_id),
        ["fail 1"]
    );
}

#[test]
fn rule_2_query_with_idempotency_key_is_retried_only_within_its_dedup_window() {
    for (at_ms, expected) in [(9_000.0, "submit 1"), (10_500.0, "fail 1")] {
        let mut control = dispatcher("", ONE_ENGINE);
        send_query(&mut control, 1.0, 1, "tok", 100.0);
        assert!(has_decision(
            &end_attempt(&mut control, at_ms, 1, 0, Outcome::Error, 1),
            expected
        ));
    }
}

#[test]
fn rule_2_query_with_idempotency_key_fails_when_no_engine_of_its_dedup_zone_is_left() {
    let mut control = dispatcher(
        "services.3.dedup-scope=zone",
        &[("small", "h1"), ("small", "h2")],
    );
    send_query(&mut control, 1.0, 1, "tok", 100.0);
    let first_slot = slot_with_one_attempt(&control);
    control.engines[EngineIndex(first_slot)].endpoint.ready = false;
    assert_eq!(
        end_attempt(
            &mut control,
            2.0,
            1,
            0,
            Outcome::Error,
            first_slot as u64 + 1
        ),
        ["fail 1"]
    );
}

#[test]
fn rule_7_retries_keep_within_the_budget() {
    let overrides = "rules.ratio-span-us=10000000 rules.extra-free=1 rules.repeat-ratio=0.1";
    let mut control = dispatcher(overrides, &[("small", "h1"); 8]);
    let mut retries = 0;
    for id in 0..10 {
        send_query(&mut control, 1.0, id, "look", 10.0);
        let engine_id = engine_of(&control, id, 0);
        retries += usize::from(has_decision(
            &end_attempt(&mut control, 2.0, id, 0, Outcome::NoConnection, engine_id),
            "submit",
        ));
    }
    assert_eq!(retries, 2, "1 free retry plus a tenth of 10");
}

#[test]
fn rule_2_retry_with_idempotency_key_must_start_within_the_dedup_window() {
    let mut control = dispatcher("services.3.repeat-window-us=700000", TWO_ENGINES);
    let mut recorded = RecordedDecisions::default();
    control.run_round(
        START_MS,
        &mut ScriptedEvents(Some(|control: &mut Control, out: &mut dyn DecisionSink| {
            control
                .on_query_arrived(&query_arrived(1, "tok", START_MS + 5000.0, 100.0), out)
                .unwrap();
            let engine_id = engine_of(control, 1, 0);
            control.now_ms = START_MS + 100.0;
            control.on_attempt_ended(
                &attempt_ended(1, 0, false, Outcome::Reset, engine_id, 100.0),
                out,
            );
        })),
        &mut recorded,
    );
    let limits: Vec<(f64, f64)> = recorded
        .limits
        .iter()
        .map(|attempt_limits| {
            (
                attempt_limits.deadline_ms - START_MS,
                attempt_limits.start_by_ms - START_MS,
            )
        })
        .collect();
    assert_eq!(limits, [(5000.0, 5000.0), (5000.0, 700.0)]);
}
