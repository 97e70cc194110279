//! A member's copies of the quorum records.

use std::collections::BTreeMap;
use tansymux_coordination::{
    DisruptionReason, LeasedRecord, Record, RecordValue, UnitKind, HALT_KEY, MAX_RECORDS,
};

/// Retention of a tombstone (ms), the same as at the voters.
const TOMBSTONE_RETENTION_MS: f64 = 600_000.0;

/// The copy of one record.
#[derive(Debug, Clone, Copy)]
struct RecordCopy {
    record: Record,
    expires_at_ms: f64,
    received_at_ms: f64,
}

/// Table of at most [`MAX_RECORDS`] copies, by key.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecordCopies {
    copies: BTreeMap<u64, RecordCopy>,
}

impl RecordCopies {
    /// Stores records. Of two records with the same key, an unexpired record replaces an expired one; otherwise the
    /// record with the higher stamp replaces the other.
    pub(crate) fn merge(&mut self, records: impl Iterator<Item = LeasedRecord>, now_ms: f64) {
        for leased in records {
            self.merge_record(leased, now_ms);
        }
    }

    fn merge_record(&mut self, leased: LeasedRecord, now_ms: f64) {
        let incoming = RecordCopy {
            record: leased.record,
            expires_at_ms: leased.remaining_ms.map_or(f64::INFINITY, |remaining_ms| {
                now_ms + f64::from(remaining_ms)
            }),
            received_at_ms: now_ms,
        };
        let has_capacity = self.copies.len() < MAX_RECORDS;
        let Some(existing) = self.copies.get_mut(&leased.record.key) else {
            if has_capacity {
                self.copies.insert(leased.record.key, incoming);
            }
            return;
        };
        let existing_is_valid = now_ms < existing.expires_at_ms;
        let incoming_is_valid = now_ms < incoming.expires_at_ms;
        let has_higher_stamp = existing.record.stamp < incoming.record.stamp;
        if incoming_is_valid && !existing_is_valid
            || incoming_is_valid == existing_is_valid && has_higher_stamp
        {
            *existing = incoming;
        }
    }

    /// Drops tombstones whose retention has ended.
    pub(crate) fn drop_old_tombstones(&mut self, now_ms: f64) {
        self.copies.retain(|_, copy| {
            !copy.record.is_tombstone() || now_ms - copy.received_at_ms < TOMBSTONE_RETENTION_MS
        });
    }

    /// All records with their remaining time, including tombstones.
    pub(crate) fn records(&self, now_ms: f64) -> impl Iterator<Item = LeasedRecord> + '_ {
        self.copies.values().map(move |copy| {
            let remaining_ms = (copy.expires_at_ms - now_ms).max(0.0) as u32;
            LeasedRecord {
                record: copy.record,
                remaining_ms: copy.expires_at_ms.is_finite().then_some(remaining_ms),
            }
        })
    }

    /// Keys and reasons of the unexpired disruption records of engines.
    pub(crate) fn unavailable_engines(
        &self,
        now_ms: f64,
    ) -> impl Iterator<Item = (u64, DisruptionReason)> + '_ {
        self.copies
            .values()
            .filter(move |copy| now_ms < copy.expires_at_ms)
            .filter_map(|copy| match copy.record.value {
                RecordValue::Disruption {
                    kind: UnitKind::Engine,
                    reason,
                    ..
                } => Some((copy.record.key, reason)),
                _ => None,
            })
    }

    /// Number of the halt, if there is a copy of one.
    pub(crate) fn halt(&self) -> Option<u32> {
        match self.copies.get(&HALT_KEY)?.record.value {
            RecordValue::Halt { number, .. } => Some(number),
            _ => None,
        }
    }

    /// Digest of all records; see [`tansymux_coordination::digest`].
    pub(crate) fn digest(&self) -> u32 {
        tansymux_coordination::digest(self.copies.values().map(|copy| &copy.record))
    }

    /// The highest round of all records; 0 without records.
    pub(crate) fn highest_round(&self) -> u32 {
        self.copies
            .values()
            .map(|copy| copy.record.stamp.ballot.round)
            .max()
            .unwrap_or(0)
    }
}
