//! Phase one of Paxos: candidacies and promises. All records share the ballots of one leader, so one election serves
//! them all.

use crate::codec::MAX_RECORDS_PER_MESSAGE;
use crate::leadership::Leadership;
use crate::message::{LeasedRecord, Message};
use crate::quorum_node::{QuorumNode, State};
use crate::record::{Ballot, Id};
use crate::record_table::MAX_RECORDS;
use rand::RngExt;
use std::collections::BTreeMap;

/// A candidacy under way.
#[derive(Debug, Clone)]
pub(crate) struct Candidacy {
    pub(crate) ballot: Ballot,
    nonce: u64,
    promises: BTreeMap<Id, PromiseFragments>,
    /// When the prepare messages were sent last.
    sent_ms: f64,
    pub(crate) since_ms: f64,
}

impl Candidacy {
    fn has_promise_of(&self, voter: Id) -> bool {
        self.promises
            .get(&voter)
            .is_some_and(PromiseFragments::is_complete)
    }
}

/// The fragments of one voter's promise that arrived.
#[derive(Debug, Clone)]
struct PromiseFragments {
    fragments: Vec<Option<Vec<LeasedRecord>>>,
}

impl PromiseFragments {
    fn is_complete(&self) -> bool {
        self.fragments.iter().all(Option::is_some)
    }
}

impl QuorumNode {
    /// Becomes a candidate if no leader is in contact and the wait after the last candidacy is over.
    pub(crate) fn start_candidacy_if_due(&mut self) {
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
        self.state = State::Candidate(Candidacy {
            ballot,
            nonce,
            promises: BTreeMap::new(),
            sent_ms: self.now_ms,
            since_ms: self.now_ms,
        });
        self.send_to_others(&Message::Prepare { ballot, nonce });
        if self.majority() == 1 {
            self.become_leader();
        }
    }

    /// Asks the voters again whose promise is not complete.
    pub(crate) fn resend_prepares_if_due(&mut self) {
        let State::Candidate(candidacy) = &mut self.state else {
            return;
        };
        if self.now_ms - candidacy.sent_ms < self.config.retransmit_ms {
            return;
        }
        candidacy.sent_ms = self.now_ms;
        let message = Message::Prepare {
            ballot: candidacy.ballot,
            nonce: candidacy.nonce,
        };
        let own_id = self.id;
        let unanswered: Vec<Id> = self
            .voters
            .iter()
            .copied()
            .filter(|voter| *voter != own_id && !candidacy.has_promise_of(*voter))
            .collect();
        for voter in unanswered {
            self.send(voter, message.clone());
        }
    }

    /// A candidate asks for a promise.
    pub(crate) fn on_prepare(&mut self, from: Id, ballot: Ballot, nonce: u64) {
        if ballot.leader != from {
            return;
        }
        // While the leader that it follows is in contact, it promises nothing to another candidate.
        let follows_other = self.now_ms - self.leader_contact_ms < self.config.leader_lease_ms
            && self.promised.leader != from;
        let must_refuse = ballot < self.promised || (follows_other && ballot != self.promised);
        if self.is_quarantined() || must_refuse {
            let promised = self.promised;
            self.send(from, Message::Reject { ballot: promised });
            return;
        }
        self.follow(ballot);
        self.send_promise(from, ballot, nonce);
    }

    /// Promises a ballot that is not lower than the one promised before.
    pub(crate) fn follow(&mut self, ballot: Ballot) {
        if ballot != self.promised {
            self.step_down();
        }
        self.promised = ballot;
        self.leader_contact_ms = self.now_ms;
    }

    /// Sends all records, in as many fragments as they need.
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

    /// Whether a promise is for the candidacy that is under way.
    pub(crate) fn is_own_candidacy(&self, ballot: Ballot, nonce: u64) -> bool {
        match &self.state {
            State::Candidate(candidacy) => candidacy.ballot == ballot && candidacy.nonce == nonce,
            State::Acceptor | State::Leader(_) => false,
        }
    }

    /// A fragment of a promise for the present candidacy.
    pub(crate) fn on_promise(
        &mut self,
        from: Id,
        fragment: u16,
        fragment_count: u16,
        records: Vec<LeasedRecord>,
    ) {
        let majority = self.majority();
        let State::Candidate(candidacy) = &mut self.state else {
            return;
        };
        let fragment = usize::from(fragment);
        let fragment_count = usize::from(fragment_count);
        if fragment >= fragment_count || fragment_count > MAX_RECORDS {
            return;
        }
        let promise = candidacy
            .promises
            .entry(from)
            .or_insert_with(|| PromiseFragments {
                fragments: vec![None; fragment_count],
            });
        if promise.fragments.len() == fragment_count {
            promise.fragments[fragment] = Some(records);
        }
        let complete = candidacy
            .promises
            .values()
            .filter(|promise| promise.is_complete())
            .count();
        if complete + 1 >= majority {
            self.become_leader();
        }
    }

    /// A majority promised: whatever any of them accepted holds, and is proposed anew under the own ballot.
    fn become_leader(&mut self) {
        let State::Candidate(candidacy) = std::mem::replace(&mut self.state, State::Acceptor)
        else {
            return;
        };
        let mut contact_ms = BTreeMap::new();
        for (voter, promise) in candidacy.promises {
            if !promise.is_complete() {
                continue;
            }
            contact_ms.insert(voter, candidacy.sent_ms);
            for records in promise.fragments.into_iter().flatten() {
                self.merge_all(records);
            }
        }
        let mut leadership = Leadership::new(candidacy.ballot, contact_ms, self.now_ms);
        leadership.repropose(&mut self.records, self.id, self.now_ms);
        self.state = State::Leader(Box::new(leadership));
        self.send_pending_accepts();
        self.settle_chosen();
    }

    /// Another voter follows a higher ballot.
    pub(crate) fn on_reject(&mut self, promised: Ballot) {
        self.observe_round(promised.round);
        let own_ballot = match &self.state {
            State::Acceptor => return,
            State::Candidate(candidacy) => candidacy.ballot,
            State::Leader(leadership) => leadership.ballot,
        };
        if promised > own_ballot {
            self.step_down();
        }
    }
}
