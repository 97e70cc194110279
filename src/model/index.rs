//! Typed indices into the tables of engines, queries and resource groups, so that an index of one table
//! cannot be used on another.

use crate::model::ResourceGroup;
use std::ops::{Index, IndexMut};

/// Slot of an engine in the engine table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct EngineIndex(pub(crate) usize);

/// Slot of a query in the query table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueryIndex(pub(crate) usize);

/// Index of a resource group in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GroupIndex(pub(crate) usize);

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
