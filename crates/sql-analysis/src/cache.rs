//! Shapes whose reading is kept, bounded in number and bytes. What comes only once can't push out what comes often:
//! the library keeps what was asked for more often (an LFU sketch at the door of an LRU). A shape is known by its hash and its text, so that two
//! that fall together lend each other nothing.

use crate::lexer::{Lexed, Unproven};
use crate::Reading;
use mini_moka::unsync::Cache;
use std::rc::Rc;

/// Bytes of an entry beside its text and names.
const ENTRY: usize = 320;
/// Shapes that room is made for at the start; more comes with use.
const FIRST_SHAPES: usize = 64;
/// A shape longer than this part of the room is not kept.
const LARGEST_PART: usize = 16;

#[derive(Clone)]
struct Entry {
    text: Box<str>,
    doubt: Option<Unproven>,
    reading: Rc<Reading>,
}

/// What an entry takes of the room: its bytes, and its part at the least, so that the bound on bytes is one on number.
fn weight(entry: &Entry, least: u32) -> u32 {
    let names = entry
        .reading
        .reads
        .iter()
        .chain(&entry.reading.writes)
        .chain(&entry.reading.error);
    let bytes = ENTRY + entry.text.len() + names.map(|name| name.len() + 32).sum::<usize>();
    u32::try_from(bytes).unwrap_or(u32::MAX).max(least)
}

/// What was asked for and what is kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub hits: u64,
    pub misses: u64,
    /// Shapes that fell together with another one by their hash.
    pub collisions: u64,
    pub shapes: usize,
    pub bytes: u64,
    pub costs: usize,
}

pub struct Shapes {
    kept: Cache<u128, Entry>,
    max_bytes: usize,
    counts: Counts,
}

fn room(max_shapes: usize, max_bytes: usize) -> Cache<u128, Entry> {
    let least = u32::try_from(max_bytes / max_shapes.max(1)).unwrap_or(u32::MAX);
    Cache::builder()
        .max_capacity(max_bytes as u64)
        .initial_capacity(max_shapes.min(FIRST_SHAPES))
        .weigher(move |_, entry| weight(entry, least))
        .build()
}

impl Shapes {
    pub fn new(max_shapes: usize, max_bytes: usize) -> Self {
        Shapes {
            kept: room(max_shapes, max_bytes),
            max_bytes,
            counts: Counts::default(),
        }
    }

    /// Forgets all readings; the counts go on.
    pub fn reset(&mut self, max_shapes: usize, max_bytes: usize) {
        (self.kept, self.max_bytes) = (room(max_shapes, max_bytes), max_bytes);
    }

    pub fn get(&mut self, shape: u128, lexed: &Lexed) -> Option<Rc<Reading>> {
        let found = self.kept.get(&shape);
        let same = found.filter(|entry| *entry.text == *lexed.text && entry.doubt == lexed.doubt);
        self.counts.collisions += u64::from(found.is_some() && same.is_none());
        match same {
            Some(entry) => {
                self.counts.hits += 1;
                Some(entry.reading.clone())
            }
            None => {
                self.counts.misses += 1;
                None
            }
        }
    }

    /// Keeps a reading. One that fell together with another shape is not kept: the other one stays right.
    pub fn keep(&mut self, shape: u128, lexed: &Lexed, reading: &Rc<Reading>) {
        if lexed.text.len() > self.max_bytes / LARGEST_PART || self.kept.contains_key(&shape) {
            return;
        }
        let entry = Entry {
            text: lexed.text.into(),
            doubt: lexed.doubt,
            reading: reading.clone(),
        };
        self.kept.insert(shape, entry);
    }

    pub fn counts(&self) -> Counts {
        Counts {
            shapes: self.kept.entry_count() as usize,
            bytes: self.kept.weighted_size(),
            ..self.counts
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Lexer, Settings};

    #[test]
    fn two_shapes_that_fall_together_lend_each_other_nothing() {
        let (mut a, mut b) = (Lexer::default(), Lexer::default());
        let (read, write) = (a.lex(b"select 1 from t"), b.lex(b"delete from t"));
        let reading = |lexed: &Lexed| Rc::new(crate::read::read(lexed, &Settings::default()));
        let mut shapes = Shapes::new(64, 1 << 20);
        shapes.keep(7, &read, &reading(&read));
        assert!(shapes.get(7, &write).is_none());
        shapes.keep(7, &write, &reading(&write));
        assert!(shapes.get(7, &write).is_none());
        assert_eq!(
            shapes.get(7, &read).unwrap().effect,
            crate::Effect::ReadOnly
        );
        assert_eq!(shapes.counts().collisions, 2);
    }
}
