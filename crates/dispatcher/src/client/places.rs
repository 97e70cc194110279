//! Which connections from clients hold a place, and which gives one up when places run out. No I/O.

use crate::notify::Notify;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Usual clients close what is idle for 4 s: an answered connection that idles longer has a client that asks no more.
const ASKS_NO_MORE: f64 = 4500.0;
/// A client that connects has something to ask. One that has said nothing whole for the first of these times (ms)
/// goes before those that idle between two queries, for the second when there are no others.
const SLOW_TO_ASK: f64 = 500.0;
const TIME_TO_ASK: f64 = 100.0;
/// One that was told its end has this long (ms) to take in its answer: the time within which a request may cross a close.
const CROSSING: f64 = 50.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    /// Connected, no request was whole yet.
    New,
    /// A request is in hand.
    InHand,
    /// Answered, and nothing of a next request came.
    Idle,
    /// Told all it is owed; what it still sends is passed over.
    Leaving,
}

pub struct Place {
    number: usize,
    stage: Cell<Stage>,
    since: Cell<f64>,
    given_up: Cell<bool>,
    /// Asks the connection to end.
    pub end: Notify,
}

impl Place {
    /// Whether its place is wanted for another.
    pub fn given_up(&self) -> bool {
        self.given_up.get()
    }

    pub fn idles(&self) -> bool {
        self.stage.get() == Stage::Idle
    }

    pub fn is(&self, stage: Stage, now: f64) {
        self.stage.set(stage);
        self.since.set(now);
        self.given_up.set(false);
    }
}

pub struct Places {
    most: usize,
    each: RefCell<Slab<Rc<Place>>>,
    pub freed: Notify,
}

impl Places {
    pub fn new(most: usize) -> Self {
        Places { most, each: RefCell::default(), freed: Notify::default() }
    }

    /// How many are held.
    pub fn held(&self) -> usize {
        self.each.borrow().len()
    }

    pub fn full(&self) -> bool {
        self.each.borrow().len() >= self.most
    }

    pub fn take(&self, now: f64) -> Rc<Place> {
        let mut each = self.each.borrow_mut();
        let entry = each.vacant_entry();
        let (stage, since, given_up) = (Cell::new(Stage::New), Cell::new(now), Cell::default());
        let place = Rc::new(Place { number: entry.key(), stage, since, given_up, end: Notify::default() });
        entry.insert(place.clone());
        place
    }

    pub fn leave(&self, place: &Place) {
        self.each.borrow_mut().try_remove(place.number);
        self.freed.notify();
    }

    /// Asks all connections to end once nothing is owed on them.
    pub fn ask_all(&self) {
        self.each.borrow().iter().for_each(|(_, place)| place.end.notify());
    }

    /// Tells one connection to end, so that its place is free; none while each may still be of use. The longest in
    /// its stage goes first. None with a request in hand is ever chosen.
    pub fn give_one_up(&self, now: f64) -> bool {
        let each = self.each.borrow();
        let rank = |place: &Place| {
            let age = now - place.since.get();
            match place.stage.get() {
                Stage::InHand => None,
                Stage::Leaving => (age > CROSSING).then_some(0),
                Stage::Idle if age > ASKS_NO_MORE => Some(1),
                Stage::New if age > SLOW_TO_ASK => Some(2),
                Stage::Idle => Some(3),
                Stage::New => (age > TIME_TO_ASK).then_some(4),
            }
        };
        let open = each.iter().map(|(_, place)| place).filter(|place| !place.given_up.get());
        let ranked = open.filter_map(|place| Some((rank(place)?, place)));
        let first = ranked.min_by(|(a, p), (b, q)| a.cmp(b).then(p.since.get().total_cmp(&q.since.get())));
        let Some((_, place)) = first else { return false };
        place.given_up.set(true);
        place.end.notify();
        true
    }
}

#[cfg(test)]
mod tests;
