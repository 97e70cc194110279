//! The agent that every member runs, voter or not: it copies the quorum records, reports the member's status to the
//! leader, and forwards clients' commands to the leader.

use crate::call_table::CallTable;
use crate::message::{Answer, Command, Message, Report};
use crate::record_copies::RecordCopies;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use tansymux_coordination::{DisruptionReason, Id, LeasedRecord, Outbox};

/// Mean interval between two reports (ms).
const REPORT_INTERVAL_MS: f64 = 1000.0;
/// Width of the jitter range of the report interval, as a fraction of the mean interval.
const REPORT_JITTER: f64 = 0.2;
/// Time after which a known leader expires, unless it sends gossip itself (ms).
const LEADER_TIMEOUT_MS: f64 = 4000.0;

/// The status of a dispatcher that its reports contain.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemberStatus {
    /// The dispatcher's zone.
    pub zone: u32,
    /// The dispatcher's version.
    pub version: u32,
    /// Fraction of the dispatcher's capacity that is in use.
    pub utilization: f64,
    /// Number of engine threads that the dispatcher's queries use.
    pub threads: f64,
    /// Number of requests that succeeded since the start.
    pub succeeded: u32,
    /// Number of all requests since the start.
    pub total: u32,
    /// An engine that the dispatcher finds failing.
    pub failing_engine: Option<u64>,
}

/// The receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Destination {
    /// A member.
    Member(Id),
    /// A client.
    Client(SocketAddr),
}

/// An action of an agent, to be executed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: Destination,
        /// The message.
        message: Message,
    },
}

/// The leader that gossip named last.
#[derive(Debug, Clone, Copy)]
struct KnownLeader {
    id: Id,
    /// When the leader itself last sent gossip, or another voter first named it (ms).
    named_at_ms: f64,
}

/// The tick in the last gossip, and the voter that sent it.
#[derive(Debug, Clone, Copy)]
struct ReceivedTick {
    from: Id,
    tick: u32,
}

/// Gossip of a voter.
#[derive(Debug, Clone, PartialEq)]
pub struct Gossip {
    /// The voter.
    pub from: Id,
    /// The leader that the voter knows; 0: none.
    pub leader: Id,
    /// Low 32 bits of the voter's time (ms).
    pub tick: u32,
    /// Records that this member lacked.
    pub records: Vec<LeasedRecord>,
}

/// The agent of one member.
#[derive(Debug, Clone)]
pub struct MemberAgent {
    id: Id,
    voters: Vec<Id>,
    session: u32,
    /// The restart lease under which the member was started; 0: none.
    grant_id: u64,
    status: MemberStatus,
    copies: RecordCopies,
    leader: Option<KnownLeader>,
    received_tick: Option<ReceivedTick>,
    next_report_ms: f64,
    calls: CallTable,
    rng: Pcg32,
    outbox: Outbox<AgentAction>,
    next_poll_ms: f64,
}

impl MemberAgent {
    /// Creates the agent of a member that was started under the restart lease `grant_id` (0: none). `seed` must be
    /// drawn at random at each start.
    pub fn new(id: Id, voters: &[Id], grant_id: u64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let session = rng.random::<u32>() | 1;
        MemberAgent {
            id,
            voters: voters.to_vec(),
            session,
            grant_id,
            status: MemberStatus::default(),
            copies: RecordCopies::default(),
            leader: None,
            received_tick: None,
            next_report_ms: f64::NEG_INFINITY,
            calls: CallTable::default(),
            rng,
            outbox: Outbox::default(),
            next_poll_ms: f64::NEG_INFINITY,
        }
    }

    /// The member's session, drawn at random at each start.
    pub fn session(&self) -> u32 {
        self.session
    }

    /// Replaces the dispatcher status that the next reports contain.
    pub fn set_status(&mut self, status: MemberStatus) {
        self.status = status;
    }

    /// The leader, unless it has expired because it no longer sends gossip.
    pub fn leader(&self, now_ms: f64) -> Option<Id> {
        self.leader
            .filter(|known| now_ms - known.named_at_ms < LEADER_TIMEOUT_MS)
            .map(|known| known.id)
    }

