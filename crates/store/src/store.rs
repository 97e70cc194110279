//! The store: appends to the write-ahead log, syncs it, and replaces it with a snapshot at a checkpoint.

use crate::config::{Config, SyncPolicy};
use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{self, FileKind, LogPosition};
use crate::recovery::{list_files, recover, RecoveryReport};
use std::io;

/// Name of a snapshot while it is written. The file is renamed once it is synced.
const TEMPORARY_NAME: &str = "new-snapshot";
/// Buffer size for writing a snapshot (bytes): buffered frames are written once they reach it.
const SNAPSHOT_CHUNK_BYTES: usize = format::MAX_RECORD_BYTES;

/// A write-ahead log with snapshots on a disk.
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    config: Config,
    /// Number of the log for appends; `None` if the next record starts a new log.
    active_log: Option<u64>,
    /// Number of the next file. Numbers are never reused.
    next_number: u64,
    /// The end of the last valid file, which the next log continues.
    tail: LogPosition,
    /// Total size of the logs since the snapshot (bytes).
    log_bytes: u64,
    has_unsynced_records: bool,
    last_sync_ms: f64,
    last_failure: Option<Failure>,
    /// Whether writes are rejected because a file has a newer format version.
    is_read_only: bool,
}

#[derive(Debug)]
struct Failure {
    error: StoreError,
    at_ms: f64,
}

/// An opened store.
#[derive(Debug)]
pub struct Opened<D: Disk> {
    /// The store, ready for appends.
    pub store: Store<D>,
    /// The recovered records in the order in which they were appended.
    pub records: Vec<Vec<u8>>,
    /// The result of recovery.
    pub report: RecoveryReport,
}

impl<D: Disk> Store<D> {
    /// Recovers the records on `disk`, without writing to it. Corruption is not an error, but part of the report: the
    /// store accepts appends in any case, unless a file has a newer format version.
    pub fn open(disk: D, config: Config) -> Opened<D> {
        let recovered = recover(&disk, config.max_file_bytes());
        let store = Store {
            disk,
            config,
            active_log: None,
            next_number: recovered.next_number,
            tail: recovered.tail,
            log_bytes: recovered.log_bytes,
            has_unsynced_records: false,
            last_sync_ms: f64::NEG_INFINITY,
            last_failure: None,
            is_read_only: matches!(recovered.report, RecoveryReport::NewerVersion { .. }),
        };
        Opened {
            store,
            records: recovered.records,
            report: recovered.report,
        }
    }

    /// Returns the error of the last write, if it failed.
    pub fn last_error(&self) -> Option<&StoreError> {
        self.last_failure.as_ref().map(|failure| &failure.error)
    }

    /// Returns the total size of the logs since the last snapshot (bytes).
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns whether [`checkpoint`](Self::checkpoint) should be called.
    pub fn needs_checkpoint(&self) -> bool {
        self.log_bytes > self.config.max_log_bytes()
    }

    /// Closes the store and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Appends a record, and syncs it under [`SyncPolicy::EveryRecord`].
    ///
    /// # Errors
    /// The record was not written, or may not be synced. The store stays usable: after a disk error, appends return
    /// that error until `retry_after_ms` has passed.
    pub fn append(&mut self, record: &[u8], now_ms: f64) -> Result<(), StoreError> {
        self.check_append(record, now_ms)?;
        if let Err(error) = self.write_record(record) {
            return Err(self.record_failure(&error, now_ms));
        }
        self.last_failure = None;
        self.has_unsynced_records = true;
        match self.config.sync_policy() {
            SyncPolicy::EveryRecord => self.sync(now_ms),
            SyncPolicy::Interval { .. } | SyncPolicy::Never => Ok(()),
        }
    }

    fn check_append(&self, record: &[u8], now_ms: f64) -> Result<(), StoreError> {
        if self.is_read_only {
            return Err(StoreError::NewerVersion);
        }
        if record.len() > format::MAX_RECORD_BYTES {
            return Err(StoreError::RecordTooLong {
                length: record.len(),
            });
        }
        if self.log_bytes > self.config.hard_limit_bytes() {
            return Err(StoreError::LogFull);
        }
        match &self.last_failure {
            Some(failure) if now_ms - failure.at_ms < self.config.retry_after_ms() => {
                Err(failure.error.clone())
            }
            _ => Ok(()),
        }
    }

