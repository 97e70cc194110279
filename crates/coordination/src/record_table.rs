//! The records that one voter holds, and which of two records with one key holds.

use crate::message::LeasedRecord;
use crate::record::{Record, Stamp};
use std::collections::BTreeMap;

/// Records held at most, tombstones included.
pub const MAX_RECORDS: usize = 512;
/// A tombstone is remembered for this long (ms), so that an older record of its key does not come back.
const TOMBSTONE_RETENTION_MS: f64 = 600_000.0;

/// One record as a voter holds it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StoredRecord {
    pub(crate) record: Record,
    /// When it ends by itself; infinite: never.
    pub(crate) expires_at_ms: f64,
    pub(crate) accepted_at_ms: f64,
}

impl StoredRecord {
    /// The record with the time that it still counts.
    pub(crate) fn leased(&self, now_ms: f64) -> LeasedRecord {
        let remaining_ms = (self.expires_at_ms - now_ms)
            .clamp(0.0, f64::from(u32::MAX - 1))
            .ceil() as u32;
        LeasedRecord {
            record: self.record,
            remaining_ms: self.expires_at_ms.is_finite().then_some(remaining_ms),
        }
    }
}

/// At most [`MAX_RECORDS`] records by their key.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecordTable {
    records: BTreeMap<u64, StoredRecord>,
}

impl RecordTable {
    pub(crate) fn get(&self, key: u64) -> Option<&StoredRecord> {
        self.records.get(&key)
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.records.keys().copied()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &StoredRecord> + '_ {
        self.records.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut StoredRecord> + '_ {
        self.records.values_mut()
    }

    /// Whether records with these keys fit.
    pub(crate) fn has_room_for(&self, keys: impl Iterator<Item = u64>) -> bool {
        let new_keys = keys.filter(|key| !self.records.contains_key(key)).count();
        self.records.len() + new_keys <= MAX_RECORDS
    }

    /// Stores a record of this voter's own, whatever was held before.
    pub(crate) fn insert(&mut self, stored: StoredRecord) {
        self.records.insert(stored.record.key, stored);
    }

    /// Takes in a record of another voter if it is the later one.
    ///
    /// Where a majority has lost its memory, rounds may begin anew, so that a stamp proves nothing against time: an
    /// expired record yields to one that counts, whatever the stamps. Of two that count for the same unit the later
    /// end holds.
    pub(crate) fn merge(&mut self, leased: LeasedRecord, now_ms: f64, max_clock_skew: f64) {
        let record = leased.record;
        let incoming = StoredRecord {
            record,
            expires_at_ms: leased.remaining_ms.map_or(f64::INFINITY, |remaining_ms| {
                now_ms + f64::from(remaining_ms) * (1.0 + max_clock_skew)
            }),
            accepted_at_ms: now_ms,
        };
        let has_room = self.records.len() < MAX_RECORDS;
        let Some(known) = self.records.get_mut(&record.key) else {
            if has_room {
                self.records.insert(record.key, incoming);
            }
            return;
        };
        let known_counts = now_ms < known.expires_at_ms;
        let incoming_counts = now_ms < incoming.expires_at_ms;
        if known_counts && !incoming_counts {
            return;
        }
        if incoming_counts && !known_counts {
            *known = incoming;
            return;
        }
        let both_active = !record.is_tombstone() && !known.record.is_tombstone();
        let later_expiry_ms = known.expires_at_ms.max(incoming.expires_at_ms);
        if known.record.stamp < record.stamp {
            *known = incoming;
        }
        if both_active {
            known.expires_at_ms = later_expiry_ms;
        }
    }

    pub(crate) fn drop_old_tombstones(&mut self, now_ms: f64) {
        self.records.retain(|_, stored| {
            !stored.record.is_tombstone() || now_ms - stored.accepted_at_ms < TOMBSTONE_RETENTION_MS
        });
    }

    pub(crate) fn digest(&self) -> u32 {
        digest(self.records.values().map(|stored| &stored.record))
    }

    pub(crate) fn highest_stamp(&self) -> Stamp {
        self.records
            .values()
            .map(|stored| stored.record.stamp)
            .max()
            .unwrap_or_default()
    }
}

/// Digest of a set of records, tombstones left out: the same in any order. Two tables with one digest hold the same.
pub fn digest<'a>(records: impl Iterator<Item = &'a Record>) -> u32 {
    records
        .filter(|record| !record.is_tombstone())
        .map(record_hash)
        .fold(0, u32::wrapping_add)
}

/// Hash of a record's key and stamp. Two records with one stamp have one value, so the value is left out.
fn record_hash(record: &Record) -> u32 {
    /// 2^64 divided by the golden ratio, as in Fibonacci hashing.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let Stamp { ballot, number } = record.stamp;
    let mut hash = record.key;
    for field in [u64::from(ballot.round), ballot.leader, u64::from(number)] {
        hash = (hash ^ field).wrapping_mul(MULTIPLIER).rotate_left(29);
    }
    (hash >> 32) as u32
}
