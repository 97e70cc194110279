//! Queries with an ordering key: one first-in-first-out queue for each key.

use crate::model::{QueryIndex, LONG_AGO};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::VecDeque;

/// A queue for each key, and when the key may be used again. A key that nothing waits for and whose cooldown is over is
/// forgotten: clients name as many as they like.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    queues: Slab<KeyQueue>,
    slots: FxHashMap<u64, u32>,
    /// Slots of queues that ran empty, in the order in which they did.
    empty: VecDeque<u32>,
}

#[derive(Debug)]
struct KeyQueue {
    key: u64,
    queries: VecDeque<QueryIndex>,
    /// Until when the key cools down (ms).
    cooldown_until_ms: f64,
    /// It stands in `KeyQueues::empty`.
    is_marked_empty: bool,
}

impl KeyQueues {
    /// Puts a query at the end of its key's queue and returns the queue's slot.
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

    /// How many keys are kept.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.queues.len()
    }

    /// The first query of a queue.
    pub(crate) fn first(&self, slot: u32) -> Option<QueryIndex> {
        self.queues.get(slot as usize)?.queries.front().copied()
    }

    /// Until when a queue's key cools down (ms).
    pub(crate) fn cooldown_until_ms(&self, slot: u32) -> f64 {
        let queue = self.queues.get(slot as usize);
        queue.map_or(LONG_AGO, |queue| queue.cooldown_until_ms)
    }

    /// Keeps a key unused until `until_ms` at least.
    pub(crate) fn cool_down(&mut self, slot: u32, until_ms: f64) {
        if let Some(queue) = self.queues.get_mut(slot as usize) {
            queue.cooldown_until_ms = queue.cooldown_until_ms.max(until_ms);
        }
    }

    /// Takes a query out of its queue.
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