    fn write_record(&mut self, record: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::new();
        let number = match self.active_log {
            Some(number) => number,
            None => {
                let number = self.take_number();
                bytes = format::encode_header(FileKind::Log, number, self.tail);
                number
            }
        };
        bytes.extend_from_slice(&format::encode_frame(record));
        self.disk
            .append(&format::file_name(FileKind::Log, number), &bytes)?;
        let bytes_before = if self.active_log == Some(number) {
            self.tail.valid_bytes
        } else {
            0
        };
        self.active_log = Some(number);
        self.tail = LogPosition {
            file_number: number,
            valid_bytes: bytes_before + bytes.len() as u64,
        };
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Returns the next file number. A number is not reused, even if its file cannot be created.
    fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    fn sync(&mut self, now_ms: f64) -> Result<(), StoreError> {
        let Some(number) = self.active_log.filter(|_| self.has_unsynced_records) else {
            return Ok(());
        };
        match self.disk.sync(&format::file_name(FileKind::Log, number)) {
            Ok(()) => {
                self.has_unsynced_records = false;
                self.last_sync_ms = now_ms;
                Ok(())
            }
            // After a failed sync, the content on the disk is unknown.
            Err(error) => Err(self.record_failure(&error, now_ms)),
        }
    }

    fn record_failure(&mut self, error: &io::Error, now_ms: f64) -> StoreError {
        // The content of the active log on the disk is unknown: the next record starts a new log.
        self.active_log = None;
        let error = StoreError::Disk(error.to_string());
        self.last_failure = Some(Failure {
            error: error.clone(),
            at_ms: now_ms,
        });
        error
    }

    /// Syncs the log if the interval of [`SyncPolicy::Interval`] has passed.
    ///
    /// # Errors
    /// [`StoreError::Disk`] if the sync failed.
    pub fn poll(&mut self, now_ms: f64) -> Result<(), StoreError> {
        match self.config.sync_policy() {
            SyncPolicy::Interval { interval_ms } if now_ms - self.last_sync_ms >= interval_ms => {
                self.sync(now_ms)
            }
            _ => Ok(()),
        }
    }

    /// Replaces all records with a snapshot of `records`. The old files are removed only after the snapshot is durable.
    /// Records longer than [`format::MAX_RECORD_BYTES`] are skipped.
    ///
    /// # Errors
    /// [`StoreError::Disk`] if the snapshot was not written, [`StoreError::NewerVersion`] if the store is read-only.
    /// The old files are unchanged.
    pub fn checkpoint<'a>(
        &mut self,
        records: impl Iterator<Item = &'a [u8]>,
        now_ms: f64,
    ) -> Result<(), StoreError> {
        if self.is_read_only {
            return Err(StoreError::NewerVersion);
        }
        let number = self.take_number();
        if let Err(error) = self.write_snapshot(number, records) {
            return Err(self.record_failure(&error, now_ms));
        }
        self.active_log = None;
        self.log_bytes = 0;
        self.has_unsynced_records = false;
        self.last_failure = None;
        self.tail = LogPosition {
            file_number: number,
            valid_bytes: 0,
        };
        self.remove_files_before(number);
        Ok(())
    }

    fn write_snapshot<'a>(
        &mut self,
        number: u64,
        records: impl Iterator<Item = &'a [u8]>,
    ) -> io::Result<()> {
        // Removes the remains of a failed checkpoint.
        let _ = self.disk.remove(TEMPORARY_NAME);
        let header = format::encode_header(FileKind::Snapshot, number, LogPosition::START);
        self.disk.append(TEMPORARY_NAME, &header)?;
        let mut record_count = 0;
        let mut chunk = Vec::new();
        for record in records {
            if record.len() > format::MAX_RECORD_BYTES {
                continue;
            }
            chunk.extend_from_slice(&format::encode_frame(record));
            record_count += 1;
            if chunk.len() >= SNAPSHOT_CHUNK_BYTES {
                self.disk.append(TEMPORARY_NAME, &chunk)?;
                chunk.clear();
            }
        }
        chunk.extend_from_slice(&format::encode_trailer(record_count));
        self.disk.append(TEMPORARY_NAME, &chunk)?;
        self.disk.sync(TEMPORARY_NAME)?;
        self.disk.rename(
            TEMPORARY_NAME,
            &format::file_name(FileKind::Snapshot, number),
        )
    }

    /// Removes the files that a snapshot has replaced. Recovery ignores those that could not be removed.
    fn remove_files_before(&mut self, snapshot_number: u64) {
        let Ok(files) = list_files(&self.disk) else {
            return;
        };
        for file in files {
            if file.number < snapshot_number {
                let _ = self.disk.remove(&file.name);
            }
        }
    }
}
