//! Rule 5: queries with an ordering key wait in a FIFO queue per key.

use crate::model::{QueryIndex, LONG_AGO};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::VecDeque;

/// Maximum number of keys without queries that are kept until the end of their cooldown: four times the maximum number
/// of queries in flight on sockets.
const MAX_COOLING_KEYS: usize = 16 * 1024;

/// A queue and a cooldown per key.
///
/// A key without queries is removed at the end of its cooldown, at once if it has none. Beyond [`MAX_COOLING_KEYS`], the
/// oldest is removed earlier. Every key that is added before the end of its cooldown then cools down until that time,
/// because it may be the same key.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    /// Duration of a cooldown (ms).
    cooldown_ms: f64,
    queues: Slab<KeyQueue>,
    /// Slots by key.
    slots: FxHashMap<u64, u32>,
    /// Slots of queues that became empty during the cooldown of their keys, in the order in which they did.
    cooling: VecDeque<u32>,
    /// Latest end of the cooldowns of keys that were removed early (ms).
    removed_cooldown_until_ms: f64,
}

#[derive(Debug)]
struct KeyQueue {
    key: u64,
    queries: VecDeque<QueryIndex>,
    /// End of the key's cooldown (ms).
    cooldown_until_ms: f64,
    /// The queue's slot is in `KeyQueues::cooling`.
    is_cooling: bool,
}

impl KeyQueues {
    /// A collection without queues, with a cooldown of `cooldown_ms`.
    pub(crate) fn new(cooldown_ms: f64) -> Self {
        KeyQueues {
            cooldown_ms,
            removed_cooldown_until_ms: LONG_AGO,
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
            cooldown_until_ms: self.removed_cooldown_until_ms,
            is_cooling: false,
        }) as u32;
        self.slots.insert(key, slot);
        slot
    }

    /// Removes the keys without queries whose cooldown has ended, and the oldest ones beyond [`MAX_COOLING_KEYS`].
    fn remove_unused(&mut self, now_ms: f64) {
        while let Some(&slot) = self.cooling.front() {
            let queue = &mut self.queues[slot as usize];
            let is_unused = queue.queries.is_empty();
            let has_cooled_down = queue.cooldown_until_ms <= now_ms;
            if is_unused && !has_cooled_down && self.cooling.len() <= MAX_COOLING_KEYS {
                return;
            }
            queue.is_cooling = false;
            self.cooling.pop_front();
            if is_unused {
                self.remove_queue(slot);
            }
        }
    }

    /// Removes a key without queries.
    fn remove_queue(&mut self, slot: u32) {
        let queue = self.queues.remove(slot as usize);
        self.slots.remove(&queue.key);
        self.removed_cooldown_until_ms =
            self.removed_cooldown_until_ms.max(queue.cooldown_until_ms);
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
    pub(crate) fn remove(&mut self, slot: u32, query: QueryIndex, now_ms: f64) {
        let Some(queue) = self.queues.get_mut(slot as usize) else {
            return;
        };
        queue.queries.retain(|&other| other != query);
        if !queue.queries.is_empty() || queue.is_cooling {
            return;
        }
        if queue.cooldown_until_ms <= now_ms {
            self.remove_queue(slot);
        } else {
            queue.is_cooling = true;
            self.cooling.push_back(slot);
        }
    }
}
