//! The record of a run: the events that clients, engines and the name service observed, with their times. The checker
//! has no other information about a run. Entries are written as JSON, whose keys must not change.

use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Instant;

/// An observed event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A client sent its query.
    Asked {
        /// The query.
        id: String,
        /// The class whose rules the checker applies.
        class: String,
        /// Maximum time that the client waits for an answer (ms).
        #[serde(rename = "wait")]
        max_wait_ms: f64,
        /// The ordering key; queries with the same key run in order.
        key: Option<String>,
    },
    /// A client received a complete answer.
    Answered {
        /// The query.
        id: String,
        /// The HTTP status.
        status: u16,
        /// Time after which the client may retry a rejected query (ms).
        #[serde(rename = "retry_after")]
        retry_after_ms: Option<f64>,
    },
    /// A client closed its connection without waiting for an answer.
    Left {
        /// The query.
        id: String,
    },
    /// An engine received an attempt completely.
    Arrived {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// The query's work on one core, as registered for the engines (ms).
        #[serde(rename = "work")]
        work_ms: f64,
    },
    /// An engine received a time limit with an attempt.
    Told {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// Time for which the dispatcher will wait (ms).
        #[serde(rename = "limit")]
        limit_ms: f64,
    },
    /// A query got no answer, because its connection closed or its client's wait timed out, and is not excluded.
    Lost {
        /// The query.
        id: String,
        /// Readable description of the loss.
        how: String,
    },
    /// An answer's rows differ from the result of its query.
    WrongRows {
        /// The query.
        id: String,
        /// The beginning of the answer, as readable text.
        rows: String,
    },
    /// No answer is required: the query's dispatcher was killed, or it closed the connection without reading the query,
    /// which a client would then send elsewhere.
    #[serde(rename = "excused")]
    Excluded {
        /// The query.
        id: String,
    },
    /// A dispatcher's process was stopped by a signal; recorded when the stop is over.
    Stalled {
        /// Name of the dispatcher.
        dispatcher: String,
        /// Beginning of the stop (ms).
        #[serde(rename = "from")]
        from_ms: f64,
    },
    /// A dispatcher did not become ready or exit as required, or logged a violated invariant or a panic.
    DispatcherFailed {
        /// Name of the dispatcher.
        dispatcher: String,
        /// Readable description of the failure.
        how: String,
    },
    /// An attempt's effect was applied.
    Applied {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
    },
    /// An engine completed, failed or rejected an attempt.
    Ended {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// The final reply, as its word in the engine protocol.
        #[serde(rename = "word")]
        reply: String,
        /// Whether the attempt may have run.
        ran: bool,
    },
    /// An attempt ended without a reply: it was cancelled, exceeded its limit, or its connection closed.
    GivenUp {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
    },
    /// The name service announced an engine.
    Listed {
        /// The engine.
        engine: String,
        /// Ready, draining or gone.
        status: Status,
        /// The engine's zone.
        #[serde(rename = "hall")]
        zone: String,
        /// The machine type.
        kind: String,
        /// The engine's cell.
        cell: u32,
    },
    /// An engine started and begins to warm up.
    Started {
        /// The engine.
        engine: String,
        /// Its cores.
        cores: f64,
    },
    /// A fault was injected or removed.
    Fault {
        /// The engine; empty for a fault that a soak's plan injects.
        engine: String,
        /// Readable description of the fault.
        fault: String,
    },
}

/// Status of an engine, as announced by the name service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The engine accepts queries.
    Ready,
    /// The engine accepts no new queries.
    Draining,
    /// The engine is no longer listed.
    Gone,
}

/// An entry of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the start of the record.
    #[serde(rename = "at")]
    pub at_ms: f64,
    /// The observed event.
    #[serde(flatten)]
    pub event: EventKind,
}

/// A record to which several threads can add events.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            started: Instant::now(),
            entries: Mutex::default(),
        }
    }
}

impl Record {
    /// Milliseconds since the start of the record.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Adds an event at the current time.
    pub fn push(&self, event: EventKind) {
        self.push_at(self.now_ms(), event);
    }

    /// Adds an event that was observed at an earlier time.
    pub fn push_at(&self, at_ms: f64, event: EventKind) {
        self.entries
            .lock()
            .expect("no writer panics")
            .push(Entry { at_ms, event });
    }

    /// A copy of all entries, in the order of their times.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock().expect("no writer panics").clone();
        entries.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        entries
    }
}
