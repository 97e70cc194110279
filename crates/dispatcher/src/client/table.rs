//! The table of clients' connections, and which is evicted when it is full. No I/O.

use crate::notify::Notify;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Usual clients close what is idle for 4 s: an answered connection that idles longer has a client that asks no more.
const ASKS_NO_MORE: f64 = 4500.0;
/// A client that connects has something to ask. One that has said nothing whole for the first of these times (ms)
/// goes before those that idle between two queries, for the second when there are no others.
const SLOW_TO_ASK: f64 = 500.0;
const MIN_TIME_TO_ASK: f64 = 100.0;
/// One that was told its end has this long (ms) to take in its answer: the time within which a request may cross a close.
const CROSSING: f64 = 50.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// Connected, no request was whole yet.
    New,
    /// A request is in hand.
    Active,
    /// Answered, and nothing of a next request came.
    Idle,
    /// Told all it is owed; what it still sends is passed over.
    Closing,
}

pub struct Entry {
    number: usize,
    state: Cell<State>,
    since: Cell<f64>,
    evicted: Cell<bool>,
    /// Asks the connection to end.
    pub close: Notify,
}

impl Entry {
    /// Whether its entry is wanted for another.
    pub fn evicted(&self) -> bool {
        self.evicted.get()
    }

    pub fn idles(&self) -> bool {
        self.state.get() == State::Idle
    }

    pub fn is(&self, state: State, now: f64) {
        self.state.set(state);
        self.since.set(now);
        self.evicted.set(false);
    }
}

pub struct ConnectionTable {
    most: usize,
    each: RefCell<Slab<Rc<Entry>>>,
    pub freed: Notify,
}

impl ConnectionTable {
    pub fn new(most: usize) -> Self {
        ConnectionTable {
            most,
            each: RefCell::default(),
            freed: Notify::default(),
        }
    }

    /// How many are held.
    pub fn held(&self) -> usize {
        self.each.borrow().len()
    }

    pub fn full(&self) -> bool {
        self.each.borrow().len() >= self.most
    }

    pub fn admit(&self, now: f64) -> Rc<Entry> {
        let mut each = self.each.borrow_mut();
        let vacant = each.vacant_entry();
        let (state, since, evicted) = (Cell::new(State::New), Cell::new(now), Cell::default());
        let entry = Rc::new(Entry {
            number: vacant.key(),
            state,
            since,
            evicted,
            close: Notify::default(),
        });
        vacant.insert(entry.clone());
        entry
    }

    pub fn release(&self, entry: &Entry) {
        self.each.borrow_mut().try_remove(entry.number);
        self.freed.notify();
    }

    /// Asks all connections to end once nothing is owed on them.
    pub fn close_idle(&self) {
        self.each
            .borrow()
            .iter()
            .for_each(|(_, entry)| entry.close.notify());
    }

    /// Tells one connection to end, so that its entry is free; none while each may still be of use. The longest in
    /// its state goes first. None with a request in hand is ever chosen.
    pub fn evict_one(&self, now: f64) -> bool {
        let each = self.each.borrow();
        let rank = |entry: &Entry| {
            let age = now - entry.since.get();
            match entry.state.get() {
                State::Active => None,
                State::Closing => (age > CROSSING).then_some(0),
                State::Idle if age > ASKS_NO_MORE => Some(1),
                State::New if age > SLOW_TO_ASK => Some(2),
                State::Idle => Some(3),
                State::New => (age > MIN_TIME_TO_ASK).then_some(4),
            }
        };
        let open = each
            .iter()
            .map(|(_, entry)| entry)
            .filter(|entry| !entry.evicted.get());
        let ranked = open.filter_map(|entry| Some((rank(entry)?, entry)));
        let first =
            ranked.min_by(|(a, p), (b, q)| a.cmp(b).then(p.since.get().total_cmp(&q.since.get())));
        let Some((_, entry)) = first else {
            return false;
        };
        entry.evicted.set(true);
        entry.close.notify();
        true
    }
}

#[cfg(test)]
mod tests;
