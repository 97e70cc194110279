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
        Settings {
            sync: Sync::Every(1000.0),
            most: 4 << 20,
            retry: 30_000.0,
        }
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
    Part {
        records: usize,
        file: String,
        damage: Damage,
    },
    /// No snapshot or log could be used.
    Lost { file: String, damage: Damage },
    /// A newer version wrote here: nothing is used, and nothing is written.
    Newer { file: String, version: u16 },
    /// The folder can't be read.
    Unreadable { why: String },
}

/// Why nothing is written at the moment.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreError {
    /// The disk is full, read-only, or fails in another way.
    Disk(String),
    /// It was not compacted in time.
    TooLarge,
    /// Files of a newer version are here.
    Newer,
    /// The record is longer than `form::MAX_RECORD`.
    TooLong,
}

#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    settings: Settings,
    /// Number of the log that is written, and of the next file.
    log: Option<u64>,
    next: u64,
    /// The file that the next log follows, and how much of it is good.
    last: (u64, u64),
    /// Bytes of all logs since the snapshot.
    size: u64,
    unsynced: bool,
    synced_at: f64,
    trouble: Option<(StoreError, f64)>,
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

/// What was recovered, and where the next file goes on.
struct Recovered {
    records: Vec<Vec<u8>>,
    found: Found,
    next: u64,
    size: u64,
    /// The last file that was used, and how much of it is good.
    last: (u64, u64),
}

/// Reads all that can be used: the last whole snapshot, and from there each log that follows the one before it, as
/// long as what it followed is still good as far as it was then.
fn recover<D: Disk>(disk: &D, most: u64) -> Recovered {
    let ends = |found, next| Recovered {
        records: Vec::new(),
        found,
        next,
        size: 0,
        last: (0, 0),
    };
    let files = match files(disk) {
        Ok(files) => files,
        Err(e) => return ends(Found::Unreadable { why: e.to_string() }, 1),
    };
    let next = files.last().map_or(1, |(_, number, _)| number + 1);
    if files.is_empty() {
        return ends(Found::Nothing, next);
    }
    let read = |what, number, name: &str| match disk.read(name, most) {
        Ok(bytes) => form::read(&bytes, what, number),
        Err(_) => form::Read {
            follows: (0, 0),
            records: Vec::new(),
            good: 0,
            damage: Some(Damage::Short),
        },
    };
    let mut logs: Vec<(u64, &str, form::Read)> = Vec::new();
    let mut snapshot: Option<(u64, form::Read)> = None;
    let mut worst: Option<(String, Damage)> = None;
    for (what, number, name) in &files {
        let file = read(*what, *number, name);
        match (*what, file.damage) {
            (_, Some(Damage::Newer(version))) => {
                return ends(
                    Found::Newer {
                        file: name.clone(),
                        version,
                    },
                    next,
                )
            }
            (What::Snapshot, None) => snapshot = Some((*number, file)),
            // An older one, if there is one, is used with the logs that follow it: nothing is removed before a
            // snapshot that replaces it was synced.
            (What::Snapshot, Some(damage)) => worst = Some((name.clone(), damage)),
            (What::Log, damage) => {
                if file.good == 0 {
                    worst = worst.or(damage.map(|damage| (name.clone(), damage)));
                } else {
                    logs.push((*number, name, file));
                }
            }
        }
    }
    let (from, mut records) =
        snapshot.map_or((0, Vec::new()), |(number, file)| (number, file.records));
    let (mut last, mut size) = ((from, 0), 0);
    // Of several that follow one file the latest was begun after the others had failed.
    while let Some((number, name, file)) = logs
        .iter()
        .rev()
        .find(|(number, _, file)| file.follows.0 == last.0 && *number > last.0)
    {
        if file.follows.1 > last.1 {
            // What it followed was longer then: records are missing in between.
            worst = worst.or(Some(((*name).to_owned(), Damage::Checksum)));
            break;
        }
        records.extend(file.records.iter().cloned());
        size += file.good as u64;
        last = (*number, file.good as u64);
        if let Some(damage) = file.damage {
            worst = worst.or(Some(((*name).to_owned(), damage)));
        }
    }
    if let Some((_, name, _)) = logs.iter().find(|(number, ..)| *number > last.0) {
        worst = worst.or(Some(((*name).to_owned(), Damage::Foreign)));
    }
    let found = match worst {
        None => Found::Whole {
            records: records.len(),
        },
        Some((file, damage)) if records.is_empty() => Found::Lost { file, damage },
        Some((file, damage)) => Found::Part {
            records: records.len(),
            file,
            damage,
        },
    };
    Recovered {
        records,
        found,
        next,
        size,
        last,
    }
}

