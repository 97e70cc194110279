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
    queues.remove(slot, QueryIndex(1));
    assert_eq!(queues.first(slot), Some(QueryIndex(2)));
}

#[test]
fn key_without_queries_is_removed_after_its_cooldown() {
    let mut queues = KeyQueues::new(COOLDOWN_MS);
    let slot = queues.push(7, QueryIndex(1), START_MS);
    queues.start_cooldown(slot, START_MS);
    queues.remove(slot, QueryIndex(1));
    queues.push(8, QueryIndex(2), START_MS + COOLDOWN_MS - 1.0);
    assert!(!queues.has_cooled_down(slot, START_MS + COOLDOWN_MS - 1.0));
    assert_eq!(queues.len(), 2, "the first key is still in its cooldown");
    queues.push(9, QueryIndex(3), START_MS + COOLDOWN_MS);
    assert_eq!(queues.len(), 2, "the first key is removed");
}
