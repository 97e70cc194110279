//! Crashes at every step of a scripted run, torn and lost writes, damage anywhere, disks that are full or read-only.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;
use tansymux_store::form::{self, Damage, What};
use tansymux_store::{verify, Disk, Folder, Found, Settings, Store, StoreError, Sync};

/// A disk in memory that fails at a step, and then loses what was not synced.
#[derive(Debug, Clone, Default)]
struct Faulty {
    /// What is written, and how much of it is synced.
    files: BTreeMap<String, (Vec<u8>, usize)>,
    /// Steps until the crash, and how much of the write under way is done; none without one.
    crash: Option<(usize, usize)>,
    steps: usize,
    crashed: bool,
    full_after: Option<usize>,
    read_only: bool,
}

impl Faulty {
    fn step(&mut self) -> io::Result<bool> {
        if self.crashed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        self.steps += 1;
        let now = self.crash.is_some_and(|(at, _)| self.steps > at);
        self.crashed |= now;
        Ok(now)
    }

    /// The disk as it is after the machine has come up again: of what was not synced `part` of 4 is there.
    fn after(mut self, part: usize) -> Self {
        for (bytes, synced) in self.files.values_mut() {
            let kept = *synced + (bytes.len() - *synced) * part / 4;
            bytes.truncate(kept);
            *synced = kept;
        }
        Faulty {
            files: self.files,
            ..Faulty::default()
        }
    }
}

