//! The load of an engine: this dispatcher's attempts in flight, peers' low-lane threads, and table locks.

use crate::model::{Attempt, Lane, LONG_AGO};

/// A lock that a load query holds on a set of tables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TableLock {
    /// The set of tables, as a number.
    pub(crate) tables: u32,
    /// Until when the tables are assumed to be locked (ms).
    pub(crate) until_ms: f64,
}

/// The load of an engine, as one dispatcher knows it.
#[derive(Debug, Clone)]
pub(crate) struct EngineLoad {
    /// Number of this dispatcher's attempts in flight.
    attempts: u32,
    /// Estimated work of these attempts (ms).
    work_ms: f64,
    /// Estimated memory of these attempts (MB).
    memory_mb: f64,
    /// Number of this dispatcher's low-lane attempts in flight.
    low_attempts: u32,
    /// Threads of these low-lane attempts.
    low_threads: f64,
    /// Low-lane threads of other dispatchers, as last reported.
    peer_threads: f64,
    /// Since when at least one attempt has been in flight (ms).
    busy_since_ms: f64,
    locks: Vec<TableLock>,
}

impl Default for EngineLoad {
    fn default() -> Self {
        EngineLoad {
            attempts: 0,
            work_ms: 0.0,
            memory_mb: 0.0,
            low_attempts: 0,
            low_threads: 0.0,
            peer_threads: 0.0,
            busy_since_ms: LONG_AGO,
            locks: Vec::new(),
        }
    }
}

impl EngineLoad {
    /// Adds an attempt and the lock that it takes. Removes locks that have expired.
    pub(crate) fn add(
        &mut self,
        attempt: &Attempt,
        lane: Lane,
        threads: f64,
        lock: Option<TableLock>,
    ) {
        self.locks.retain(|lock| lock.until_ms > attempt.sent_ms);
        self.locks.extend(lock);
        if self.attempts == 0 {
            self.busy_since_ms = attempt.sent_ms;
        }
        self.attempts += 1;
        self.work_ms += attempt.work_ms;
        self.memory_mb += attempt.memory_mb;
        if lane == Lane::Low {
            self.low_attempts += 1;
            self.low_threads += threads;
        }
    }

    /// Removes an attempt and its lock. Removing the last attempt sets the sums to 0, so that no rounding
    /// error remains.
    pub(crate) fn remove(
        &mut self,
        attempt: &Attempt,
        lane: Lane,
        threads: f64,
        locked_tables: Option<u32>,
    ) {
        self.unlock(locked_tables);
        self.attempts = self.attempts.saturating_sub(1);
        if self.attempts == 0 {
            self.work_ms = 0.0;
            self.memory_mb = 0.0;
        } else {
            self.work_ms -= attempt.work_ms;
            self.memory_mb -= attempt.memory_mb;
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

    /// Adds a lock.
    pub(crate) fn lock(&mut self, lock: TableLock) {
        self.locks.push(lock);
    }

    fn unlock(&mut self, tables: Option<u32>) {
        let is_of_tables = |lock: &TableLock| tables == Some(lock.tables);
        if let Some(index) = self.locks.iter().position(is_of_tables) {
            self.locks.swap_remove(index);
        }
    }

    /// Number of this dispatcher's attempts in flight.
    #[cfg(test)]
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Estimated work of the attempts (ms).
    pub(crate) fn work_ms(&self) -> f64 {
        self.work_ms
    }

    /// Estimated memory of the attempts (MB).
    pub(crate) fn memory_mb(&self) -> f64 {
        self.memory_mb
    }

    /// Since when at least one attempt has been in flight (ms); `None` if no attempt is in flight.
    pub(crate) fn busy_since_ms(&self) -> Option<f64> {
        (self.attempts > 0).then_some(self.busy_since_ms)
    }

    /// Number of this dispatcher's low-lane attempts in flight.
    pub(crate) fn low_attempts(&self) -> u32 {
        self.low_attempts
    }

    /// Threads of the low-lane attempts.
    pub(crate) fn low_threads(&self) -> f64 {
        self.low_threads
    }

    /// Number of threads of this dispatcher's attempts; an attempt of the fast lane counts as one thread.
    pub(crate) fn threads(&self) -> f64 {
        self.low_threads + (self.attempts - self.low_attempts) as f64
    }

    /// Low-lane threads of other dispatchers, as last reported.
    pub(crate) fn peer_threads(&self) -> f64 {
        self.peer_threads
    }

    /// Sets the number of low-lane threads of other dispatchers.
    pub(crate) fn set_peer_threads(&mut self, threads: f64) {
        self.peer_threads = threads;
    }

    /// Low-lane threads of this dispatcher and, as last reported, of other dispatchers.
    pub(crate) fn known_low_threads(&self) -> f64 {
        self.low_threads + self.peer_threads
    }

    /// Whether neither this dispatcher nor, as last reported, any other has low-lane attempts on the engine.
    pub(crate) fn has_no_low_attempts(&self) -> bool {
        self.low_attempts == 0 && self.peer_threads <= 0.0
    }

    /// Whether these tables are assumed to be locked by a load query.
    pub(crate) fn has_lock(&self, tables: u32, now_ms: f64) -> bool {
        let mut locks = self.locks.iter();
        locks.any(|lock| lock.tables == tables && lock.until_ms > now_ms)
    }

    /// Whether no lock is recorded.
    #[cfg(test)]
    pub(crate) fn has_no_locks(&self) -> bool {
        self.locks.is_empty()
    }

    /// Sets the estimated work (ms).
    #[cfg(test)]
    pub(crate) fn set_work_ms(&mut self, work_ms: f64) {
        self.work_ms = work_ms;
    }

    /// Sets the estimated memory (MB).
    #[cfg(test)]
    pub(crate) fn set_memory_mb(&mut self, memory_mb: f64) {
        self.memory_mb = memory_mb;
    }

    /// Sets the number of low-lane attempts.
    #[cfg(test)]
    pub(crate) fn set_low_attempts(&mut self, attempts: u32) {
        self.low_attempts = attempts;
    }

    /// Sets the number of threads of the low-lane attempts.
    #[cfg(test)]
    pub(crate) fn set_low_threads(&mut self, threads: f64) {
        self.low_threads = threads;
    }
}
