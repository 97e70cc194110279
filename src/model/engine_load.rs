//! What is in flight on an engine, and how much of the low lane may be.

use crate::model::{Attempt, Lane, LONG_AGO};

/// What is in flight on an engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineLoad {
    /// Attempts from here, their work (ms) and their memory (MB).
    pub(crate) attempts: u32,
    pub(crate) work_ms: f64,
    pub(crate) granted_mb: f64,
    /// Those of the low lane, and their threads.
    pub(crate) low_attempts: u32,
    pub(crate) low_threads: f64,
    /// Low threads of other dispatchers, as last reported.
    pub(crate) peer_threads: f64,
    /// Since when there has been an attempt without a break.
    pub(crate) busy_since_ms: f64,
    /// Sets of tables that a load locks, and until when that is assumed.
    pub(crate) locked_tables: Vec<(u32, f64)>,
}

impl Default for EngineLoad {
    fn default() -> Self {
        EngineLoad {
            attempts: 0,
            work_ms: 0.0,
            granted_mb: 0.0,
            low_attempts: 0,
            low_threads: 0.0,
            peer_threads: 0.0,
            busy_since_ms: LONG_AGO,
            locked_tables: Vec::new(),
        }
    }
}

impl EngineLoad {
    /// Counts an attempt. `locked`: the set of tables that it locks, and until when at most.
    pub(crate) fn add(
        &mut self,
        attempt: &Attempt,
        lane: Lane,
        threads: f64,
        locked: Option<(u32, f64)>,
    ) {
        self.locked_tables
            .retain(|&(_, until_ms)| until_ms > attempt.sent_ms);
        self.locked_tables.extend(locked);
        if self.attempts == 0 {
            self.busy_since_ms = attempt.sent_ms;
        }
        self.attempts += 1;
        self.work_ms += attempt.work_ms;
        self.granted_mb += attempt.memory_mb;
        if lane == Lane::Low {
            self.low_attempts += 1;
            self.low_threads += threads;
        }
    }

    /// Takes an ended attempt out. Sums are set to 0 with the last one, so that no rounding is left.
    pub(crate) fn remove(
        &mut self,
        attempt: &Attempt,
        lane: Lane,
        threads: f64,
        locked: Option<u32>,
    ) {
        self.unlock(locked);
        self.attempts = self.attempts.saturating_sub(1);
        if self.attempts == 0 {
            self.work_ms = 0.0;
            self.granted_mb = 0.0;
        } else {
            self.work_ms -= attempt.work_ms;
            self.granted_mb -= attempt.memory_mb;
        }
        if lane == Lane::Fast {
            return;
        }
        self.low_attempts = self.low_attempts.saturating_sub(1);
        if self.low_attempts == 0 {
            self.low_threads = 0.0;
        } else {
            self.low_threads -= threads;
        }
    }

    fn unlock(&mut self, locked: Option<u32>) {
        let entry = self
            .locked_tables
            .iter()
            .position(|&(tables, _)| locked == Some(tables));
        if let Some(entry) = entry {
            self.locked_tables.swap_remove(entry);
        }
    }

    /// Whether no low attempt is known there, of this dispatcher or of others.
    pub(crate) fn has_no_low(&self) -> bool {
        self.low_attempts == 0 && self.peer_threads <= 0.0
    }

    /// Whether a load is assumed to lock these tables.
    pub(crate) fn has_lock(&self, tables: u32, now_ms: f64) -> bool {
        let mut locks = self.locked_tables.iter();
        locks.any(|&(locked, until_ms)| locked == tables && until_ms > now_ms)
    }
}

/// The concurrency limit of the low lane, and the concurrency estimate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaneLimit {
    /// Low threads a core of this dispatcher's share.
    pub(crate) threads_per_core: f64,
    /// Low threads, of all dispatchers, above which the engine counts as under pressure.
    pub(crate) crowd_threads: f64,
    /// When the limit was last halved, and when the engine last refused an attempt as full (ms).
    pub(crate) halved_ms: f64,
    pub(crate) last_full_ms: f64,
}

impl Default for LaneLimit {
    fn default() -> Self {
        LaneLimit {
            threads_per_core: 0.0,
            crowd_threads: 0.0,
            halved_ms: LONG_AGO,
            last_full_ms: LONG_AGO,
        }
    }
}

impl LaneLimit {
    /// Raises the limit by one thread of this dispatcher's share, and the concurrency estimate by one thread.
    pub(crate) fn grow(
        &mut self,
        cores: f64,
        share: f64,
        max_threads_per_core: f64,
        max_crowd_per_core: f64,
    ) {
        let grown = self.threads_per_core + 1.0 / (cores * share);
        self.threads_per_core = grown.min(max_threads_per_core);
        self.crowd_threads = (self.crowd_threads + 1.0).min(max_crowd_per_core * cores);
    }

    /// Halves the limit, and sets the concurrency estimate.
    pub(crate) fn halve(&mut self, now_ms: f64, crowd_threads: f64) {
        self.halved_ms = now_ms;
        self.threads_per_core /= 2.0;
        self.crowd_threads = crowd_threads;
    }
}
