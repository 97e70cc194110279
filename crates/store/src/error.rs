//! Errors of a store.

/// An invalid setting of a store, or the reason why a record or snapshot was not written.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// A setting is outside its range.
    #[error("store setting {key} = {value}: expected {expected}")]
    InvalidConfig {
        /// Name of the setting.
        key: &'static str,
        /// The value that was given.
        value: String,
        /// The allowed values.
        expected: &'static str,
    },
    /// The disk is full or read-only, or a write failed otherwise. Appends fail without a write until `retry_after_ms`
    /// has passed.
    #[error("disk error: {0}")]
    Disk(String),
    /// The logs exceed twice `max_log_bytes`: a checkpoint is needed before the next append.
    #[error("the log is full: a checkpoint is needed before the next record")]
    LogFull,
    /// The directory contains files of a newer format version, so nothing is written to it.
    #[error("the store contains files of a newer format version and is read-only")]
    NewerVersion,
    /// The record is longer than [`format::MAX_RECORD_BYTES`](crate::format::MAX_RECORD_BYTES).
    #[error("a record of {length} bytes is too long: at most {max} are allowed", max = crate::format::MAX_RECORD_BYTES)]
    RecordTooLong {
        /// Length of the record (bytes).
        length: usize,
    },
}
