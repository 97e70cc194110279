//! One voter: Paxos acceptor, and candidate or leader where it is that.

use crate::config::QuorumConfig;
use crate::election::Candidacy;
use crate::event::{Action, Event};
use crate::leadership::Leadership;
use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, Id, Stamp};
use crate::record_table::{RecordTable, StoredRecord};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

/// Rounds this close to the end of their range are not taken over: a forged one would leave none above it.
const RESERVED_ROUNDS: u32 = 1_000_000;

/// What a voter does at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Role {
    /// It may have lost its memory, and takes no part yet.
    Quarantined {
        /// When it takes part again (ms).
        until_ms: f64,
    },
    /// It follows the leader of this ballot.
    Follower(Ballot),
    /// It asks for promises.
    Candidate,
    /// It leads under this ballot.
    Leader(Ballot),
}

/// What a voter knows of its past votes at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterMemory {
    /// It never voted before, as at the first start of an installation.
    NeverVoted,
    /// It may have voted and lost its memory: it takes no part for [`QuorumConfig::quarantine_ms`].
    MayBeLost,
}

/// How a voter starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterStart {
    /// What it knows of its past votes.
    pub memory: VoterMemory,
    /// Above all rounds that it may have lost, as far as that can be known (the seconds of the wall clock). Leases do
    /// not depend on it; records without an end do, where a majority lost its memory and the one voter that did not was
    /// cut off all the time.
    pub round: u32,
    /// Seed of its random waits and nonces, drawn at each start.
    pub seed: u64,
}

#[derive(Debug, Clone)]
pub(crate) enum State {
    Acceptor,
    Candidate(Candidacy),
    Leader(Box<Leadership>),
}

/// One voter. Drive it with [`QuorumNode::handle`] and [`QuorumNode::poll`].
#[derive(Debug, Clone)]
pub struct QuorumNode {
    pub(crate) id: Id,
    pub(crate) voters: Vec<Id>,
    pub(crate) config: QuorumConfig,
    pub(crate) rng: Pcg32,
    pub(crate) now_ms: f64,
    pub(crate) promised: Ballot,
    /// The highest round that was observed.
    pub(crate) highest_round: u32,
    /// When the promised leader or candidate was last in contact.
    pub(crate) leader_contact_ms: f64,
    pub(crate) quarantined_until_ms: f64,
    pub(crate) records: RecordTable,
    pub(crate) state: State,
    pub(crate) next_candidacy_ms: f64,
    pub(crate) outbox: VecDeque<Action>,
    /// The timers ran, and their actions are being handed out.
    draining: bool,
}

impl QuorumNode {
    /// The voter `id` of `voters` at its start.
    pub fn new(
        id: Id,
        voters: &[Id],
        config: QuorumConfig,
        start: VoterStart,
        now_ms: f64,
    ) -> Self {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        voters.dedup();
        let quarantine_ms = match start.memory {
            VoterMemory::NeverVoted => 0.0,
            VoterMemory::MayBeLost => config.quarantine_ms(),
        };
        QuorumNode {
            id,
            voters,
            config,
            rng: Pcg32::seed_from_u64(start.seed),
            now_ms,
            promised: Ballot::default(),
            highest_round: start.round,
            leader_contact_ms: f64::NEG_INFINITY,
            quarantined_until_ms: now_ms + quarantine_ms,
            records: RecordTable::default(),
            state: State::Acceptor,
            next_candidacy_ms: f64::NEG_INFINITY,
            outbox: VecDeque::new(),
            draining: false,
        }
    }

    /// The voter's own number.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Its timing.
    pub fn config(&self) -> &QuorumConfig {
        &self.config
    }

    /// What it does at present.
    pub fn role(&self) -> Role {
        if self.is_quarantined() {
            return Role::Quarantined {
                until_ms: self.quarantined_until_ms,
            };
        }
        match &self.state {
            State::Acceptor => Role::Follower(self.promised),
            State::Candidate(_) => Role::Candidate,
            State::Leader(leadership) => Role::Leader(leadership.ballot),
        }
    }