/// What `open` would find, with nothing touched.
pub fn verify<D: Disk>(disk: &D, settings: &Settings) -> Found {
    recover(disk, 4 * settings.most).found
}

impl<D: Disk> Store<D> {
    /// Reads what is there. Nothing is written before the first record.
    pub fn open(disk: D, settings: Settings) -> (Self, Vec<Vec<u8>>, Found) {
        let Recovered {
            records,
            found,
            next,
            size,
            last,
        } = recover(&disk, 4 * settings.most);
        let read_only = matches!(found, Found::Newer { .. });
        let store = Store {
            disk,
            settings,
            log: None,
            next,
            last,
            size,
            unsynced: false,
            synced_at: f64::NEG_INFINITY,
            trouble: None,
            read_only,
        };
        (store, records, found)
    }

    pub fn trouble(&self) -> Option<&StoreError> {
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

    fn fails(&mut self, now: f64, e: &io::Error) -> StoreError {
        // What the log holds now is not known: the next record begins another one.
        self.log = None;
        let trouble = StoreError::Disk(e.to_string());
        self.trouble = Some((trouble.clone(), now));
        trouble
    }

    /// Appends a record.
    ///
    /// # Errors
    /// It was not written, and why; the store goes on, and later records are tried again.
    pub fn append(&mut self, now: f64, record: &[u8]) -> Result<(), StoreError> {
        if self.read_only {
            return Err(StoreError::Newer);
        }
        if record.len() > form::MAX_RECORD {
            return Err(StoreError::TooLong);
        }
        if self.size > 2 * self.settings.most {
            return Err(StoreError::TooLarge);
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
                bytes = form::head(What::Log, number, self.last);
                number
            }
        };
        bytes.extend_from_slice(&form::frame(record));
        self.disk.append(&form::name(What::Log, number), &bytes)?;
        let good = if self.log == Some(number) {
            self.last.1
        } else {
            0
        };
        (self.log, self.last) = (Some(number), (number, good + bytes.len() as u64));
        self.size += bytes.len() as u64;
        Ok(())
    }

    fn sync(&mut self, now: f64) -> Result<(), StoreError> {
        let Some(number) = self.log.filter(|_| self.unsynced) else {
            return Ok(());
        };
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
    pub fn tick(&mut self, now: f64) -> Result<(), StoreError> {
        match self.settings.sync {
            Sync::Every(every) if now - self.synced_at >= every => self.sync(now),
            _ => Ok(()),
        }
    }

    /// Puts a snapshot in the place of all that was written so far: it is whole on the disk before anything else goes.
    ///
    /// # Errors
    /// As `append`; what was there is there still.
    pub fn compact<'a>(
        &mut self,
        now: f64,
        records: impl Iterator<Item = &'a [u8]>,
    ) -> Result<(), StoreError> {
        if self.read_only {
            return Err(StoreError::Newer);
        }
        let number = self.next;
        self.next += 1;
        match self.snapshot(number, records) {
            Ok(()) => {
                (self.log, self.size, self.unsynced, self.trouble) = (None, 0, false, None);
                self.last = (number, 0);
                self.clean(number);
                Ok(())
            }
            Err(e) => Err(self.fails(now, &e)),
        }
    }

    fn snapshot<'a>(
        &mut self,
        number: u64,
        records: impl Iterator<Item = &'a [u8]>,
    ) -> io::Result<()> {
        const TEMPORARY: &str = "new-snapshot";
        let _ = self.disk.remove(TEMPORARY);
        self.disk
            .append(TEMPORARY, &form::head(What::Snapshot, number, (0, 0)))?;
        let (mut count, mut bytes) = (0, Vec::new());
        for record in records.filter(|record| record.len() <= form::MAX_RECORD) {
            bytes.extend_from_slice(&form::frame(record));
            count += 1;
            if bytes.len() >= form::MAX_RECORD {
                self.disk.append(TEMPORARY, &bytes)?;
                bytes.clear();
            }
        }
        bytes.extend_from_slice(&form::end(count));
        self.disk.append(TEMPORARY, &bytes)?;
        self.disk.sync(TEMPORARY)?;
        self.disk
            .rename(TEMPORARY, &form::name(What::Snapshot, number))
    }

    /// Removes what a snapshot replaced; what can't be removed is passed over at the next start.
    fn clean(&mut self, snapshot: u64) {
        let Ok(files) = files(&self.disk) else { return };
        for (_, _, name) in files.iter().filter(|(_, number, _)| *number < snapshot) {
            let _ = self.disk.remove(name);
        }
    }
}
