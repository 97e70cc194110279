//! Service levels: what they change, and what none may touch.

use super::*;

/// The deepest level that is possible.
fn deepest_level() -> LevelEffects {
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

fn pressured_dispatcher(reduced: LevelEffects) -> Control {
    let mut control = dispatcher("limits.max-retry-after-us=9000000", TWO);
    control
        .engines
        .iter_mut()
        .for_each(|slot| slot.slowdown.set(Lane::Fast, SLOW));
    control.level = reduced;
    control
}

fn ask_with(
    control: &mut Control,
    at: f64,
    id: u64,
    group: &str,
    cost: f64,
    text: StatementTraits,
) -> Vec<String> {
    round(control, at, |control, out| {
        let query = QueryArrived {
            statement: text,
            ..arriving(id, group, START_MS + at + 20_000.0, cost)
        };
        control.on_query_arrived(&query, out).unwrap()
    })
}

#[test]
fn fast_lane_is_never_rejected_for_load_at_any_level() {
    let mut control = pressured_dispatcher(deepest_level());
    for id in 0..200 {
        assert!(
            has_decision(
                &send_query(&mut control, 1.0, id, "look", 10.0),
                &format!("submit {id}")
            ),
            "{id}"
        );
    }
    // Nor is a retry on the second engine withheld.
    assert!(
        has_decision(
            &end_attempt(&mut control, 2.0, 7, 0, Outcome::Full, 1),
            "submit 7"
        ) || control.engines[EngineIndex(0)].load.attempts() != 100
    );
}

#[test]
fn closed_group_is_rejected_at_once_with_spread_retry_times() {
    let mut control = pressured_dispatcher(deepest_level());
    let waits: Vec<f64> = (0..40)
        .map(|id| {
            let decided = send_query(&mut control, 1.0, id, "rep", 100.0);
            decided[0]
                .strip_prefix(&format!("reject {id} "))
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect();
    // 1 s times three, and up to half as much again.
    assert!(
        waits.iter().all(|wait| (3000.0..=4500.0).contains(wait)),
        "{waits:?}"
    );
    let mut tenths: Vec<u32> = waits.iter().map(|wait| (wait / 150.0) as u32).collect();
    tenths.sort_unstable();
    tenths.dedup();
    assert!(tenths.len() > 5, "a herd: {waits:?}");
}

#[test]
fn retry_after_keeps_within_the_settings_limit() {
    let mut control = dispatcher("", TWO);
    control.level = deepest_level();
    for id in 0..40 {
        let decided = send_query(&mut control, 1.0, id, "rep", 100.0);
        let wait: f64 = decided[0]
            .strip_prefix(&format!("reject {id} "))
            .unwrap()
            .parse()
            .unwrap();
        assert!((200.0..=300.0).contains(&wait), "{wait}");
    }
}

#[test]
fn level_shrinks_concurrency_limits_and_a_groups_headroom() {
    let count = |reduced: LevelEffects| {
        let mut control = pressured_dispatcher(reduced);
        // A pool of two with 8 cores each, of which this dispatcher has half.
        (0..20)
            .filter(|id| has_decision(&send_query(&mut control, 1.0, *id, "rep", 100.0), "submit"))
            .count()
    };
    let full = count(LevelEffects::default());
    let half = count(LevelEffects {
        concurrency_factor: 0.5,
        ..LevelEffects::default()
    });
    let part = count(LevelEffects {
        group_fractions: vec![1.0, 0.4, 1.0, 1.0],
        ..LevelEffects::default()
    });
    assert!(
        full > half && full > part && half > 0,
        "{full} {half} {part}"
    );
}

#[test]
fn low_work_with_uncertain_cost_is_rejected_and_certain_work_is_not() {
    let confidence = |confidence: f64| {
        let mut control = pressured_dispatcher(LevelEffects {
            min_confidence: 0.3,
            ..LevelEffects::default()
        });
        has_decision(
            &ask_with(
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
    assert!(!confidence(0.2) && confidence(0.4));
}

#[test]
fn withheld_low_work_is_not_retried_and_its_rules_hold() {
    let mut control = pressured_dispatcher(LevelEffects {
        withhold_low_retries: true,
        ..LevelEffects::default()
    });
    send_query(&mut control, 1.0, 1, "rep", 100.0);
    let on = busy_slot(&control) as u64 + 1;
    assert!(has_decision(
        &end_attempt(&mut control, 2.0, 1, 0, Outcome::Error, on),
        "reject 1"
    ));
    // A load that may have run fails and is not rejected, at this level as at any.
    send_query(&mut control, 3.0, 2, "load", 100.0);
    let on = busy_slot(&control) as u64 + 1;
    assert_eq!(
        end_attempt(&mut control, 4.0, 2, 0, Outcome::Reset, on),
        ["fail 2"]
    );
    // One that never ran is rejected.
    send_query(&mut control, 5.0, 3, "load", 100.0);
    let on = busy_slot(&control) as u64 + 1;
    assert!(has_decision(
        &end_attempt(&mut control, 6.0, 3, 0, Outcome::Full, on),
        "reject 3"
    ));
}

#[test]
fn level_change_leaves_attempts_in_flight_alone() {
    let mut control = pressured_dispatcher(LevelEffects::default());
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "rep", 100.0),
        "submit 1"
    ));
    let on = busy_slot(&control) as u64 + 1;
    control.level = deepest_level();
    assert!(round(&mut control, 30.0, |_, _| {}).is_empty());
    assert!(end_attempt(&mut control, 40.0, 1, 0, Outcome::Completed, on).is_empty());
    control.level = LevelEffects::default();
    assert!(has_decision(
        &send_query(&mut control, 50.0, 2, "rep", 100.0),
        "submit 2"
    ));
}

#[test]
fn warming_engine_keeps_its_budget_at_the_deepest_level() {
    let cold = "rules.fall-multiple=2 rules.cold-from=0.25 rules.overload-for-us=500000 rules.warm-after-us=10000000";
    let mut control = dispatcher(cold, TWO);
    control.level = deepest_level();
    round(&mut control, 1.0, |control, out| {
        control.begin_update(EndpointListKind::Snapshot);
        control.upsert_endpoint(&ready(3, "small", "h1", Some(START_MS)));
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
    // 2 x 0.25 x 8 cores x 500 ms x 0.85 x 0.8 for two dispatchers: 680 ms of work, at 100 ms a query.
    assert!((1..=6).contains(&sent), "{sent}");
}

#[test]
fn statement_that_may_write_fails_where_its_group_would_be_rejected() {
    for (may_write, then) in [(false, "reject 1"), (true, "fail 1")] {
        let mut control = dispatcher("limits.max-attempts=1", TWO);
        ask_with(
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
        let on = busy_slot(&control) as u64 + 1;
        assert!(has_decision(
            &end_attempt(&mut control, 2.0, 1, 0, Outcome::Reset, on),
            then
        ));
    }
}

#[test]
fn uncertain_estimate_counts_between_the_groups_mean_and_itself() {
    let mut control = dispatcher("", TWO);
    (0..30).for_each(|id| drop(send_query(&mut control, 1.0, id, "look", 10.0)));
    let low = |control: &mut Control, id: u64, confidence: f64| {
        ask_with(
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
            .find(|(_, q)| q.id == id)
            .map(|(_, q)| q.lane == Lane::Low)
    };
    // A hundred times the usual cost is demoted if it is certain, and not if it is uncertain.
    assert_eq!(
        (low(&mut control, 100, 1.0), low(&mut control, 101, 0.0)),
        (Some(true), Some(false))
    );
}
