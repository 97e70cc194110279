//! Reduced service levels on the decisions: what a level asks for, and what no level may touch.

mod helper;

use helper::*;
use tansymux::control::Control;
use tansymux::events::{EndpointListKind, Outcome, QueryArrived, StatementTraits};
use tansymux::state::{LevelEffects, Pace};

const TWO: &[(&str, &str)] = &[("small", "h1"), ("small", "h1")];
const SLOW: Pace = Pace {
    level: 2.0,
    heard: T0,
};

/// The deepest level there could be.
fn deepest() -> LevelEffects {
    LevelEffects {
        concurrency_factor: 0.05,
        demotion_factor: 0.5,
        grant_factor: 0.05,
        retry_after_factor: 3.0,
        retry_after_jitter: 0.5,
        withhold_low_retries: true,
        reject_over_share: true,
        min_confidence: 1.0,
        group_fractions: vec![0.0; 4],
    }
}

fn pressed(reduced: LevelEffects) -> Control {
    let mut c = dispatcher("limits.max-retry-after-us=9000000", TWO);
    c.engines.iter_mut().for_each(|e| e.paces.fast = SLOW);
    c.level = reduced;
    c
}

fn ask_with(
    c: &mut Control,
    at: f64,
    id: u64,
    rg: &str,
    cost: f64,
    text: StatementTraits,
) -> Vec<String> {
    round(c, at, |c, out| {
        let query = QueryArrived {
            statement: text,
            ..arriving(id, rg, T0 + at + 20_000.0, cost)
        };
        c.on_query_arrived(&query, out).unwrap()
    })
}

#[test]
fn the_fast_lane_is_never_refused_for_load_at_any_level() {
    let mut c = pressed(deepest());
    for id in 0..200 {
        assert!(
            starts(&ask(&mut c, 1.0, id, "look", 10.0), &format!("submit {id}")),
            "{id}"
        );
    }
    // Nor held back from a second engine.
    assert!(
        starts(&close(&mut c, 2.0, 7, 0, Outcome::Full, 1), "submit 7") || c.engines[0].open != 100
    );
}

