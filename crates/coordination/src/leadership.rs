//! Phase two of Paxos: the leader proposes records, voters accept them, and what a majority accepted is chosen.

use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::event::{Proposal, ProposalId, ProposeError};
use crate::message::{LeasedRecord, Message};
use crate::quorum_node::{QuorumNode, State};
use crate::record::{Ballot, Id, Record, RecordValue, Stamp};
use crate::record_table::{RecordTable, StoredRecord};
use rand::RngExt;
use std::collections::BTreeMap;

/// Accept requests in flight at a time.
const MAX_IN_FLIGHT: usize = 64;
/// Messages that bring one lagging voter up to date at a time.
const MAX_REPAIR_MESSAGES: usize = 8;

/// An accept request that no majority has answered yet.
#[derive(Debug, Clone)]
struct PendingAccept {
    number: u32,
    records: Vec<StoredRecord>,
    sent_ms: f64,
    accepted_by: Vec<Id>,
}

/// When an accept request was sent first.
#[derive(Debug, Clone, Copy)]
struct SentAccept {
    number: u32,
    sent_ms: f64,
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(crate) struct Leadership {
    pub(crate) ballot: Ballot,
    last_number: u32,
    last_stamp: u32,
    pending: Vec<PendingAccept>,
    /// Accept requests of the last leader lease.
    sent: Vec<SentAccept>,
    /// When the latest request that each voter answered was sent.
    contact_ms: BTreeMap<Id, f64>,
    /// When each lagging voter was last brought up to date.
    repaired_ms: BTreeMap<Id, f64>,
    next_heartbeat_ms: f64,
    /// What a majority accepted.
    pub(crate) chosen: BTreeMap<u64, StoredRecord>,
    /// The last request with records that it found at its election.
    last_recovery_number: u32,
    pub(crate) since_ms: f64,
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

    /// Puts all records that are in force under the own ballot, and asks the voters to accept them.
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

    /// Whether a majority accepted all records that it found at its election.
    pub(crate) fn is_recovered(&self) -> bool {
        !self
            .pending
            .iter()
            .any(|pending| pending.number <= self.last_recovery_number)
    }

    /// How many other voters answered a request of the last leader lease.
    pub(crate) fn voters_in_contact(&self, now_ms: f64, lease_ms: f64) -> usize {
        self.contact_ms
            .values()
            .filter(|sent_ms| now_ms - **sent_ms < lease_ms)
            .count()
    }

    fn next_number(&mut self, now_ms: f64) -> u32 {
        self.last_number += 1;
        self.sent.push(SentAccept {
            number: self.last_number,
            sent_ms: now_ms,
        });
        self.last_number
    }

    fn next_stamp(&mut self) -> Stamp {
        self.last_stamp += 1;
        Stamp {
            ballot: self.ballot,
            number: self.last_stamp,
        }
    }

    fn add_pending(&mut self, number: u32, records: Vec<StoredRecord>, own_id: Id) {
        self.pending.push(PendingAccept {
            number,
            records,
            sent_ms: f64::NEG_INFINITY,
            accepted_by: vec![own_id],
        });
    }

    /// Notes that a voter accepted a request. An answer to a request that is too old is no contact: the voter may have
    /// lost its memory since.
    fn note_accepted(&mut self, from: Id, number: u32) {
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

    /// Moves requests that a majority accepted to the chosen records.
    fn settle_chosen(&mut self, majority: usize) {
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

impl QuorumNode {
    /// Writes records as the leader, and asks the voters to accept them. [`QuorumNode::is_chosen`] is true
    /// once a majority did.
    ///
    /// # Errors
    /// A [`ProposeError`]; nothing is written then.
    pub fn propose(
        &mut self,
        proposals: &[Proposal],
        now_ms: f64,
    ) -> Result<ProposalId, ProposeError> {
        self.advance_clock(now_ms);
        let State::Leader(leadership) = &mut self.state else {
            return Err(ProposeError::NotLeader);
        };
        let count = proposals.len();
        if count == 0 || count > MAX_RECORDS_PER_MESSAGE {
            return Err(ProposeError::ProposalCount { count });
        }
        if leadership.pending.len() >= MAX_IN_FLIGHT {
            return Err(ProposeError::TooManyInFlight);
        }
        let keys = proposals.iter().map(|proposal| proposal.key);
        if !self.records.has_room_for(keys) {
            return Err(ProposeError::TableFull);
        }
        let ballot = leadership.ballot;
        let number = leadership.next_number(self.now_ms);
        let stamps: Vec<Stamp> = proposals.iter().map(|_| leadership.next_stamp()).collect();
        let mut written = Vec::with_capacity(count);
        for (proposal, stamp) in proposals.iter().zip(stamps) {
            let stored = self.stored_proposal(proposal, stamp);
            self.records.insert(stored);
            written.push(stored);
        }
        let own_id = self.id;
        if let State::Leader(leadership) = &mut self.state {
            leadership.add_pending(number, written, own_id);
        }
        self.send_pending_accepts();
        self.settle_chosen();
        Ok(ProposalId { ballot, number })
    }

    fn stored_proposal(&self, proposal: &Proposal, stamp: Stamp) -> StoredRecord {
        StoredRecord {
            record: Record {
                key: proposal.key,
                stamp,
                value: proposal.value,
            },
            expires_at_ms: self.expiry_ms(proposal),
            accepted_at_ms: self.now_ms,
        }
    }

    /// When a proposal ends by itself. A tombstone counts for as long as the record that it ends may count anywhere;
    /// one that is written again keeps the end of the first.
    fn expiry_ms(&self, proposal: &Proposal) -> f64 {
        let skew_factor = 1.0 + self.config.max_clock_skew;
        if proposal.value == RecordValue::Tombstone {
            if let Some(known) = self.records.get(proposal.key) {
                if known.record.is_tombstone() {
                    return known.expires_at_ms;
                }
                if known.expires_at_ms.is_finite() {
                    let remaining_ms = (known.expires_at_ms - self.now_ms).max(0.0);
                    return self.now_ms + remaining_ms * skew_factor + self.config.leader_lease_ms;
                }
            }
        }
        proposal
            .term_ms
            .map_or(f64::INFINITY, |term_ms| self.now_ms + term_ms * skew_factor)
    }

    /// What the leader does when time passes: heartbeats and retransmission.
    pub(crate) fn lead(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let now_ms = self.now_ms;
        let lease_ms = self.config.leader_lease_ms;
        leadership
            .sent
            .retain(|request| now_ms - request.sent_ms < lease_ms);
        if now_ms >= leadership.next_heartbeat_ms {
            leadership.next_heartbeat_ms = now_ms + self.config.retransmit_ms;
            let heartbeat = Message::Accept {
                ballot: leadership.ballot,
                number: leadership.next_number(now_ms),
                records: Vec::new(),
            };
            self.send_to_others(&heartbeat);
        }
        self.send_pending_accepts();
    }

    /// Sends the requests that are new or due again to all voters that have not accepted them.
    pub(crate) fn send_pending_accepts(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let now_ms = self.now_ms;
        let mut messages = Vec::new();
        for pending in &mut leadership.pending {
            if now_ms - pending.sent_ms < self.config.retransmit_ms {
                continue;
            }
            pending.sent_ms = now_ms;
            let message = Message::Accept {
                ballot: leadership.ballot,
                number: pending.number,
                records: pending
                    .records
                    .iter()
                    .map(|stored| stored.leased(now_ms))
                    .collect(),
            };
            for voter in &self.voters {
                if !pending.accepted_by.contains(voter) {
                    messages.push((*voter, message.clone()));
                }
            }
        }
        for (voter, message) in messages {
            self.send(voter, message);
        }
    }

    pub(crate) fn settle_chosen(&mut self) {
        let majority = self.majority();
        if let State::Leader(leadership) = &mut self.state {
            leadership.settle_chosen(majority);
        }
    }

    /// The leader asks to accept records, or sends a heartbeat.
    pub(crate) fn on_accept(
        &mut self,
        from: Id,
        ballot: Ballot,
        number: u32,
        records: Vec<LeasedRecord>,
    ) {
        if ballot.leader != from {
            return;
        }
        if ballot < self.promised {
            let promised = self.promised;
            self.send(from, Message::Reject { ballot: promised });
            return;
        }
        self.follow(ballot);
        self.merge_all(records);
        // A quarantined voter learns the records, and its answer counts for nothing.
        let answer = if self.is_quarantined() {
            Message::Reject {
                ballot: self.promised,
            }
        } else {
            Message::Accepted {
                ballot,
                number,
                digest: self.digest(),
            }
        };
        self.send(from, answer);
    }

    /// A voter accepted a request.
    pub(crate) fn on_accepted(&mut self, from: Id, ballot: Ballot, number: u32, digest: u32) {
        let own_digest = self.digest();
        let now_ms = self.now_ms;
        let retransmit_ms = self.config.retransmit_ms;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.ballot != ballot {
            return;
        }
        leadership.note_accepted(from, number);
        let lags = digest != own_digest && leadership.pending.is_empty();
        let repair_is_due = leadership
            .repaired_ms
            .get(&from)
            .is_none_or(|repaired_ms| now_ms - repaired_ms >= retransmit_ms);
        if lags && repair_is_due {
            leadership.repaired_ms.insert(from, now_ms);
            let number = leadership.next_number(now_ms);
            self.send_repairs(from, ballot, number);
        }
        self.settle_chosen();
    }

    /// Sends records to a lagging voter, beginning anywhere, so that one that lacks many gets all of them in the end.
    fn send_repairs(&mut self, voter: Id, ballot: Ballot, number: u32) {
        let mut records: Vec<LeasedRecord> = self.records().collect();
        if !records.is_empty() {
            let first = self.rng.random_range(0..records.len());
            records.rotate_left(first);
        }
        for chunk in records
            .chunks(MAX_RECORDS_PER_MESSAGE)
            .take(MAX_REPAIR_MESSAGES)
        {
            let repair = Message::Accept {
                ballot,
                number,
                records: chunk.to_vec(),
            };
            self.send(voter, repair);
        }
    }
}