    /// The member's copies of the records, tombstones included.
    pub fn records(&self, now_ms: f64) -> impl Iterator<Item = LeasedRecord> + '_ {
        self.copies.records(now_ms)
    }

    /// Keys and reasons of the unexpired disruption records of engines.
    pub fn unavailable_engines(
        &self,
        now_ms: f64,
    ) -> impl Iterator<Item = (u64, DisruptionReason)> + '_ {
        self.copies.unavailable_engines(now_ms)
    }

    /// Number of the halt, if the member has a copy of one.
    pub fn halt(&self) -> Option<u32> {
        self.copies.halt()
    }

    /// Merges records into the copies. Of two records with the same key, an unexpired record replaces an expired one;
    /// otherwise the record with the higher stamp replaces the other.
    pub fn merge(&mut self, records: impl Iterator<Item = LeasedRecord>, now_ms: f64) {
        self.copies.merge(records, now_ms);
    }

    /// Digest of the member's copies of the records.
    pub fn digest(&self) -> u32 {
        self.copies.digest()
    }

    /// Returns a report to a voter.
    pub fn report(&self, to: Id) -> Report {
        let echoed_tick = self.received_tick.filter(|received| received.from == to);
        Report {
            digest: self.digest(),
            round: self.copies.highest_round(),
            zone: self.status.zone,
            version: self.status.version,
            session: self.session,
            utilization: self.status.utilization as f32,
            threads: self.status.threads as f32,
            succeeded: self.status.succeeded,
            total: self.status.total,
            failing_engine: self.status.failing_engine.unwrap_or(0),
            echoed_tick: echoed_tick.map_or(0, |received| received.tick),
            grant_id: self.grant_id,
        }
    }

    /// Handles a voter's answer to a report.
    pub fn on_gossip(&mut self, gossip: Gossip, now_ms: f64) {
        // A reordered datagram may set an older tick until the next gossip arrives; the voter detects older ticks.
        // Ticks are not compared here, because the voter's clock may have been set back.
        self.received_tick = Some(ReceivedTick {
            from: gossip.from,
            tick: gossip.tick,
        });
        if gossip.leader != 0 {
            // A voter's knowledge of a leader other than itself may be outdated, so it does not extend the time for
            // which that leader stays known.
            let is_known = self.leader(now_ms) == Some(gossip.leader);
            if gossip.from == gossip.leader || !is_known {
                self.leader = Some(KnownLeader {
                    id: gossip.leader,
                    named_at_ms: now_ms,
                });
            }
        } else if self.leader(now_ms) == Some(gossip.from) {
            self.leader = None;
        }
        self.merge(gossip.records.into_iter(), now_ms);
    }

    /// Handles a client's request for a nonce. While the table of calls is full, no answer is sent and the client
    /// retries.
    pub fn on_hello(&mut self, call: u64, from: SocketAddr, now_ms: f64) {
        if let Some(nonce) = self.calls.nonce_for(call, from, now_ms, &mut self.rng) {
            self.send(Destination::Client(from), Message::Nonce { call, nonce });
        }
    }

    /// Handles a client's command. A retransmitted call does not send the command to the leader a second time.
    pub fn on_call(
        &mut self,
        call: u64,
        nonce: u64,
        command: Command,
        from: SocketAddr,
        now_ms: f64,
    ) {
        let command = self.with_own_id(command);
        if let Some(answer) = self.calls.start(call, nonce, command, from, now_ms) {
            self.send(Destination::Client(from), Message::Answer { call, answer });
        }
    }

    /// Returns the command with this member's id if the client named no dispatcher.
    fn with_own_id(&self, command: Command) -> Command {
        match command {
            Command::RequestLease {
                id: 0,
                to,
                grant_id,
            } => Command::RequestLease {
                id: self.id,
                to,
                grant_id,
            },
            Command::ReturnLease { id: 0, grant_id } => Command::ReturnLease {
                id: self.id,
                grant_id,
            },
            command => command,
        }
    }

    /// Handles the leader's answer to a command.
    pub fn on_answer(&mut self, call: u64, answer: Answer, now_ms: f64) {
        let Some(pending) = self.calls.pending(call) else {
            return;
        };
        match answer {
            // The command is retried until there is another answer or the call times out.
            Answer::Pending => {}
            Answer::NoLeader if !pending.has_timed_out(now_ms) => {
                self.leader = None;
            }
            answer => {
                pending.answer = Some(answer);
                let client = Destination::Client(pending.from);
                self.send(client, Message::Answer { call, answer });
            }
        }
    }

    /// Returns the next action. Call this function until it returns `None`, which means that nothing more is due before
    /// [`MemberAgent::next_poll_ms`].
    pub fn poll(&mut self, now_ms: f64) -> Option<AgentAction> {
        if self.outbox.begin_poll() {
            self.run_timers(now_ms);
        }
        self.outbox.pop()
    }

    /// When to poll next (ms), unless a message arrives earlier.
    pub fn next_poll_ms(&self) -> f64 {
        self.next_poll_ms
    }

    fn run_timers(&mut self, now_ms: f64) {
        self.copies.drop_old_tombstones(now_ms);
        let leader = self.leader(now_ms);
        if now_ms >= self.next_report_ms {
            self.send_report(leader, now_ms);
        }
        let due = self.calls.take_due(now_ms);
        if let Some(leader) = leader {
            for (call, command) in due.commands {
                let message = Message::Command { call, command };
                self.send(Destination::Member(leader), message);
            }
        }
        for call in due.timed_out {
            self.on_answer(call, Answer::NoLeader, now_ms);
        }
        self.next_poll_ms = self.next_report_ms.min(due.next_ms).max(now_ms + 1.0);
    }

    fn send_report(&mut self, leader: Option<Id>, now_ms: f64) {
        let jitter_factor = 1.0 - REPORT_JITTER / 2.0 + REPORT_JITTER * self.rng.random::<f64>();
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS * jitter_factor;
        if let Some(to) = leader.or_else(|| self.random_voter()) {
            let report = self.report(to);
            self.send(Destination::Member(to), Message::Report(report));
        }
    }

    fn random_voter(&mut self) -> Option<Id> {
        if self.voters.is_empty() {
            return None;
        }
        Some(self.voters[self.rng.random_range(0..self.voters.len())])
    }

    fn send(&mut self, to: Destination, message: Message) {
        self.outbox.push(AgentAction::Send { to, message });
    }
}
