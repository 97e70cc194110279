//! Service levels: the effects of a level, and the guarantees that hold at every level.

use super::*;

/// Returns the effects of a level that restricts everything as far as possible.
fn most_restrictive_level() -> LevelEffects {
    LevelEffects {
        concurrency_factor: 0.05,
        demotion_factor: 0.5,
        grant_factor: 0.05,
        retry_after_factor: 3.0,
        retry_after_jitter: 0.5,
        withhold_low_retries: true,
        reject_over_quota: true,
        min_confidence: 1.0,
        group_fractions: vec![0.0; 4],
    }
}

fn pressured_dispatcher(level: LevelEffects) -> Control {
    let mut control = dispatcher("limits.max-retry-after-us=9000000", TWO_ENGINES);
    control
        .engines
        .iter_mut()
        .for_each(|engine| engine.slowdown.set(Lane::Fast, HIGH_SLOWDOWN));
    control.level = level;
    control
}

fn send_query_with_traits(
    control: &mut Control,
    at_ms: f64,
    id: u64,
    group: &str,
    cost_ms: f64,
    traits: StatementTraits,
) -> Vec<String> {
    run_round(control, at_ms, |control, out| {
        let query = QueryArrived {
            statement: traits,
            ..query_arrived(id, group, START_MS + at_ms + 20_000.0, cost_ms)
        };
        control.on_query_arrived(&query, out).unwrap()
    })
}

#[test]
fn fast_lane_is_never_rejected_for_load_at_any_level() {
    let mut control = pressured_dispatcher(most_restrictive_level());
    for id in 0..200 {
        assert!(
            has_decision(
                &send_query(&mut control, 1.0, id, "look", 10.0),
                &format!("submit {id}")
            ),
            "{id}"
        );
    }
    // A retry on the second engine is not withheld either.
    assert!(
        has_decision(
            &end_attempt(&mut control, 2.0, 7, 0, Outcome::Full, 1),
            "submit 7"
        ) || control.engines[EngineIndex(0)].load.attempts() != 100
    );
}

#[test]
fn group_without_headroom_is_rejected_at_once_with_spread_retry_after_times() {
    let mut control = pressured_dispatcher(most_restrictive_level());
    let delays_ms: Vec<f64> = (0..40)
        .map(|id| {
            let decisions = send_query(&mut control, 1.0, id, "rep", 100.0);
            decisions[0]
                .strip_prefix(&format!("reject {id} "))
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect();
    // 1 s times 3, plus a random part of up to half.
    assert!(
        delays_ms
            .iter()
            .all(|delay_ms| (3000.0..=4500.0).contains(delay_ms)),
        "{delays_ms:?}"
    );
    let mut intervals: Vec<u32> = delays_ms
        .iter()
        .map(|delay_ms| (delay_ms / 150.0) as u32)
        .collect();
    intervals.sort_unstable();
    intervals.dedup();
    assert!(
        intervals.len() > 5,
        "clients would retry together: {delays_ms:?}"
    );
}

#[test]
fn retry_after_keeps_within_the_settings_limit() {
    let mut control = dispatcher("", TWO_ENGINES);
    control.level = most_restrictive_level();
    for id in 0..40 {
        let decisions = send_query(&mut control, 1.0, id, "rep", 100.0);
        let delay_ms: f64 = decisions[0]
            .strip_prefix(&format!("reject {id} "))
            .unwrap()
            .parse()
            .unwrap();
        assert!((200.0..=300.0).contains(&delay_ms), "{delay_ms}");
    }
}

#[test]
fn level_shrinks_concurrency_limits_and_a_groups_headroom() {
    let submitted_count = |level: LevelEffects| {
        let mut control = pressured_dispatcher(level);
        // The pool has two engines of 8 cores each, and this dispatcher has half of it.
        (0..20)
            .filter(|id| has_decision(&send_query(&mut control, 1.0, *id, "rep", 100.0), "submit"))
            .count()
    };
    let full = submitted_count(LevelEffects::default());
    let half = submitted_count(LevelEffects {
        concurrency_factor: 0.5,
        ..LevelEffects::default()
    });
    let reduced_group = submitted_count(LevelEffects {
        group_fractions: vec![1.0, 0.4, 1.0, 1.0],
        ..LevelEffects::default()
    });
    assert!(
        full > half && full > reduced_group && half > 0,
        "{full} {half} {reduced_group}"
    );
}

#[test]
fn low_work_with_uncertain_cost_is_rejected_and_certain_work_is_not() {
    let is_submitted_at = |confidence: f64| {
        let mut control = pressured_dispatcher(LevelEffects {
            min_confidence: 0.3,
            ..LevelEffects::default()
        });
        has_decision(
            &send_query_with_traits(
                &mut control,
                1.0,
                1,
                "rep",
                100.0,
                StatementTraits {
                    confidence,
                    may_write: false,
                },
            ),
            "submit",
        )
    };
    assert!(!is_submitted_at(0.2) && is_submitted_at(0.4));
}

#[test]
fn low_work_without_retries_is_rejected_if_its_client_may_retry_and_fails_otherwise() {
    let mut control = pressured_dispatcher(LevelEffects {
        withhold_low_retries: true,
        ..LevelEffects::default()
    });
    send_query(&mut control, 1.0, 1, "rep", 100.0);
    let engine_id = slot_with_one_attempt(&control) as u64 + 1;
    assert!(has_decision(
        &end_attempt(&mut control, 2.0, 1, 0, Outcome::Error, engine_id),
        "reject 1"
    ));
    // A load that may have run fails and is not rejected, as at every level.
    send_query(&mut control, 3.0, 2, "load", 100.0);
    let engine_id = slot_with_one_attempt(&control) as u64 + 1;
    assert_eq!(
        end_attempt(&mut control, 4.0, 2, 0, Outcome::Reset, engine_id),
        ["fail 2"]
    );
    // A load that never ran is rejected.
    send_query(&mut control, 5.0, 3, "load", 100.0);
    let engine_id = slot_with_one_attempt(&control) as u64 + 1;
    assert!(has_decision(
        &end_attempt(&mut control, 6.0, 3, 0, Outcome::Full, engine_id),
        "reject 3"
    ));
}

#[test]
fn level_change_does_not_affect_attempts_in_flight() {
    let mut control = pressured_dispatcher(LevelEffects::default());
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "rep", 100.0),
        "submit 1"
    ));
    let engine_id = slot_with_one_attempt(&control) as u64 + 1;
    control.level = most_restrictive_level();
    assert!(run_round(&mut control, 30.0, |_, _| {}).is_empty());
    assert!(end_attempt(&mut control, 40.0, 1, 0, Outcome::Completed, engine_id).is_empty());
    control.level = LevelEffects::default();
    assert!(has_decision(
        &send_query(&mut control, 50.0, 2, "rep", 100.0),
        "submit 2"
    ));
}