#[test]
fn a_closed_group_is_rejected_at_once_with_times_that_differ() {
    let mut c = pressed(deepest());
    let waits: Vec<f64> = (0..40)
        .map(|id| {
            let decided = ask(&mut c, 1.0, id, "rep", 100.0);
            decided[0]
                .strip_prefix(&format!("reject {id} "))
                .unwrap()
                .parse()
                .unwrap()
        })
        .collect();
    // 1 s, three times, up to half as much again.
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
fn the_time_to_come_back_keeps_to_what_the_settings_allow() {
    let mut c = dispatcher("", TWO);
    c.level = deepest();
    for id in 0..40 {
        let decided = ask(&mut c, 1.0, id, "rep", 100.0);
        let wait: f64 = decided[0]
            .strip_prefix(&format!("reject {id} "))
            .unwrap()
            .parse()
            .unwrap();
        assert!((200.0..=300.0).contains(&wait), "{wait}");
    }
}

#[test]
fn bounds_shrink_and_a_part_of_its_room_is_left_to_a_group() {
    let count = |reduced: LevelEffects| {
        let mut c = pressed(reduced);
        // A pool of two with 8 cores each, of which this dispatcher has the half.
        (0..20)
            .filter(|id| starts(&ask(&mut c, 1.0, *id, "rep", 100.0), "submit"))
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
fn unsure_low_work_finds_no_room_and_sure_work_does() {
    let confidence = |confidence: f64| {
        let mut c = pressed(LevelEffects {
            min_confidence: 0.3,
            ..LevelEffects::default()
        });
        starts(
            &ask_with(
                &mut c,
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
fn low_work_is_not_sent_again_where_that_is_withheld_and_its_rules_hold() {
    let mut c = pressed(LevelEffects {
        withhold_low_retries: true,
        ..LevelEffects::default()
    });
    ask(&mut c, 1.0, 1, "rep", 100.0);
    let on = c.engines.iter().position(|e| e.open == 1).unwrap() as u64 + 1;
    assert!(starts(
        &close(&mut c, 2.0, 1, 0, Outcome::Error, on),
        "reject 1"
    ));
    // A load that may have run is failed and not rejected, at this level as at any.
    ask(&mut c, 3.0, 2, "load", 100.0);
    let on = c.engines.iter().position(|e| e.open == 1).unwrap() as u64 + 1;
    assert_eq!(close(&mut c, 4.0, 2, 0, Outcome::Reset, on), ["fail 2"]);
    // One that never ran is rejected.
    ask(&mut c, 5.0, 3, "load", 100.0);
    let on = c.engines.iter().position(|e| e.open == 1).unwrap() as u64 + 1;
    assert!(starts(
        &close(&mut c, 6.0, 3, 0, Outcome::Full, on),
        "reject 3"
    ));
}

#[test]
fn a_level_that_comes_and_goes_leaves_what_runs_alone() {
    let mut c = pressed(LevelEffects::default());
    assert!(starts(&ask(&mut c, 1.0, 1, "rep", 100.0), "submit 1"));
    let on = c.engines.iter().position(|e| e.open == 1).unwrap() as u64 + 1;
    c.level = deepest();
    assert!(round(&mut c, 30.0, |_, _| {}).is_empty());
    assert!(close(&mut c, 40.0, 1, 0, Outcome::Completed, on).is_empty());
    c.level = LevelEffects::default();
    assert!(starts(&ask(&mut c, 50.0, 2, "rep", 100.0), "submit 2"));
}

#[test]
fn a_cold_engine_keeps_its_limit_at_the_deepest_level() {
    let cold = "rules.fall-multiple=2 rules.cold-from=0.25 rules.overload-for-us=500000 rules.warm-after-us=10000000";
    let mut c = dispatcher(cold, TWO);
    c.level = deepest();
    round(&mut c, 1.0, |c, out| {
        c.begin_update(EndpointListKind::Snapshot);
        c.upsert_endpoint(&ready(3, "small", "h1", Some(T0)));
        c.finish_update(EndpointListKind::Snapshot, out);
    });
    let sent = (0..400)
        .filter(|id| {
            starts(
                &ask(&mut c, 2.0, *id, "look", 100.0),
                &format!("submit {id} 3"),
            )
        })
        .count();
    // 2 x 0.25 x 8 cores x 500 ms x 0.85 x 0.8 for two dispatchers: 680 ms of work, at 100 ms a query.
    assert!((1..=6).contains(&sent), "{sent}");
}

#[test]
fn what_may_alter_is_failed_where_its_group_would_be_rejected() {
    for (may_write, then) in [(false, "reject 1"), (true, "fail 1")] {
        let mut c = dispatcher("limits.max-attempts=1", TWO);
        ask_with(
            &mut c,
            1.0,
            1,
            "look",
            10.0,
            StatementTraits {
                confidence: 1.0,
                may_write,
            },
        );
        let on = c.engines.iter().position(|e| e.open == 1).unwrap() as u64 + 1;
        assert!(starts(&close(&mut c, 2.0, 1, 0, Outcome::Reset, on), then));
    }
}

#[test]
fn an_unsure_estimate_lies_between_the_groups_usual_and_itself() {
    let mut c = dispatcher("", TWO);
    (0..30).for_each(|id| drop(ask(&mut c, 1.0, id, "look", 10.0)));
    let low = |c: &mut Control, id: u64, confidence: f64| {
        ask_with(
            c,
            2.0,
            id,
            "look",
            1000.0,
            StatementTraits {
                confidence,
                may_write: false,
            },
        );
        c.queries
            .iter()
            .find(|(_, q)| q.id == id)
            .map(|(_, q)| q.low)
    };
    // A hundredfold of the usual is demoted if it is sure, and not if nobody knows.
    assert_eq!(
        (low(&mut c, 100, 1.0), low(&mut c, 101, 0.0)),
        (Some(true), Some(false))
    );
}
