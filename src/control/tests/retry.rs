//! Retries: rules 2 and 7.

use super::*;

#[test]
fn rule_2_non_idempotent_query_is_retried_only_if_it_never_ran() {
    let mut control = dispatcher("", TWO);
    send_query(&mut control, 1.0, 1, "load", 100.0);
    let first = busy_slot(&control) as u64 + 1;
    let again = end_attempt(&mut control, 2.0, 1, 0, Outcome::NoConnection, first);
    assert_eq!(again, [format!("submit 1 {}", 3 - first)]);
    assert_eq!(
        end_attempt(&mut control, 3.0, 1, 1, Outcome::Reset, 3 - first),
        ["fail 1"]
    );
}

#[test]
fn rule_2_query_with_idempotency_key_is_retried_only_within_its_dedup_window() {
    for (at, then) in [(9_000.0, "submit 1"), (10_500.0, "fail 1")] {
        let mut control = dispatcher("", ONE);
        send_query(&mut control, 1.0, 1, "tok", 100.0);
        assert!(has_decision(
            &end_attempt(&mut control, at, 1, 0, Outcome::Error, 1),
            then
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
    let first = busy_slot(&control);
    control.engines[EngineIndex(first)].endpoint.ready = false;
    assert_eq!(
        end_attempt(&mut control, 2.0, 1, 0, Outcome::Error, first as u64 + 1),
        ["fail 1"]
    );
}

#[test]
fn rule_7_retries_keep_within_the_budget() {
    let rules = "rules.ratio-span-us=10000000 rules.extra-free=1 rules.repeat-ratio=0.1";
    let mut control = dispatcher(rules, &[("small", "h1"); 8]);
    let mut again = 0;
    for id in 0..10 {
        send_query(&mut control, 1.0, id, "look", 10.0);
        let slot = engine_of(&control, id, 0);
        again += usize::from(has_decision(
            &end_attempt(&mut control, 2.0, id, 0, Outcome::NoConnection, slot),
            "submit",
        ));
    }
    assert_eq!(again, 2, "one free and a tenth of ten");
}

#[test]
fn rule_2_retry_with_idempotency_key_must_start_within_the_dedup_window() {
    let mut control = dispatcher("services.3.repeat-window-us=700000", TWO);
    let mut recorded = RecordedDecisions::default();
    control.run_round(
        START_MS,
        &mut Script(Some(|control: &mut Control, out: &mut dyn DecisionSink| {
            control
                .on_query_arrived(&arriving(1, "tok", START_MS + 5000.0, 100.0), out)
                .unwrap();
            let engine_id = engine_of(control, 1, 0);
            control.now_ms = START_MS + 100.0;
            control.on_attempt_ended(&ended(1, 0, false, Outcome::Reset, engine_id, 100.0), out);
        })),
        &mut recorded,
    );
    let bounds: Vec<(f64, f64)> = recorded
        .limits
        .iter()
        .map(|b| (b.deadline_ms - START_MS, b.start_by_ms - START_MS))
        .collect();
    assert_eq!(bounds, [(5000.0, 5000.0), (5000.0, 700.0)]);
}
