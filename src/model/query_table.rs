//! The table of queries in flight.

use crate::model::{EngineIndex, Query, QueryIndex};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::ops::{Index, IndexMut};

/// All queries in flight, each in a slot that is used again when the query is removed.
#[derive(Debug, Default)]
pub(crate) struct QueryTable {
    queries: Slab<Query>,
    /// Slots by the queries' numbers.
    slots: FxHashMap<u64, QueryIndex>,
}

impl QueryTable {
    /// Adds a query.
    pub(crate) fn insert(&mut self, query: Query) -> QueryIndex {
        let query_id = query.id;
        let index = QueryIndex(self.queries.insert(query));
        self.slots.insert(query_id, index);
        index
    }

    /// Removes a query.
    pub(crate) fn remove(&mut self, index: QueryIndex) -> Query {
        let query = self.queries.remove(index.0);
        self.slots.remove(&query.id);
        query
    }

    /// The query with this number.
    pub(crate) fn find(&self, query_id: u64) -> Option<QueryIndex> {
        self.slots.get(&query_id).copied()
    }

    /// The query in a slot, if there is one.
    pub(crate) fn get(&self, index: QueryIndex) -> Option<&Query> {
        self.queries.get(index.0)
    }

    /// All slots that exist now, with and without a query.
    pub(crate) fn slots(&self) -> impl Iterator<Item = QueryIndex> {
        (0..self.queries.capacity()).map(QueryIndex)
    }

    /// All queries, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Query> {
        self.queries.iter_mut().map(|(_, query)| query)
    }

    /// Whether there is no query.
    pub(crate) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Whether a query has been tried on an engine.
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
