//! Pressure: what shows it, and how it decays.

use super::*;

#[test]
fn slow_answers_a_refusal_as_full_used_memory_and_many_low_threads_are_pressure() {
    let causes: [fn(&mut Control); 4] = [
        |control| {
            control.engines[EngineIndex(0)]
                .slowdown
                .set(Lane::Low, SLOW)
        },
        |control| {
            control.engines[EngineIndex(0)]
                .limit
                .set_last_full_ms(START_MS + 1.0)
        },
        |control| control.engines[EngineIndex(0)].load.set_granted_mb(900.0),
        |control| control.engines[EngineIndex(0)].load.set_peer_threads(12.0),
    ];
    for cause in causes {
        let mut control = dispatcher("", ONE);
        control.engines[EngineIndex(0)].load.set_low_attempts(1);
        control.engines[EngineIndex(0)].load.set_low_threads(2.0);
        control.engines[EngineIndex(0)]
            .limit
            .set_threads_per_core(0.5);
        cause(&mut control);
        assert!(has_decision(
            &send_query(&mut control, 1000.0, 1, "rep", 100.0),
            "reject"
        ));
    }
}

#[test]
fn slowdown_decays_towards_that_of_the_zone() {
    let mut control = dispatcher("", TWO);
    control.engines[EngineIndex(0)]
        .slowdown
        .set(Lane::Fast, FadingMedian::new(0.8, START_MS));
    assert!(
        control.pool().is_under_pressure(EngineIndex(0))
            && !control.pool().is_under_pressure(EngineIndex(1))
    );
    round(&mut control, 10_000.0, |_, _| ());
    assert!(
        !control.pool().is_under_pressure(EngineIndex(0)),
        "one engine was slow long ago"
    );
    control
        .slowdowns
        .set_zone(0, Lane::Fast, FadingMedian::new(0.8, START_MS + 10_000.0));
    assert!(
        control.pool().is_under_pressure(EngineIndex(0))
            && control.pool().is_under_pressure(EngineIndex(1)),
        "the zone stands in for engines without recent answers"
    );
}

#[test]
fn one_slow_answer_after_a_long_gap_is_pressure() {
    let mut control = dispatcher("balancers=300", TWO);
    control.groups[GroupIndex(0)]
        .slowdown_mut()
        .set_samples(100);
    send_query(&mut control, 20_000.0, 1, "look", 10.0);
    let slot = busy_slot(&control);
    end_attempt(
        &mut control,
        20_100.0,
        1,
        0,
        Outcome::Completed,
        slot as u64 + 1,
    );
    assert!(control.pool().is_under_pressure(EngineIndex(slot)));
}

#[test]
fn dispatcher_started_during_an_incident_counts_late_answers_as_slow() {
    let mut control = dispatcher("", ONE);
    for id in 0..6 {
        send_query(&mut control, 1.0, id, "look", 10.0);
        round(&mut control, 900.0, |control, out| {
            control.on_attempt_ended(&ended(id, 0, true, Outcome::Completed, 1, 900.0), out)
        });
    }
    assert!(control.pool().is_under_pressure(EngineIndex(0)));
}

#[test]
fn pool_slowdown_stands_in_for_a_zone_without_recent_answers() {
    let mut control = dispatcher("balancers=300", &[("small", "h1"), ("small", "h2")]);
    control.groups[GroupIndex(0)]
        .slowdown_mut()
        .set_samples(100);
    for id in 0..3 {
        send_query(&mut control, id as f64, id, "look", 1.0);
        let slot = engine_of(&control, id, 0);
        end_attempt(
            &mut control,
            100.0 + id as f64,
            id,
            0,
            Outcome::Completed,
            slot,
        );
    }
    assert!(
        control.pool().is_under_pressure(EngineIndex(0))
            && control.pool().is_under_pressure(EngineIndex(1)),
        "h552f21: a zone without answers looked below pressure to every dispatcher"
    );
}

#[test]
fn slower_answer_is_no_pressure_where_estimates_scatter() {
    for (scatter, is_pressured) in [(0.0, true), (1.0, false)] {
        let mut control = dispatcher("", ONE);
        control.groups[GroupIndex(0)]
            .slowdown_mut()
            .set_samples(100);
        control.groups[GroupIndex(0)]
            .slowdown_mut()
            .set_scatter(scatter);
        send_query(&mut control, 1.0, 1, "look", 60.0);
        end_attempt(&mut control, 101.0, 1, 0, Outcome::Completed, 1);
        assert_eq!(
            control.pool().is_under_pressure(EngineIndex(0)),
            is_pressured
        );
    }
}
