//! The store.

use crate::disk::Disk;
use crate::form::{self, Damage, What};
use std::io;

/// When what was appended is synced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sync {
    /// After each record.
    Each,
    /// So often (ms), by `tick`: a crash of the machine loses what came since.
    Every(f64),
    /// Never from here: a crash of the machine may lose all since the last snapshot.
    Never,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    pub sync: Sync,
    /// Beyond so many bytes of logs the store wants to be compacted; beyond twice as many it writes nothing more.
    pub most: u64,
    /// After trouble the disk is tried again so much later (ms).
    pub retry: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { sync: Sync::Every(1000.0), most: 4 << 20, retry: 30_000.0 }
    }
}

/// What was found at the start.
#[derive(Debug, Clone, PartialEq)]
pub enum Found {
    /// Nothing was there.
    Nothing,
    /// All that was there.
    Whole { records: usize },
    /// Records up to a damage; what stands behind it is not used.
    Part { records: usize, file: String, damage: Damage },
    /// No snapshot or log could be used.
    Lost { file: String, damage: Damage },
    /// A newer version wrote here: nothing is used, and nothing is written.
    Newer { file: String, version: u16 },
    /// The folder can't be read.
    Unreadable { why: String },
}

/// Why nothing is written at the moment.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// The disk is full, read-only, or fails in another way.
    Disk(String),
    /// It was not compacted in time.
    TooLarge,
    /// Files of a newer version are here.
    Newer,
    /// The record is longer than `form::MOST_RECORD`.
    TooLong,
}

#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    settings: Settings,
    /// Number of the log that is written, and of the next file.
    log: Option<u64>,
    next: u64,
    /// Bytes of all logs since the snapshot.
    size: u64,
    unsynced: bool,
    synced_at: f64,
    trouble: Option<(Trouble, f64)>,
    read_only: bool,
}

/// Files of the store, snapshots and logs, in the order of their numbers.
fn files<D: Disk>(disk: &D) -> io::Result<Vec<(What, u64, String)>> {
    let mut files: Vec<(What, u64, String)> = disk
        .list()?
        .into_iter()
        .filter_map(|name| form::of_name(&name).map(|(what, number)| (what, number, name)))
        .collect();
    files.sort_by_key(|(_, number, _)| *number);
    Ok(files)
}

/// Reads all that can be used: the last whole snapshot, and the logs behind it up to the first damage.
fn recover<D: Disk>(disk: &D, most: u64) -> (Vec<Vec<u8>>, Found, u64, u64) {
    let files = match files(disk) {
        Ok(files) => files,
        Err(e) => return (Vec::new(), Found::Unreadable { why: e.to_string() }, 1, 0),
    };
    let next = files.last().map_or(1, |(_, number, _)| number + 1);
    if files.is_empty() {
        return (Vec::new(), Found::Nothing, next, 0);
    }
    let read = |what, number, name: &str| match disk.read(name, most) {
        Ok(bytes) => form::read(&bytes, what, number),
        Err(_) => form::Read { records: Vec::new(), good: 0, damage: Some(Damage::Short) },
    };
    let (mut records, mut from, mut worst) = (Vec::new(), 0, None);
    for (what, number, name) in files.iter().rev().filter(|(what, ..)| *what == What::Snapshot) {
        let whole = read(*what, *number, name);
        match whole.damage {
            None => {
                (records, from) = (whole.records, *number);
                break;
            }
            Some(Damage::Newer(version)) => {
                return (Vec::new(), Found::Newer { file: name.clone(), version }, next, 0);
            }
            // An older one, if there is one, is used with the logs behind it: nothing is removed before a
            // snapshot that replaces it was synced.
            Some(damage) => worst = worst.or(Some((name.clone(), damage))),
        }
    }
    let (mut size, mut last) = (0, None);
    for (what, number, name) in files.iter().filter(|(what, number, _)| *what == What::Log && *number > from)
    {
        // A log that is missing in between leaves a hole: what stands behind it is not used. Snapshots and logs
        // that could not be begun take numbers as well.
        let holes = last.is_some_and(|last: u64| {
            (last + 1..*number).any(|n| !files.iter().any(|(_, other, _)| *other == n))
        });
        if holes {
            worst = worst.or(Some((name.clone(), Damage::Foreign)));
            break;
        }
        let part = read(*what, *number, name);
        size += part.good as u64;
        records.extend(part.records);
        last = Some(*number);
        match part.damage {
            None => {}
            Some(Damage::Newer(version)) => {
                return (Vec::new(), Found::Newer { file: name.clone(), version }, next, 0);
            }
            // The end of a log that was cut by a crash is no damage to what the next one holds, if that was begun
            // after this one was found so.
            Some(Damage::Short) if files.iter().any(|(w, n, _)| *w == What::Log && *n > *number) => {
                worst = worst.or(Some((name.clone(), Damage::Short)));
            }
            Some(damage) => {
                worst = worst.or(Some((name.clone(), damage)));
                break;
            }
        }
    }
    let found = match worst {
        None => Found::Whole { records: records.len() },
        Some((file, damage)) if records.is_empty() => Found::Lost { file, damage },
        Some((file, damage)) => Found::Part { records: records.len(), file, damage },
    };
    (records, found, next, size)
}

/// What `open` would find, with nothing touched.
pub fn verify<D: Disk>(disk: &D, settings: &Settings) -> Found {
    recover(disk, 4 * settings.most).1
}

