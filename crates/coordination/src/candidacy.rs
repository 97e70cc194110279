//! Candidate state: phase one of Paxos on the proposer's side.

use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, Id};
use crate::record_table::MAX_RECORDS;
use std::collections::BTreeMap;

/// A candidacy in progress: its ballot and the promises received for it.
#[derive(Debug, Clone)]
pub(crate) struct Candidacy {
    ballot: Ballot,
    nonce: u64,
    promises: BTreeMap<Id, PromiseFragments>,
    /// Time of the last transmission of prepare messages (ms).
    sent_ms: f64,
    /// Start of the candidacy (ms).
    since_ms: f64,
}

/// A fragment of a promise, with part of the records that the voter accepted.
#[derive(Debug, Clone)]
pub(crate) struct PromiseFragment {
    pub(crate) index: usize,
    pub(crate) count: usize,
    pub(crate) records: Vec<LeasedRecord>,
}

/// One voter's promise, with the fragments received so far.
#[derive(Debug, Clone)]
struct PromiseFragments {
    fragments: Vec<Option<Vec<LeasedRecord>>>,
}

impl PromiseFragments {
    fn is_complete(&self) -> bool {
        self.fragments.iter().all(Option::is_some)
    }
}

impl Candidacy {
    pub(crate) fn new(ballot: Ballot, nonce: u64, now_ms: f64) -> Self {
        Candidacy {
            ballot,
            nonce,
            promises: BTreeMap::new(),
            sent_ms: now_ms,
            since_ms: now_ms,
        }
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Start of the candidacy (ms).
    pub(crate) fn since_ms(&self) -> f64 {
        self.since_ms
    }

    /// Time of the last transmission of prepare messages (ms).
    pub(crate) fn sent_ms(&self) -> f64 {
        self.sent_ms
    }

    pub(crate) fn set_sent(&mut self, now_ms: f64) {
        self.sent_ms = now_ms;
    }

    /// The prepare message of this candidacy.
    pub(crate) fn prepare(&self) -> Message {
        Message::Prepare {
            ballot: self.ballot,
            nonce: self.nonce,
        }
    }

    /// Whether a promise with this ballot and nonce answers this candidacy.
    pub(crate) fn is_answered_by(&self, ballot: Ballot, nonce: u64) -> bool {
        self.ballot == ballot && self.nonce == nonce
    }

    /// Whether all fragments of a voter's promise have arrived.
    pub(crate) fn has_promise_of(&self, voter: Id) -> bool {
        self.promises
            .get(&voter)
            .is_some_and(PromiseFragments::is_complete)
    }

    /// Stores a fragment. A fragment is ignored if its index is out of range, or if its count exceeds [`MAX_RECORDS`]
    /// or differs from the count of the voter's first fragment.
    pub(crate) fn add_fragment(&mut self, voter: Id, fragment: PromiseFragment) {
        if fragment.index >= fragment.count || fragment.count > MAX_RECORDS {
            return;
        }
        let promise = self
            .promises
            .entry(voter)
            .or_insert_with(|| PromiseFragments {
                fragments: vec![None; fragment.count],
            });
        if promise.fragments.len() == fragment.count {
            promise.fragments[fragment.index] = Some(fragment.records);
        }
    }

    /// Number of voters whose promise is complete.
    pub(crate) fn promise_count(&self) -> usize {
        self.promises
            .values()
            .filter(|promise| promise.is_complete())
            .count()
    }

    /// The voters whose promise is complete, in order of id, each with the records that it accepted.
    pub(crate) fn into_promises(self) -> impl Iterator<Item = (Id, Vec<LeasedRecord>)> {
        self.promises
            .into_iter()
            .filter(|(_, promise)| promise.is_complete())
            .map(|(voter, promise)| {
                let records = promise.fragments.into_iter().flatten().flatten().collect();
                (voter, records)
            })
    }
}
