//! Key queues (rule 5).

use super::START_MS;
use crate::model::{KeyQueues, QueryIndex};

const COOLDOWN_MS: f64 = 100.0;

#[test]
fn queries_of_a_key_are_served_in_fifo_order() {
    let mut queues = KeyQueues::new(COOLDOWN_MS);
    let slot = queues.push(7, QueryIndex(1), START_MS);
    assert_eq!(queues.push(7, QueryIndex(2), START_MS), slot);
    assert_ne!(queues.push(8, QueryIndex(3), START_MS), slot);
    assert_eq!(queues.first(slot), Some(QueryIndex(1)));
    queues.remove(slot, QueryIndex(1), START_MS);
    assert_eq!(queues.first(slot), Some(QueryIndex(2)));
}

#[test]
fn key_without_queries_is_removed_after_its_cooldown() {
    let mut queues = KeyQueues::new(COOLDOWN_MS);
    let slot = queues.push(7, QueryIndex(1), START_MS);
    queues.start_cooldown(slot, START_MS);
    queues.remove(slot, QueryIndex(1), START_MS);
    queues.push(8, QueryIndex(2), START_MS + COOLDOWN_MS - 1.0);
    assert!(!queues.has_cooled_down(slot, START_MS + COOLDOWN_MS - 1.0));
    assert_eq!(queues.len(), 2, "the first key is still in its cooldown");
    queues.push(9, QueryIndex(3), START_MS + COOLDOWN_MS);
    assert_eq!(queues.len(), 2, "the first key is removed");
}

/// Guards against keys of rejected queries that wait behind the cooldown of another key before they are removed.
#[test]
fn key_without_cooldown_is_removed_with_its_last_query() {
    let mut queues = KeyQueues::new(COOLDOWN_MS);
    let cooling = queues.push(0, QueryIndex(0), START_MS);
    queues.start_cooldown(cooling, START_MS);
    queues.remove(cooling, QueryIndex(0), START_MS);
    for key in 1..100_000 {
        let slot = queues.push(key, QueryIndex(1), START_MS);
        assert!(queues.has_cooled_down(slot, START_MS));
        queues.remove(slot, QueryIndex(1), START_MS);
    }
    assert_eq!(queues.len(), 1);
}

#[test]
fn keys_in_their_cooldown_are_bounded_and_none_is_served_before_its_end() {
    let mut queues = KeyQueues::new(COOLDOWN_MS);
    for key in 0..100_000 {
        let slot = queues.push(key, QueryIndex(1), START_MS);
        queues.start_cooldown(slot, START_MS);
        queues.remove(slot, QueryIndex(1), START_MS);
    }
    assert!(queues.len() <= 16 * 1024 + 1, "{}", queues.len());
    let end_ms = START_MS + COOLDOWN_MS;
    let removed_early = queues.push(0, QueryIndex(1), START_MS + 1.0);
    assert!(!queues.has_cooled_down(removed_early, end_ms - 1.0));
    assert!(queues.has_cooled_down(removed_early, end_ms));
}
