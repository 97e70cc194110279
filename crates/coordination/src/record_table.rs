//! The records of one voter, and the rule for merging two records with the same key.

use crate::message::LeasedRecord;
use crate::record::{Record, Stamp};
use std::collections::BTreeMap;

/// Maximum number of records, tombstones included.
pub const MAX_RECORDS: usize = 512;
/// Retention time of a tombstone (ms), which keeps an older record with the same key from reappearing.
const TOMBSTONE_RETENTION_MS: f64 = 600_000.0;

/// A record in the table of a voter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StoredRecord {
    pub(crate) record: Record,
    /// Expiry time (ms); infinite if the record does not expire.
    pub(crate) expires_at_ms: f64,
    pub(crate) accepted_at_ms: f64,
}

impl StoredRecord {
    /// The record with its remaining time.
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

/// The records by key, at most [`MAX_RECORDS`].
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

    /// Whether the table has capacity for records with these keys.
    pub(crate) fn has_capacity_for(&self, keys: impl Iterator<Item = u64>) -> bool {
        let new_keys = keys.filter(|key| !self.records.contains_key(key)).count();
        self.records.len() + new_keys <= MAX_RECORDS
    }

    /// Stores a record that this voter wrote itself, and replaces any record with the same key.
    pub(crate) fn insert(&mut self, stored: StoredRecord) {
        self.records.insert(stored.record.key, stored);
    }

    /// Stores a record of another voter if it is newer.
    ///
    /// Rounds may restart at a low number after a majority lost its memory. An unexpired record therefore replaces an
    /// expired record, whatever their stamps. If both are unexpired and neither is a tombstone, the later expiry
    /// applies.
    pub(crate) fn merge(&mut self, leased: LeasedRecord, now_ms: f64, max_clock_skew: f64) {
        let record = leased.record;
        let incoming = StoredRecord {
            record,
            expires_at_ms: leased.remaining_ms.map_or(f64::INFINITY, |remaining_ms| {
                now_ms + f64::from(remaining_ms) * (1.0 + max_clock_skew)
            }),
            accepted_at_ms: now_ms,
        };
        let has_capacity = self.records.len() < MAX_RECORDS;
        let Some(known) = self.records.get_mut(&record.key) else {
            if has_capacity {
                self.records.insert(record.key, incoming);
            }
            return;
        };
        let known_is_unexpired = now_ms < known.expires_at_ms;
        let incoming_is_unexpired = now_ms < incoming.expires_at_ms;
        if known_is_unexpired && !incoming_is_unexpired {
            return;
        }
        if incoming_is_unexpired && !known_is_unexpired {
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

/// Digest of a set of records, independent of their order. Tombstones are left out. Equal digests are taken to mean
/// equal records.
pub fn digest<'a>(records: impl Iterator<Item = &'a Record>) -> u32 {
    records
        .filter(|record| !record.is_tombstone())
        .map(record_hash)
        .fold(0, u32::wrapping_add)
}

/// Hash of a record's key and stamp. Records with the same stamp have the same value, so the value is left out.
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