#[test]
fn warming_engine_keeps_its_budget_at_the_most_restrictive_level() {
    let rules = "rules.fall-multiple=2 rules.cold-from=0.25 rules.overload-for-us=500000 rules.warm-after-us=10000000";
    let mut control = dispatcher(rules, TWO_ENGINES);
    control.level = most_restrictive_level();
    run_round(&mut control, 1.0, |control, out| {
        control.begin_update(EndpointListKind::Snapshot);
        control.upsert_endpoint(&ready_endpoint(3, "small", "h1", Some(START_MS)));
        control.finish_update(EndpointListKind::Snapshot, out);
    });
    let sent = (0..400)
        .filter(|id| {
            has_decision(
                &send_query(&mut control, 2.0, *id, "look", 100.0),
                &format!("submit {id} 3"),
            )
        })
        .count();
    // 2 x 0.25 x 8 cores x 500 ms x 0.85 x 0.8, shared by two dispatchers: 680 ms of work each, 100 ms per query.
    assert!((1..=6).contains(&sent), "{sent}");
}

#[test]
fn statement_that_may_write_fails_where_a_read_only_one_is_rejected() {
    for (may_write, expected) in [(false, "reject 1"), (true, "fail 1")] {
        let mut control = dispatcher("limits.max-attempts=1", TWO_ENGINES);
        send_query_with_traits(
            &mut control,
            1.0,
            1,
            "look",
            10.0,
            StatementTraits {
                confidence: 1.0,
                may_write,
            },
        );
        let engine_id = slot_with_one_attempt(&control) as u64 + 1;
        assert!(has_decision(
            &end_attempt(&mut control, 2.0, 1, 0, Outcome::Reset, engine_id),
            expected
        ));
    }
}

#[test]
fn uncertain_estimate_is_moved_towards_the_groups_mean() {
    let mut control = dispatcher("", TWO_ENGINES);
    (0..30).for_each(|id| drop(send_query(&mut control, 1.0, id, "look", 10.0)));
    let is_low = |control: &mut Control, id: u64, confidence: f64| {
        send_query_with_traits(
            control,
            2.0,
            id,
            "look",
            1000.0,
            StatementTraits {
                confidence,
                may_write: false,
            },
        );
        control
            .queries
            .iter()
            .find(|(_, query)| query.id == id)
            .map(|(_, query)| query.lane == Lane::Low)
    };
    // A query of 100 times the usual cost is demoted if its estimate is certain, and not if it is uncertain.
    assert_eq!(
        (
            is_low(&mut control, 100, 1.0),
            is_low(&mut control, 101, 0.0)
        ),
        (Some(true), Some(false))
    );
}
