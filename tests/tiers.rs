//! A plan for zones on the decisions: what it opens and closes, and the rules that stay where they are.

mod helper;

use helper::*;
use tansymux::control::Control;
use tansymux::events::Outcome;
use tansymux::zone_plan::{ZoneLimits, ZonePlan};

const ZONES: &[(&str, &str)] = &[
    ("small", "h1"),
    ("small", "h1"),
    ("small", "h2"),
    ("small", "h2"),
];

/// The own zone is first; so many threads may spill into the other, and each engine of the own has this room.
fn given(spill: f64, room: f64) -> ZonePlan {
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

fn planned(given: &ZonePlan) -> Control {
    let mut c = dispatcher("balancers=1", ZONES);
    c.set_zone_plan(Some(given));
    c
}

/// Where it was sent, if it was.
fn to(decided: &[String]) -> Option<u64> {
    decided
        .iter()
        .find_map(|d| d.strip_prefix("submit ")?.split(' ').nth(1)?.parse().ok())
}

#[test]
fn the_nearest_zone_comes_first_and_the_other_takes_what_may_spill() {
    let mut c = planned(&given(4.0, f64::INFINITY));
    assert!((0..40)
        .all(|id| to(&ask(&mut c, 1.0, id, "look", 10.0)).is_some_and(|engine_id| engine_id <= 2)));
    // The own zone is closed: reports of two threads spill, two of them.
    let mut c = planned(&given(4.0, 0.0));
    let sent: Vec<Option<u64>> = (0..6)
        .map(|id| to(&ask(&mut c, 1.0, id, "rep", 100.0)))
        .collect();
    assert_eq!(sent.iter().flatten().count(), 2, "{sent:?}");
    assert!(sent.iter().flatten().all(|engine_id| *engine_id >= 3));
    assert_eq!(c.spilled_threads("h2"), 4.0);
    // Each that ends leaves its room to the next.
    let (id, engine_id) = sent
        .iter()
        .enumerate()
        .find_map(|(id, engine_id)| Some((id as u64, (*engine_id)?)))
        .unwrap();
    close(&mut c, 50.0, id, 0, Outcome::Completed, engine_id);
    assert!(to(&ask(&mut c, 51.0, 99, "rep", 100.0)).is_some());
}

#[test]
fn the_rest_is_rejected_at_once_and_the_fast_lane_is_not_refused() {
    let mut c = planned(&given(0.0, 0.0));
    assert!(starts(&ask(&mut c, 1.0, 1, "rep", 100.0), "reject 1"));
    assert!((10..60).all(|id| to(&ask(&mut c, 1.0, id, "look", 10.0)).is_some()));
    // Also where no engine is open at all.
    let mut closed = given(0.0, 0.0);
    closed.engines.iter_mut().for_each(|engine| engine.1 = 0.0);
    let mut c = planned(&closed);
    assert!(to(&ask(&mut c, 1.0, 1, "look", 10.0)).is_some());
    assert!(starts(&ask(&mut c, 1.0, 2, "rep", 100.0), "reject 2"));
}

#[test]
fn rule_6_what_is_bound_to_the_lost_zone_is_rejected_and_never_moved() {
    let mut c = dispatcher("balancers=1 services.1.confined-to=h1", ZONES);
    c.set_zone_plan(Some(&given(100.0, 0.0)));
    assert!((0..10).all(|id| starts(&ask(&mut c, 1.0, id, "rep", 100.0), &format!("reject {id}"))));
}

#[test]
fn rule_2_a_load_that_may_have_run_in_the_lost_zone_is_not_sent_to_the_other() {
    let mut c = planned(&given(100.0, f64::INFINITY));
    let engine_id = to(&ask(&mut c, 1.0, 1, "load", 100.0)).unwrap();
    assert!(engine_id <= 2);
    c.set_zone_plan(Some(&given(100.0, 0.0)));
    assert_eq!(
        close(&mut c, 2.0, 1, 0, Outcome::Reset, engine_id),
        ["fail 1"]
    );
    // A tokened one whose dedup group is the zone neither.
    let mut c = dispatcher("balancers=1 services.3.dedup-scope=zone", ZONES);
    c.set_zone_plan(Some(&given(100.0, f64::INFINITY)));
    let engine_id = to(&ask(&mut c, 1.0, 1, "tok", 100.0)).unwrap();
    c.set_zone_plan(Some(&given(100.0, 0.0)));
    assert!(to(&close(&mut c, 2.0, 1, 0, Outcome::Timeout, engine_id))
        .is_none_or(|engine_id| engine_id <= 2));
}

#[test]
fn a_returning_engine_gets_its_part_and_less_than_a_query_is_saved_up() {
    // Room for three look-ups on each engine of the own zone; the rest goes on to the other.
    let mut c = planned(&given(100.0, 3.0));
    let sent: Vec<u64> = (0..20)
        .filter_map(|id| to(&ask(&mut c, 1.0, id, "look", 100.0)))
        .collect();
    assert_eq!(
        sent.iter().filter(|engine_id| **engine_id <= 2).count(),
        6,
        "{sent:?}"
    );
    // A twentieth of a thread, as of forty dispatchers: a look-up of 100 ms every 2 s.
    let mut c = planned(&given(100.0, 0.05));
    let mut sent = 0;
    for n in 0..2000_u64 {
        let at = n as f64 * 10.0;
        if let Some(engine_id) = to(&ask(&mut c, at, n, "look", 100.0)) {
            sent += u64::from(engine_id <= 2);
            close(&mut c, at + 5.0, n, 0, Outcome::Completed, engine_id);
        }
    }
    // Two engines for 20 s.
    assert!((10..=24).contains(&sent), "{sent}");
}

#[test]
fn rule_7_retries_across_zones_have_a_budget_of_their_own() {
    let mut c = dispatcher("balancers=1 limits.max-attempts=4", ZONES);
    c.set_zone_plan(Some(&given(100.0, f64::INFINITY)));
    let mut crossed = 0;
    for id in 0..60 {
        let Some(engine_id) = to(&ask(&mut c, 1.0, id, "look", 10.0)) else {
            continue;
        };
        // All of the own zone fails at once.
        c.engines[0].ready = false;
        c.engines[1].ready = false;
        crossed += u32::from(
            to(&close(&mut c, 1.0, id, 0, Outcome::Error, engine_id))
                .is_some_and(|engine_id| engine_id >= 3),
        );
        c.engines[0].ready = true;
        c.engines[1].ready = true;
    }
    // Two are free, a fortieth of a further one comes with each query, and half of one with each that stays.
    assert!(crossed < 60, "{crossed} of 60 crossed");
}

#[test]
fn cut_off_itself_it_rejects_low_work_at_once_and_lets_the_fast_lane_try() {
    let mut c = planned(&ZonePlan {
        isolated: true,
        ..given(100.0, f64::INFINITY)
    });
    assert!(starts(&ask(&mut c, 1.0, 1, "rep", 100.0), "reject 1"));
    assert!(to(&ask(&mut c, 1.0, 2, "look", 10.0)).is_some());
}

#[test]
fn without_a_plan_all_is_as_it_was_and_what_was_counted_comes_back() {
    let mut c = planned(&given(4.0, 0.0));
    let engine_id = to(&ask(&mut c, 1.0, 1, "rep", 100.0)).unwrap();
    c.set_zone_plan(None);
    assert!(to(&ask(&mut c, 2.0, 2, "rep", 100.0)).is_some());
    close(&mut c, 3.0, 1, 0, Outcome::Completed, engine_id);
    assert_eq!(c.spilled_threads("h2"), 0.0);
}
