//! The zone plan on its own; how placement follows it is tested in `control`.

use super::*;
use crate::interner::NameInterner;

const START_MS: f64 = 1e6;
const ENGINE: PlannedEngine = PlannedEngine {
    index: EngineIndex(0),
    zone: 0,
};
const GROUP: GroupIndex = GroupIndex(0);

fn low(threads: f64) -> Demand {
    Demand::new(GROUP, Lane::Low, threads, 100.0)
}

/// A plan in force for zone 0, of this tier and with room for so many spilled threads.
fn active(tier: u8, max_spill_threads: f64) -> ActiveZonePlan {
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
fn everything_is_of_the_best_tier_without_a_plan() {
    let mut plan = active(3, 0.0);
    assert_eq!(plan.tier(0, GROUP), 3);
    plan.deactivate();
    assert_eq!(plan.tier(0, GROUP), 0);
}

#[test]
fn low_work_spills_over_up_to_the_limit_and_capacity_returns_with_its_release() {
    let mut plan = active(1, 4.0);
    assert!(plan.admits(&low(2.0), ENGINE, START_MS));
    let first = plan.reserve(&low(2.0), ENGINE, None, START_MS);
    plan.reserve(&low(2.0), ENGINE, None, START_MS);
    assert_eq!(plan.spilled_threads(0), 4.0);
    assert!(!plan.admits(&low(2.0), ENGINE, START_MS));
    plan.release(first, GROUP, ENGINE);
    assert_eq!(plan.spilled_threads(0), 2.0);
    assert!(plan.admits(&low(2.0), ENGINE, START_MS));
}

#[test]
fn fast_lane_and_the_best_tier_do_not_spill() {
    let fast = Demand::new(GROUP, Lane::Fast, 1.0, 100.0);
    assert!(active(1, 0.0).admits(&fast, ENGINE, START_MS));
    assert!(active(0, 0.0).admits(&low(2.0), ENGINE, START_MS));
    assert!(!active(1, 0.0).admits(&low(2.0), ENGINE, START_MS));
}

#[test]
fn limit_below_one_query_admits_one_when_the_bucket_has_its_thread_time() {
    let mut plan = active(1, 0.5);
    // A query of 2 threads for 100 ms takes 200 ms of thread time: 400 ms at half a thread.
    assert!(!plan.admits(&low(2.0), ENGINE, START_MS + 399.0));
    assert!(plan.admits(&low(2.0), ENGINE, START_MS + 400.0));
    let reservation = plan.reserve(&low(2.0), ENGINE, None, START_MS + 400.0);
    assert!(!plan.admits(&low(2.0), ENGINE, START_MS + 2000.0));
    plan.release(reservation, GROUP, ENGINE);
    assert!(plan.admits(&low(2.0), ENGINE, START_MS + 2000.0));
}

#[test]
fn cross_zone_retries_take_tokens_and_other_retries_refill_them() {
    let mut plan = active(0, 0.0);
    for _ in 0..2 {
        assert!(plan.allows_retry(Some(1), 0));
        plan.reserve(&low(2.0), ENGINE, Some(1), START_MS);
    }
    assert!(!plan.allows_retry(Some(1), 0));
    assert!(plan.allows_retry(Some(0), 0));
    assert!(plan.allows_retry(None, 0));
    for _ in 0..2 {
        plan.reserve(&low(2.0), ENGINE, Some(0), START_MS);
    }
    assert!(plan.allows_retry(Some(1), 0));
}
