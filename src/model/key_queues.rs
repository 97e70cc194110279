//! Rule 5: queries with an ordering key wait in a FIFO queue per key.

use crate::model::{QueryIndex, LONG_AGO};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::VecDeque;

/// A queue and a cooldown per key.
///
/// A key with an empty queue is removed after its cooldown, because the number of keys is unbounded.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    /// Duration of a cooldown (ms).
    cooldown_ms: f64,
    queues: Slab<KeyQueue>,
    /// Slots by key.
    slots: FxHashMap<u64, u32>,
    /// Slots of queues that became empty, in the order in which they did.
    empty: VecDeque<u32>,
}

#[derive(Debug)]
struct KeyQueue {
    key: u64,
    queries: VecDeque<QueryIndex>,
    /// End of the key's cooldown (ms).
    cooldown_until_ms: f64,
    /// The queue's slot is in `KeyQueues::empty`.
    is_marked_empty: bool,
}

impl KeyQueues {
    /// A collection without queues, with a cooldown of `cooldown_ms`.
    pub(crate) fn new(cooldown_ms: f64) -> Self {
        KeyQueues {
            cooldown_ms,
            ..KeyQueues::default()
        }
    }

    /// Adds a query to the back of its key's queue, and returns the queue's slot.
    pub(crate) fn push(&mut self, key: u64, query: QueryIndex, now_ms: f64) -> u32 {
        self.remove_unused(now_ms);
        let slot = match self.slots.get(&key) {
            Some(&slot) => slot,
            None => self.create_queue(key),
        };
        self.queues[slot as usize].queries.push_back(query);
        slot
    }

    fn create_queue(&mut self, key: u64) -> u32 {
        let slot = self.queues.insert(KeyQueue {
            key,
            queries: VecDeque::new(),
            cooldown_until_ms: LONG_AGO,
            is_marked_empty: false,
        }) as u32;
        self.slots.insert(key, slot);
        slot
    }

    fn remove_unused(&mut self, now_ms: f64) {
        while let Some(&slot) = self.empty.front() {
            let queue = &mut self.queues[slot as usize];
            if queue.queries.is_empty() && queue.cooldown_until_ms > now_ms {
                return;
            }
            queue.is_marked_empty = false;
            if queue.queries.is_empty() {
                self.slots.remove(&queue.key);
                self.queues.remove(slot as usize);
            }
            self.empty.pop_front();
        }
    }

    /// The number of keys that have a queue.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.queues.len()
    }

    /// The query at the front of a queue.
    pub(crate) fn first(&self, slot: u32) -> Option<QueryIndex> {
        self.queues.get(slot as usize)?.queries.front().copied()
    }

    /// Whether a key is not in its cooldown.
    pub(crate) fn has_cooled_down(&self, slot: u32, now_ms: f64) -> bool {
        let queue = self.queues.get(slot as usize);
        now_ms >= queue.map_or(LONG_AGO, |queue| queue.cooldown_until_ms)
    }

    /// Starts the cooldown of a key.
    pub(crate) fn start_cooldown(&mut self, slot: u32, now_ms: f64) {
        let until_ms = now_ms + self.cooldown_ms;
        if let Some(queue) = self.queues.get_mut(slot as usize) {
            queue.cooldown_until_ms = queue.cooldown_until_ms.max(until_ms);
        }
    }

    /// Removes a query from its queue.
    pub(crate) fn remove(&mut self, slot: u32, query: QueryIndex) {
        let Some(queue) = self.queues.get_mut(slot as usize) else {
            return;
        };
        queue.queries.retain(|&other| other != query);
        if queue.queries.is_empty() && !queue.is_marked_empty {
            queue.is_marked_empty = true;
            self.empty.push_back(slot);
        }
    }
}
