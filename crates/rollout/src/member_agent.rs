//! What every member does: it keeps a copy of the fleet's records, reports of itself, and asks the leader on behalf of
//! clients.

use crate::call_table::CallTable;
use crate::message::{Answer, Command, Message, Report};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansymux_coordination::{
    DisruptionReason, Id, LeasedRecord, Outbox, Record, RecordValue, UnitKind, HALT_KEY,
    MAX_RECORDS,
};

/// Interval between two reports (ms), spread by a fifth.
const REPORT_INTERVAL_MS: f64 = 1000.0;
/// A leader that was not named for this long is no longer known (ms).
const LEADER_TIMEOUT_MS: f64 = 4000.0;
/// A tombstone is remembered for this long (ms), as by the voters.
const TOMBSTONE_RETENTION_MS: f64 = 600_000.0;

/// The state of a dispatcher, for its reports.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MemberStatus {
    /// Its zone.
    pub zone: u32,
    /// Its version.
    pub version: u32,
    /// Fraction of its capacity that is in use.
    pub utilization: f64,
    /// Threads that its queries run on.
    pub threads: f64,
    /// Requests that succeeded since its start.
    pub succeeded: u32,
    /// All requests since its start.
    pub total: u32,
    /// An engine that it finds failing.
    pub failing_engine: Option<u64>,
}

/// To whom a message goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Destination {
    /// A member.
    Member(Id),
    /// A client.
    Client(SocketAddr),
}

/// What an agent wants done.
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

#[derive(Debug, Clone, Copy)]
struct RecordCopy {
    record: Record,
    expires_at_ms: f64,
    received_at_ms: f64,
}

/// The last contact with a member.
#[derive(Debug, Clone, Copy)]
struct KnownLeader {
    id: Id,
    named_at_ms: f64,
}

/// The last tick that was received.
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
    /// The leader that it knows; 0: none.
    pub leader: Id,
    /// Its time (ms), the low 32 bits.
    pub tick: u32,
    /// Records that this member lacked.
    pub records: Vec<LeasedRecord>,
}

/// One member's side of the fleet.
#[derive(Debug, Clone)]
pub struct MemberAgent {
    id: Id,
    voters: Vec<Id>,
    session: u32,
    /// The restart lease under which it was started.
    grant_id: u64,
    status: MemberStatus,
    copies: BTreeMap<u64, RecordCopy>,
    leader: Option<KnownLeader>,
    received_tick: Option<ReceivedTick>,
    next_report_ms: f64,
    calls: CallTable,
    rng: Pcg32,
    outbox: Outbox<AgentAction>,
    next_poll_ms: f64,
}

impl MemberAgent {
    /// The agent of a member that was started under a restart lease (0: none).
    pub fn new(id: Id, voters: &[Id], grant_id: u64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let session = rng.random::<u32>() | 1;
        MemberAgent {
            id,
            voters: voters.to_vec(),
            session,
            grant_id,
            status: MemberStatus::default(),
            copies: BTreeMap::new(),
            leader: None,
            received_tick: None,
            next_report_ms: f64::NEG_INFINITY,
            calls: CallTable::default(),
            rng,
            outbox: Outbox::default(),
            next_poll_ms: f64::NEG_INFINITY,
        }
    }

    /// Its session: drawn at each start.
    pub fn session(&self) -> u32 {
        self.session
    }

    /// Takes over the state of the dispatcher, for its next reports.
    pub fn set_status(&mut self, status: MemberStatus) {
        self.status = status;
    }

    /// The leader, if it was named lately.
    pub fn leader(&self, now_ms: f64) -> Option<Id> {
        self.leader
            .filter(|known| now_ms - known.named_at_ms < LEADER_TIMEOUT_MS)
            .map(|known| known.id)
    }

