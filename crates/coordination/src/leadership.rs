//! The state of a leader: phase two of Paxos, seen from the proposer.

use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::message::Message;
use crate::record::{Ballot, Id, Stamp};
use crate::record_table::{RecordTable, StoredRecord};
use std::collections::BTreeMap;

/// Limit on accept requests in flight.
const MAX_IN_FLIGHT: usize = 64;

/// An accept request that no majority has answered yet.
#[derive(Debug, Clone)]
struct PendingAccept {
    number: u32,
    records: Vec<StoredRecord>,
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

/// When an accept request was first sent.
#[derive(Debug, Clone, Copy)]
struct SentAccept {
    number: u32,
    sent_ms: f64,
}

/// The leader's ballot, its accept requests, and what a majority accepted.
#[derive(Debug, Clone)]
pub(crate) struct Leadership {
    ballot: Ballot,
    last_number: u32,
    last_stamp: u32,
    pending: Vec<PendingAccept>,
    /// Accept requests of the last leader lease.
    sent: Vec<SentAccept>,
    /// When the latest request that each voter answered was sent.
    contact_ms: BTreeMap<Id, f64>,
    /// When each lagging voter was last sent the records that it lacks.
    repaired_ms: BTreeMap<Id, f64>,
    next_heartbeat_ms: f64,
    /// The records that a majority accepted, by key.
    chosen: BTreeMap<u64, StoredRecord>,
    /// The last accept request with records that the election found.
    last_recovery_number: u32,
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

    /// When the leadership began (ms).
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

    /// Stamps all records that are in force with the own ballot, and adds accept requests for them.
    pub(crate) fn repropose(&mut self, records: &mut RecordTable, own_id: Id, now_ms: f64) {
        let mut found: Vec<&mut StoredRecord> = records
            .values_mut()
            .filter(|stored| !stored.record.is_tombstone())
            .collect();
        for chunk in found.chunks_mut(MAX_RECORDS_PER_MESSAGE) {
            let number = self.next_number(now_ms);
            for stored in chunk.iter_mut() {
                stored.record.stamp = self.next_stamp();
            }
            let copies = chunk.iter().map(|stored| **stored).collect();
            self.add_pending(number, copies, own_id);
        }
        self.last_recovery_number = self.last_number;
    }

    /// Whether a majority accepted all records that the election found.
    pub(crate) fn is_recovered(&self) -> bool {
        !self
            .pending
            .iter()
            .any(|pending| pending.number <= self.last_recovery_number)
    }

    /// Whether another accept request would exceed the limit on those in flight.
    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_IN_FLIGHT
    }

    /// Number of other voters that answered a request of the last leader lease.
    pub(crate) fn voters_in_contact(&self, now_ms: f64, lease_ms: f64) -> usize {
        self.contact_ms
            .values()
            .filter(|sent_ms| now_ms - **sent_ms < lease_ms)
            .count()
    }

    /// The number of a new accept request that is sent now.
    pub(crate) fn next_number(&mut self, now_ms: f64) -> u32 {
        self.last_number += 1;
        self.sent.push(SentAccept {
            number: self.last_number,
            sent_ms: now_ms,
        });
        self.last_number
    }

    /// The stamp of a new record.
    pub(crate) fn next_stamp(&mut self) -> Stamp {
        self.last_stamp += 1;
        Stamp {
            ballot: self.ballot,
            number: self.last_stamp,
        }
    }

    /// Adds an accept request that the leader itself has accepted already.
    pub(crate) fn add_pending(&mut self, number: u32, records: Vec<StoredRecord>, own_id: Id) {
        self.pending.push(PendingAccept {
            number,
            records,
            sent_ms: f64::NEG_INFINITY,
            accepted_by: vec![own_id],
        });
    }

    /// Forgets when accept requests older than the leader lease were sent: an answer to them is no contact.
    pub(crate) fn forget_old_requests(&mut self, now_ms: f64, lease_ms: f64) {
        self.sent
            .retain(|request| now_ms - request.sent_ms < lease_ms);
    }

    /// The next heartbeat, if it is due: an accept request without records.
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

    /// The accept requests that are new or due again, for each voter that has not accepted them.
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

    /// Records that a voter accepted a request. An answer to a request that is too old is no contact: the voter may
    /// have lost its memory since.
    pub(crate) fn record_accepted(&mut self, from: Id, number: u32) {
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

    /// The number of an accept request that repairs a lagging voter; `None` while one is in flight or was sent too
    /// recently.
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

    /// Moves the records of requests that a majority accepted to the chosen ones.
    pub(crate) fn settle_chosen(&mut self, majority: usize) {
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
