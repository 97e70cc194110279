//! Phase two of Paxos: the leader proposes records, voters accept them, and records that a majority accepted are
//! chosen.

use super::{QuorumNode, State};
use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::event::{Proposal, ProposalId, ProposeError};
use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, Id, Record, RecordValue, Stamp};
use crate::record_table::StoredRecord;
use rand::RngExt;

/// Maximum number of messages in one repair of a lagging voter.
const MAX_REPAIR_MESSAGES: usize = 8;

impl QuorumNode {
    /// Writes records as the leader, and sends accept requests for them. [`QuorumNode::is_chosen`] returns true once a
    /// majority has accepted them.
    ///
    /// # Errors
    /// Returns a [`ProposeError`] if the proposals were rejected. None of them was written.
    pub fn propose(
        &mut self,
        proposals: &[Proposal],
        now_ms: f64,
    ) -> Result<ProposalId, ProposeError> {
        self.advance_clock(now_ms);
        self.check_proposals(proposals)?;
        let State::Leader(leadership) = &mut self.state else {
            return Err(ProposeError::NotLeader);
        };
        let ballot = leadership.ballot();
        let number = leadership.next_number(self.now_ms);
        let stamps: Vec<Stamp> = proposals.iter().map(|_| leadership.next_stamp()).collect();
        let mut written = Vec::with_capacity(proposals.len());
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
        self.update_chosen();
        Ok(ProposalId { ballot, number })
    }

    /// Checks whether this voter may write these proposals now.
    fn check_proposals(&self, proposals: &[Proposal]) -> Result<(), ProposeError> {
        let State::Leader(leadership) = &self.state else {
            return Err(ProposeError::NotLeader);
        };
        let count = proposals.len();
        if count == 0 || count > MAX_RECORDS_PER_MESSAGE {
            return Err(ProposeError::ProposalCount { count });
        }
        if leadership.is_full() {
            return Err(ProposeError::TooManyInFlight);
        }
        let keys = proposals.iter().map(|proposal| proposal.key);
        if !self.records.has_capacity_for(keys) {
            return Err(ProposeError::TableFull);
        }
        Ok(())
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

    /// Expiry time of a proposal (ms). A tombstone does not expire before the record that it ends has expired at every
    /// voter. A tombstone that is written again keeps its first expiry time.
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

    /// Runs the leader's timers: heartbeats and retransmission.
    pub(super) fn run_leader_timers(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        leadership.drop_old_send_times(self.now_ms, self.config.leader_lease_ms);
        let heartbeat = leadership.heartbeat_if_due(self.now_ms, self.config.retransmit_ms);
        if let Some(heartbeat) = heartbeat {
            self.send_to_others(&heartbeat);
        }
        self.send_pending_accepts();
    }

    /// Sends the accept requests that are due, to all voters that have not accepted them.
    pub(super) fn send_pending_accepts(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let retransmit_ms = self.config.retransmit_ms;
        for (voter, message) in leadership.due_accepts(&self.voters, self.now_ms, retransmit_ms) {
            self.send(voter, message);
        }
    }

    /// Updates the set of records that a majority has accepted.
    pub(super) fn update_chosen(&mut self) {
        let majority = self.majority();
        if let State::Leader(leadership) = &mut self.state {
            leadership.update_chosen(majority);
        }
    }

    /// Handles the leader's accept request or heartbeat, as an acceptor.
    pub(super) fn on_accept(
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
        self.merge_records(records);
        // A quarantined voter stores the records, but does not count towards a majority.
        let reply = if self.is_quarantined() {
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
        self.send(from, reply);
    }

    /// Handles a voter's acceptance, as the leader.
    pub(super) fn on_accepted(&mut self, from: Id, ballot: Ballot, number: u32, digest: u32) {
        let is_lagging = digest != self.digest();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.ballot() != ballot {
            return;
        }
        leadership.add_acceptance(from, number);
        if is_lagging {
            let retransmit_ms = self.config.retransmit_ms;
            if let Some(number) = leadership.begin_repair(from, self.now_ms, retransmit_ms) {
                self.send_repairs(from, ballot, number);
            }
        }
        self.update_chosen();
    }

    /// Sends records to a lagging voter, starting at a random record. A voter that lacks more records than one repair
    /// can carry thus receives all of them over several repairs.
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
