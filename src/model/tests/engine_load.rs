//! The load of one engine.

use super::START_MS;
use crate::model::engine_load::EngineLoad;
use crate::model::{Attempt, EngineIndex, Lane, TableLock};

fn attempt(work_ms: f64) -> Attempt {
    Attempt::new(EngineIndex(0), START_MS, work_ms, 1.0)
}

#[test]
fn sums_are_exactly_zero_after_the_last_attempt_is_removed() {
    let mut load = EngineLoad::default();
    for work_ms in [0.1, 0.2, 0.3] {
        load.add(&attempt(work_ms), Lane::Low, 0.1, None);
    }
    assert_eq!(load.low_attempts(), 3);
    for work_ms in [0.3, 0.1, 0.2] {
        load.remove(&attempt(work_ms), Lane::Low, 0.1, None);
    }
    assert_eq!(load.work_ms(), 0.0);
    assert_eq!(load.low_threads(), 0.0);
    assert_eq!(load.busy_since_ms(), None);
}

#[test]
fn tables_are_locked_until_the_load_query_ends_or_the_lock_expires() {
    let mut load = EngineLoad::default();
    let lock = TableLock {
        tables: 7,
        until_ms: START_MS + 100.0,
    };
    load.add(&attempt(1.0), Lane::Low, 2.0, Some(lock));
    assert!(load.has_lock(7, START_MS));
    assert!(!load.has_lock(8, START_MS));
    assert!(!load.has_lock(7, START_MS + 100.0));
    load.remove(&attempt(1.0), Lane::Low, 2.0, Some(7));
    assert!(!load.has_lock(7, START_MS));
}
