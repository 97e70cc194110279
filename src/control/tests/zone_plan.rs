//! Zone plans: the engines and the spill that they admit, and the rules that hold under every plan.

use super::*;

const ZONES: &[(&str, &str)] = &[
    ("small", "h1"),
    ("small", "h1"),
    ("small", "h2"),
    ("small", "h2"),
];

/// Returns a plan that prefers the local zone `h1`, admits `spill_limit` threads of spilled low work to zone `h2`
/// and `local_limit` threads to each local engine.
fn plan_with(spill_limit: f64, local_limit: f64) -> ZonePlan {
    let zone = |name: &str, tier: u8, spill_limit: f64| ZoneLimits {
        name: name.into(),
        tiers: vec![tier; 4],
        max_spill_threads: spill_limit,
        max_spill_threads_by_group: vec![f64::INFINITY; 4],
    };
    let engines = vec![
        (1, local_limit),
        (2, local_limit),
        (3, f64::INFINITY),
        (4, f64::INFINITY),
    ];
    ZonePlan {
        zones: vec![zone("h1", 0, f64::INFINITY), zone("h2", 1, spill_limit)],
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

/// Returns the engine of the first submission among the decisions.
fn submitted_engine(decisions: &[String]) -> Option<u64> {
    decisions.iter().find_map(|decision| {
        decision
            .strip_prefix("submit ")?
            .split(' ')
            .nth(1)?
            .parse()
            .ok()
    })
}

#[test]
fn best_tier_is_preferred_and_the_other_zone_takes_low_work_up_to_the_spill_limit() {
    let mut control = dispatcher_with_plan(&plan_with(4.0, f64::INFINITY));
    assert!((0..40).all(
        |id| submitted_engine(&send_query(&mut control, 1.0, id, "look", 10.0))
            .is_some_and(|engine_id| engine_id <= 2)
    ));
    // The plan admits no work to the local zone: two reports of two threads each spill.
    let mut control = dispatcher_with_plan(&plan_with(4.0, 0.0));
    let sent: Vec<Option<u64>> = (0..6)
        .map(|id| submitted_engine(&send_query(&mut control, 1.0, id, "rep", 100.0)))
        .collect();
    assert_eq!(sent.iter().flatten().count(), 2, "{sent:?}");
    assert!(sent.iter().flatten().all(|engine_id| *engine_id >= 3));
    assert_eq!(control.spilled_threads("h2"), 4.0);
    // A completed report makes room for another report.
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
    // The same holds if the plan admits no work to any engine.
    let mut closed_plan = plan_with(0.0, 0.0);
    closed_plan
        .engines
        .iter_mut()
        .for_each(|engine| engine.1 = 0.0);
    let mut control = dispatcher_with_plan(&closed_plan);
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
    // A query with an idempotency key whose dedup scope is the zone is not retried in the other zone either.
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
    // The plan admits three look-ups to each local engine; the rest go to the other zone.
    let mut control = dispatcher_with_plan(&plan_with(100.0, 3.0));
    let sent: Vec<u64> = (0..20)
        .filter_map(|id| submitted_engine(&send_query(&mut control, 1.0, id, "look", 100.0)))
        .collect();
    assert_eq!(
        sent.iter().filter(|engine_id| **engine_id <= 2).count(),
        6,
        "{sent:?}"
    );
    // A share of 0.05 threads, as with 40 dispatchers, admits a look-up of 100 ms every 2 s.
    let mut control = dispatcher_with_plan(&plan_with(100.0, 0.05));
    let mut sent = 0;
    for query_id in 0..2000_u64 {
        let at_ms = query_id as f64 * 10.0;
        if let Some(engine_id) =
            submitted_engine(&send_query(&mut control, at_ms, query_id, "look", 100.0))
        {
            sent += u64::from(engine_id <= 2);
            end_attempt(
                &mut control,
                at_ms + 5.0,
                query_id,
                0,
                Outcome::Completed,
                engine_id,
            );
        }
    }
    // Two engines for 20 s: 20 look-ups.
    assert!((10..=24).contains(&sent), "{sent}");
}

#[test]
fn rule_7_cross_zone_retries_have_a_separate_budget() {
    let mut control = dispatcher("balancers=1 limits.max-attempts=4", ZONES);
    control.set_zone_plan(Some(&plan_with(100.0, f64::INFINITY)));
    let mut crossed_retries = 0;
    for id in 0..60 {
        let Some(engine_id) = submitted_engine(&send_query(&mut control, 1.0, id, "look", 10.0))
        else {
            continue;
        };
        // Both engines of the local zone fail at the same time.
        control.engines[EngineIndex(0)].endpoint.ready = false;
        control.engines[EngineIndex(1)].endpoint.ready = false;
        crossed_retries += u32::from(
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
    // The bucket starts with 2 tokens. Each query adds 1/40 of a token, and each retry within its zone adds 1/2.
    assert!(crossed_retries < 60, "{crossed_retries} of 60 crossed");
}

#[test]
fn isolated_dispatcher_rejects_low_work_and_still_submits_the_fast_lane() {
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
fn removing_the_plan_admits_all_engines_and_reservations_are_still_released() {
    let mut control = dispatcher_with_plan(&plan_with(4.0, 0.0));
    let engine_id = submitted_engine(&send_query(&mut control, 1.0, 1, "rep", 100.0)).unwrap();
    control.set_zone_plan(None);
    assert!(submitted_engine(&send_query(&mut control, 2.0, 2, "rep", 100.0)).is_some());
    end_attempt(&mut control, 3.0, 1, 0, Outcome::Completed, engine_id);
    assert_eq!(control.spilled_threads("h2"), 0.0);
}
