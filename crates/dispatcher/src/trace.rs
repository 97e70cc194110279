//! A ring buffer of the latest events of queries. It is logged when an invariant is violated, and at SIGUSR1.

use crate::attempt_end::EndCause;
use crate::clock::Clock;
use crate::guard::BeginRefusal;
use std::cell::RefCell;
use std::fmt;
use tansymux::events::{EndReason, Outcome};

/// Maximum number of events in the ring buffer. An event takes 32 bytes.
const MAX_EVENTS: usize = 2048;

/// An event of a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TraceEvent {
    /// The query was admitted.
    Admitted,
    /// An attempt was queued for the engine side.
    Submitted,
    /// The first byte of an attempt was written.
    Begun {
        /// The id of the connection.
        connection: u32,
    },
    /// The guard refused an attempt.
    NotBegun(BeginRefusal),
    /// An attempt completed, failed or was cancelled.
    AttemptEnded {
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The cause of the outcome.
        cause: EndCause,
    },
    /// The admission controller ended the query without a result.
    Ends(EndReason),
    /// The query was answered with this HTTP status.
    Answered(u16),
    /// The client disconnected before the answer.
    ClientLeft,
}

/// An event with its query, attempt and engine. Events that concern no attempt have 0 for attempt and engine.
#[derive(Debug, Clone, Copy)]
struct Entry {
    at_ms: f64,
    query_id: u64,
    engine_id: u32,
    attempt: u8,
    event: TraceEvent,
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Entry {
            at_ms,
            query_id,
            engine_id,
            attempt,
            event,
        } = self;
        write!(
            formatter,
            "at_ms={at_ms:.1} query_id={query_id} attempt={attempt} engine_id={engine_id:08x} event={event:?}"
        )
    }
}

/// The ring buffer of events.
pub struct EventTrace {
    clock: Clock,
    entries: RefCell<Ring>,
}

#[derive(Default)]
struct Ring {
    entries: Vec<Entry>,
    /// Position of the next entry to overwrite, once the ring buffer is full.
    next: usize,
}

impl EventTrace {
    /// Creates an empty ring buffer.
    pub fn new(clock: Clock) -> Self {
        EventTrace {
            clock,
            entries: RefCell::default(),
        }
    }

    /// Records an event of a query.
    pub fn record(&self, query_id: u64, event: TraceEvent) {
        self.record_attempt(query_id, 0, 0, event);
    }

    /// Records an event of an attempt.
    pub fn record_attempt(&self, query_id: u64, attempt: usize, engine_id: u64, event: TraceEvent) {
        let entry = Entry {
            at_ms: self.clock.now(),
            query_id,
            engine_id: engine_id as u32,
            attempt: attempt.min(usize::from(u8::MAX)) as u8,
            event,
        };
        let mut ring = self.entries.borrow_mut();
        if ring.entries.len() < MAX_EVENTS {
            ring.entries.push(entry);
        } else {
            let next = ring.next;
            ring.entries[next] = entry;
            ring.next = (next + 1) % MAX_EVENTS;
        }
    }

    /// Returns the last `count` events of one query, or of all queries if `query_id` is `None`, as one line per
    /// event, earliest first.
    pub fn lines(&self, query_id: Option<u64>, count: usize) -> Vec<String> {
        let ring = self.entries.borrow();
        let (later, earlier) = ring.entries.split_at(ring.next);
        let entries = earlier.iter().chain(later);
        let wanted = entries.filter(|entry| query_id.is_none_or(|id| id == entry.query_id));
        let lines: Vec<String> = wanted.map(Entry::to_string).collect();
        lines[lines.len().saturating_sub(count)..].to_vec()
    }
}

#[cfg(test)]
mod tests;
