//! Outlier detection: ejections, trials, health checks, stalls.

use super::*;

#[test]
fn engine_with_errors_is_ejected_and_gets_one_trial_that_is_not_migrated() {
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
    round(&mut control, 600.0, |control, out| {
        control.begin_update(EndpointListKind::Delta);
        control.upsert_endpoint(&ready(2, "small", "h1", None));
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
        !has_decision(&round(&mut control, 640.0, |_, _| ()), "cancel"),
        "i22a8d1: the trial migrated as if it had stalled"
    );
}

#[test]
fn silent_engine_gets_a_trial_only_after_it_answered_a_health_check() {
    let mut control = dispatcher("limits.probes=1", TWO);
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
    let decided: Vec<String> = (10..20)
        .flat_map(|id| send_query(&mut control, 600.0, id, "look", 10.0))
        .collect();
    assert_eq!(
        control.engines[EngineIndex(0)].load.attempts(),
        0,
        "the silent engine took a trial"
    );
    assert!(has_decision(&decided, "probe 1"), "{decided:?}");
    round(&mut control, 650.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Timeout,
        })
    });
    (20..30).for_each(|id| drop(send_query(&mut control, 660.0, id, "look", 10.0)));
    assert_eq!(control.engines[EngineIndex(0)].load.attempts(), 0);
    round(&mut control, 670.0, |control, _| {
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
    let mut control = dispatcher("limits.probes=1", ONE);
    (0..2).for_each(|id| drop(send_query(&mut control, 1.0, id, "look", 10.0)));
    // Two that waited for one connection count as one failure; then there is a second.
    round(&mut control, 251.0, |control, out| {
        (0..2).for_each(|id| {
            control.on_attempt_ended(&ended(id, 0, false, Outcome::NoConnection, 1, 250.0), out)
        });
    });
    assert!(!control.engines[EngineIndex(0)].health.is_ejected());
    end_attempt(&mut control, 501.0, 0, 1, Outcome::NoConnection, 1);
    assert!(control.engines[EngineIndex(0)].health.is_ejected());
    // An engine that answers a health check can be reached and has a process: there was no other evidence against it.
    round(&mut control, 600.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Completed,
        })
    });
    assert!(!control.engines[EngineIndex(0)].health.is_ejected());
    // One that takes queries and completes none may well answer health checks: it stays ejected until a trial succeeds.
    for id in 10..12 {
        send_query(&mut control, 700.0, id, "load", 10.0);
        end_attempt(&mut control, 701.0, id, 0, Outcome::Reset, 1);
    }
    round(&mut control, 800.0, |control, _| {
        control.on_health_check_ended(&HealthCheckEnded {
            engine_id: 1,
            outcome: Outcome::Completed,
        })
    });
    assert!(control.engines[EngineIndex(0)].health.is_ejected());
}

#[test]
fn query_that_fails_on_every_engine_ejects_none() {
    let mut control = dispatcher("", TWO);
    for id in 0..2 {
        send_query(&mut control, 1.0, id, "look", 10.0);
        for attempt in 0..4 {
            let engine_id = engine_of(&control, id, attempt);
            end_attempt(&mut control, 2.0, id, attempt, Outcome::Error, engine_id);
        }
        assert!(
            control.queries.find(id).is_none()
                && control.engines.iter().all(|slot| !slot.health.is_ejected()),
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
fn group_that_stalls_on_an_engine_avoids_it_while_other_groups_stay() {
    let mut control = dispatcher("", TWO);
    let on = |control: &Control, id: u64| {
        let last = control
            .queries
            .find(id)
            .and_then(|i| control.queries[i].attempts.all().last());
        last.map_or(0, |s| control.engines[s.engine].engine_id)
    };
    (0..8).for_each(|id| drop(send_query(&mut control, 1.0, id, "rep", 10.0)));
    let stalled: Vec<u64> = (0..8).filter(|&id| on(&control, id) == 1).collect();
    assert!(stalled.len() > 2);
    (0..8)
        .filter(|id| !stalled.contains(id))
        .for_each(|id| drop(end_attempt(&mut control, 9.0, id, 0, Outcome::Completed, 2)));
    // Those on the first engine make no progress: they migrate and complete on the second.
    assert!(has_decision(
        &round(&mut control, 1000.0, |_, _| ()),
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
    let mut engines_used = |group: &str, from: u64, at: f64| -> Vec<u64> {
        let one = |id| {
            send_query(&mut control, at, id, group, 10.0);
            let engine_id = on(&control, id);
            end_attempt(
                &mut control,
                at + 100.0,
                id,
                0,
                Outcome::Completed,
                engine_id,
            );
            engine_id
        };
        (from..from + 12).map(one).collect()
    };
    assert_eq!(engines_used("rep", 20, 1200.0), [2; 12]);
    assert!(engines_used("look", 40, 1400.0).contains(&1));
    // It is used again after a while.
    assert!(engines_used("rep", 60, 9000.0).contains(&1));
}

#[test]
fn timeouts_do_not_eject_an_engine_that_answers_others() {
    let mut control = dispatcher("", ONE);
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
    let is_checked = |more: &str, at: f64| {
        let mut control = dispatcher(&format!("limits.probes=1 {more}"), ONE);
        send_query(&mut control, 1.0, 1, "look", 100.0);
        has_decision(&round(&mut control, at, |_, _| ()), "probe")
    };
    // The shortest objective is 500 ms; with notes every 100 ms silence shows sooner.
    assert!(!is_checked("", 700.0) && is_checked("", 900.0));
    assert!(is_checked("family-info.tells-every-us=100000", 500.0));
}
