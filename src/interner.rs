//! Names and numbers from outside become small indices here, in the order of their first sight.

use rustc_hash::FxHashMap;

#[derive(Debug, Default)]
pub struct NameInterner(FxHashMap<String, u32>);

impl NameInterner {
    pub fn index(&mut self, name: &str) -> u32 {
        if let Some(&i) = self.0.get(name) {
            return i;
        }
        let i = self.0.len() as u32;
        self.0.insert(name.to_owned(), i);
        i
    }

    pub fn find(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }
}

#[derive(Debug, Default)]
pub struct NumberInterner(FxHashMap<u64, u32>);

impl NumberInterner {
    pub fn index(&mut self, number: u64) -> usize {
        let next = self.0.len() as u32;
        *self.0.entry(number).or_insert(next) as usize
    }

    /// Gives the index of one number to another.
    pub fn hand_on(&mut self, from: u64, to: u64) {
        if let Some(i) = self.0.remove(&from) {
            self.0.insert(to, i);
        }
    }

    pub fn find(&self, number: u64) -> Option<usize> {
        self.0.get(&number).map(|&i| i as usize)
    }
}

/// All that is known outside by a name or a number.
#[derive(Debug, Default)]
pub struct Interner {
    pub groups: NameInterner,
    pub kinds: NameInterner,
    pub zones: NameInterner,
    pub tenants: NameInterner,
    pub engine_ids: NumberInterner,
    pub queries: FxHashMap<u64, usize>,
}
