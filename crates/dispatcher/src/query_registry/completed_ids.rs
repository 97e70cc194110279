//! Ids of queries that were submitted to an engine and are no longer in flight.

use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of remembered ids: a bound on memory, four times the maximum number of queries in flight.
pub(super) const MAX_COMPLETED_IDS: usize = 16 * 1024;

/// The most recent ids of queries that may have had an effect, kept so that a duplicate is not run again.
#[derive(Default)]
pub(super) struct CompletedIds {
    ids: FxHashSet<Rc<str>>,
    oldest_first: VecDeque<Rc<str>>,
}

impl CompletedIds {
    /// Remembers `id`, and drops the oldest id beyond [`MAX_COMPLETED_IDS`].
    pub(super) fn remember(&mut self, id: Rc<str>) {
        self.ids.insert(id.clone());
        self.oldest_first.push_back(id);
        if self.oldest_first.len() > MAX_COMPLETED_IDS {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }

    /// Whether `id` is remembered.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}
