//! Outlier detection: ejections, half-open trials, health checks, stalls.

use super::*;

#[test]
fn engine_with_lost_connections_is_ejected_and_gets_one_trial_that_is_not_migrated() {
    let mut control = dispatcher("", &[("small", "h1")]);
    for id in 0..2 {
        send_query(&mut control, 1.0, id, "load", 10.0);
        end_attempt(&mut control, 2.0, id, 0, Outcome::Reset, 1);
    }
    assert!(
        control.engines[EngineIndex(0)].health.is_ejected()
            && control.engines[EngineIndex(0)]
                .health
                .is_ejected_for_silence()
    );
    run_round(&mut control, 600.0, |control, out| {
        control.begin_update(EndpointListKind::Delta);
        control.upsert_endpoint(&ready_endpoint(2, "small", "h1", None));
        control.finish_update(EndpointListKind::Delta, out);
    });
    control.engines[EngineIndex(1)].load.set_work_ms(1e9);
    for id in 10..40 {
        send_query(&mut control, 600.0, id, "look", 100.0);
    }
    assert_eq!(
        control.engines[EngineIndex(0)].load.attempts(),
        1,
        "one trial"
    );
    assert!(
        !has_decision(&run_round(&mut control, 640.0, |_, _| ()), "cancel"),
        "the half-open trial migrated as if it had stalled"
    );
}

#[test]
fn silent_engine_gets_a_trial_only_after_it_answered_a_health_check() {
    let mut control = dispatcher("limits.probes=1", TWO_ENGINES);
    control.engines[EngineIndex(1)].load.set_work_ms(1e9);
    for id in 0..2 {
        send_query(&mut control, 1.0, id, "load", 10.0);
        end_attempt(&mut control, 2.0, id, 0, Outcome::Reset, 1);
    }
    assert!(
        control.engines[EngineIndex(0)].health.is_ejected()
            && control.engines[EngineIndex(0)]
                .health
                .is_ejected_for_silence()
    );
    let decisions: Vec<String> = (10..20)
        .flat_map(|id| send_query(&mut control, 600.0, id, "look", 10.0))
        .collect();
    assert_eq!(
        control.engines[EngineIndex(0)].load.attempts(),
        0,
        "the silent engine got a trial before it answered a health check"
    );
    assert!(has_decision(&decisions, "probe 1"), "{decisions:?}");
    run_round(&mut control, 650.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Timeout,
        })
    });
    (20..30).for_each(|id| drop(send_query(&mut control, 660.0, id, "look", 10.0)));
    assert_eq!(control.engines[EngineIndex(0)].load.attempts(), 0);
    run_round(&mut control, 670.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Completed,
        })
    });
    (30..50).for_each(|id| drop(send_query(&mut control, 680.0, id, "look", 10.0)));
    assert_eq!(
        control.engines[EngineIndex(0)].load.attempts(),
        1,
        "one trial"
    );
}

#[test]
fn engine_ejected_for_failed_connections_is_reinstated_by_a_health_check() {
    let mut control = dispatcher("limits.probes=1", ONE_ENGINE);
    (0..2).for_each(|id| drop(send_query(&mut control, 1.0, id, "look", 10.0)));
    // Two attempts that waited for the same connection count as one failure. The next attempt is a second failure.
    run_round(&mut control, 251.0, |control, out| {
        (0..2).for_each(|id| {
            control.on_attempt_ended(
                &attempt_ended(id, 0, false, Outcome::NoConnection, 1, 250.0),
                out,
            )
        });
    });
    assert!(!control.engines[EngineIndex(0)].health.is_ejected());
    end_attempt(&mut control, 501.0, 0, 1, Outcome::NoConnection, 1);
    assert!(control.engines[EngineIndex(0)].health.is_ejected());
    // An engine that answers a health check is reachable and its process runs, and only failed connections had counted
    // against it.
    run_round(&mut control, 600.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Completed,
        })
    });
    assert!(!control.engines[EngineIndex(0)].health.is_ejected());
    // An engine that accepts queries and completes none may still answer health checks. It stays ejected until a trial
    // succeeds.
    for id in 10..12 {
        send_query(&mut control, 700.0, id, "load", 10.0);
        end_attempt(&mut control, 701.0, id, 0, Outcome::Reset, 1);
    }
    run_round(&mut control, 800.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Completed,
        })
    });
    assert!(control.engines[EngineIndex(0)].health.is_ejected());
}

