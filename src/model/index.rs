//! Typed indices into the tables of [`Control`](crate::control::Control), so that none is used on another table.

use crate::model::{Engine, Query, ResourceGroup};
use slab::Slab;
use std::ops::{Index, IndexMut};

/// Place of an engine among the known engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct EngineIndex(pub(crate) usize);

/// Place of a query among those in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueryIndex(pub(crate) usize);

/// Place of a resource group in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GroupIndex(pub(crate) usize);

impl Index<EngineIndex> for Vec<Engine> {
    type Output = Engine;

    fn index(&self, index: EngineIndex) -> &Engine {
        &self.as_slice()[index.0]
    }
}

impl IndexMut<EngineIndex> for Vec<Engine> {
    fn index_mut(&mut self, index: EngineIndex) -> &mut Engine {
        &mut self.as_mut_slice()[index.0]
    }
}

impl Index<GroupIndex> for Vec<ResourceGroup> {
    type Output = ResourceGroup;

    fn index(&self, index: GroupIndex) -> &ResourceGroup {
        &self.as_slice()[index.0]
    }
}

impl IndexMut<GroupIndex> for Vec<ResourceGroup> {
    fn index_mut(&mut self, index: GroupIndex) -> &mut ResourceGroup {
        &mut self.as_mut_slice()[index.0]
    }
}

impl Index<QueryIndex> for Slab<Query> {
    type Output = Query;

    fn index(&self, index: QueryIndex) -> &Query {
        &self[index.0]
    }
}

impl IndexMut<QueryIndex> for Slab<Query> {
    fn index_mut(&mut self, index: QueryIndex) -> &mut Query {
        &mut self[index.0]
    }
}
