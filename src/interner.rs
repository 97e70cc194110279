//! Maps names in the protocol to small indices, assigned in the order in which the names first arrive.

use rustc_hash::FxHashMap;

/// Maximum number of names of one kind after which names from the endpoint list share one index: a bound on memory.
const MAX_LISTED_NAMES: usize = 1024;
/// The name whose index further names from the endpoint list share. No label of the list contains parentheses.
const OTHER_NAMES: &str = "(other)";

/// A map from names of one kind to indices.
#[derive(Debug, Default)]
pub struct NameInterner(FxHashMap<String, u32>);

impl NameInterner {
    /// The index of a name from the endpoint list. Adds the name if it is unknown. Beyond 1,024 names, all
    /// new ones have the same index, which no name in the settings has.
    pub fn index_listed(&mut self, name: &str) -> u32 {
        match self.find(name) {
            Some(index) => index,
            None if self.0.len() < MAX_LISTED_NAMES => self.index(name),
            None => self.index(OTHER_NAMES),
        }
    }

    /// The index of a name from the settings or from a zone plan. Adds the name if it is unknown.
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_owned(), index);
        index
    }

    /// The index of a name, if it is known.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }
}

/// The indices of all names of one dispatcher.
#[derive(Debug, Default)]
pub struct Interner {
    /// Resource groups, in the order of the settings.
    pub groups: NameInterner,
    /// Engine kinds.
    pub kinds: NameInterner,
    /// Zones.
    pub zones: NameInterner,
    /// Tenants; those in the settings come first.
    pub tenants: NameInterner,
}
