//! Placement: the choice of an engine, and headroom.

use super::*;

#[test]
fn concurrency_limit_binds_under_pressure_only_and_never_keeps_out_the_only_low_query() {
    let mut control = dispatcher("", ONE);
    control.engines[EngineIndex(0)]
        .limit
        .set_threads_per_core(0.5);
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "rep", 100.0),
        "submit"
    ));
    assert!(
        has_decision(&send_query(&mut control, 1.0, 2, "rep", 100.0), "submit"),
        "no pressure, no bound"
    );
    put_under_pressure(&mut control, 0);
    assert_eq!(
        send_query(&mut control, 1.0, 3, "rep", 100.0),
        ["reject 3 300"],
        "at once, within the limit of the settings"
    );
    assert!(
        has_decision(&send_query(&mut control, 1.0, 4, "look", 100.0), "submit"),
        "the fast lane is not refused"
    );
    control.engines[EngineIndex(0)].slowdown = LaneSlowdowns::default();
    control.engines[EngineIndex(0)]
        .slowdown
        .set(Lane::Low, SLOW);
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
    // Whenever both are drawn the big one is chosen; one engine drawn twice may be either.
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
    let mut control = dispatcher("", TWO);
    send_query_with_key(&mut control, 1.0, 1, "load", 10.0, None, 7);
    let locked = busy_slot(&control);
    control.engines[EngineIndex(1 - locked)]
        .load
        .set_work_ms(1e9);
    assert_eq!(
        send_query_with_key(&mut control, 2.0, 2, "look", 10.0, None, 7),
        [format!("submit 2 {}", 2 - locked)]
    );
    end_attempt(
        &mut control,
        3.0,
        1,
        0,
        Outcome::Completed,
        locked as u64 + 1,
    );
    assert!(control.engines[EngineIndex(locked)].load.has_no_locks());
}

#[test]
fn dispatcher_with_a_hundredth_of_each_engine_does_not_fill_every_engine() {
    let mut control = dispatcher("balancers=300", &[("small", "h1"); 8]);
    (0..8).for_each(|slot| put_under_pressure(&mut control, slot));
    assert!(
        has_decision(&send_query(&mut control, 1.0, 1, "rep", 100.0), "submit"),
        "one there is room for always"
    );
    assert!(has_decision(
        &send_query(&mut control, 2.0, 2, "rep", 100.0),
        "reject"
    ));
}

#[test]
fn placement_stays_in_the_local_zone_while_an_engine_there_has_spare_capacity() {
    let mut control = dispatcher("", &[("small", "h1"), ("small", "h2")]);
    let local = (0..20)
        .filter(|&id| {
            send_query(&mut control, 1.0, id, "look", 0.001) == [format!("submit {id} 1")]
        })
        .count();
    assert_eq!(local, 20);
    put_under_pressure(&mut control, 0);
    control.engines[EngineIndex(0)].load.set_work_ms(1e9);
    let away = (50..90)
        .filter(|&id| {
            send_query(&mut control, 1.0, id, "look", 0.001) == [format!("submit {id} 2")]
        })
        .count();
    assert!(away > 5, "one of the two draws is from all again: {away}");
}

#[test]
fn only_low_query_is_rejected_under_pressure_when_all_limits_are_used_up() {
    for (bound, room) in [(0.2, "reject"), (2.0, "submit")] {
        let mut control = dispatcher("", TWO);
        control.engines[EngineIndex(0)].load.set_low_attempts(2);
        control.engines[EngineIndex(0)].load.set_low_threads(4.0);
        control.engines[EngineIndex(0)]
            .limit
            .set_threads_per_core(0.2);
        control.engines[EngineIndex(1)]
            .limit
            .set_threads_per_core(bound);
        put_under_pressure(&mut control, 0);
        put_under_pressure(&mut control, 1);
        assert!(
            has_decision(&send_query(&mut control, 1000.0, 1, "rep", 100.0), room),
            "i200cfe"
        );
    }
}

#[test]
fn limits_below_one_query_admit_one_as_often_as_keeps_to_them_over_time() {
    let mut control = dispatcher("balancers=40", TWO);
    let mut entered = 0;
    for id in 0..200 {
        (0..2).for_each(|slot| {
            control.engines[EngineIndex(slot)].slowdown.set(
                Lane::Fast,
                FadingMedian::new(2.0, START_MS + id as f64 * 100.0),
            )
        });
        entered += usize::from(has_decision(
            &send_query(&mut control, id as f64 * 100.0, id, "rep", 100.0),
            "submit",
        ));
        let sent = control
            .queries
            .iter()
            .find(|(_, q)| q.id == id)
            .map(|(_, q)| q.attempts.all()[0].engine.0 as u64 + 1);
        if let Some(slot) = sent {
            round(&mut control, id as f64 * 100.0 + 60.0, |_, _| ());
            end_attempt(
                &mut control,
                id as f64 * 100.0 + 99.0,
                id,
                0,
                Outcome::Completed,
                slot,
            );
        }
    }
    // Sixteen cores over forty dispatchers are 0.4 threads of the 2 that one needs; 1.2 a core at the most.
    assert!((20..120).contains(&entered), "{entered} of 200");
}
