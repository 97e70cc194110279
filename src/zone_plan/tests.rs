//! Tests of the zone plan alone; tests in `control` cover placement under a plan.

use super::*;
use crate::interner::NameInterner;

const START_MS: f64 = 1e6;
const ENGINE: EngineLocation = EngineLocation {
    index: EngineIndex(0),
    zone: 0,
};
const GROUP: GroupIndex = GroupIndex(0);

fn low_demand(threads: f64) -> Demand {
    Demand::new(GROUP, Lane::Low, threads, 100.0)
}

/// Returns an active plan that gives zone 0 the tier `tier` and allows `max_spill_threads` spilled threads there.
fn active_plan(tier: u8, max_spill_threads: f64) -> ActiveZonePlan {
    let plan = ZonePlan {
        zones: vec![ZoneLimits {
            name: "z1".to_owned(),
            tiers: vec![tier],
            max_spill_threads,
            max_spill_threads_by_group: vec![f64::INFINITY],
        }],
        cross_zone_retry_ratio: 0.5,
        ..ZonePlan::default()
    };
    let mut active = ActiveZonePlan::default();
    let engines = EngineTable::default();
    active.apply(&plan, &mut NameInterner::default(), &engines, START_MS);
    active
}

#[test]
fn all_zones_are_of_the_best_tier_without_a_plan() {
    let mut plan = active_plan(3, 0.0);
    assert_eq!(plan.tier(0, GROUP), 3);
    plan.deactivate();
    assert_eq!(plan.tier(0, GROUP), 0);
}

#[test]
fn low_work_spills_over_up_to_the_limit_and_a_release_frees_capacity() {
    let mut plan = active_plan(1, 4.0);
    assert!(plan.admits(&low_demand(2.0), ENGINE, START_MS));
    let reservation = plan.reserve(&low_demand(2.0), ENGINE, None, START_MS);
    plan.reserve(&low_demand(2.0), ENGINE, None, START_MS);
    assert_eq!(plan.spilled_threads(0), 4.0);
    assert!(!plan.admits(&low_demand(2.0), ENGINE, START_MS));
    plan.release(reservation, GROUP, ENGINE);
    assert_eq!(plan.spilled_threads(0), 2.0);
    assert!(plan.admits(&low_demand(2.0), ENGINE, START_MS));
}

#[test]
fn fast_lane_and_the_best_tier_do_not_spill() {
    let fast = Demand::new(GROUP, Lane::Fast, 1.0, 100.0);
    assert!(active_plan(1, 0.0).admits(&fast, ENGINE, START_MS));
    assert!(active_plan(0, 0.0).admits(&low_demand(2.0), ENGINE, START_MS));
    assert!(!active_plan(1, 0.0).admits(&low_demand(2.0), ENGINE, START_MS));
}

#[test]
fn limit_below_one_query_admits_a_query_once_the_bucket_has_its_thread_time() {
    let mut plan = active_plan(1, 0.5);
    // A query on 2 threads for 100 ms needs 200 ms of thread time, which half a thread accumulates in 400 ms.
    assert!(!plan.admits(&low_demand(2.0), ENGINE, START_MS + 399.0));
    assert!(plan.admits(&low_demand(2.0), ENGINE, START_MS + 400.0));
    let reservation = plan.reserve(&low_demand(2.0), ENGINE, None, START_MS + 400.0);
    assert!(!plan.admits(&low_demand(2.0), ENGINE, START_MS + 2000.0));
    plan.release(reservation, GROUP, ENGINE);
    assert!(plan.admits(&low_demand(2.0), ENGINE, START_MS + 2000.0));
}

#[test]
fn cross_zone_retries_take_tokens_and_other_retries_refill_them() {
    let mut plan = active_plan(0, 0.0);
    for _ in 0..2 {
        assert!(plan.allows_retry(Some(1), 0));
        plan.reserve(&low_demand(2.0), ENGINE, Some(1), START_MS);
    }
    assert!(!plan.allows_retry(Some(1), 0));
    assert!(plan.allows_retry(Some(0), 0));
    assert!(plan.allows_retry(None, 0));
    for _ in 0..2 {
        plan.reserve(&low_demand(2.0), ENGINE, Some(0), START_MS);
    }
    assert!(plan.allows_retry(Some(1), 0));
}
