//! The state of a candidate: phase one of Paxos, seen from the proposer.

use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, Id};
use crate::record_table::MAX_RECORDS;
use std::collections::BTreeMap;

/// A candidacy in progress: the ballot that is proposed, and the promises that arrived for it.
#[derive(Debug, Clone)]
pub(crate) struct Candidacy {
    ballot: Ballot,
    nonce: u64,
    promises: BTreeMap<Id, PromiseFragments>,
    /// When the prepare messages were last sent.
    sent_ms: f64,
    since_ms: f64,
}

/// A fragment of a promise: part of the records that a voter accepted.
#[derive(Debug, Clone)]
pub(crate) struct PromiseFragment {
    pub(crate) index: usize,
    pub(crate) count: usize,
    pub(crate) records: Vec<LeasedRecord>,
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

    /// When the candidacy began (ms).
    pub(crate) fn since_ms(&self) -> f64 {
        self.since_ms
    }

    /// When the prepare messages were last sent (ms).
    pub(crate) fn sent_ms(&self) -> f64 {
        self.sent_ms
    }

    pub(crate) fn record_sent(&mut self, now_ms: f64) {
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

    /// Whether all fragments of a voter's promise arrived.
    pub(crate) fn has_promise_of(&self, voter: Id) -> bool {
        self.promises
            .get(&voter)
            .is_some_and(PromiseFragments::is_complete)
    }

    /// Records a fragment. It is ignored if its count differs from the voter's first fragment, or exceeds the limit.
    pub(crate) fn record_fragment(&mut self, voter: Id, fragment: PromiseFragment) {
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

    /// The voters whose promise is complete, each with the records that it accepted, in the order of their ids.
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
