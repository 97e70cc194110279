//! The record of a run: what clients, engines and the list saw, each with its time. The checker knows nothing else.

use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A client has sent its query's last byte.
    Asked {
        id: String,
        class: String,
        wait: f64,
        key: Option<String>,
    },
    /// A whole answer came; status, and when to come back if it is deferred (ms).
    Answered {
        id: String,
        status: u16,
        retry_after: Option<f64>,
    },
    /// The client left without waiting.
    Left { id: String },
    /// An attempt came whole to an engine; its work (ms on one core), as far as the engine knows.
    Arrived {
        engine: String,
        id: String,
        work: f64,
    },
    /// Its effect was applied.
    Applied { engine: String, id: String },
    /// The engine wrote its end. `ran`: whether it may have run.
    Ended {
        engine: String,
        id: String,
        word: String,
        ran: bool,
    },
    /// It was given up by a word or by the end of its connection.
    GivenUp { engine: String, id: String },
    /// The list told of an engine: ready, draining or gone.
    Listed {
        engine: String,
        status: Status,
        #[serde(rename = "hall")]
        zone: String,
        kind: String,
        cell: u32,
    },
    /// An engine started, and is cold.
    Started { engine: String, cores: f64 },
    /// A fault was injected or ended.
    Fault { engine: String, fault: String },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

/// An entry: milliseconds since the start of the record, and what was seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: f64,
    #[serde(flatten)]
    pub what: EventKind,
}

/// A record that threads write to.
#[derive(Debug)]
pub struct Record {
    from: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            from: Instant::now(),
            entries: Mutex::default(),
        }
    }
}

impl Record {
    pub fn now(&self) -> f64 {
        self.from.elapsed().as_secs_f64() * 1000.0
    }

    pub fn push(&self, what: EventKind) {
        let at = self.now();
        self.push_at(at, what);
    }

    /// For what happened before it could be written down.
    pub fn push_at(&self, at: f64, what: EventKind) {
        self.entries
            .lock()
            .expect("no writer panics")
            .push(Entry { at, what });
    }

    /// All entries so far, in the order of their times.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock().expect("no writer panics").clone();
        entries.sort_by(|a, b| a.at.total_cmp(&b.at));
        entries
    }
}
