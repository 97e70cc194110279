//! The record of a run: what clients, engines and the name service observed, each entry with its time. It is all that the
//! checker knows of a run. Entries are written as JSON, whose keys must stay.

use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Instant;

/// What was observed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A client has sent its query's last byte.
    Asked {
        /// The query.
        id: String,
        /// The class by which the checker judges it.
        class: String,
        /// How long the client waits for an answer (ms).
        #[serde(rename = "wait")]
        max_wait_ms: f64,
        /// The ordering key; queries of one key run in their order.
        key: Option<String>,
    },
    /// A complete answer was received.
    Answered {
        /// The query.
        id: String,
        /// The HTTP status.
        status: u16,
        /// After which time the client may retry, where its query was rejected (ms).
        #[serde(rename = "retry_after")]
        retry_after_ms: Option<f64>,
    },
    /// The client left without waiting.
    Left {
        /// The query.
        id: String,
    },
    /// An attempt was received completely by an engine.
    Arrived {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// The query's work on one core, as the engine knows it (ms).
        #[serde(rename = "work")]
        work_ms: f64,
    },
    /// The time limit that an engine was given with an attempt.
    Told {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// How long the dispatcher will wait (ms).
        #[serde(rename = "limit")]
        limit_ms: f64,
    },
    /// The client's connection ended without an answer, and no exclusion covers it.
    Lost {
        /// The query.
        id: String,
        /// How it ended, for people.
        how: String,
    },
    /// An answer has other rows than the result of its query.
    WrongRows {
        /// The query.
        id: String,
        /// The beginning of the answer, for people.
        rows: String,
    },
    /// No answer is owed: the query's dispatcher was killed, or the query was sent to another one instead.
    #[serde(rename = "excused")]
    Excluded {
        /// The query.
        id: String,
    },
    /// A dispatcher's process was stopped by a signal, up to now.
    Stalled {
        /// Its name.
        dispatcher: String,
        /// From when (ms).
        #[serde(rename = "from")]
        from_ms: f64,
    },
    /// A dispatcher did not start, end or become ready as required.
    DispatcherFailed {
        /// Its name.
        dispatcher: String,
        /// What happened, for people.
        how: String,
    },
    /// An attempt's effect was applied.
    Applied {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
    },
    /// The engine wrote an attempt's end.
    Ended {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// The reply of the engine's protocol with which it ended.
        #[serde(rename = "word")]
        reply: String,
        /// Whether the attempt may have run.
        ran: bool,
    },
    /// An attempt was cancelled, or its connection ended.
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
        /// The zone that it is in.
        #[serde(rename = "hall")]
        zone: String,
        /// The kind of machine.
        kind: String,
        /// The cell that it is in.
        cell: u32,
    },
    /// An engine started, and warms up.
    Started {
        /// The engine.
        engine: String,
        /// Its cores.
        cores: f64,
    },
    /// A fault was injected or ended.
    Fault {
        /// The engine.
        engine: String,
        /// The fault, for people.
        fault: String,
    },
}

/// An engine's status as the name service announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// It takes queries.
    Ready,
    /// It takes no new queries.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// An entry of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the start of the record.
    #[serde(rename = "at")]
    pub at_ms: f64,
    /// What was observed.
    #[serde(flatten)]
    pub event: EventKind,
}

/// A record that threads write to.
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

    /// Adds an event that happens now.
    pub fn push(&self, event: EventKind) {
        self.push_at(self.now_ms(), event);
    }

    /// Adds an event that happened at an earlier time.
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