impl Disk for Faulty {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let bytes = self
            .files
            .get(name)
            .map(|(bytes, _)| bytes.clone())
            .ok_or(io::ErrorKind::NotFound)?;
        if bytes.len() as u64 > most {
            Err(io::ErrorKind::InvalidData.into())
        } else {
            Ok(bytes)
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let crashes = self.step()?;
        let all: usize = self.files.values().map(|(bytes, _)| bytes.len()).sum();
        let room = self
            .full_after
            .map_or(usize::MAX, |most| most.saturating_sub(all));
        let torn = if crashes {
            bytes.len() * self.crash.map_or(0, |(_, part)| part) / 4
        } else {
            bytes.len()
        };
        let written = torn.min(room);
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
        if self.step()? {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.1 = file.0.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.step()? {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let file = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.step()? {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

const EACH: Settings = Settings {
    sync: Sync::Each,
    most: 4096,
    retry: 100.0,
};

fn record(n: u32) -> Vec<u8> {
    format!("record {n} {}", "x".repeat(n as usize % 37)).into_bytes()
}

/// Appends twenty records with a compaction after the eighth and the fourteenth; which were said to be written.
fn script(disk: Faulty) -> (Faulty, Vec<u32>) {
    let (mut store, _, _) = Store::open(disk, EACH);
    let mut written: Vec<u32> = Vec::new();
    for n in 0..20 {
        if store.append(f64::from(n), &record(n)).is_ok() {
            written.push(n);
        }
        if n == 8 || n == 14 {
            let all: Vec<Vec<u8>> = written.iter().map(|n| record(*n)).collect();
            let _ = store.compact(f64::from(n), all.iter().map(Vec::as_slice));
        }
    }
    (store.into_disk(), written)
}

#[test]
fn a_crash_at_every_step_loses_nothing_that_was_synced_and_brings_nothing_else() {
    let (whole, _) = script(Faulty::default());
    let (steps, mut tried) = (whole.steps, 0);
    for at in 0..=steps {
        for torn in 0..=4 {
            for kept in 0..=4 {
                let disk = Faulty {
                    crash: Some((at, torn)),
                    ..Faulty::default()
                };
                let (disk, written) = script(disk);
                let (_, records, found) = Store::open(disk.after(kept), EACH);
                let expected: Vec<Vec<u8>> = (0..records.len() as u32).map(record).collect();
                assert_eq!(
                    records, expected,
                    "in order and without holes: step {at}, torn {torn}, kept {kept}"
                );
                assert!(
                    records.len() >= written.len(),
                    "step {at}: {} of {}: {found:?}",
                    records.len(),
                    written.len()
                );
                // One that was under way may be there.
                assert!(records.len() <= written.len() + 1);
                tried += 1;
            }
        }
    }
    assert!(tried > 1000, "{tried}");
}

#[test]
fn after_a_crash_it_goes_on_and_crashes_again() {
    let (whole, _) = script(Faulty::default());
    for at in 0..=whole.steps {
        let (disk, _) = script(Faulty {
            crash: Some((at, 2)),
            ..Faulty::default()
        });
        let (mut store, before, _) = Store::open(disk.after(2), EACH);
        let mut all = before.clone();
        for n in 100..104 {
            store.append(0.0, &record(n)).unwrap();
            all.push(record(n));
        }
        let (_, records, found) = Store::open(store.into_disk().after(0), EACH);
        assert_eq!(records, all, "step {at}: {found:?}");
    }
}

#[test]
fn damage_anywhere_is_found_and_nothing_behind_it_is_used() {
    let (disk, _) = script(Faulty::default());
    for (name, (bytes, _)) in disk.files.clone() {
        for at in 0..bytes.len() {
            let mut spoilt = disk.clone();
            spoilt.files.get_mut(&name).unwrap().0[at] ^= 0x40;
            let (_, records, found) = Store::open(spoilt, EACH);
            assert!(
                !matches!(found, Found::Whole { .. }),
                "{name} {at}: {found:?}"
            );
            let expected: Vec<Vec<u8>> = (0..records.len() as u32).map(record).collect();
            assert_eq!(records, expected, "{name} {at}");
        }
        // Half of the file, and none of it.
        for keep in [0, 1, form::HEAD - 1, bytes.len() / 2] {
            let mut cut = disk.clone();
            cut.files.get_mut(&name).unwrap().0.truncate(keep);
            let (_, records, _) = Store::open(cut, EACH);
            assert!(
                records.iter().zip(0..).all(|(have, n)| *have == record(n)),
                "{name} cut at {keep}"
            );
        }
        // The whole file is gone.
        let mut gone = disk.clone();
        gone.files.remove(&name);
        let (_, records, _) = Store::open(gone, EACH);
        let mut known = (0..20).map(record);
        assert!(
            records
                .iter()
                .all(|have| known.any(|record| record == *have)),
            "{name}"
        );
    }
}

#[test]
fn files_of_a_newer_version_are_neither_read_nor_touched() {
    let (mut disk, _) = script(Faulty::default());
    let name = form::name(What::Log, 999);
    let mut head = form::head(What::Log, 999, (0, 0));
    head[5] = 9;
    let sum = crc(&head[..form::HEAD - 4]);
    head[form::HEAD - 4..].copy_from_slice(&sum.to_be_bytes());
    disk.files.insert(name.clone(), (head, 0));
    let before = disk.files.clone();
    let (mut store, records, found) = Store::open(disk, EACH);
    assert_eq!(
        (records.len(), found),
        (
            0,
            Found::Newer {
                file: name,
                version: 9
            }
        )
    );
    assert_eq!(store.append(0.0, b"x"), Err(StoreError::Newer));
    assert_eq!(
        store.compact(0.0, std::iter::empty()),
        Err(StoreError::Newer)
    );
    assert_eq!(store.into_disk().files, before);
}

/// CRC-32 as in ISO 3309, written out once more.
fn crc(bytes: &[u8]) -> u32 {
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
fn a_disk_that_is_full_or_read_only_ends_writing_and_is_tried_again() {
    let (mut store, ..) = Store::open(
        Faulty {
            full_after: Some(300),
            ..Faulty::default()
        },
        EACH,
    );
    let mut written = 0;
    for n in 0..40 {
        written += u32::from(store.append(0.0, &record(n)).is_ok());
    }
    assert!(written > 2 && written < 40 && matches!(store.trouble(), Some(StoreError::Disk(_))));
    // Room again, later.
    let mut disk = store.into_disk();
    disk.full_after = None;
    let (mut store, records, _) = Store::open(disk, EACH);
    assert_eq!(records.len() as u32, written);
    assert!(store.append(0.0, &record(written)).is_ok());
    let (_, records, _) = Store::open(store.into_disk(), EACH);
    assert_eq!(records, (0..=written).map(record).collect::<Vec<_>>());
    let (mut store, ..) = Store::open(
        Faulty {
            read_only: true,
            ..Faulty::default()
        },
        EACH,
    );
    assert!(matches!(store.append(0.0, b"x"), Err(StoreError::Disk(_))));
    // Not tried again before its time, and then without a start.
    let mut store = {
        let mut disk = store.into_disk();
        disk.read_only = false;
        Store::open(disk, EACH).0
    };
    assert!(store.append(1.0, b"x").is_ok());
}

#[test]
fn the_size_is_bounded() {
    let (mut store, ..) = Store::open(Faulty::default(), EACH);
    let mut refused = 0;
    for n in 0..1000 {
        refused += u32::from(store.append(0.0, &record(n)) == Err(StoreError::TooLarge));
    }
    assert!(store.wants_compaction() && refused > 0 && store.size() < 3 * 4096);
    store.compact(0.0, [b"all".as_slice()].into_iter()).unwrap();
    assert!(!store.wants_compaction() && store.append(0.0, b"x").is_ok());
    assert_eq!(
        store.append(0.0, &vec![0; form::MAX_RECORD + 1]),
        Err(StoreError::TooLong)
    );
    let disk = store.into_disk();
    assert_eq!(disk.files.len(), 2, "{:?}", disk.files.keys());
    assert_eq!(verify(&disk, &EACH), Found::Whole { records: 2 });
}

#[test]
fn without_a_sync_a_crash_loses_the_end_and_no_more() {
    let settings = Settings {
        sync: Sync::Every(1000.0),
        ..EACH
    };
    let (mut store, ..) = Store::open(Faulty::default(), settings);
    for n in 0..10 {
        store.append(f64::from(n) * 300.0, &record(n)).unwrap();
        store.tick(f64::from(n) * 300.0).unwrap();
    }
    let (_, records, found) = Store::open(store.into_disk().after(0), settings);
    assert!(
        records.len() >= 6 && records.len() < 10,
        "{} {found:?}",
        records.len()
    );
    assert_eq!(
        records,
        (0..records.len() as u32).map(record).collect::<Vec<_>>()
    );
}

#[test]
fn a_real_folder_keeps_what_was_written() {
    let path = std::env::temp_dir().join(format!("tansymux-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut store, records, found) = Store::open(Folder::new(&path).unwrap(), EACH);
    assert_eq!((records.len(), found), (0, Found::Nothing));
    (0..30).for_each(|n| store.append(0.0, &record(n)).unwrap());
    store
        .compact(0.0, [b"one".as_slice(), b"two"].into_iter())
        .unwrap();
    store.append(0.0, b"three").unwrap();
    drop(store);
    // Files that are not the store's are left alone.
    std::fs::write(path.join("notes.txt"), "mine").unwrap();
    let (_, records, found) = Store::open(Folder::new(&path).unwrap(), EACH);
    assert_eq!(
        records,
        [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()]
    );
    assert_eq!(found, Found::Whole { records: 3 });
    assert!(path.join("notes.txt").exists());
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #[test]
    fn no_file_makes_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), headed in any::<bool>()) {
        let mut file = if headed { form::head(What::Log, 1, (0, 0)) } else { Vec::new() };
        file.extend_from_slice(&bytes);
        let read = form::read(&file, What::Log, 1);
        assert!(read.good <= file.len());
        assert!(headed || read.damage.is_some());
        if read.damage == Some(Damage::NoEnd) {
            unreachable!("a log needs no end");
        }
    }
}
