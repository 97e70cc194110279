//! Names and numbers from outside become small indices here, in the order of their first sight.

use rustc_hash::FxHashMap;

/// Indices of names.
#[derive(Debug, Default)]
pub struct NameInterner(FxHashMap<String, u32>);

impl NameInterner {
    /// The index of a name; a new one where it is not known yet.
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.0.get(name) {
            return index;
        }
        let index = self.0.len() as u32;
        self.0.insert(name.to_owned(), index);
        index
    }

    /// The index of a name that is known.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }
}

/// Indices of numbers.
#[derive(Debug, Default)]
pub struct NumberInterner(FxHashMap<u64, u32>);

impl NumberInterner {
    /// The index of a number; a new one where it is not known yet.
    pub fn index(&mut self, number: u64) -> usize {
        let next = self.0.len() as u32;
        *self.0.entry(number).or_insert(next) as usize
    }

    /// Gives the index of one number to another.
    pub fn reassign(&mut self, from: u64, to: u64) {
        if let Some(index) = self.0.remove(&from) {
            self.0.insert(to, index);
        }
    }

    /// The index of a number that is known.
    pub fn find(&self, number: u64) -> Option<usize> {
        self.0.get(&number).map(|&index| index as usize)
    }
}

/// All that is known outside by a name or a number.
#[derive(Debug, Default)]
pub struct Interner {
    /// Resource groups, in the order of the settings.
    pub groups: NameInterner,
    /// Kinds of engines.
    pub kinds: NameInterner,
    /// Zones.
    pub zones: NameInterner,
    /// Tenants, first those of the settings.
    pub tenants: NameInterner,
    /// Engines.
    pub engine_ids: NumberInterner,
    /// Queries in flight, by their place in the table.
    pub queries: FxHashMap<u64, usize>,
}
