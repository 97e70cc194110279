//! Recovery after a crash at every operation of a scripted run, after torn and lost writes, and after corruption of
//! every byte; full and read-only disks.

#![allow(
    clippy::unwrap_used,
    reason = "tests panic on the first unexpected result"
)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;
use tansymux_store::format::{self, FileKind, FormatError, LogPosition};
use tansymux_store::{
    verify, Config, Directory, Disk, Opened, RecoveryReport, Store, StoreError, SyncPolicy,
};

/// A disk in memory that crashes at a chosen operation, and loses unsynced bytes at the restart.
#[derive(Debug, Clone, Default)]
struct FaultyDisk {
    /// Bytes of each file, and the number of synced bytes.
    files: BTreeMap<String, (Vec<u8>, usize)>,
    /// Number of operations before the crash, and the part of the write in progress that reaches the disk, in quarters;
    /// `None` for no crash.
    crash: Option<(usize, usize)>,
    /// Number of writing operations so far.
    operations: usize,
    crashed: bool,
    /// Capacity of the disk (bytes); `None` for no limit.
    capacity: Option<usize>,
    read_only: bool,
}

impl FaultyDisk {
    /// Counts a writing operation, and returns whether the disk crashes during it.
    fn begin_operation(&mut self) -> io::Result<bool> {
        if self.crashed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        self.operations += 1;
        let crashes = self.crash.is_some_and(|(at, _)| self.operations > at);
        self.crashed |= crashes;
        Ok(crashes)
    }

