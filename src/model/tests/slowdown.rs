//! The slowdowns of engines, zones and the pool.

use super::{listed_engine, START_MS};
use crate::model::{Lane, Slowdowns};

fn slowdowns() -> Slowdowns {
    let mut slowdowns = Slowdowns::default();
    slowdowns.add_zone(0);
    slowdowns
}

#[test]
fn slow_answer_shows_pressure_in_its_lane_until_it_has_decayed() {
    let mut slowdowns = slowdowns();
    let mut engine = listed_engine(1, None);
    slowdowns.record_slow_answer(&mut engine, Lane::Low, START_MS);
    assert!(slowdowns.is_slow(&engine, Lane::Low, START_MS));
    assert!(!slowdowns.is_slow(&engine, Lane::Fast, START_MS));
    assert!(!slowdowns.is_slow(&engine, Lane::Low, START_MS + 60_000.0));
}

#[test]
fn engine_without_answers_has_the_slowdown_of_its_zone_and_pool() {
    let mut slowdowns = slowdowns();
    let mut engine = listed_engine(1, None);
    let other = listed_engine(2, None);
    for _ in 0..3 {
        slowdowns.record_slow_answer(&mut engine, Lane::Low, START_MS);
    }
    assert!(slowdowns.is_slow(&other, Lane::Low, START_MS));
}

#[test]
fn answers_at_the_best_run_time_show_no_pressure() {
    let mut slowdowns = slowdowns();
    let mut engine = listed_engine(1, None);
    for _ in 0..100 {
        slowdowns.record_answer(&mut engine, Lane::Fast, 0.0, START_MS);
    }
    assert!(!slowdowns.is_slow(&engine, Lane::Fast, START_MS));
}
