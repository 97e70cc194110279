//! Pressure: its causes and its decay.

use super::*;

#[test]
fn slow_answers_refusals_as_full_estimated_memory_and_peer_threads_show_pressure() {
    let causes: [fn(&mut Control); 4] = [
        |control| {
            control.engines[EngineIndex(0)]
                .slowdown
                .set(Lane::Low, HIGH_SLOWDOWN)
        },
        |control| {
            control.engines[EngineIndex(0)]
                .limit
                .set_last_full_ms(START_MS + 1.0)
        },
        |control| control.engines[EngineIndex(0)].load.set_memory_mb(900.0),
        |control| control.engines[EngineIndex(0)].load.set_peer_threads(12.0),
    ];
    for cause in causes {
        let mut control = dispatcher("", ONE_ENGINE);
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
    let mut control = dispatcher("", TWO_ENGINES);
    control.engines[EngineIndex(0)]
        .slowdown
        .set(Lane::Fast, DecayingMedian::new(0.8, START_MS));
    assert!(
        control.pool().is_under_pressure(EngineIndex(0))
            && !control.pool().is_under_pressure(EngineIndex(1))
    );
    run_round(&mut control, 10_000.0, |_, _| ());
    assert!(
        !control.pool().is_under_pressure(EngineIndex(0)),
        "the slowdown of the engine has decayed"
    );
    control
        .slowdowns
        .set_zone(0, Lane::Fast, DecayingMedian::new(0.8, START_MS + 10_000.0));
    assert!(
        control.pool().is_under_pressure(EngineIndex(0))
            && control.pool().is_under_pressure(EngineIndex(1)),
        "engines without recent answers take the zone's slowdown"
    );
}

#[test]
fn one_slow_answer_after_a_long_gap_is_pressure() {
    let mut control = dispatcher("balancers=300", TWO_ENGINES);
    control.groups[GroupIndex(0)]
        .slowdown_mut()
        .set_samples(100);
    send_query(&mut control, 20_000.0, 1, "look", 10.0);
    let slot = slot_with_one_attempt(&control);
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
    let mut control = dispatcher("", ONE_ENGINE);
    for id in 0..6 {
        send_query(&mut control, 1.0, id, "look", 10.0);
        run_round(&mut control, 900.0, |control, out| {
            control.on_attempt_ended(
                &attempt_ended(id, 0, true, Outcome::Completed, 1, 900.0),
                out,
            )
        });
    }
    assert!(control.pool().is_under_pressure(EngineIndex(0)));
}

#[test]
fn zone_without_recent_answers_takes_the_pool_slowdown() {
    let mut control = dispatcher("balancers=300", &[("small", "h1"), ("small", "h2")]);
    control.groups[GroupIndex(0)]
        .slowdown_mut()
        .set_samples(100);
    for id in 0..3 {
        send_query(&mut control, id as f64, id, "look", 1.0);
        let engine_id = engine_of(&control, id, 0);
        end_attempt(
            &mut control,
            100.0 + id as f64,
            id,
            0,
            Outcome::Completed,
            engine_id,
        );
    }
    assert!(
        control.pool().is_under_pressure(EngineIndex(0))
            && control.pool().is_under_pressure(EngineIndex(1)),
        "a zone without recent answers did not count as under pressure"
    );
}

#[test]
fn slower_answer_is_not_pressure_if_estimates_scatter() {
    for (scatter, is_pressured) in [(0.0, true), (1.0, false)] {
        let mut control = dispatcher("", ONE_ENGINE);
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