    /// Returns the disk after a restart of the machine, with `quarters_kept` quarters of the unsynced bytes.
    fn after_restart(mut self, quarters_kept: usize) -> Self {
        for (bytes, synced) in self.files.values_mut() {
            let kept = *synced + (bytes.len() - *synced) * quarters_kept / 4;
            bytes.truncate(kept);
            *synced = kept;
        }
        FaultyDisk {
            files: self.files,
            ..FaultyDisk::default()
        }
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let bytes = self
            .files
            .get(name)
            .map(|(bytes, _)| bytes.clone())
            .ok_or(io::ErrorKind::NotFound)?;
        if bytes.len() as u64 > max_bytes {
            Err(io::ErrorKind::InvalidData.into())
        } else {
            Ok(bytes)
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let crashes = self.begin_operation()?;
        let used: usize = self.files.values().map(|(bytes, _)| bytes.len()).sum();
        let headroom = self
            .capacity
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used));
        let attempted = if crashes {
            bytes.len() * self.crash.map_or(0, |(_, quarters)| quarters) / 4
        } else {
            bytes.len()
        };
        let written = attempted.min(headroom);
        self.files
            .entry(name.to_owned())
            .or_default()
            .0
            .extend_from_slice(&bytes[..written]);
        if crashes {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if written < bytes.len() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.begin_operation()? {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.1 = file.0.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.begin_operation()? {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let file = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.begin_operation()? {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Settings that sync each record, need a checkpoint beyond 4 KiB, and fail appends for 100 ms after a disk error.
fn sync_every_record() -> Config {
    config(SyncPolicy::EveryRecord)
}

fn config(sync_policy: SyncPolicy) -> Config {
    Config::new(sync_policy, 4096, 100.0).unwrap()
}

fn record(n: u32) -> Vec<u8> {
    format!("record {n} {}", "x".repeat(n as usize % 37)).into_bytes()
}

/// Appends twenty records, with checkpoints after the ninth and the fifteenth. Returns the disk and the records whose
/// append succeeded.
fn run_script(disk: FaultyDisk) -> (FaultyDisk, Vec<u32>) {
    let Opened { mut store, .. } = Store::open(disk, sync_every_record());
    let mut written: Vec<u32> = Vec::new();
    for n in 0..20 {
        if store.append(&record(n), f64::from(n)).is_ok() {
            written.push(n);
        }
        if n == 8 || n == 14 {
            let snapshot: Vec<Vec<u8>> = written.iter().map(|n| record(*n)).collect();
            let _ = store.checkpoint(snapshot.iter().map(Vec::as_slice), f64::from(n));
        }
    }
    (store.into_disk(), written)
}

#[test]
fn crash_at_any_operation_loses_no_synced_record_and_adds_none() {
    let (uninterrupted, _) = run_script(FaultyDisk::default());
    let (operations, mut cases) = (uninterrupted.operations, 0);
    for crash_at in 0..=operations {
        for torn in 0..=4 {
            for kept in 0..=4 {
                let disk = FaultyDisk {
                    crash: Some((crash_at, torn)),
                    ..FaultyDisk::default()
                };
                let (disk, written) = run_script(disk);
                let Opened {
                    records, report, ..
                } = Store::open(disk.after_restart(kept), sync_every_record());
                let expected: Vec<Vec<u8>> = (0..records.len() as u32).map(record).collect();
                assert_eq!(
                    records, expected,
                    "in order and without gaps: crash at {crash_at}, torn {torn}, kept {kept}"
                );
                assert!(
                    records.len() >= written.len(),
                    "crash at {crash_at}: {} of {}: {report:?}",
                    records.len(),
                    written.len()
                );
                // The record whose append was interrupted may be on the disk.
                assert!(records.len() <= written.len() + 1);
                cases += 1;
            }
        }
    }
    assert!(cases > 1000, "{cases}");
}

#[test]
fn records_appended_after_a_crash_survive_the_next_crash() {
    let (uninterrupted, _) = run_script(FaultyDisk::default());
    for crash_at in 0..=uninterrupted.operations {
        let (disk, _) = run_script(FaultyDisk {
            crash: Some((crash_at, 2)),
            ..FaultyDisk::default()
        });
        let Opened {
            mut store,
            records: before,
            ..
        } = Store::open(disk.after_restart(2), sync_every_record());
        let mut expected = before.clone();
        for n in 100..104 {
            store.append(&record(n), 0.0).unwrap();
            expected.push(record(n));
        }
        let Opened {
            records, report, ..
        } = Store::open(store.into_disk().after_restart(0), sync_every_record());
        assert_eq!(records, expected, "crash at {crash_at}: {report:?}");
    }
}

#[test]
fn corruption_of_any_byte_is_reported_and_later_records_are_not_replayed() {
    let (disk, _) = run_script(FaultyDisk::default());
    for (name, (bytes, _)) in disk.files.clone() {
        for offset in 0..bytes.len() {
            let mut corrupted = disk.clone();
            corrupted.files.get_mut(&name).unwrap().0[offset] ^= 0x40;
            let Opened {
                records, report, ..
            } = Store::open(corrupted, sync_every_record());
            assert!(
                !matches!(report, RecoveryReport::Complete { .. }),
                "{name} {offset}: {report:?}"
            );
            let expected: Vec<Vec<u8>> = (0..records.len() as u32).map(record).collect();
            assert_eq!(records, expected, "{name} {offset}");
        }
        // The file is truncated.
        for keep in [0, 1, format::HEADER_BYTES - 1, bytes.len() / 2] {
            let mut truncated = disk.clone();
            truncated.files.get_mut(&name).unwrap().0.truncate(keep);
            let Opened { records, .. } = Store::open(truncated, sync_every_record());
            assert!(
                records
                    .iter()
                    .zip(0..)
                    .all(|(found, n)| *found == record(n)),
                "{name} truncated at {keep}"
            );
        }
        // The file is missing.
        let mut incomplete = disk.clone();
        incomplete.files.remove(&name);
        let Opened { records, .. } = Store::open(incomplete, sync_every_record());
        let mut appended = (0..20).map(record);
        assert!(
            records
                .iter()
                .all(|found| appended.any(|record| record == *found)),
            "{name}"
        );
    }
}

#[test]
fn files_of_a_newer_version_are_neither_read_nor_changed() {
    let (mut disk, _) = run_script(FaultyDisk::default());
    let name = format::file_name(FileKind::Log, 999);
    let mut header = format::encode_header(FileKind::Log, 999, LogPosition::START);
    header[5] = 9;
    let checksum = crc32(&header[..format::HEADER_BYTES - 4]);
    header[format::HEADER_BYTES - 4..].copy_from_slice(&checksum.to_be_bytes());
    disk.files.insert(name.clone(), (header, 0));
    let before = disk.files.clone();
    let Opened {
        mut store,
        records,
        report,
    } = Store::open(disk, sync_every_record());
    assert_eq!(
        (records.len(), report),
        (
            0,
            RecoveryReport::NewerVersion {
                file: name,
                version: 9
            }
        )
    );
    assert_eq!(store.append(b"x", 0.0), Err(StoreError::NewerVersion));
    assert_eq!(
        store.checkpoint(std::iter::empty(), 0.0),
        Err(StoreError::NewerVersion)
    );
    assert_eq!(store.into_disk().files, before);
}

/// Returns the CRC-32 (ISO 3309), computed independently of the store.
fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0_u32, |mut crc, b| {
        crc ^= u32::from(*b);
        (0..8).for_each(|_| {
            crc = if crc & 1 == 1 {
                crc >> 1 ^ 0xEDB8_8320
            } else {
                crc >> 1
            }
        });
        crc
    })
}

#[test]
fn full_or_read_only_disk_rejects_appends_until_it_is_writable() {
    let Opened { mut store, .. } = Store::open(
        FaultyDisk {
            capacity: Some(300),
            ..FaultyDisk::default()
        },
        sync_every_record(),
    );
    let mut written = 0;
    for n in 0..40 {
        written += u32::from(store.append(&record(n), 0.0).is_ok());
    }
    assert!(written > 2 && written < 40 && matches!(store.last_error(), Some(StoreError::Disk(_))));
    // Space is available again.
    let mut disk = store.into_disk();
    disk.capacity = None;
    let Opened {
        mut store, records, ..
    } = Store::open(disk, sync_every_record());
    assert_eq!(records.len() as u32, written);
    assert!(store.append(&record(written), 0.0).is_ok());
    let Opened { records, .. } = Store::open(store.into_disk(), sync_every_record());
    assert_eq!(records, (0..=written).map(record).collect::<Vec<_>>());
    let Opened { mut store, .. } = Store::open(
        FaultyDisk {
            read_only: true,
            ..FaultyDisk::default()
        },
        sync_every_record(),
    );
    assert!(matches!(store.append(b"x", 0.0), Err(StoreError::Disk(_))));
    // A reopened store writes without waiting for `retry_after_ms`.
    let mut store = {
        let mut disk = store.into_disk();
        disk.read_only = false;
        Store::open(disk, sync_every_record()).store
    };
    assert!(store.append(b"x", 1.0).is_ok());
}

#[test]
fn log_size_is_bounded() {
    let Opened { mut store, .. } = Store::open(FaultyDisk::default(), sync_every_record());
    let mut rejected = 0;
    for n in 0..1000 {
        rejected += u32::from(store.append(&record(n), 0.0) == Err(StoreError::LogFull));
    }
    assert!(store.needs_checkpoint() && rejected > 0 && store.log_bytes() < 3 * 4096);
    store
        .checkpoint([b"all".as_slice()].into_iter(), 0.0)
        .unwrap();
    assert!(!store.needs_checkpoint() && store.append(b"x", 0.0).is_ok());
    assert_eq!(
        store.append(&vec![0; format::MAX_RECORD_BYTES + 1], 0.0),
        Err(StoreError::RecordTooLong {
            length: format::MAX_RECORD_BYTES + 1
        })
    );
    let disk = store.into_disk();
    assert_eq!(disk.files.len(), 2, "{:?}", disk.files.keys());
    assert_eq!(
        verify(&disk, &sync_every_record()),
        RecoveryReport::Complete { records: 2 }
    );
}

#[test]
fn crash_between_syncs_loses_only_the_latest_records() {
    let config = config(SyncPolicy::Interval {
        interval_ms: 1000.0,
    });
    let Opened { mut store, .. } = Store::open(FaultyDisk::default(), config);
    for n in 0..10 {
        store.append(&record(n), f64::from(n) * 300.0).unwrap();
        store.poll(f64::from(n) * 300.0).unwrap();
    }
    let Opened {
        records, report, ..
    } = Store::open(store.into_disk().after_restart(0), config);
    assert!(
        records.len() >= 6 && records.len() < 10,
        "{} {report:?}",
        records.len()
    );
    assert_eq!(
        records,
        (0..records.len() as u32).map(record).collect::<Vec<_>>()
    );
}

#[test]
fn records_in_a_real_directory_survive_reopening() {
    let path = std::env::temp_dir().join(format!("tansymux-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let Opened {
        mut store,
        records,
        report,
    } = Store::open(Directory::new(&path).unwrap(), sync_every_record());
    assert_eq!((records.len(), report), (0, RecoveryReport::Empty));
    (0..30).for_each(|n| store.append(&record(n), 0.0).unwrap());
    store
        .checkpoint([b"one".as_slice(), b"two"].into_iter(), 0.0)
        .unwrap();
    store.append(b"three", 0.0).unwrap();
    drop(store);
    // Files that do not belong to the store are not removed.
    std::fs::write(path.join("notes.txt"), "mine").unwrap();
    let Opened {
        records, report, ..
    } = Store::open(Directory::new(&path).unwrap(), sync_every_record());
    assert_eq!(
        records,
        [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]
    );
    assert_eq!(report, RecoveryReport::Complete { records: 3 });
    assert!(path.join("notes.txt").exists());
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics(
        bytes in proptest::collection::vec(any::<u8>(), 0..300), has_header in any::<bool>(),
    ) {
        let mut file = if has_header { format::encode_header(FileKind::Log, 1, LogPosition::START) } else { Vec::new() };
        file.extend_from_slice(&bytes);
        let decoded = format::decode_file(&file, FileKind::Log, 1);
        assert!(decoded.valid_bytes <= file.len());
        assert!(has_header || decoded.error.is_some());
        if decoded.error == Some(FormatError::MissingTrailer) {
            unreachable!("a log has no trailer");
        }
    }
}
