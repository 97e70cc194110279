//! The form of the files: a head, then records, each with its length and a checksum over both.

/// The version that is written; older ones are read, newer ones are left alone.
pub const VERSION: u16 = 1;
const MAGIC: &[u8; 4] = b"TXST";
/// Bytes of a head: magic, version, what it is, number, which file a log follows and how much of that was good then,
/// checksum.
pub const HEAD: usize = 4 + 2 + 1 + 8 + 8 + 8 + 4;
/// Bytes before a record: length and checksum.
pub const FRAME: usize = 8;
/// The longest record.
pub const MAX_RECORD: usize = 64 * 1024;
/// A record of this length ends a snapshot: its bytes are the number of those before it.
const END: u32 = u32::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    Log,
    Snapshot,
}

/// Why a head or a record can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Damage {
    /// It ends too early.
    Short,
    /// It is no file of the store, or another one than its name says.
    Foreign,
    /// Its checksum is another one.
    Checksum,
    /// A newer version wrote it.
    Newer(u16),
    /// A snapshot without its end.
    NoEnd,
}

pub fn name(what: What, number: u64) -> String {
    match what {
        What::Log => format!("log-{number:016x}"),
        What::Snapshot => format!("snap-{number:016x}"),
    }
}

/// What a name says; none for a file that is not the store's.
pub fn of_name(name: &str) -> Option<(What, u64)> {
    let (what, number) = name.split_once('-')?;
    let what = match what {
        "log" => What::Log,
        "snap" => What::Snapshot,
        _ => return None,
    };
    let number = Some(number).filter(|n| n.len() == 16)?;
    Some((what, u64::from_str_radix(number, 16).ok()?))
}

/// `follows`: the file before a log, none for the first and for snapshots, and how many bytes of it were good when the
/// log was begun.
pub fn head(what: What, number: u64, follows: (u64, u64)) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_be_bytes());
    bytes.push(u8::from(what == What::Snapshot));
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(&follows.0.to_be_bytes());
    bytes.extend_from_slice(&follows.1.to_be_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_be_bytes());
    bytes
}

fn sum_of(length: u32, record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_be_bytes());
    hasher.update(record);
    hasher.finalize()
}

/// A record with its frame.
pub fn frame(record: &[u8]) -> Vec<u8> {
    let length = record.len() as u32;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&sum_of(length, record).to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// What ends a snapshot of so many records.
pub fn end(count: u64) -> Vec<u8> {
    let record = count.to_be_bytes();
    let mut bytes = END.to_be_bytes().to_vec();
    bytes.extend_from_slice(&sum_of(END, &record).to_be_bytes());
    bytes.extend_from_slice(&record);
    bytes
}

/// What a file holds, up to the first damage: records, how many bytes of it are good, and what is wrong behind them.
#[derive(Debug, Clone, PartialEq)]
pub struct Read {
    /// Which file it follows, and how much of that was good.
    pub follows: (u64, u64),
    pub records: Vec<Vec<u8>>,
    pub good: usize,
    pub damage: Option<Damage>,
}

fn number(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// Reads a file that its name says is `what` with this number.
pub fn read(bytes: &[u8], what: What, expected: u64) -> Read {
    let broken = |damage| Read {
        follows: (0, 0),
        records: Vec::new(),
        good: 0,
        damage: Some(damage),
    };
    let Some(start) = bytes.get(..HEAD) else {
        return broken(Damage::Short);
    };
    if &start[..4] != MAGIC {
        return broken(Damage::Foreign);
    }
    let version = u16::from_be_bytes([start[4], start[5]]);
    if crc32fast::hash(&start[..HEAD - 4]).to_be_bytes() != start[HEAD - 4..] {
        return broken(Damage::Checksum);
    }
    if version > VERSION {
        return broken(Damage::Newer(version));
    }
    let long = |at: usize| {
        start[at..at + 8]
            .iter()
            .fold(0, |n, b| n << 8 | u64::from(*b))
    };
    let follows = (long(15), long(23));
    if start != head(what, expected, follows) {
        return broken(Damage::Foreign);
    }
    let (mut at, mut records) = (HEAD, Vec::new());
    loop {
        if at == bytes.len() {
            let damage = (what == What::Snapshot).then_some(Damage::NoEnd);
            return Read {
                follows,
                records,
                good: at,
                damage,
            };
        }
        let stops = |records, damage| Read {
            follows,
            records,
            good: at,
            damage: Some(damage),
        };
        let (Some(length), Some(sum)) = (number(bytes, at), number(bytes, at + 4)) else {
            return stops(records, Damage::Short);
        };
        let size = if length == END { 8 } else { length as usize };
        if size > MAX_RECORD {
            return stops(records, Damage::Checksum);
        }
        let Some(record) = bytes.get(at + FRAME..at + FRAME + size) else {
            return stops(records, Damage::Short);
        };
        if sum_of(length, record) != sum {
            return stops(records, Damage::Checksum);
        }
        at += FRAME + size;
        if length == END {
            let whole = what == What::Snapshot && record == (records.len() as u64).to_be_bytes();
            let damage = if whole && at == bytes.len() {
                None
            } else {
                Some(Damage::Foreign)
            };
            return Read {
                follows,
                records,
                good: at,
                damage,
            };
        }
        records.push(record.to_vec());
    }
}
