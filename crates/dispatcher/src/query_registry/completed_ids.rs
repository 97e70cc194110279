//! Ids of queries that were submitted to an engine and are over.

use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of remembered ids: a bound on memory, four times the maximum number of queries in flight.
pub(super) const MAX_COMPLETED_IDS: usize = 16 * 1024;

/// The ids of the last queries that may have had an effect, so that a duplicate does not run again.
#[derive(Default)]
pub(super) struct CompletedIds {
    known: FxHashSet<Rc<str>>,
    oldest_first: VecDeque<Rc<str>>,
}

impl CompletedIds {
    /// Remembers `id`, and forgets the oldest one at the limit.
    pub(super) fn remember(&mut self, id: Rc<str>) {
        self.known.insert(id.clone());
        self.oldest_first.push_back(id);
        if self.oldest_first.len() > MAX_COMPLETED_IDS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Whether `id` is remembered.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.known.contains(id)
    }
}