#[test]
fn query_that_fails_on_every_engine_ejects_none() {
    let mut control = dispatcher("", TWO_ENGINES);
    for id in 0..2 {
        send_query(&mut control, 1.0, id, "look", 10.0);
        for attempt in 0..4 {
            let engine_id = engine_of(&control, id, attempt);
            end_attempt(&mut control, 2.0, id, attempt, Outcome::Error, engine_id);
        }
        assert!(
            control.queries.find(id).is_none()
                && control
                    .engines
                    .iter()
                    .all(|engine| !engine.health.is_ejected()),
            "{id}"
        );
        for id in 10..20 {
            send_query(&mut control, 3.0, id, "look", 10.0);
            let engine_id = engine_of(&control, id, 0);
            end_attempt(&mut control, 4.0, id, 0, Outcome::Completed, engine_id);
        }
    }
}

#[test]
fn group_that_stalls_on_an_engine_avoids_it_while_other_groups_use_it() {
    let mut control = dispatcher("", TWO_ENGINES);
    let last_engine_of = |control: &Control, id: u64| {
        let last_attempt = control
            .queries
            .find(id)
            .and_then(|index| control.queries[index].attempts.all().last());
        last_attempt.map_or(0, |attempt| control.engines[attempt.engine].engine_id)
    };
    (0..8).for_each(|id| drop(send_query(&mut control, 1.0, id, "rep", 10.0)));
    let stalled: Vec<u64> = (0..8)
        .filter(|&id| last_engine_of(&control, id) == 1)
        .collect();
    assert!(stalled.len() > 2);
    (0..8)
        .filter(|id| !stalled.contains(id))
        .for_each(|id| drop(end_attempt(&mut control, 9.0, id, 0, Outcome::Completed, 2)));
    // The attempts on the first engine make no progress: the queries migrate and complete on the second engine.
    assert!(has_decision(
        &run_round(&mut control, 1000.0, |_, _| ()),
        "cancel"
    ));
    stalled.iter().for_each(|&id| {
        drop(end_attempt(
            &mut control,
            1001.0,
            id,
            0,
            Outcome::Cancelled,
            1,
        ))
    });
    stalled.iter().for_each(|&id| {
        drop(end_attempt(
            &mut control,
            1100.0,
            id,
            1,
            Outcome::Completed,
            2,
        ))
    });
    let mut engines_used = |group: &str, first_id: u64, at_ms: f64| -> Vec<u64> {
        let run_query = |id| {
            send_query(&mut control, at_ms, id, group, 10.0);
            let engine_id = last_engine_of(&control, id);
            end_attempt(
                &mut control,
                at_ms + 100.0,
                id,
                0,
                Outcome::Completed,
                engine_id,
            );
            engine_id
        };
        (first_id..first_id + 12).map(run_query).collect()
    };
    assert_eq!(engines_used("rep", 20, 1200.0), [2; 12]);
    assert!(engines_used("look", 40, 1400.0).contains(&1));
    // The group uses the first engine again once its stall level has decayed.
    assert!(engines_used("rep", 60, 9000.0).contains(&1));
}

#[test]
fn timeouts_do_not_eject_an_engine_that_answers_others() {
    let mut control = dispatcher("", ONE_ENGINE);
    for id in 0..6 {
        send_query(&mut control, 1.0, id, "look", 10.0);
    }
    end_attempt(&mut control, 5.0, 0, 0, Outcome::Completed, 1);
    for id in 1..6 {
        end_attempt(&mut control, 20_001.0, id, 0, Outcome::Timeout, 1);
    }
    assert!(!control.engines[EngineIndex(0)].health.is_ejected());
}

#[test]
fn engine_without_notes_is_checked_only_after_the_shortest_objective() {
    let is_checked = |overrides: &str, at_ms: f64| {
        let mut control = dispatcher(&format!("limits.probes=1 {overrides}"), ONE_ENGINE);
        send_query(&mut control, 1.0, 1, "look", 100.0);
        has_decision(&run_round(&mut control, at_ms, |_, _| ()), "probe")
    };
    // The shortest objective is 500 ms. With notes every 100 ms, silence is detected sooner.
    assert!(!is_checked("", 700.0) && is_checked("", 900.0));
    assert!(is_checked("family-info.tells-every-us=100000", 500.0));
}
