//! The record of a run: what clients, engines and the name service observed, each with its time. The checker knows
//! nothing else of a run. Entries are written as JSON, whose keys must stay.

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
        /// How long the client waits for an answer.
        #[serde(rename = "wait")]
        max_wait_ms: f64,
        /// Queries of one key run in their order.
        key: Option<String>,
    },
    /// A whole answer came.
    Answered {
        /// The query.
        id: String,
        /// The HTTP status.
        status: u16,
        /// When the client may come back, where it was rejected.
        #[serde(rename = "retry_after")]
        retry_after_ms: Option<f64>,
    },
    /// The client left without waiting.
    Left {
        /// The query.
        id: String,
    },
    /// An attempt came whole to an engine.
    Arrived {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// Its work on one core, as far as the engine knows.
        #[serde(rename = "work")]
        work_ms: f64,
    },
    /// What an attempt that arrived was told of its client's time.
    Told {
        /// The engine.
        engine: String,
        /// The query.
        id: String,
        /// How long the dispatcher says it will wait.
        #[serde(rename = "limit")]
        limit_ms: f64,
    },
    /// The client's connection ended without an answer, and nothing excuses it.
    Lost {
        /// The query.
        id: String,
        /// How it ended, for people.
        how: String,
    },
    /// No answer is owed: its dispatcher was killed, or another one was asked in its place.
    Excused {
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
    /// A dispatcher did not start, end or get ready as it has to.
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
        /// The word of the engine's protocol that it ended with.
        #[serde(rename = "word")]
        reply: String,
        /// Whether it may have run.
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
    /// It is listed no more.
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

    /// Adds what happens now.
    pub fn push(&self, event: EventKind) {
        self.push_at(self.now_ms(), event);
    }

    /// Adds what happened before it could be written down.
    pub fn push_at(&self, at_ms: f64, event: EventKind) {
        self.entries
            .lock()
            .expect("no writer panics")
            .push(Entry { at_ms, event });
    }

    /// All entries so far, in the order of their times.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock().expect("no writer panics").clone();
        entries.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        entries
    }
}