    /// The leader that this voter was lately in contact with.
    pub fn leader(&self) -> Option<Id> {
        if matches!(self.state, State::Leader(_)) {
            return self.is_leader(self.now_ms).then_some(self.id);
        }
        let is_recent = self.now_ms - self.leader_contact_ms < self.config.leader_lease_ms;
        (is_recent && self.promised.leader != self.id).then_some(self.promised.leader)
    }

    /// Whether it leads and may decide: a majority answered it within the leader lease, and accepted all records that
    /// it found at its election.
    pub fn is_leader(&self, now_ms: f64) -> bool {
        match &self.state {
            State::Leader(leadership) => {
                self.has_majority_contact(leadership, now_ms) && leadership.is_recovered()
            }
            State::Acceptor | State::Candidate(_) => false,
        }
    }

    /// Since when it has led (ms).
    pub fn leader_since_ms(&self) -> Option<f64> {
        match &self.state {
            State::Leader(leadership) => Some(leadership.since_ms),
            State::Acceptor | State::Candidate(_) => None,
        }
    }

    /// All records that it holds, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = LeasedRecord> + '_ {
        self.records
            .values()
            .map(|stored| stored.leased(self.now_ms))
    }

    /// Whether it holds a tombstone for this key, chosen or not.
    pub fn is_ending(&self, key: u64) -> bool {
        self.records
            .get(key)
            .is_some_and(|stored| stored.record.is_tombstone())
    }

    /// Whether it holds any record of this key, tombstones included.
    pub fn holds(&self, key: u64) -> bool {
        self.records.get(key).is_some()
    }

    /// The record of a key, for a caller that has to be careful: one that may be in force is given until a majority
    /// accepted its tombstone.
    pub fn active(&self, key: u64) -> Option<LeasedRecord> {
        let held = self.records.get(key);
        let chosen = self.chosen(key);
        [held, chosen]
            .into_iter()
            .flatten()
            .find(|stored| !stored.record.is_tombstone())
            .map(|stored| stored.leased(self.now_ms))
    }

    /// [`QuorumNode::active`] of all keys.
    pub fn all_active(&self) -> impl Iterator<Item = LeasedRecord> + '_ {
        let leadership = match &self.state {
            State::Leader(leadership) => Some(leadership),
            State::Acceptor | State::Candidate(_) => None,
        };
        let only_chosen = leadership
            .into_iter()
            .flat_map(|leadership| leadership.chosen.keys().copied())
            .filter(|key| !self.holds(*key));
        self.records
            .keys()
            .chain(only_chosen)
            .filter_map(|key| self.active(key))
    }

    /// When this voter accepted its present record of a key (ms).
    pub fn accepted_at_ms(&self, key: u64) -> Option<f64> {
        self.records.get(key).map(|stored| stored.accepted_at_ms)
    }

    /// Whether the leader's record of a key is chosen: a majority accepted it.
    pub fn is_chosen(&self, key: u64) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let Some(held) = self.records.get(key) else {
            return false;
        };
        let chosen = leadership.chosen.get(&key);
        self.has_majority_contact(leadership, self.now_ms)
            && chosen.is_some_and(|chosen| chosen.record.stamp == held.record.stamp)
    }

    /// Digest of all records that it holds, see [`crate::digest`].
    pub fn digest(&self) -> u32 {
        self.records.digest()
    }

    /// The highest stamp of all records that it holds.
    pub fn highest_stamp(&self) -> Stamp {
        self.records.highest_stamp()
    }

    /// Takes note of a round that is in use: the next ballot of this voter is above it.
    pub fn observe_round(&mut self, round: u32) {
        if round < u32::MAX - RESERVED_ROUNDS {
            self.highest_round = self.highest_round.max(round);
        }
    }

    /// Takes in an event. What follows from it is given by [`QuorumNode::poll`].
    pub fn handle(&mut self, event: Event, now_ms: f64) {
        self.advance_clock(now_ms);
        let Event::Received { from, message } = event;
        if from == self.id || !self.voters.contains(&from) {
            return;
        }
        match message {
            Message::Prepare { ballot, nonce } => self.on_prepare(from, ballot, nonce),
            Message::Promise {
                ballot,
                nonce,
                fragment,
                fragment_count,
                records,
            } => {
                if self.is_own_candidacy(ballot, nonce) {
                    self.on_promise(from, fragment, fragment_count, records);
                }
            }
            Message::Accept {
                ballot,
                number,
                records,
            } => self.on_accept(from, ballot, number, records),
            Message::Accepted {
                ballot,
                number,
                digest,
            } => self.on_accepted(from, ballot, number, digest),
            Message::Reject { ballot } => self.on_reject(ballot),
        }
    }

    /// The next action that is due; none: nothing before [`QuorumNode::next_poll_ms`]. Call it until it gives none.
    pub fn poll(&mut self, now_ms: f64) -> Option<Action> {
        if !self.draining {
            self.draining = true;
            self.run_timers(now_ms);
        }
        let action = self.outbox.pop_front();
        self.draining = action.is_some();
        action
    }

    /// When to poll again (ms), if no event comes before.
    pub fn next_poll_ms(&self) -> f64 {
        self.now_ms + self.config.retransmit_ms / 2.0
    }

    fn run_timers(&mut self, now_ms: f64) {
        self.advance_clock(now_ms);
        self.records.drop_old_tombstones(self.now_ms);
        let is_over = match &self.state {
            State::Leader(leadership) => !self.has_majority_contact(leadership, self.now_ms),
            State::Candidate(candidacy) => {
                self.now_ms - candidacy.since_ms >= self.config.leader_lease_ms
            }
            State::Acceptor => false,
        };
        if is_over {
            self.step_down();
        }
        match &self.state {
            State::Acceptor => self.start_candidacy_if_due(),
            State::Candidate(_) => self.resend_prepares_if_due(),
            State::Leader(_) => self.lead(),
        }
    }

    /// A process that was stopped for a leader lease reads what was sent long ago as if it were new, so it counts as
    /// one that lost its memory.
    pub(crate) fn advance_clock(&mut self, now_ms: f64) {
        if now_ms - self.now_ms >= self.config.leader_lease_ms {
            self.step_down();
            let quarantined_until_ms = now_ms + self.config.quarantine_ms();
            self.quarantined_until_ms = self.quarantined_until_ms.max(quarantined_until_ms);
        }
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Gives up a candidacy or leadership, and waits a while before the next candidacy.
    pub(crate) fn step_down(&mut self) {
        self.state = State::Acceptor;
        let spread = 1.0 + self.rng.random::<f64>();
        self.next_candidacy_ms = self.now_ms + 2.0 * self.config.retransmit_ms * spread;
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.now_ms < self.quarantined_until_ms
    }

    pub(crate) fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a majority, the leader among them, answered within the leader lease.
    pub(crate) fn has_majority_contact(&self, leadership: &Leadership, now_ms: f64) -> bool {
        let lease_ms = self.config.leader_lease_ms;
        leadership.voters_in_contact(now_ms, lease_ms) + 1 >= self.majority()
    }

    /// The record of a key that a majority accepted, as far as the leader knows.
    fn chosen(&self, key: u64) -> Option<&StoredRecord> {
        match &self.state {
            State::Leader(leadership) => leadership.chosen.get(&key),
            State::Acceptor | State::Candidate(_) => None,
        }
    }

    pub(crate) fn merge_all(&mut self, records: Vec<LeasedRecord>) {
        for leased in records {
            self.records
                .merge(leased, self.now_ms, self.config.max_clock_skew);
        }
    }

    pub(crate) fn send(&mut self, to: Id, message: Message) {
        self.outbox.push_back(Action::Send { to, message });
    }

    pub(crate) fn send_to_others(&mut self, message: &Message) {
        for voter in self.voters.iter().filter(|voter| **voter != self.id) {
            self.outbox.push_back(Action::Send {
                to: *voter,
                message: message.clone(),
            });
        }
    }
}
