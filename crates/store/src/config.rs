//! Settings of a store, validated by the constructor.

use crate::error::StoreError;

/// The policy by which appended records are synced to disk.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SyncPolicy {
    /// Syncs after each record.
    EveryRecord,
    /// Syncs periodically, in [`Store::poll`](crate::Store::poll). A crash of the machine may lose the records appended
    /// since the last sync.
    Interval {
        /// Minimum time between two syncs (ms), greater than 0.
        interval_ms: f64,
    },
    /// Does not sync appended records. A crash of the machine may lose all records since the last checkpoint.
    Never,
}

/// Settings of a store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    sync_policy: SyncPolicy,
    max_log_bytes: u64,
    retry_after_ms: f64,
}

/// Default interval between two syncs (ms).
const DEFAULT_SYNC_INTERVAL_MS: f64 = 1000.0;
/// Default total size of the logs beyond which a checkpoint is due (bytes).
const DEFAULT_MAX_LOG_BYTES: u64 = 4 << 20;
/// Default time after a disk error for which appends fail without a write (ms).
const DEFAULT_RETRY_AFTER_MS: f64 = 30_000.0;
/// Total size of the logs beyond which appends are rejected, as a multiple of `max_log_bytes`.
const HARD_LIMIT_FACTOR: u64 = 2;
/// Length of a file beyond which recovery does not read it, as a multiple of `max_log_bytes`.
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
    /// Creates settings for a store that needs a checkpoint beyond `max_log_bytes` of logs, rejects appends beyond
    /// twice that size, and fails appends without a write for `retry_after_ms` after a disk error.
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

    /// Returns the policy by which appended records are synced.
    pub fn sync_policy(&self) -> SyncPolicy {
        self.sync_policy
    }

    /// Returns the total size of the logs beyond which a checkpoint is due (bytes).
    pub fn max_log_bytes(&self) -> u64 {
        self.max_log_bytes
    }

    /// Returns the time after a disk error for which appends fail without a write (ms).
    pub fn retry_after_ms(&self) -> f64 {
        self.retry_after_ms
    }

    /// Returns the total size of the logs beyond which appends are rejected (bytes).
    pub(crate) fn hard_limit_bytes(&self) -> u64 {
        HARD_LIMIT_FACTOR * self.max_log_bytes
    }

    /// Returns the length beyond which recovery does not read a file (bytes).
    pub(crate) fn max_file_bytes(&self) -> u64 {
        MAX_FILE_FACTOR * self.max_log_bytes
    }
}
