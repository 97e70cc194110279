//! What a member knows of the fleet's records, reports of itself, and asks for those who call it.

use crate::message::{self, Answer, Command, Message, Report};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansymux_coordination::wire::Counted;
use tansymux_coordination::{Id, Kind, Record, Value, Why, MAX_RECORDS};

/// Reports are so far apart (ms), spread by a fifth.
const REPORT_EVERY: f64 = 1000.0;
/// Who leads is no more known after so long without a word (ms).
const LEADER_HOLDS: f64 = 4000.0;
/// What is asked is asked again after so long (ms), and given up after so long.
const AGAIN: f64 = 250.0;
const GIVES_UP: f64 = 4000.0;
/// Calls under way, numbers given out to callers, and how long either is kept (ms).
const MAX_CALLS: usize = 64;
const CALL_HOLDS: f64 = 20_000.0;
const OVER_FOR: f64 = 600_000.0;

/// What a dispatcher says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Own {
    pub zone: u32,
    pub version: u32,
    pub busy: f64,
    pub threads: f64,
    pub good: u32,
    pub all: u32,
    pub bad: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Copied {
    record: Record,
    until: f64,
    since: f64,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    call: u64,
    nonce: u64,
    from: SocketAddr,
    since: f64,
    /// The command, and when it is asked next; none before it came.
    asks: Option<(Command, f64)>,
    answer: Option<Answer>,
}

/// To whom something goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum To {
    Member(Id),
    Address(SocketAddr),
}

#[derive(Debug, Clone)]
pub struct MemberAgent {
    id: Id,
    voters: Vec<Id>,
    session: u32,
    /// The turn under which it was started.
    turn: u64,
    own: Own,
    copies: BTreeMap<u64, Copied>,
    leader: Option<(Id, f64)>,
    /// The last tick, and of whom.
    tick: Option<(Id, u32)>,
    next_report: f64,
    calls: Vec<Call>,
    rng: Pcg32,
    out: Vec<(To, Message)>,
}

impl MemberAgent {
    pub fn new(id: Id, voters: &[Id], turn: u64, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let session = rng.random::<u32>() | 1;
        MemberAgent {
            id,
            voters: voters.to_vec(),
            session,
            turn,
            own: Own::default(),
            copies: BTreeMap::new(),
            leader: None,
            tick: None,
            next_report: f64::NEG_INFINITY,
            calls: Vec::new(),
            rng,
            out: Vec::new(),
        }
    }

    pub fn session(&self) -> u32 {
        self.session
    }

    pub fn set(&mut self, own: Own) {
        self.own = own;
    }

    pub fn leader(&self, now: f64) -> Option<Id> {
        self.leader
            .filter(|(_, at)| now - at < LEADER_HOLDS)
            .map(|(id, _)| id)
    }

