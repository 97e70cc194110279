//! Dispatch: rules 5 and 6, grants.

use super::*;

#[test]
fn rule_5_queries_of_a_key_run_one_at_a_time_with_a_cooldown_after_an_unknown_outcome() {
    let mut control = dispatcher("rules.settle-after-doubt-us=500000", TWO_ENGINES);
    assert!(has_decision(
        &send_query_with_key(&mut control, 1.0, 1, "tok", 100.0, Some(5), 0),
        "submit 1"
    ));
    assert!(send_query_with_key(&mut control, 2.0, 2, "tok", 100.0, Some(5), 0).is_empty());
    assert!(has_decision(
        &send_query_with_key(&mut control, 3.0, 3, "tok", 100.0, Some(6), 0),
        "submit 3"
    ));
    let engine_id = engine_of(&control, 1, 0);
    run_round(&mut control, 4.0, |control, out| {
        control.on_client_disconnected(1, out)
    });
    assert!(
        run_round(&mut control, 50.0, |_, _| ()).is_empty(),
        "the attempt of query 1 is still in flight"
    );
    assert!(end_attempt(&mut control, 60.0, 1, 0, Outcome::Cancelled, engine_id).is_empty());
    assert!(
        run_round(&mut control, 500.0, |_, _| ()).is_empty(),
        "the key is cooling down"
    );
    assert!(has_decision(
        &run_round(&mut control, 600.0, |_, _| ()),
        "submit 2"
    ));
}

#[test]
fn keys_are_removed_once_their_queue_is_empty_and_their_cooldown_is_over() {
    let mut control = dispatcher("rules.settle-after-doubt-us=500000", TWO_ENGINES);
    for id in 0..1000 {
        let at_ms = 1.0 + 10.0 * id as f64;
        send_query_with_key(&mut control, at_ms, id, "tok", 100.0, Some(id), 0);
        let engine_id = engine_of(&control, id, 0);
        // Every fourth query has an unknown outcome, and its key cools down for 500 ms: about 12 keys at a time.
        let outcome = if id % 4 == 0 {
            Outcome::Cancelled
        } else {
            Outcome::Completed
        };
        run_round(&mut control, at_ms + 1.0, |control, out| {
            control.on_client_disconnected(id, out)
        });
        end_attempt(&mut control, at_ms + 2.0, id, 0, outcome, engine_id);
    }
    assert!(
        control.key_queues.len() < 60,
        "{}",
        control.key_queues.len()
    );
    // A key that is used again has one queue, and its cooldown is observed.
    send_query_with_key(&mut control, 20_000.0, 2000, "tok", 100.0, Some(7), 0);
    let engine_id = engine_of(&control, 2000, 0);
    run_round(&mut control, 20_001.0, |control, out| {
        control.on_client_disconnected(2000, out)
    });
    end_attempt(
        &mut control,
        20_002.0,
        2000,
        0,
        Outcome::Cancelled,
        engine_id,
    );
    assert!(
        send_query_with_key(&mut control, 20_010.0, 2001, "tok", 100.0, Some(7), 0).is_empty(),
        "the key is cooling down"
    );
    assert!(has_decision(
        &run_round(&mut control, 20_600.0, |_, _| ()),
        "submit 2001"
    ));
    assert_eq!(control.key_queues.len(), 1);
}

#[test]
fn rule_6_confined_query_goes_to_no_other_engine_when_no_permitted_engine_is_ready() {
    let mut control = dispatcher(
        "services.0.kinds-open=big services.1.confined-to=h2",
        ONE_ENGINE,
    );
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "look", 10.0),
        "reject 1"
    ));
    assert!(has_decision(
        &send_query(&mut control, 1.0, 2, "rep", 10.0),
        "reject 2"
    ));
}

#[test]
fn grant_precedes_the_attempt_and_is_ample_only_where_unused_grants_cost_nothing() {
    for (feature, priority_and_memory) in [
        ("memory-short=page", "1 20"),
        ("memory-short=shrink", "1 0"),
    ] {
        let mut control = dispatcher(
            &format!("family-info.{feature} family-info.lanes-count=1"),
            ONE_ENGINE,
        );
        assert_eq!(
            send_query(&mut control, 1.0, 1, "rep", 100.0),
            [
                format!("grant 1 {priority_and_memory}"),
                "submit 1 1".into()
            ]
        );
    }
    assert_eq!(
        send_query(&mut dispatcher("", ONE_ENGINE), 1.0, 1, "rep", 100.0),
        ["submit 1 1"]
    );
}
