//! Zone plans: what they open and close, and the rules that stay where they are.

use super::*;

const ZONES: &[(&str, &str)] = &[
    ("small", "h1"),
    ("small", "h1"),
    ("small", "h2"),
    ("small", "h2"),
];

/// The local zone is of the best tier; `spill` threads may go to the other, and `room` to each local engine.
fn plan_with(spill: f64, room: f64) -> ZonePlan {
    let zone = |name: &str, rank: u8, spill: f64| ZoneLimits {
        name: name.into(),
        tiers: vec![rank; 4],
        max_spill_threads: spill,
        max_spill_threads_by_group: vec![f64::INFINITY; 4],
    };
    let engines = vec![(1, room), (2, room), (3, f64::INFINITY), (4, f64::INFINITY)];
    ZonePlan {
        zones: vec![zone("h1", 0, f64::INFINITY), zone("h2", 1, spill)],
        engines,
        cross_zone_retry_ratio: 0.5,
        isolated: false,
    }
}

fn dispatcher_with_plan(plan: &ZonePlan) -> Control {
    let mut control = dispatcher("balancers=1", ZONES);
    control.set_zone_plan(Some(plan));
    control
}

/// The engine that a query was sent to.
fn submitted_engine(decided: &[String]) -> Option<u64> {
    decided
        .iter()
        .find_map(|d| d.strip_prefix("submit ")?.split(' ').nth(1)?.parse().ok())
}

#[test]
fn best_tier_comes_first_and_the_other_zone_takes_what_may_spill() {
    let mut control = dispatcher_with_plan(&plan_with(4.0, f64::INFINITY));
    assert!((0..40).all(
        |id| submitted_engine(&send_query(&mut control, 1.0, id, "look", 10.0))
            .is_some_and(|engine_id| engine_id <= 2)
    ));
    // The local zone is closed: two reports of two threads spill.
    let mut control = dispatcher_with_plan(&plan_with(4.0, 0.0));
    let sent: Vec<Option<u64>> = (0..6)
        .map(|id| submitted_engine(&send_query(&mut control, 1.0, id, "rep", 100.0)))
        .collect();
    assert_eq!(sent.iter().flatten().count(), 2, "{sent:?}");
    assert!(sent.iter().flatten().all(|engine_id| *engine_id >= 3));
    assert_eq!(control.spilled_threads("h2"), 4.0);
    // Each that completes makes room for the next.
    let (id, engine_id) = sent
        .iter()
        .enumerate()
        .find_map(|(id, engine_id)| Some((id as u64, (*engine_id)?)))
        .unwrap();
    end_attempt(&mut control, 50.0, id, 0, Outcome::Completed, engine_id);
    assert!(submitted_engine(&send_query(&mut control, 51.0, 99, "rep", 100.0)).is_some());
}

#[test]
fn low_work_beyond_the_plan_is_rejected_and_the_fast_lane_is_not() {
    let mut control = dispatcher_with_plan(&plan_with(0.0, 0.0));
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "rep", 100.0),
        "reject 1"
    ));
    assert!((10..60)
        .all(|id| submitted_engine(&send_query(&mut control, 1.0, id, "look", 10.0)).is_some()));
    // Also where no engine is open at all.
    let mut closed = plan_with(0.0, 0.0);
    closed.engines.iter_mut().for_each(|engine| engine.1 = 0.0);
    let mut control = dispatcher_with_plan(&closed);
    assert!(submitted_engine(&send_query(&mut control, 1.0, 1, "look", 10.0)).is_some());
    assert!(has_decision(
        &send_query(&mut control, 1.0, 2, "rep", 100.0),
        "reject 2"
    ));
}

#[test]
fn rule_6_query_confined_to_the_lost_zone_is_rejected_and_never_sent_elsewhere() {
    let mut control = dispatcher("balancers=1 services.1.confined-to=h1", ZONES);
    control.set_zone_plan(Some(&plan_with(100.0, 0.0)));
    assert!((0..10).all(|id| has_decision(
        &send_query(&mut control, 1.0, id, "rep", 100.0),
        &format!("reject {id}")
    )));
}

