//! The stall levels of one engine.

use super::START_MS;
use crate::model::stalls::StallLevels;
use crate::model::GroupIndex;

const STALLING: GroupIndex = GroupIndex(1);
const OTHER: GroupIndex = GroupIndex(0);

#[test]
fn repeated_stalls_mark_only_their_own_group() {
    let mut stalls = StallLevels::default();
    for _ in 0..3 {
        stalls.record_stall(STALLING, START_MS);
    }
    assert!(stalls.is_stalled(STALLING, START_MS));
    assert!(!stalls.is_stalled(OTHER, START_MS));
}

#[test]
fn stall_level_falls_with_completions_and_with_time() {
    let mut stalls = StallLevels::default();
    for _ in 0..3 {
        stalls.record_stall(STALLING, START_MS);
    }
    assert!(!stalls.is_stalled(STALLING, START_MS + 20_000.0));
    for _ in 0..3 {
        stalls.record_completion(STALLING, START_MS);
    }
    assert!(!stalls.is_stalled(STALLING, START_MS));
}

#[test]
fn slow_attempts_do_not_mark_a_group_as_stalled() {
    let mut stalls = StallLevels::default();
    for _ in 0..100 {
        stalls.record_slow_attempt(STALLING, START_MS);
    }
    assert!(!stalls.is_stalled(STALLING, START_MS));
}