    /// The records that it knows, tombstones included.
    pub fn records(&self, now_ms: f64) -> impl Iterator<Item = LeasedRecord> + '_ {
        self.copies.values().map(move |copy| {
            let remaining_ms = (copy.expires_at_ms - now_ms).max(0.0) as u32;
            LeasedRecord {
                record: copy.record,
                remaining_ms: copy.expires_at_ms.is_finite().then_some(remaining_ms),
            }
        })
    }

    /// Keys and reasons of the engines that are unavailable by a record.
    pub fn unavailable_engines(
        &self,
        now_ms: f64,
    ) -> impl Iterator<Item = (u64, DisruptionReason)> + '_ {
        self.copies
            .values()
            .filter(move |copy| now_ms < copy.expires_at_ms)
            .filter_map(|copy| match copy.record.value {
                RecordValue::Disruption {
                    kind: UnitKind::Engine,
                    reason,
                    ..
                } => Some((copy.record.key, reason)),
                _ => None,
            })
    }

    /// Number of the halt that it knows of.
    pub fn halt(&self) -> Option<u32> {
        match self.copies.get(&HALT_KEY)?.record.value {
            RecordValue::Halt { number, .. } => Some(number),
            _ => None,
        }
    }

    /// Takes records in. Of two with one key the later one holds, and one that counts replaces one that has expired.
    pub fn merge(&mut self, records: impl Iterator<Item = LeasedRecord>, now_ms: f64) {
        for leased in records {
            let incoming = RecordCopy {
                record: leased.record,
                expires_at_ms: leased.remaining_ms.map_or(f64::INFINITY, |remaining_ms| {
                    now_ms + f64::from(remaining_ms)
                }),
                received_at_ms: now_ms,
            };
            let has_room = self.copies.len() < MAX_RECORDS;
            let Some(known) = self.copies.get_mut(&leased.record.key) else {
                if has_room {
                    self.copies.insert(leased.record.key, incoming);
                }
                continue;
            };
            let known_counts = now_ms < known.expires_at_ms;
            let incoming_counts = now_ms < incoming.expires_at_ms;
            let is_later = known.record.stamp < incoming.record.stamp;
            if incoming_counts && !known_counts || incoming_counts == known_counts && is_later {
                *known = incoming;
            }
        }
    }

    /// Digest of the records that it knows.
    pub fn digest(&self) -> u32 {
        tansymux_coordination::digest(self.copies.values().map(|copy| &copy.record))
    }

    /// The report to a voter.
    pub fn report(&self, to: Id) -> Report {
        let highest_round = self
            .copies
            .values()
            .map(|copy| copy.record.stamp.ballot.round)
            .max();
        let echoed_tick = self.received_tick.filter(|received| received.from == to);
        Report {
            digest: self.digest(),
            round: highest_round.unwrap_or(0),
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

    /// A voter's answer to a report.
    pub fn on_gossip(&mut self, gossip: Gossip, now_ms: f64) {
        // A datagram that was overtaken may set an older tick for a while: the voter recognizes its own ticks. They are
        // not compared here, because its clock may have been set back.
        self.received_tick = Some(ReceivedTick {
            from: gossip.from,
            tick: gossip.tick,
        });
        if gossip.leader != 0 {
            // A voter may be wrong for a while about another leader than itself.
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

    /// A client asks for a nonce. Where the table of calls is full nothing is answered, and the client asks again.
    pub fn on_hello(&mut self, call: u64, from: SocketAddr, now_ms: f64) {
        if let Some(nonce) = self.calls.nonce_for(call, from, now_ms, &mut self.rng) {
            self.send(Destination::Client(from), Message::Nonce { call, nonce });
        }
    }

    /// A client's command. The leader is asked once, however often the call comes.
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

    /// A client that names no dispatcher means the member that it calls.
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

    /// The leader's answer to a command.
    pub fn on_answer(&mut self, call: u64, answer: Answer, now_ms: f64) {
        let Some(pending) = self.calls.pending(call) else {
            return;
        };
        match answer {
            // The leader is asked again until it answers otherwise or the call times out.
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

    /// The next action that is due; none: nothing before [`MemberAgent::next_poll_ms`]. Call it until it gives none.
    pub fn poll(&mut self, now_ms: f64) -> Option<AgentAction> {
        if self.outbox.begin_poll() {
            self.run_timers(now_ms);
        }
        self.outbox.pop()
    }

    /// When to poll again (ms), if nothing comes before.
    pub fn next_poll_ms(&self) -> f64 {
        self.next_poll_ms
    }

    fn run_timers(&mut self, now_ms: f64) {
        self.copies.retain(|_, copy| {
            !copy.record.is_tombstone() || now_ms - copy.received_at_ms < TOMBSTONE_RETENTION_MS
        });
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
        let spread = 0.9 + 0.2 * self.rng.random::<f64>();
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
