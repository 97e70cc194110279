//! Settings of a store, checked when they are made.

use crate::error::StoreError;

/// When appended records are synced to the disk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SyncPolicy {
    /// After each record.
    EveryRecord,
    /// At most this often (ms), by [`Store::poll`](crate::Store::poll). A crash of the machine loses what was appended
    /// since the last sync.
    Interval {
        /// Time between two syncs in ms, greater than 0.
        interval_ms: f64,
    },
    /// Never explicitly. A crash of the machine may lose all records since the last checkpoint.
    Never,
}

/// Settings of a store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    sync_policy: SyncPolicy,
    max_log_bytes: u64,
    retry_after_ms: f64,
}

/// Syncs once a second: engine state that is a second old is worth little more than none.
const DEFAULT_SYNC_INTERVAL_MS: f64 = 1000.0;
/// 4 MiB of logs hold several times the facts of the largest pool.
const DEFAULT_MAX_LOG_BYTES: u64 = 4 << 20;
/// A disk that failed is retried twice a minute.
const DEFAULT_RETRY_AFTER_MS: f64 = 30_000.0;
/// Appends are rejected beyond this many times `max_log_bytes`.
const HARD_LIMIT_FACTOR: u64 = 2;
/// A single file is not read if it is longer than this many times `max_log_bytes`.
const MAX_FILE_FACTOR: u64 = 4;

impl Default for Config {
    fn default() -> Self {
        Config {
            sync_policy: SyncPolicy::Interval {
                interval_ms: DEFAULT_SYNC_INTERVAL_MS,
            },
            max_log_bytes: DEFAULT_MAX_LOG_BYTES,
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        }
    }
}

impl Config {
    /// Settings for a store that asks for a checkpoint beyond `max_log_bytes` of logs, rejects appends beyond twice
    /// that, and retries a failed disk after `retry_after_ms`.
    ///
    /// # Errors
    /// [`StoreError::InvalidConfig`] for a sync interval that is not finite and positive, for `max_log_bytes` of 0, or
    /// for a `retry_after_ms` that is negative or not finite.
    pub fn new(
        sync_policy: SyncPolicy,
        max_log_bytes: u64,
        retry_after_ms: f64,
    ) -> Result<Self, StoreError> {
        if let SyncPolicy::Interval { interval_ms } = sync_policy {
            if !interval_ms.is_finite() || interval_ms <= 0.0 {
                return Err(StoreError::InvalidConfig {
                    key: "interval_ms",
                    value: interval_ms.to_string(),
                    expected: "a finite number of ms above 0",
                });
            }
        }
        if max_log_bytes == 0 {
            return Err(StoreError::InvalidConfig {
                key: "max_log_bytes",
                value: max_log_bytes.to_string(),
                expected: "at least 1 byte",
            });
        }
        if !retry_after_ms.is_finite() || retry_after_ms < 0.0 {
            return Err(StoreError::InvalidConfig {
                key: "retry_after_ms",
                value: retry_after_ms.to_string(),
                expected: "a finite number of ms, 0 or more",
            });
        }
        Ok(Config {
            sync_policy,
            max_log_bytes,
            retry_after_ms,
        })
    }

    /// When appended records are synced.
    pub fn sync_policy(&self) -> SyncPolicy {
        self.sync_policy
    }

    /// Bytes of logs beyond which a checkpoint is due.
    pub fn max_log_bytes(&self) -> u64 {
        self.max_log_bytes
    }

    /// Time (ms) after a disk error until appends are tried again.
    pub fn retry_after_ms(&self) -> f64 {
        self.retry_after_ms
    }

    /// Bytes of logs beyond which appends are rejected.
    pub(crate) fn hard_limit_bytes(&self) -> u64 {
        HARD_LIMIT_FACTOR * self.max_log_bytes
    }

    /// Length in bytes beyond which recovery does not read a file.
    pub(crate) fn max_file_bytes(&self) -> u64 {
        MAX_FILE_FACTOR * self.max_log_bytes
    }
}
