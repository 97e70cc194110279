//! The table of client connections, and the order of eviction when it is full. Does no I/O.

use crate::notify::Notify;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A connection that has been idle for longer than this (ms) counts as abandoned: clients usually close idle
/// connections after 4 s.
const ABANDONED_AFTER_MS: f64 = 4500.0;
/// A connection that has been open for longer than this (ms) without a complete request is evicted before connections
/// that became idle recently: clients usually send a request as soon as they connect.
const SLOW_FIRST_REQUEST_MS: f64 = 500.0;
/// A new connection is not evicted within this time (ms) after it was accepted.
const NEW_CONNECTION_GRACE_MS: f64 = 100.0;
/// A half-closed connection is not evicted within this time (ms) after the half-close, so that its client can receive
/// the last answer. By the protocol, a request may still be in transit for this time when the connection closes.
const CLOSE_GRACE_MS: f64 = 50.0;

/// The state of a client connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ConnectionState {
    /// Connected; no complete request has arrived yet.
    New,
    /// A request is being answered.
    Active,
    /// The last request was answered; the next one has not arrived completely.
    Idle,
    /// Half-closed by this side; bytes that the client still sends are discarded.
    Closing,
}

/// A connection in the table.
pub struct Entry {
    number: usize,
    state: Cell<ConnectionState>,
    /// Time (ms) at which the connection entered its state.
    since_ms: Cell<f64>,
    evicted: Cell<bool>,
    /// Notified when the connection should close.
    pub close: Notify,
}

impl Entry {
    /// The connection's number in the table, which identifies it in the log.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Whether the connection should close because its entry is needed for a new connection.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Whether the connection is [`Idle`](ConnectionState::Idle).
    pub fn is_idle(&self) -> bool {
        self.state.get() == ConnectionState::Idle
    }

    /// Enters a state, and cancels an eviction that was requested in the previous state.
    pub fn set_state(&self, state: ConnectionState, now_ms: f64) {
        self.state.set(state);
        self.since_ms.set(now_ms);
        self.evicted.set(false);
    }

    /// Rank in the order of eviction: the lowest is evicted first. `None` while the connection may not be evicted.
    fn eviction_rank(&self, now_ms: f64) -> Option<u8> {
        let age_ms = now_ms - self.since_ms.get();
        match self.state.get() {
            ConnectionState::Active => None,
            ConnectionState::Closing => (age_ms > CLOSE_GRACE_MS).then_some(0),
            ConnectionState::Idle if age_ms > ABANDONED_AFTER_MS => Some(1),
            ConnectionState::New if age_ms > SLOW_FIRST_REQUEST_MS => Some(2),
            ConnectionState::Idle => Some(3),
            ConnectionState::New => (age_ms > NEW_CONNECTION_GRACE_MS).then_some(4),
        }
    }
}

/// All client connections.
pub struct ConnectionTable {
    max_connections: usize,
    entries: RefCell<Slab<Rc<Entry>>>,
    /// Notified when an entry is released.
    pub released: Notify,
}

impl ConnectionTable {
    /// An empty table with space for `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        ConnectionTable {
            max_connections,
            entries: RefCell::default(),
            released: Notify::default(),
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether no entry is free.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_connections
    }

    /// Adds a new connection. The caller checks first that the table is not full, and releases the entry once the
    /// connection is closed.
    pub fn insert(&self, now_ms: f64) -> Rc<Entry> {
        let mut entries = self.entries.borrow_mut();
        let vacant = entries.vacant_entry();
        let entry = Rc::new(Entry {
            number: vacant.key(),
            state: Cell::new(ConnectionState::New),
            since_ms: Cell::new(now_ms),
            evicted: Cell::default(),
            close: Notify::default(),
        });
        vacant.insert(entry.clone());
        entry
    }

    /// Frees the entry of a closed connection.
    pub fn release(&self, entry: &Entry) {
        self.entries.borrow_mut().try_remove(entry.number);
        self.released.notify();
    }

    /// Requests each connection to close as soon as no answer is owed on it.
    pub fn close_idle(&self) {
        for (_, entry) in self.entries.borrow().iter() {
            entry.close.notify();
        }
    }

    /// Evicts the connection with the lowest rank; among equals, the one that has been in its state longest. Returns
    /// false if no connection may be evicted. A connection on which an answer is owed is never evicted.
    pub fn evict_one(&self, now_ms: f64) -> bool {
        let entries = self.entries.borrow();
        let mut candidate: Option<(u8, &Entry)> = None;
        for (_, entry) in entries.iter() {
            if entry.is_evicted() {
                continue;
            }
            let Some(rank) = entry.eviction_rank(now_ms) else {
                continue;
            };
            let is_evicted_before = candidate.is_none_or(|(candidate_rank, candidate_entry)| {
                let by_age = entry
                    .since_ms
                    .get()
                    .total_cmp(&candidate_entry.since_ms.get());
                rank.cmp(&candidate_rank).then(by_age).is_lt()
            });
            if is_evicted_before {
                candidate = Some((rank, entry));
            }
        }
        let Some((_, entry)) = candidate else {
            return false;
        };
        entry.evicted.set(true);
        entry.close.notify();
        true
    }
}

#[cfg(test)]
mod tests;