    /// What it knows, with what is over.
    pub fn records(&self, now: f64) -> impl Iterator<Item = Counted> + '_ {
        self.copies.values().map(move |copy| {
            let left = copy
                .until
                .is_finite()
                .then(|| (copy.until - now).max(0.0) as u32);
            (copy.record, left)
        })
    }

    /// Engines that are out by agreement, by their places.
    pub fn engines_out(&self, now: f64) -> impl Iterator<Item = (u64, Why)> + '_ {
        self.copies
            .values()
            .filter(move |copy| now < copy.until)
            .filter_map(|copy| match copy.record.value {
                Value::Out {
                    kind: Kind::Engine,
                    why,
                    ..
                } => Some((copy.record.key, why)),
                _ => None,
            })
    }

    /// The halt that it knows of.
    pub fn halt(&self) -> Option<u32> {
        match self.copies.get(&tansymux_coordination::HALT)?.record.value {
            Value::Halt { number, .. } => Some(number),
            _ => None,
        }
    }

    /// Takes records in: of one place, the later one holds.
    pub fn learns(&mut self, now: f64, records: impl Iterator<Item = Counted>) {
        for (record, left) in records {
            let until = left.map_or(f64::INFINITY, |left| now + f64::from(left));
            let copy = Copied {
                record,
                until,
                since: now,
            };
            let room = self.copies.len() < MAX_RECORDS;
            match self.copies.get_mut(&record.key) {
                Some(known) => match (now < known.until, now < until) {
                    (true, false) => {}
                    (false, true) => *known = copy,
                    _ if known.record.stamp < record.stamp => *known = copy,
                    _ => {}
                },
                None if room => drop(self.copies.insert(record.key, copy)),
                None => {}
            }
        }
    }

    pub fn digest(&self) -> u32 {
        tansymux_coordination::digest(self.copies.values().map(|copy| &copy.record))
    }

    pub fn report(&self, to: Id) -> Report {
        Report {
            digest: self.digest(),
            round: message::round_of(self.copies.values().map(|copy| &copy.record)),
            zone: self.own.zone,
            version: self.own.version,
            session: self.session,
            busy: self.own.busy as f32,
            threads: self.own.threads as f32,
            good: self.own.good,
            all: self.own.all,
            bad: self.own.bad.unwrap_or(0),
            echo: self
                .tick
                .filter(|(id, _)| *id == to)
                .map_or(0, |(_, tick)| tick),
            turn: self.turn,
        }
    }

    pub fn news(&mut self, now: f64, from: Id, leader: Id, tick: u32, records: Vec<Counted>) {
        // A word that was overtaken on its way may take its place for a while: the teller knows its own ticks. They are
        // not compared here, as its clock may have begun anew.
        self.tick = Some((from, tick));
        if leader != 0 {
            // Of another than itself a voter may be wrong for a while.
            let known = self.leader(now).is_some_and(|known| known == leader);
            if from == leader || !known {
                self.leader = Some((leader, now));
            }
        } else if self.leader(now) == Some(from) {
            self.leader = None;
        }
        self.learns(now, records.into_iter());
    }

    // ---- Calls ----

    /// Somebody wants to call: a number to call with.
    pub fn hello(&mut self, now: f64, from: SocketAddr, call: u64) {
        self.calls.retain(|known| now - known.since < CALL_HOLDS);
        let known = self
            .calls
            .iter()
            .find(|known| known.call == call)
            .map(|known| known.nonce);
        let nonce = known.or_else(|| {
            if self.calls.len() >= MAX_CALLS {
                return None;
            }
            let nonce = self.rng.random();
            self.calls.push(Call {
                call,
                nonce,
                from,
                since: now,
                asks: None,
                answer: None,
            });
            Some(nonce)
        });
        // With no room left nothing is said: whoever calls asks again.
        self.out
            .extend(nonce.map(|nonce| (To::Address(from), Message::Nonce { call, nonce })));
    }

    /// A call. It is asked of the leader once, however often it comes.
    pub fn called(&mut self, now: f64, from: SocketAddr, call: u64, nonce: u64, command: Command) {
        let own = self.id;
        let Some(known) = self
            .calls
            .iter_mut()
            .find(|known| known.call == call && known.nonce == nonce)
        else {
            return;
        };
        known.from = from;
        if known.asks.is_none() {
            // Who names no dispatcher means the one that it calls.
            let command = match command {
                Command::Turn { id: 0, to, grant } => Command::Turn { id: own, to, grant },
                Command::Return { id: 0, grant } => Command::Return { id: own, grant },
                command => command,
            };
            (known.since, known.asks) = (now, Some((command, now)));
        }
        if let Some(answer) = known.answer {
            self.out
                .push((To::Address(from), Message::Answer { call, answer }));
        }
    }

    /// The leader's answer to a call.
    pub fn answered(&mut self, now: f64, call: u64, answer: Answer) {
        let Some(known) = self
            .calls
            .iter_mut()
            .find(|known| known.call == call && known.answer.is_none())
        else {
            return;
        };
        match answer {
            // It is asked again until it is known, or the time for that is over.
            Answer::Pending => {}
            Answer::NoLeader if now - known.since < GIVES_UP => {
                self.leader = None;
            }
            answer => {
                known.answer = Some(answer);
                self.out
                    .push((To::Address(known.from), Message::Answer { call, answer }));
            }
        }
    }

    // ---- Time ----

    /// What time brings; what to send, and when to call again.
    pub fn poll(&mut self, now: f64) -> (Vec<(To, Message)>, f64) {
        self.copies
            .retain(|_, copy| !copy.record.is_over() || now - copy.since < OVER_FOR);
        let leader = self.leader(now);
        if now >= self.next_report {
            let spread = 0.9 + 0.2 * self.rng.random::<f64>();
            self.next_report = now + REPORT_EVERY * spread;
            let to = leader.or_else(|| self.any_voter());
            if let Some(to) = to {
                self.out
                    .push((To::Member(to), Message::Report(self.report(to))));
            }
        }
        let mut given_up = Vec::new();
        let mut next = self.next_report;
        for known in &mut self.calls {
            let Some((command, at)) = &mut known.asks else {
                continue;
            };
            if known.answer.is_some() {
                continue;
            }
            if now - known.since >= GIVES_UP {
                given_up.push(known.call);
            } else if now >= *at {
                *at = now + AGAIN;
                let (call, command) = (known.call, *command);
                self.out.extend(
                    leader.map(|leader| (To::Member(leader), Message::Command { call, command })),
                );
            }
            next = next.min(*at);
        }
        given_up
            .into_iter()
            .for_each(|call| self.answered(now, call, Answer::NoLeader));
        (std::mem::take(&mut self.out), next.max(now + 1.0))
    }

    fn any_voter(&mut self) -> Option<Id> {
        if self.voters.is_empty() {
            return None;
        }
        Some(self.voters[self.rng.random_range(0..self.voters.len())])
    }
}