impl<D: Disk> Store<D> {
    /// Reads what is there. Nothing is written before the first record.
    pub fn open(disk: D, settings: Settings) -> (Self, Vec<Vec<u8>>, Found) {
        let (records, found, next, size) = recover(&disk, 4 * settings.most);
        let read_only = matches!(found, Found::Newer { .. });
        let store = Store {
            disk,
            settings,
            log: None,
            next,
            size,
            unsynced: false,
            synced_at: f64::NEG_INFINITY,
            trouble: None,
            read_only,
        };
        (store, records, found)
    }

    pub fn trouble(&self) -> Option<&Trouble> {
        self.trouble.as_ref().map(|(trouble, _)| trouble)
    }

    /// Bytes of logs since the last snapshot.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Whether `compact` should be called.
    pub fn wants_compaction(&self) -> bool {
        self.size > self.settings.most
    }

    pub fn into_disk(self) -> D {
        self.disk
    }

    fn fails(&mut self, now: f64, e: &io::Error) -> Trouble {
        // What the log holds now is not known: the next record begins another one.
        self.log = None;
        let trouble = Trouble::Disk(e.to_string());
        self.trouble = Some((trouble.clone(), now));
        trouble
    }

    /// Appends a record.
    ///
    /// # Errors
    /// It was not written, and why; the store goes on, and later records are tried again.
    pub fn append(&mut self, now: f64, record: &[u8]) -> Result<(), Trouble> {
        if self.read_only {
            return Err(Trouble::Newer);
        }
        if record.len() > form::MOST_RECORD {
            return Err(Trouble::TooLong);
        }
        if self.size > 2 * self.settings.most {
            return Err(Trouble::TooLarge);
        }
        if let Some((trouble, at)) = &self.trouble {
            if now - at < self.settings.retry {
                return Err(trouble.clone());
            }
        }
        match self.write(record) {
            Ok(()) => {
                self.trouble = None;
                self.unsynced = true;
                if self.settings.sync == Sync::Each {
                    self.sync(now)
                } else {
                    Ok(())
                }
            }
            Err(e) => Err(self.fails(now, &e)),
        }
    }

    fn write(&mut self, record: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::new();
        let number = match self.log {
            Some(number) => number,
            None => {
                // A number is never used twice, also where beginning its file fails.
                let number = self.next;
                self.next += 1;
                bytes = form::head(What::Log, number);
                number
            }
        };
        bytes.extend_from_slice(&form::frame(record));
        self.disk.append(&form::name(What::Log, number), &bytes)?;
        self.log = Some(number);
        self.size += bytes.len() as u64;
        Ok(())
    }

    fn sync(&mut self, now: f64) -> Result<(), Trouble> {
        let Some(number) = self.log.filter(|_| self.unsynced) else { return Ok(()) };
        match self.disk.sync(&form::name(What::Log, number)) {
            Ok(()) => {
                (self.unsynced, self.synced_at) = (false, now);
                Ok(())
            }
            // After a sync that failed nobody knows what is on the disk.
            Err(e) => Err(self.fails(now, &e)),
        }
    }

    /// Syncs where it is time.
    ///
    /// # Errors
    /// As `append`.
    pub fn tick(&mut self, now: f64) -> Result<(), Trouble> {
        match self.settings.sync {
            Sync::Every(every) if now - self.synced_at >= every => self.sync(now),
            _ => Ok(()),
        }
    }

    /// Puts a snapshot in the place of all that was written so far: it is whole on the disk before anything else goes.
    ///
    /// # Errors
    /// As `append`; what was there is there still.
    pub fn compact<'a>(&mut self, now: f64, records: impl Iterator<Item = &'a [u8]>) -> Result<(), Trouble> {
        if self.read_only {
            return Err(Trouble::Newer);
        }
        let number = self.next;
        self.next += 1;
        match self.snapshot(number, records) {
            Ok(()) => {
                (self.log, self.size, self.unsynced, self.trouble) = (None, 0, false, None);
                self.clean(number);
                Ok(())
            }
            Err(e) => Err(self.fails(now, &e)),
        }
    }

    fn snapshot<'a>(&mut self, number: u64, records: impl Iterator<Item = &'a [u8]>) -> io::Result<()> {
        const TEMPORARY: &str = "new-snapshot";
        let _ = self.disk.remove(TEMPORARY);
        self.disk.append(TEMPORARY, &form::head(What::Snapshot, number))?;
        let (mut count, mut bytes) = (0, Vec::new());
        for record in records.filter(|record| record.len() <= form::MOST_RECORD) {
            bytes.extend_from_slice(&form::frame(record));
            count += 1;
            if bytes.len() >= form::MOST_RECORD {
                self.disk.append(TEMPORARY, &bytes)?;
                bytes.clear();
            }
        }
        bytes.extend_from_slice(&form::end(count));
        self.disk.append(TEMPORARY, &bytes)?;
        self.disk.sync(TEMPORARY)?;
        self.disk.rename(TEMPORARY, &form::name(What::Snapshot, number))
    }

    /// Removes what a snapshot replaced; what can't be removed is passed over at the next start.
    fn clean(&mut self, snapshot: u64) {
        let Ok(files) = files(&self.disk) else { return };
        for (_, _, name) in files.iter().filter(|(_, number, _)| *number < snapshot) {
            let _ = self.disk.remove(name);
        }
    }
}
