//! The part of a member that every one has: it copies the quorum records, reports its status to the leader, and forwards
//! clients' commands to it.

use crate::call_table::CallTable;
use crate::message::{Answer, Command, Message, Report};
use crate::record_copies::RecordCopies;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use tansymux_coordination::{DisruptionReason, Id, LeasedRecord, Outbox};

/// Mean interval between two reports (ms).
const REPORT_INTERVAL_MS: f64 = 1000.0;
/// Width of the range that the interval between two reports is drawn from, as a fraction of its mean.
const REPORT_JITTER: f64 = 0.2;
/// Time after which a leader that no gossip named is no longer known (ms).
const LEADER_TIMEOUT_MS: f64 = 4000.0;
/// The status of a dispatcher, for its reports.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemberStatus {
    /// The dispatcher's zone.
    pub zone: u32,
    /// The dispatcher's version.
    pub version: u32,
    /// Fraction of the capacity that is in use.
    pub utilization: f64,
    /// Number of threads that the queries use.
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

/// An output of an agent, to be executed by the caller.
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

/// The leader, as gossip last named it.
#[derive(Debug, Clone, Copy)]
struct KnownLeader {
    id: Id,
    named_at_ms: f64,
}

/// The last tick that arrived.
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
    /// The voter's time (ms), the low 32 bits.
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
    /// The agent of a member that was started under a restart lease (0: none). `seed` has to be drawn at each start.
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

    /// The member's session: drawn at each start.
    pub fn session(&self) -> u32 {
        self.session
    }

    /// Replaces the status of the dispatcher, for the next reports.
    pub fn set_status(&mut self, status: MemberStatus) {
        self.status = status;
    }

    /// The leader, if gossip named it recently.
    pub fn leader(&self, now_ms: f64) -> Option<Id> {
        self.leader
            .filter(|known| now_ms - known.named_at_ms < LEADER_TIMEOUT_MS)
            .map(|known| known.id)
    }

    /// The member's copies of the records, tombstones included.
    pub fn records(&self, now_ms: f64) -> impl Iterator<Item = LeasedRecord> + '_ {
        self.copies.records(now_ms)
    }

    /// Keys and reasons of the engines that are unavailable by a record.
    pub fn unavailable_engines(
        &self,
        now_ms: f64,
    ) -> impl Iterator<Item = (u64, DisruptionReason)> + '_ {
        self.copies.unavailable_engines(now_ms)
    }

    /// Number of the halt, if the member knows of one.
    pub fn halt(&self) -> Option<u32> {
        self.copies.halt()
    }

    /// Merges records into the copies: the later record of a key wins, and an unexpired one over an expired one.
    pub fn merge(&mut self, records: impl Iterator<Item = LeasedRecord>, now_ms: f64) {
        self.copies.merge(records, now_ms);
    }

    /// Digest of the member's copies of the records.
    pub fn digest(&self) -> u32 {
        self.copies.digest()
    }

    /// The report to a voter.
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
        // A reordered datagram may set an older tick for a while, which the voter recognizes. Ticks are not compared here,
        // because the voter's clock may have been set back.
        self.received_tick = Some(ReceivedTick {
            from: gossip.from,
            tick: gossip.tick,
        });
        if gossip.leader != 0 {
            // A voter's knowledge of a leader other than itself may be outdated.
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

    /// Handles a client's request for a nonce. There is no answer while the table of calls is full; the client retries.
    pub fn on_hello(&mut self, call: u64, from: SocketAddr, now_ms: f64) {
        if let Some(nonce) = self.calls.nonce_for(call, from, now_ms, &mut self.rng) {
            self.send(Destination::Client(from), Message::Nonce { call, nonce });
        }
    }

    /// Handles a client's command. A retried call sends no second command to the leader.
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

    /// The command with this member's id where the client named no dispatcher.
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

    /// The next action. Call this function until it returns `None`: nothing is due before
    /// [`MemberAgent::next_poll_ms`] then.
    pub fn poll(&mut self, now_ms: f64) -> Option<AgentAction> {
        if self.outbox.begin_poll() {
            self.run_timers(now_ms);
        }
        self.outbox.pop()
    }

    /// When to poll again (ms), if no message arrives before.
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
        let spread = 1.0 - REPORT_JITTER / 2.0 + REPORT_JITTER * self.rng.random::<f64>();
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS * spread;
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
