//! Recovery: replays the newest complete snapshot, then the chain of logs that continue it.

use crate::config::Config;
use crate::disk::Disk;
use crate::format::{self, DecodedFile, FileKind, FormatError, LogPosition};
use std::io;

/// The result of recovery.
#[derive(Debug, Clone, PartialEq)]
pub enum RecoveryReport {
    /// The directory contains no file of the store.
    Empty,
    /// All records were recovered.
    Complete {
        /// Number of recovered records.
        records: usize,
    },
    /// An error was found. The records that could be replayed in sequence were recovered.
    Partial {
        /// Number of recovered records.
        records: usize,
        /// Name of the file with the error.
        file: String,
        /// The error in the file.
        error: FormatError,
    },
    /// No record could be recovered.
    Lost {
        /// Name of the file with the error.
        file: String,
        /// The error in the file.
        error: FormatError,
    },
    /// The directory contains files of a newer format version: nothing was recovered, and the store is read-only.
    NewerVersion {
        /// Name of a file of the newer version.
        file: String,
        /// Format version of the file.
        version: u16,
    },
    /// The directory cannot be read.
    Unreadable {
        /// The error returned by the disk.
        reason: String,
    },
}

/// Returns the report that [`Store::open`](crate::Store::open) would give, without opening a store.
pub fn verify<D: Disk>(disk: &D, config: &Config) -> RecoveryReport {
    recover(disk, config.max_file_bytes()).report
}

/// A file of the store, by its name.
pub(crate) struct StoreFile {
    pub kind: FileKind,
    pub number: u64,
    pub name: String,
}

/// Returns the snapshots and logs of a disk, in the order of their numbers.
pub(crate) fn list_files<D: Disk>(disk: &D) -> io::Result<Vec<StoreFile>> {
    let mut files = Vec::new();
    for name in disk.list()? {
        if let Some((kind, number)) = format::parse_file_name(&name) {
            files.push(StoreFile { kind, number, name });
        }
    }
    files.sort_by_key(|file| file.number);
    Ok(files)
}

/// The recovered records, and the position at which writing continues.
pub(crate) struct Recovered {
    pub records: Vec<Vec<u8>>,
    pub report: RecoveryReport,
    /// Number of the next file: greater than that of any existing file.
    pub next_number: u64,
    /// Total size of the replayed logs (bytes).
    pub log_bytes: u64,
    /// The end of the last replayed file.
    pub tail: LogPosition,
}

impl Recovered {
    fn without_records(report: RecoveryReport, next_number: u64) -> Self {
        Recovered {
            records: Vec::new(),
            report,
            next_number,
            log_bytes: 0,
            tail: LogPosition::START,
        }
    }
}

struct Log {
    number: u64,
    name: String,
    content: DecodedFile,
}

struct Snapshot {
    number: u64,
    records: Vec<Vec<u8>>,
}

struct FileError {
    file: String,
    error: FormatError,
}

/// The decoded files, before the logs are put in sequence.
#[derive(Default)]
struct Scan {
    /// The newest complete snapshot.
    snapshot: Option<Snapshot>,
    /// Logs with a valid header, in the order of their numbers.
    logs: Vec<Log>,
    /// The error to report: that of the last invalid snapshot, otherwise that of the first log with an invalid header.
    error: Option<FileError>,
}

/// Recovers all valid records. Files longer than `max_file_bytes` are not read and count as truncated.
pub(crate) fn recover<D: Disk>(disk: &D, max_file_bytes: u64) -> Recovered {
    let files = match list_files(disk) {
        Ok(files) => files,
        Err(error) => {
            let reason = error.to_string();
            return Recovered::without_records(RecoveryReport::Unreadable { reason }, 1);
        }
    };
    let Some(newest) = files.last() else {
        return Recovered::without_records(RecoveryReport::Empty, 1);
    };
    let next_number = newest.number + 1;
    match scan(disk, files, max_file_bytes) {
        Ok(scan) => replay(scan, next_number),
        Err(newer_version) => Recovered::without_records(newer_version, next_number),
    }
}

