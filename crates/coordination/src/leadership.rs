//! Leader state: phase two of Paxos on the proposer's side.

use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::message::Message;
use crate::record::{Ballot, Id, Stamp};
use crate::record_table::{RecordTable, StoredRecord};
use std::collections::BTreeMap;

/// Maximum number of accept requests in flight.
const MAX_IN_FLIGHT: usize = 64;

/// An accept request that a majority has not accepted yet.
#[derive(Debug, Clone)]
struct PendingAccept {
    number: u32,
    records: Vec<StoredRecord>,
    /// Time of the last transmission (ms).
    sent_ms: f64,
    accepted_by: Vec<Id>,
}

impl PendingAccept {
    fn message(&self, ballot: Ballot, now_ms: f64) -> Message {
        Message::Accept {
            ballot,
            number: self.number,
            records: self
                .records
                .iter()
                .map(|stored| stored.leased(now_ms))
                .collect(),
        }
    }
}

/// The number of an accept request, and the time of its first transmission (ms).
#[derive(Debug, Clone, Copy)]
struct SentAccept {
    number: u32,
    sent_ms: f64,
}

/// The leader's ballot, its accept requests, and the records that a majority accepted.
#[derive(Debug, Clone)]
pub(crate) struct Leadership {
    ballot: Ballot,
    last_number: u32,
    last_stamp: u32,
    pending: Vec<PendingAccept>,
    /// Accept requests sent within the last leader lease.
    sent: Vec<SentAccept>,
    /// By voter: send time of the latest request that the voter answered (ms).
    contact_ms: BTreeMap<Id, f64>,
    /// By lagging voter: time of the last repair (ms).
    repaired_ms: BTreeMap<Id, f64>,
    next_heartbeat_ms: f64,
    /// The records that a majority accepted, by key.
    chosen: BTreeMap<u64, StoredRecord>,
    /// Number of the last accept request that carries records recovered by the election.
    last_recovery_number: u32,
    /// Start of the leadership (ms).
    since_ms: f64,
}

impl Leadership {
    pub(crate) fn new(ballot: Ballot, contact_ms: BTreeMap<Id, f64>, now_ms: f64) -> Self {
        Leadership {
            ballot,
            last_number: 0,
            last_stamp: 0,
            pending: Vec::new(),
            sent: Vec::new(),
            contact_ms,
            repaired_ms: BTreeMap::new(),
            next_heartbeat_ms: now_ms,
            chosen: BTreeMap::new(),
            last_recovery_number: 0,
            since_ms: now_ms,
        }
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Start of the leadership (ms).
    pub(crate) fn since_ms(&self) -> f64 {
        self.since_ms
    }

    /// The record of a key that a majority accepted.
    pub(crate) fn chosen(&self, key: u64) -> Option<&StoredRecord> {
        self.chosen.get(&key)
    }

    /// The keys of all records that a majority accepted.
    pub(crate) fn chosen_keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.chosen.keys().copied()
    }

    /// Stamps all records except tombstones under this leader's ballot, and adds accept requests for them.
    pub(crate) fn repropose(&mut self, records: &mut RecordTable, own_id: Id, now_ms: f64) {
        let mut active_records: Vec<&mut StoredRecord> = records
            .values_mut()
            .filter(|stored| !stored.record.is_tombstone())
            .collect();
        for chunk in active_records.chunks_mut(MAX_RECORDS_PER_MESSAGE) {
            let number = self.next_number(now_ms);
            for stored in chunk.iter_mut() {
                stored.record.stamp = self.next_stamp();
            }
            let copies = chunk.iter().map(|stored| **stored).collect();
            self.add_pending(number, copies, own_id);
        }
        self.last_recovery_number = self.last_number;
    }

    /// Whether a majority accepted all records that the election recovered.
    pub(crate) fn is_recovered(&self) -> bool {
        !self
            .pending
            .iter()
            .any(|pending| pending.number <= self.last_recovery_number)
    }

