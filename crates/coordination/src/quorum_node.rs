//! A voter: always a Paxos acceptor, and at times a candidate or the leader.

mod election;
mod replication;

use crate::candidacy::{Candidacy, PromiseFragment};
use crate::config::QuorumConfig;
use crate::event::{Action, Event};
use crate::leadership::Leadership;
use crate::message::{LeasedRecord, Message};
use crate::outbox::Outbox;
use crate::record::{Ballot, Id, Stamp};
use crate::record_table::{RecordTable, StoredRecord};
use crate::voter::{Role, VoterMemory, VoterStart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Number of rounds at the upper end of the range that [`QuorumNode::observe_round`] ignores: a forged round there
/// would leave no higher round for a candidacy.
const RESERVED_ROUNDS: u32 = 1_000_000;

/// State of the current role. A candidate and a leader are also acceptors.
#[derive(Debug, Clone)]
enum State {
    Acceptor,
    Candidate(Candidacy),
    Leader(Box<Leadership>),
}

/// A voter. Drive it with [`QuorumNode::handle`] and [`QuorumNode::poll`].
#[derive(Debug, Clone)]
pub struct QuorumNode {
    id: Id,
    voters: Vec<Id>,
    config: QuorumConfig,
    rng: Pcg32,
    now_ms: f64,
    promised: Ballot,
    /// The highest round that was observed.
    highest_round: u32,
    /// Time of the last message from the promised leader or candidate (ms).
    leader_contact_ms: f64,
    quarantined_until_ms: f64,
    records: RecordTable,
    state: State,
    next_candidacy_ms: f64,
    outbox: Outbox<Action>,
}

impl QuorumNode {
    /// Starts the voter `id` of `voters`.
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
            outbox: Outbox::default(),
        }
    }

    /// The voter's id.
    pub fn id(&self) -> Id {
        self.id
    }

    /// The timing of the voters.
    pub fn config(&self) -> &QuorumConfig {
        &self.config
    }

    /// The voter's current role.
    pub fn role(&self) -> Role {
        if self.is_quarantined() {
            return Role::Quarantined {
                until_ms: self.quarantined_until_ms,
            };
        }
        match &self.state {
            State::Acceptor => Role::Follower(self.promised),
            State::Candidate(_) => Role::Candidate,
            State::Leader(leadership) => Role::Leader(leadership.ballot()),
        }
    }

    /// The leader, or the candidate to which this voter gave its last promise, if it was in contact with this voter
    /// within the leader lease.
    pub fn leader(&self) -> Option<Id> {
        if matches!(self.state, State::Leader(_)) {
            return self.is_leader(self.now_ms).then_some(self.id);
        }
        let is_recent = self.now_ms - self.leader_contact_ms < self.config.leader_lease_ms;
        (is_recent && self.promised.leader != self.id).then_some(self.promised.leader)
    }

    /// Whether the voter is a leader that may decide: a majority answered within the leader lease, and a majority
    /// accepted all records found by the election.
    pub fn is_leader(&self, now_ms: f64) -> bool {
        match &self.state {
            State::Leader(leadership) => {
                self.has_majority_contact(leadership, now_ms) && leadership.is_recovered()
            }
            State::Acceptor | State::Candidate(_) => false,
        }
    }

    /// Time at which the voter became the leader (ms); `None` if it is not the leader.
    pub fn leader_since_ms(&self) -> Option<f64> {
        match &self.state {
            State::Leader(leadership) => Some(leadership.since_ms()),
            State::Acceptor | State::Candidate(_) => None,
        }
    }

    /// All records of the voter, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = LeasedRecord> + '_ {
        self.records
            .values()
            .map(|stored| stored.leased(self.now_ms))
    }

    /// Whether the voter has a tombstone for this key, chosen or not.
    pub fn has_tombstone(&self, key: u64) -> bool {
        self.records
            .get(key)
            .is_some_and(|stored| stored.record.is_tombstone())
    }

    /// Whether the voter has a record with this key, tombstones included.
    pub fn contains_key(&self, key: u64) -> bool {
        self.records.get(key).is_some()
    }

    /// The record of a key, if it is or may still be in force. An expired record is returned until the leader ends it
    /// by a tombstone, and a record that the leader has ended until a majority has accepted the tombstone.
    pub fn active(&self, key: u64) -> Option<LeasedRecord> {
        let stored = self.records.get(key);
        let chosen = self.chosen(key);
        [stored, chosen]
            .into_iter()
            .flatten()
            .find(|stored| !stored.record.is_tombstone())
            .map(|stored| stored.leased(self.now_ms))
    }

    /// The records of all keys that are or may still be in force, see [`QuorumNode::active`].
    pub fn all_active(&self) -> impl Iterator<Item = LeasedRecord> + '_ {
        let leadership = match &self.state {
            State::Leader(leadership) => Some(leadership),
            State::Acceptor | State::Candidate(_) => None,
        };
        let only_chosen = leadership
            .into_iter()
            .flat_map(|leadership| leadership.chosen_keys())
            .filter(|key| !self.contains_key(*key));
        self.records
            .keys()
            .chain(only_chosen)
            .filter_map(|key| self.active(key))
    }

    /// Time at which this voter accepted the record of a key (ms).
    pub fn accepted_at_ms(&self, key: u64) -> Option<f64> {
        self.records.get(key).map(|stored| stored.accepted_at_ms)
    }

    /// Whether the leader's record of a key is chosen, that is, accepted by a majority. False if this voter is not the
    /// leader or a majority has not answered within the leader lease.
    pub fn is_chosen(&self, key: u64) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let Some(stored) = self.records.get(key) else {
            return false;
        };
        let chosen = leadership.chosen(key);
        self.has_majority_contact(leadership, self.now_ms)
            && chosen.is_some_and(|chosen| chosen.record.stamp == stored.record.stamp)
    }

    /// Digest of all records of the voter, see [`crate::digest`].
    pub fn digest(&self) -> u32 {
        self.records.digest()
    }

    /// The highest stamp of all records of the voter.
    pub fn highest_stamp(&self) -> Stamp {
        self.records.highest_stamp()
    }

    /// Notes that a round is in use: the next ballot of this voter has a higher round.
    pub fn observe_round(&mut self, round: u32) {
        if round < u32::MAX - RESERVED_ROUNDS {
            self.highest_round = self.highest_round.max(round);
        }
    }

    /// Handles an event. [`QuorumNode::poll`] returns the resulting actions.
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
                if self.answers_own_candidacy(ballot, nonce) {
                    let fragment = PromiseFragment {
                        index: usize::from(fragment),
                        count: usize::from(fragment_count),
                        records,
                    };
                    self.on_promise(from, fragment);
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

    /// Returns the next action. Call this function until it returns `None`; the next call is then due at
    /// [`QuorumNode::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<Action> {
        if self.outbox.begin_poll() {
            self.run_timers(now_ms);
        }
        self.outbox.pop()
    }

    /// Time of the next poll (ms), unless an event arrives earlier.
    pub fn next_poll_ms(&self) -> f64 {
        self.now_ms + self.config.retransmit_ms / 2.0
    }

    fn run_timers(&mut self, now_ms: f64) {
        self.advance_clock(now_ms);
        self.records.drop_old_tombstones(self.now_ms);
        let has_timed_out = match &self.state {
            State::Leader(leadership) => !self.has_majority_contact(leadership, self.now_ms),
            State::Candidate(candidacy) => {
                self.now_ms - candidacy.since_ms() >= self.config.leader_lease_ms
            }
            State::Acceptor => false,
        };
        if has_timed_out {
            self.step_down();
        }
        match &self.state {
            State::Acceptor => self.start_candidacy_if_due(),
            State::Candidate(_) => self.resend_prepares_if_due(),
            State::Leader(_) => self.run_leader_timers(),
        }
    }

    /// Advances the clock. A voter whose process was stopped for a leader lease or longer is quarantined as if it had
    /// lost its memory, because outdated messages in its socket buffer look new to it.
    fn advance_clock(&mut self, now_ms: f64) {
        if now_ms - self.now_ms >= self.config.leader_lease_ms {
            self.step_down();
            let quarantined_until_ms = now_ms + self.config.quarantine_ms();
            self.quarantined_until_ms = self.quarantined_until_ms.max(quarantined_until_ms);
        }
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Ends a candidacy or leadership, and draws a random backoff before the next candidacy.
    fn step_down(&mut self) {
        self.state = State::Acceptor;
        let jitter = 1.0 + self.rng.random::<f64>();
        self.next_candidacy_ms = self.now_ms + 2.0 * self.config.retransmit_ms * jitter;
    }

    fn is_quarantined(&self) -> bool {
        self.now_ms < self.quarantined_until_ms
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a majority, including the leader itself, answered a request sent within the leader lease.
    fn has_majority_contact(&self, leadership: &Leadership, now_ms: f64) -> bool {
        let lease_ms = self.config.leader_lease_ms;
        leadership.voters_in_contact(now_ms, lease_ms) + 1 >= self.majority()
    }

    /// The record of a key that a majority accepted; `None` if this voter is not the leader.
    fn chosen(&self, key: u64) -> Option<&StoredRecord> {
        match &self.state {
            State::Leader(leadership) => leadership.chosen(key),
            State::Acceptor | State::Candidate(_) => None,
        }
    }

    /// Merges records of another voter into the table.
    fn merge_records(&mut self, records: Vec<LeasedRecord>) {
        for leased in records {
            self.records
                .merge(leased, self.now_ms, self.config.max_clock_skew);
        }
    }

    fn send(&mut self, to: Id, message: Message) {
        self.outbox.push(Action::Send { to, message });
    }

    fn send_to_others(&mut self, message: &Message) {
        for voter in self.voters.iter().filter(|voter| **voter != self.id) {
            self.outbox.push(Action::Send {
                to: *voter,
                message: message.clone(),
            });
        }
    }
}