/// Decodes all files. Returns the recovery report as `Err` if a file has a newer format version.
fn scan<D: Disk>(
    disk: &D,
    files: Vec<StoreFile>,
    max_file_bytes: u64,
) -> Result<Scan, RecoveryReport> {
    let mut scan = Scan::default();
    for StoreFile { kind, number, name } in files {
        let content = read_file(disk, kind, number, &name, max_file_bytes);
        match (kind, content.error) {
            (_, Some(FormatError::NewerVersion(version))) => {
                return Err(RecoveryReport::NewerVersion {
                    file: name,
                    version,
                });
            }
            (FileKind::Snapshot, None) => {
                let records = content.records;
                scan.snapshot = Some(Snapshot { number, records });
            }
            // An older snapshot, if any, is replayed with the logs that continue it: files are removed only after the
            // snapshot that replaces them is durable.
            (FileKind::Snapshot, Some(error)) => {
                scan.error = Some(FileError { file: name, error });
            }
            (FileKind::Log, Some(error)) if content.valid_bytes == 0 => {
                scan.error.get_or_insert(FileError { file: name, error });
            }
            (FileKind::Log, _) => scan.logs.push(Log {
                number,
                name,
                content,
            }),
        }
    }
    Ok(scan)
}

fn read_file<D: Disk>(
    disk: &D,
    kind: FileKind,
    number: u64,
    name: &str,
    max_file_bytes: u64,
) -> DecodedFile {
    match disk.read(name, max_file_bytes) {
        Ok(bytes) => format::decode_file(&bytes, kind, number),
        Err(_) => DecodedFile {
            predecessor: LogPosition::START,
            records: Vec::new(),
            valid_bytes: 0,
            error: Some(FormatError::Truncated),
        },
    }
}

/// Puts the snapshot and the logs in sequence, and collects their records.
fn replay(scan: Scan, next_number: u64) -> Recovered {
    let Scan {
        snapshot,
        logs,
        mut error,
    } = scan;
    let mut tail = LogPosition::START;
    let mut records = Vec::new();
    if let Some(snapshot) = snapshot {
        tail.file_number = snapshot.number;
        records = snapshot.records;
    }
    let mut log_bytes = 0;
    while let Some(log) = successor_of(tail, &logs) {
        if log.content.predecessor.valid_bytes > tail.valid_bytes {
            // The predecessor had more valid bytes when this log was created: the records in between are missing.
            error.get_or_insert_with(|| log.file_error(FormatError::ChecksumMismatch));
            break;
        }
        records.extend_from_slice(&log.content.records);
        tail = LogPosition {
            file_number: log.number,
            valid_bytes: log.content.valid_bytes as u64,
        };
        log_bytes += tail.valid_bytes;
        if let Some(format_error) = log.content.error {
            error.get_or_insert_with(|| log.file_error(format_error));
        }
    }
    if let Some(unreplayed) = logs.iter().find(|log| log.number > tail.file_number) {
        error.get_or_insert_with(|| unreplayed.file_error(FormatError::Foreign));
    }
    Recovered {
        report: report(records.len(), error),
        records,
        next_number,
        log_bytes,
        tail,
    }
}

/// Returns the log that continues the file of `tail`. If several do, the latest is used: it was created after a write
/// to the others had failed.
fn successor_of(tail: LogPosition, logs: &[Log]) -> Option<&Log> {
    logs.iter().rev().find(|log| {
        log.content.predecessor.file_number == tail.file_number && log.number > tail.file_number
    })
}

impl Log {
    fn file_error(&self, error: FormatError) -> FileError {
        FileError {
            file: self.name.clone(),
            error,
        }
    }
}

fn report(records: usize, error: Option<FileError>) -> RecoveryReport {
    match error {
        None => RecoveryReport::Complete { records },
        Some(FileError { file, error }) if records == 0 => RecoveryReport::Lost { file, error },
        Some(FileError { file, error }) => RecoveryReport::Partial {
            records,
            file,
            error,
        },
    }
}
