//! Rule 5: queries with an ordering key wait in one first-in-first-out queue for each key.

use crate::model::{QueryIndex, LONG_AGO};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::VecDeque;

/// A queue for each key, and when the key may be used again.
///
/// A key whose queue is empty and whose cooldown is over is forgotten, as the number of keys has no bound.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    /// How long a key cools down (ms).
    cooldown_ms: f64,
    queues: Slab<KeyQueue>,
    slots: FxHashMap<u64, u32>,
    /// Slots of queues that became empty, in that order.
    empty: VecDeque<u32>,
}

#[derive(Debug)]
struct KeyQueue {
    key: u64,
    queries: VecDeque<QueryIndex>,
    /// Until when the key cools down (ms).
    cooldown_until_ms: f64,
    /// The queue's slot is in `KeyQueues::empty`.
    is_marked_empty: bool,
}

impl KeyQueues {
    /// No queues; a cooldown takes `cooldown_ms`.
    pub(crate) fn new(cooldown_ms: f64) -> Self {
        KeyQueues {
            cooldown_ms,
            ..KeyQueues::default()
        }
    }

    /// Adds a query to the end of its key's queue and returns the queue's slot.
    pub(crate) fn join(&mut self, key: u64, query: QueryIndex, now_ms: f64) -> u32 {
        self.forget_unused(now_ms);
        let slot = match self.slots.get(&key) {
            Some(&slot) => slot,
            None => self.open(key),
        };
        self.queues[slot as usize].queries.push_back(query);
        slot
    }

    fn open(&mut self, key: u64) -> u32 {
        let slot = self.queues.insert(KeyQueue {
            key,
            queries: VecDeque::new(),
            cooldown_until_ms: LONG_AGO,
            is_marked_empty: false,
        }) as u32;
        self.slots.insert(key, slot);
        slot
    }

    fn forget_unused(&mut self, now_ms: f64) {
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

    /// The number of keys that are known.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.queues.len()
    }

    /// The first query of a queue.
    pub(crate) fn first(&self, slot: u32) -> Option<QueryIndex> {
        self.queues.get(slot as usize)?.queries.front().copied()
    }

    /// Whether a queue's key has cooled down.
    pub(crate) fn is_cool(&self, slot: u32, now_ms: f64) -> bool {
        let queue = self.queues.get(slot as usize);
        now_ms >= queue.map_or(LONG_AGO, |queue| queue.cooldown_until_ms)
    }

    /// Starts the cooldown of a queue's key.
    pub(crate) fn cool_down(&mut self, slot: u32, now_ms: f64) {
        let until_ms = now_ms + self.cooldown_ms;
        if let Some(queue) = self.queues.get_mut(slot as usize) {
            queue.cooldown_until_ms = queue.cooldown_until_ms.max(until_ms);
        }
    }

    /// Removes a query from its queue.
    pub(crate) fn leave(&mut self, slot: u32, query: QueryIndex) {
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
