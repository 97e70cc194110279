//! Phase two of Paxos: the leader proposes records, voters accept them, and what a majority accepted is chosen.

use super::{QuorumNode, State};
use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::event::{Proposal, ProposalId, ProposeError};
use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, Id, Record, RecordValue, Stamp};
use crate::record_table::StoredRecord;
use rand::RngExt;

/// Limit on the messages that repair one lagging voter at a time.
const MAX_REPAIR_MESSAGES: usize = 8;

impl QuorumNode {
    /// Writes records as the leader, and sends accept requests for them. [`QuorumNode::is_chosen`] is true once a
    /// majority accepted.
    ///
    /// # Errors
    /// A [`ProposeError`]; nothing is written then.
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
        self.settle_chosen();
        Ok(ProposalId { ballot, number })
    }

    /// Whether this voter may write these proposals now.
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
        if !self.records.has_room_for(keys) {
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

    /// When a proposal expires (ms). A tombstone counts for as long as the record that it ends may count at any voter;
    /// a tombstone that is written again keeps the expiry of the first.
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
        leadership.forget_old_requests(self.now_ms, self.config.leader_lease_ms);
        let heartbeat = leadership.heartbeat_if_due(self.now_ms, self.config.retransmit_ms);
        if let Some(heartbeat) = heartbeat {
            self.send_to_others(&heartbeat);
        }
        self.send_pending_accepts();
    }

    /// Sends the accept requests that are new or due again to all voters that have not accepted them.
    pub(super) fn send_pending_accepts(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let retransmit_ms = self.config.retransmit_ms;
        for (voter, message) in leadership.due_accepts(&self.voters, self.now_ms, retransmit_ms) {
            self.send(voter, message);
        }
    }

    /// Updates which records a majority has accepted.
    pub(super) fn settle_chosen(&mut self) {
        let majority = self.majority();
        if let State::Leader(leadership) = &mut self.state {
            leadership.settle_chosen(majority);
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
        self.merge_all(records);
        // A quarantined voter learns the records, but is not counted towards a majority.
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

    /// Handles a voter's acceptance, as the leader.
    pub(super) fn on_accepted(&mut self, from: Id, ballot: Ballot, number: u32, digest: u32) {
        let lags = digest != self.digest();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.ballot() != ballot {
            return;
        }
        leadership.record_accepted(from, number);
        if lags {
            let retransmit_ms = self.config.retransmit_ms;
            if let Some(number) = leadership.begin_repair(from, self.now_ms, retransmit_ms) {
                self.send_repairs(from, ballot, number);
            }
        }
        self.settle_chosen();
    }

    /// Sends records to a lagging voter. The first one is drawn at random, so that a voter that lacks more than fit in
    /// these messages receives all of them after several repairs.
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
