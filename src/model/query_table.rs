//! The table of queries in flight, with lookup by query id.

use crate::model::{EngineIndex, Query, QueryIndex};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::ops::{Index, IndexMut};

/// All queries in flight, each in a slot that is reused after the query is removed.
#[derive(Debug, Default)]
pub(crate) struct QueryTable {
    queries: Slab<Query>,
    /// Slots by query id.
    slots: FxHashMap<u64, QueryIndex>,
}

impl QueryTable {
    /// Adds a query and returns its slot.
    pub(crate) fn insert(&mut self, query: Query) -> QueryIndex {
        let query_id = query.id;
        let index = QueryIndex(self.queries.insert(query));
        self.slots.insert(query_id, index);
        index
    }

    /// Removes a query from its slot and returns it.
    pub(crate) fn remove(&mut self, index: QueryIndex) -> Query {
        let query = self.queries.remove(index.0);
        self.slots.remove(&query.id);
        query
    }

    /// The slot of the query with this id.
    pub(crate) fn find(&self, query_id: u64) -> Option<QueryIndex> {
        self.slots.get(&query_id).copied()
    }

    /// The query in a slot, if there is one.
    pub(crate) fn get(&self, index: QueryIndex) -> Option<&Query> {
        self.queries.get(index.0)
    }

    /// All allocated slots, whether they hold a query or not.
    pub(crate) fn slots(&self) -> impl Iterator<Item = QueryIndex> {
        (0..self.queries.capacity()).map(QueryIndex)
    }

    /// All queries, mutably.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Query> {
        self.queries.iter_mut().map(|(_, query)| query)
    }

    /// Whether there is no query.
    pub(crate) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Whether any query has an attempt that was sent to the engine.
    pub(crate) fn has_tried(&self, engine: EngineIndex) -> bool {
        let mut queries = self.queries.iter();
        queries.any(|(_, query)| query.has_tried(engine))
    }

    /// All queries with their slots.
    #[cfg(test)]
    pub(crate) fn iter(&self) -> slab::Iter<'_, Query> {
        self.queries.iter()
    }

    /// The number of queries.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.queries.len()
    }
}

impl Index<QueryIndex> for QueryTable {
    type Output = Query;

    fn index(&self, index: QueryIndex) -> &Query {
        &self.queries[index.0]
    }
}

impl IndexMut<QueryIndex> for QueryTable {
    fn index_mut(&mut self, index: QueryIndex) -> &mut Query {
        &mut self.queries[index.0]
    }
}