    /// Whether the number of accept requests in flight has reached [`MAX_IN_FLIGHT`].
    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_IN_FLIGHT
    }

    /// Number of other voters that answered a request sent within the last leader lease.
    pub(crate) fn voters_in_contact(&self, now_ms: f64, lease_ms: f64) -> usize {
        self.contact_ms
            .values()
            .filter(|sent_ms| now_ms - **sent_ms < lease_ms)
            .count()
    }

    /// Allocates the number of an accept request, and stores `now_ms` as its send time.
    pub(crate) fn next_number(&mut self, now_ms: f64) -> u32 {
        self.last_number += 1;
        self.sent.push(SentAccept {
            number: self.last_number,
            sent_ms: now_ms,
        });
        self.last_number
    }

    /// Allocates the stamp of a new record.
    pub(crate) fn next_stamp(&mut self) -> Stamp {
        self.last_stamp += 1;
        Stamp {
            ballot: self.ballot,
            number: self.last_stamp,
        }
    }

    /// Adds an accept request, which the leader itself has already accepted.
    pub(crate) fn add_pending(&mut self, number: u32, records: Vec<StoredRecord>, own_id: Id) {
        self.pending.push(PendingAccept {
            number,
            records,
            sent_ms: f64::NEG_INFINITY,
            accepted_by: vec![own_id],
        });
    }

    /// Drops the send times of accept requests older than the leader lease: answers to them do not count as contact.
    pub(crate) fn drop_old_send_times(&mut self, now_ms: f64, lease_ms: f64) {
        self.sent
            .retain(|request| now_ms - request.sent_ms < lease_ms);
    }

    /// Returns a heartbeat, which is an accept request without records, if one is due.
    pub(crate) fn heartbeat_if_due(&mut self, now_ms: f64, interval_ms: f64) -> Option<Message> {
        if now_ms < self.next_heartbeat_ms {
            return None;
        }
        self.next_heartbeat_ms = now_ms + interval_ms;
        Some(Message::Accept {
            ballot: self.ballot,
            number: self.next_number(now_ms),
            records: Vec::new(),
        })
    }

    /// Returns the accept requests that are due for transmission: one message for each voter that has not accepted the
    /// request.
    pub(crate) fn due_accepts(
        &mut self,
        voters: &[Id],
        now_ms: f64,
        retransmit_ms: f64,
    ) -> Vec<(Id, Message)> {
        let mut messages = Vec::new();
        for pending in &mut self.pending {
            if now_ms - pending.sent_ms < retransmit_ms {
                continue;
            }
            pending.sent_ms = now_ms;
            let message = pending.message(self.ballot, now_ms);
            for voter in voters {
                if !pending.accepted_by.contains(voter) {
                    messages.push((*voter, message.clone()));
                }
            }
        }
        messages
    }

    /// Registers a voter's acceptance of a request. If the request is older than the leader lease, its acceptance does
    /// not count as contact, because the voter may have lost its memory since.
    pub(crate) fn add_acceptance(&mut self, from: Id, number: u32) {
        let request = self.sent.iter().find(|request| request.number == number);
        if let Some(request) = request {
            let contact_ms = self.contact_ms.entry(from).or_insert(request.sent_ms);
            *contact_ms = contact_ms.max(request.sent_ms);
        }
        for pending in &mut self.pending {
            if pending.number == number && !pending.accepted_by.contains(&from) {
                pending.accepted_by.push(from);
            }
        }
    }

    /// Allocates the number of an accept request that repairs a lagging voter. Returns `None` while any accept request
    /// is pending, or if the last repair of the voter is less than `interval_ms` ago.
    pub(crate) fn begin_repair(&mut self, voter: Id, now_ms: f64, interval_ms: f64) -> Option<u32> {
        let is_due = self
            .repaired_ms
            .get(&voter)
            .is_none_or(|repaired_ms| now_ms - repaired_ms >= interval_ms);
        if !self.pending.is_empty() || !is_due {
            return None;
        }
        self.repaired_ms.insert(voter, now_ms);
        Some(self.next_number(now_ms))
    }

    /// Removes the requests that a majority accepted, and adds their records to the chosen records.
    pub(crate) fn update_chosen(&mut self, majority: usize) {
        for pending in &self.pending {
            if pending.accepted_by.len() < majority {
                continue;
            }
            for stored in &pending.records {
                let chosen = self.chosen.entry(stored.record.key).or_insert(*stored);
                if chosen.record.stamp < stored.record.stamp {
                    *chosen = *stored;
                }
            }
        }
        self.pending
            .retain(|pending| pending.accepted_by.len() < majority);
    }
}
