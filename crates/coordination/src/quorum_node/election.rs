//! Phase one of Paxos: prepare and promise. One election covers all records, because they share the leader's ballot.

use super::{QuorumNode, State};
use crate::candidacy::{Candidacy, PromiseFragment};
use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::leadership::Leadership;
use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, Id};
use rand::RngExt;
use std::collections::BTreeMap;

impl QuorumNode {
    /// Becomes a candidate if no leader is in contact and the backoff after the last candidacy has passed.
    pub(super) fn start_candidacy_if_due(&mut self) {
        let lease_ms = self.config.leader_lease_ms * (1.0 + self.config.max_clock_skew);
        let lease_ended = self.now_ms - self.leader_contact_ms >= lease_ms;
        let must_wait = self.is_quarantined() || self.now_ms < self.next_candidacy_ms;
        if must_wait || !lease_ended || !self.voters.contains(&self.id) {
            return;
        }
        let ballot = Ballot {
            round: self.highest_round.max(self.promised.round) + 1,
            leader: self.id,
        };
        let nonce = self.rng.random();
        self.promised = ballot;
        self.leader_contact_ms = self.now_ms;
        let candidacy = Candidacy::new(ballot, nonce, self.now_ms);
        let prepare = candidacy.prepare();
        self.state = State::Candidate(candidacy);
        self.send_to_others(&prepare);
        if self.majority() == 1 {
            self.become_leader();
        }
    }

    /// Resends the prepare message to the voters whose promise is incomplete, if it is due.
    pub(super) fn resend_prepares_if_due(&mut self) {
        let State::Candidate(candidacy) = &mut self.state else {
            return;
        };
        if self.now_ms - candidacy.sent_ms() < self.config.retransmit_ms {
            return;
        }
        candidacy.set_sent(self.now_ms);
        let prepare = candidacy.prepare();
        let own_id = self.id;
        let receivers: Vec<Id> = self
            .voters
            .iter()
            .copied()
            .filter(|voter| *voter != own_id && !candidacy.has_promise_of(*voter))
            .collect();
        for voter in receivers {
            self.send(voter, prepare.clone());
        }
    }

    /// Handles a candidate's request for a promise, as an acceptor.
    pub(super) fn on_prepare(&mut self, from: Id, ballot: Ballot, nonce: u64) {
        if ballot.leader != from {
            return;
        }
        // While the leader that this voter follows is in contact, no other candidate gets a promise.
        let follows_other_leader = self.now_ms - self.leader_contact_ms
            < self.config.leader_lease_ms
            && self.promised.leader != from;
        let must_reject =
            ballot < self.promised || (follows_other_leader && ballot != self.promised);
        if self.is_quarantined() || must_reject {
            let promised = self.promised;
            self.send(from, Message::Reject { ballot: promised });
            return;
        }
        self.follow(ballot);
        self.send_promise(from, ballot, nonce);
    }

    /// Promises a ballot, which must not be lower than the previously promised ballot.
    pub(super) fn follow(&mut self, ballot: Ballot) {
        if ballot != self.promised {
            self.step_down();
        }
        self.promised = ballot;
        self.leader_contact_ms = self.now_ms;
    }

    /// Sends a promise with all accepted records, in as many fragments as needed.
    fn send_promise(&mut self, to: Id, ballot: Ballot, nonce: u64) {
        let records: Vec<LeasedRecord> = self.records().collect();
        let fragment_count = records.len().div_ceil(MAX_RECORDS_PER_MESSAGE).max(1) as u16;
        for fragment in 0..fragment_count {
            let fragment_records = records
                .iter()
                .skip(usize::from(fragment) * MAX_RECORDS_PER_MESSAGE)
                .take(MAX_RECORDS_PER_MESSAGE)
                .copied()
                .collect();
            let promise = Message::Promise {
                ballot,
                nonce,
                fragment,
                fragment_count,
                records: fragment_records,
            };
            self.send(to, promise);
        }
    }

    /// Whether a promise answers the current candidacy.
    pub(super) fn answers_own_candidacy(&self, ballot: Ballot, nonce: u64) -> bool {
        match &self.state {
            State::Candidate(candidacy) => candidacy.is_answered_by(ballot, nonce),
            State::Acceptor | State::Leader(_) => false,
        }
    }

    /// Handles a fragment of a promise for the current candidacy.
    pub(super) fn on_promise(&mut self, from: Id, fragment: PromiseFragment) {
        let majority = self.majority();
        let State::Candidate(candidacy) = &mut self.state else {
            return;
        };
        candidacy.add_fragment(from, fragment);
        if candidacy.promise_count() + 1 >= majority {
            self.become_leader();
        }
    }

    /// Becomes the leader after promises of a majority. Every record that one of these voters accepted is proposed
    /// again under this voter's ballot.
    fn become_leader(&mut self) {
        let State::Candidate(candidacy) = std::mem::replace(&mut self.state, State::Acceptor)
        else {
            return;
        };
        let ballot = candidacy.ballot();
        let sent_ms = candidacy.sent_ms();
        let mut contact_ms = BTreeMap::new();
        for (voter, records) in candidacy.into_promises() {
            contact_ms.insert(voter, sent_ms);
            self.merge_records(records);
        }
        let mut leadership = Leadership::new(ballot, contact_ms, self.now_ms);
        leadership.repropose(&mut self.records, self.id, self.now_ms);
        self.state = State::Leader(Box::new(leadership));
        self.send_pending_accepts();
        self.update_chosen();
    }

    /// Handles a rejection by a voter that promised the ballot `promised`.
    pub(super) fn on_reject(&mut self, promised: Ballot) {
        self.observe_round(promised.round);
        let own_ballot = match &self.state {
            State::Acceptor => return,
            State::Candidate(candidacy) => candidacy.ballot(),
            State::Leader(leadership) => leadership.ballot(),
        };
        if promised > own_ballot {
            self.step_down();
        }
    }
}