#[test]
fn rule_2_load_that_may_have_run_in_the_lost_zone_is_not_retried_in_the_other() {
    let mut control = dispatcher_with_plan(&plan_with(100.0, f64::INFINITY));
    let engine_id = submitted_engine(&send_query(&mut control, 1.0, 1, "load", 100.0)).unwrap();
    assert!(engine_id <= 2);
    control.set_zone_plan(Some(&plan_with(100.0, 0.0)));
    assert_eq!(
        end_attempt(&mut control, 2.0, 1, 0, Outcome::Reset, engine_id),
        ["fail 1"]
    );
    // Nor is a query with an idempotency key whose dedup scope is the zone.
    let mut control = dispatcher("balancers=1 services.3.dedup-scope=zone", ZONES);
    control.set_zone_plan(Some(&plan_with(100.0, f64::INFINITY)));
    let engine_id = submitted_engine(&send_query(&mut control, 1.0, 1, "tok", 100.0)).unwrap();
    control.set_zone_plan(Some(&plan_with(100.0, 0.0)));
    assert!(submitted_engine(&end_attempt(
        &mut control,
        2.0,
        1,
        0,
        Outcome::Timeout,
        engine_id
    ))
    .is_none_or(|engine_id| engine_id <= 2));
}

#[test]
fn returning_engine_gets_its_ramp_share_and_a_share_below_one_query_fills_a_token_bucket() {
    // Room for three look-ups on each local engine; the rest goes to the other zone.
    let mut control = dispatcher_with_plan(&plan_with(100.0, 3.0));
    let sent: Vec<u64> = (0..20)
        .filter_map(|id| submitted_engine(&send_query(&mut control, 1.0, id, "look", 100.0)))
        .collect();
    assert_eq!(
        sent.iter().filter(|engine_id| **engine_id <= 2).count(),
        6,
        "{sent:?}"
    );
    // A twentieth of a thread, as of forty dispatchers: a look-up of 100 ms every 2 s.
    let mut control = dispatcher_with_plan(&plan_with(100.0, 0.05));
    let mut sent = 0;
    for n in 0..2000_u64 {
        let at = n as f64 * 10.0;
        if let Some(engine_id) = submitted_engine(&send_query(&mut control, at, n, "look", 100.0)) {
            sent += u64::from(engine_id <= 2);
            end_attempt(&mut control, at + 5.0, n, 0, Outcome::Completed, engine_id);
        }
    }
    // Two engines for 20 s.
    assert!((10..=24).contains(&sent), "{sent}");
}

#[test]
fn rule_7_cross_zone_retries_have_a_budget_of_their_own() {
    let mut control = dispatcher("balancers=1 limits.max-attempts=4", ZONES);
    control.set_zone_plan(Some(&plan_with(100.0, f64::INFINITY)));
    let mut crossed = 0;
    for id in 0..60 {
        let Some(engine_id) = submitted_engine(&send_query(&mut control, 1.0, id, "look", 10.0))
        else {
            continue;
        };
        // All of the local zone fails at once.
        control.engines[EngineIndex(0)].endpoint.ready = false;
        control.engines[EngineIndex(1)].endpoint.ready = false;
        crossed += u32::from(
            submitted_engine(&end_attempt(
                &mut control,
                1.0,
                id,
                0,
                Outcome::Error,
                engine_id,
            ))
            .is_some_and(|engine_id| engine_id >= 3),
        );
        control.engines[EngineIndex(0)].endpoint.ready = true;
        control.engines[EngineIndex(1)].endpoint.ready = true;
    }
    // Two are free, a fortieth of a further one comes with each query, and half of one with each that stays in its zone.
    assert!(crossed < 60, "{crossed} of 60 crossed");
}

#[test]
fn isolated_dispatcher_rejects_low_work_and_lets_the_fast_lane_try() {
    let mut control = dispatcher_with_plan(&ZonePlan {
        isolated: true,
        ..plan_with(100.0, f64::INFINITY)
    });
    assert!(has_decision(
        &send_query(&mut control, 1.0, 1, "rep", 100.0),
        "reject 1"
    ));
    assert!(submitted_engine(&send_query(&mut control, 1.0, 2, "look", 10.0)).is_some());
}

#[test]
fn removing_the_plan_opens_all_engines_and_reservations_are_returned() {
    let mut control = dispatcher_with_plan(&plan_with(4.0, 0.0));
    let engine_id = submitted_engine(&send_query(&mut control, 1.0, 1, "rep", 100.0)).unwrap();
    control.set_zone_plan(None);
    assert!(submitted_engine(&send_query(&mut control, 2.0, 2, "rep", 100.0)).is_some());
    end_attempt(&mut control, 3.0, 1, 0, Outcome::Completed, engine_id);
    assert_eq!(control.spilled_threads("h2"), 0.0);
}
