//! The limit on the memory of results that wait to be written to their clients. Does no I/O.

use super::query::Pages;
use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;

/// The memory of all results that are given as answers and not yet written to their clients.
#[derive(Debug)]
pub struct AnswerMemory {
    max_bytes: usize,
    held_bytes: Cell<usize>,
}

impl AnswerMemory {
    /// Memory for at most `max_bytes` of results.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(AnswerMemory {
            max_bytes,
            held_bytes: Cell::default(),
        })
    }

    /// Takes over a result, and counts its memory until it is dropped. Returns `None`, and drops the result, if the
    /// limit does not allow it.
    pub fn hold(self: &Rc<Self>, pages: Pages) -> Option<HeldPages> {
        let bytes = memory_of(&pages);
        let held_bytes = self.held_bytes.get() + bytes;
        if held_bytes > self.max_bytes {
            return None;
        }
        self.held_bytes.set(held_bytes);
        Some(HeldPages {
            pages,
            bytes,
            memory: self.clone(),
        })
    }

    /// Whether more than half of the memory is in use. Clients that do not read their answers then lose them.
    pub fn is_scarce(&self) -> bool {
        self.held_bytes.get() > self.max_bytes / 2
    }
}

/// The memory (bytes) that a result has allocated.
fn memory_of(pages: &Pages) -> usize {
    let rows: usize = pages.iter().map(Vec::capacity).sum();
    rows + pages.capacity() * size_of::<Vec<u8>>()
}

/// A result whose memory is counted until it is dropped.
#[derive(Debug)]
pub struct HeldPages {
    pages: Pages,
    bytes: usize,
    memory: Rc<AnswerMemory>,
}

impl Deref for HeldPages {
    type Target = [Vec<u8>];

    fn deref(&self) -> &[Vec<u8>] {
        &self.pages
    }
}

impl Drop for HeldPages {
    fn drop(&mut self) {
        let held_bytes = self.memory.held_bytes.get();
        self.memory
            .held_bytes
            .set(held_bytes.saturating_sub(self.bytes));
    }
}

#[cfg(test)]
mod tests;
