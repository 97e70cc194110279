//! The endpoint list: rule 3, slots of engines, requests for the list.

use super::*;

#[test]
fn rule_3_draining_or_unlisted_engine_gets_no_query() {
    let mut control = dispatcher("", TWO_ENGINES);
    run_round(&mut control, 1.0, |control, out| {
        control.begin_update(EndpointListKind::Delta);
        control.upsert_endpoint(&EndpointUpdate {
            state: EndpointState::Draining,
            ..ready_endpoint(1, "small", "h1", None)
        });
        control.finish_update(EndpointListKind::Delta, out);
    });
    for id in 0..20 {
        assert_eq!(
            send_query(&mut control, 2.0, id, "look", 10.0),
            [format!("submit {id} 2")]
        );
    }
    run_round(&mut control, 3.0, |control, out| {
        control.begin_update(EndpointListKind::Snapshot);
        control.finish_update(EndpointListKind::Snapshot, out);
    });
    assert!(has_decision(
        &send_query(&mut control, 4.0, 99, "look", 10.0),
        "reject 99"
    ));
}

#[test]
fn slots_of_replaced_engines_are_reused_unless_an_attempt_is_in_flight() {
    let mut control = dispatcher("", ONE_ENGINE);
    send_query(&mut control, 1.0, 7, "load", 10.0);
    for engine_id in 2..200 {
        run_round(&mut control, engine_id as f64, |control, out| {
            control.begin_update(EndpointListKind::Snapshot);
            control.upsert_endpoint(&ready_endpoint(engine_id, "small", "h1", Some(START_MS)));
            control.finish_update(EndpointListKind::Snapshot, out);
        });
        let ready_engine_ids: Vec<u64> = control
            .engines
            .iter()
            .filter(|engine| engine.endpoint.ready)
            .map(|engine| engine.engine_id)
            .collect();
        assert_eq!(ready_engine_ids, [engine_id]);
    }
    assert!(control.engines.len() <= 3, "{}", control.engines.len());
    // The attempt of the load still counts on the first engine, and its outcome is still recorded.
    assert_eq!(
        (
            control.engines[EngineIndex(0)].engine_id,
            control.engines[EngineIndex(0)].load.attempts()
        ),
        (1, 1)
    );
    end_attempt(&mut control, 300.0, 7, 0, Outcome::Completed, 1);
    assert_eq!(
        (
            control.queries.len(),
            control.engines[EngineIndex(0)].load.attempts()
        ),
        (0, 0)
    );
}

#[test]
fn endpoint_list_is_requested_again_after_a_failure() {
    let mut control = dispatcher("membership-mode=on_request", ONE_ENGINE);
    let report_failed_list = |control: &mut Control, out: &mut dyn DecisionSink| {
        control.begin_update(EndpointListKind::Failed);
        control.finish_update(EndpointListKind::Failed, out);
    };
    run_round(&mut control, 2_000.0, report_failed_list);
    assert!(!has_decision(
        &run_round(&mut control, 2_500.0, |_, _| ()),
        "watch"
    ));
    assert!(has_decision(
        &run_round(&mut control, 3_100.0, |_, _| ()),
        "watch"
    ));
}
