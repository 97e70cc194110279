//! Placement: choice of an engine, headroom.

use super::*;

#[test]
fn concurrency_limit_binds_only_under_pressure_and_never_excludes_the_only_low_query() {
    let mut control = dispatcher("", ONE_ENGINE);
    control.engines[EngineIndex(0)]
        .limit
        .set_threads_per_core(0.5);
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "rep", 100.0),
        "submit"
    ));
    assert!(
        has_decision(&send_query(&mut control, 1.0, 2, "rep", 100.0), "submit"),
        "the limit does not bind without pressure"
    );
    put_under_pressure(&mut control, 0);
    assert_eq!(
        send_query(&mut control, 1.0, 3, "rep", 100.0),
        ["reject 3 300"],
        "rejected at once, with a retry delay within the settings' limit"
    );
    assert!(
        has_decision(&send_query(&mut control, 1.0, 4, "look", 100.0), "submit"),
        "the fast lane is not rejected"
    );
    control.engines[EngineIndex(0)].slowdown = LaneSlowdowns::default();
    control.engines[EngineIndex(0)]
        .slowdown
        .set(Lane::Low, HIGH_SLOWDOWN);
    control.engines[EngineIndex(0)].load.set_low_attempts(0);
    assert!(has_decision(
        &send_query(&mut control, 1.0, 5, "rep", 100.0),
        "submit"
    ));
}

#[test]
fn engine_with_less_work_per_core_is_chosen() {
    let mut control = dispatcher("", &[("small", "h1"), ("big", "h1")]);
    control.engines[EngineIndex(0)].load.set_work_ms(1000.0);
    control.engines[EngineIndex(1)].load.set_work_ms(1500.0);
    for id in 0..40 {
        send_query(&mut control, 1.0, id, "look", 0.001);
    }
    // If the two draws differ, the big engine is chosen. If they are the same, either engine may be chosen.
    assert!(
        control.engines[EngineIndex(1)].load.attempts()
            > control.engines[EngineIndex(0)].load.attempts()
    );
    control.engines[EngineIndex(0)].load.set_work_ms(0.0);
    control.engines[EngineIndex(1)].load.set_work_ms(9000.0);
    let before = control.engines[EngineIndex(1)].load.attempts();
    for id in 100..140 {
        send_query(&mut control, 1.0, id, "look", 0.001);
    }
    assert!(control.engines[EngineIndex(1)].load.attempts() - before < 20);
}

#[test]
fn query_avoids_an_engine_where_a_load_locks_its_tables() {
    let mut control = dispatcher("", TWO_ENGINES);
    send_query_with_key(&mut control, 1.0, 1, "load", 10.0, None, 7);
    let locked_slot = slot_with_one_attempt(&control);
    control.engines[EngineIndex(1 - locked_slot)]
        .load
        .set_work_ms(1e9);
    assert_eq!(
        send_query_with_key(&mut control, 2.0, 2, "look", 10.0, None, 7),
        [format!("submit 2 {}", 2 - locked_slot)]
    );
    end_attempt(
        &mut control,
        3.0,
        1,
        0,
        Outcome::Completed,
        locked_slot as u64 + 1,
    );
    assert!(control.engines[EngineIndex(locked_slot)]
        .load
        .has_no_locks());
}

#[test]
fn dispatcher_with_a_small_share_of_each_engine_does_not_fill_every_engine() {
    let mut control = dispatcher("balancers=300", &[("small", "h1"); 8]);
    (0..8).for_each(|slot| put_under_pressure(&mut control, slot));
    assert!(
        has_decision(&send_query(&mut control, 1.0, 1, "rep", 100.0), "submit"),
        "there is always room for one query"
    );
    assert!(has_decision(
        &send_query(&mut control, 2.0, 2, "rep", 100.0),
        "reject"
    ));
}

#[test]
fn placement_stays_in_the_local_zone_while_an_engine_there_has_spare_capacity() {
    let mut control = dispatcher("", &[("small", "h1"), ("small", "h2")]);
    let local_count = (0..20)
        .filter(|&id| {
            send_query(&mut control, 1.0, id, "look", 0.001) == [format!("submit {id} 1")]
        })
        .count();
    assert_eq!(local_count, 20);
    put_under_pressure(&mut control, 0);
    control.engines[EngineIndex(0)].load.set_work_ms(1e9);
    let remote_count = (50..90)
        .filter(|&id| {
            send_query(&mut control, 1.0, id, "look", 0.001) == [format!("submit {id} 2")]
        })
        .count();
    assert!(
        remote_count > 5,
        "one of the two draws is from all zones again: {remote_count}"
    );
}

#[test]
fn engine_without_low_queries_takes_one_under_pressure_only_if_the_pool_has_room() {
    for (threads_per_core, expected) in [(0.2, "reject"), (2.0, "submit")] {
        let mut control = dispatcher("", TWO_ENGINES);
        control.engines[EngineIndex(0)].load.set_low_attempts(2);
        control.engines[EngineIndex(0)].load.set_low_threads(4.0);
        control.engines[EngineIndex(0)]
            .limit
            .set_threads_per_core(0.2);
        control.engines[EngineIndex(1)]
            .limit
            .set_threads_per_core(threads_per_core);
        put_under_pressure(&mut control, 0);
        put_under_pressure(&mut control, 1);
        assert!(
            has_decision(&send_query(&mut control, 1000.0, 1, "rep", 100.0), expected),
            "limit {threads_per_core}: expected {expected}"
        );
    }
}

#[test]
fn limits_below_one_query_admit_queries_at_the_rate_that_they_allow_over_time() {
    let mut control = dispatcher("balancers=40", TWO_ENGINES);
    let mut submitted = 0;
    for id in 0..200 {
        (0..2).for_each(|slot| {
            control.engines[EngineIndex(slot)].slowdown.set(
                Lane::Fast,
                DecayingMedian::new(2.0, START_MS + id as f64 * 100.0),
            )
        });
        submitted += usize::from(has_decision(
            &send_query(&mut control, id as f64 * 100.0, id, "rep", 100.0),
            "submit",
        ));
        let engine_id = control
            .queries
            .iter()
            .find(|(_, query)| query.id == id)
            .map(|(_, query)| query.attempts.all()[0].engine.0 as u64 + 1);
        if let Some(engine_id) = engine_id {
            run_round(&mut control, id as f64 * 100.0 + 60.0, |_, _| ());
            end_attempt(
                &mut control,
                id as f64 * 100.0 + 99.0,
                id,
                0,
                Outcome::Completed,
                engine_id,
            );
        }
    }
    // At the initial limit of 1 thread per core, 16 cores shared by 40 dispatchers give each dispatcher 0.4 threads. A
    // query needs 2. The limit can grow to 1.2 threads per core.
    assert!((20..120).contains(&submitted), "{submitted} of 200");
}
