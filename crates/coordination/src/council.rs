//! Agreement among voters: one leader writes, a majority keeps, each later leader reads what a majority kept.

use crate::record::{Ballot, Id, Record, Stamp, Value};
use crate::wire::{self, Counted, Message};
use crate::MAX_RECORDS;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// What is over is remembered so long (ms), so that an older record of it does not come back.
const OVER_FOR: f64 = 600_000.0;
/// Messages that bring one voter up to date at a time.
const MAX_REPAIRS: usize = 8;
/// Writes under way at a time.
const MAX_WRITES: usize = 64;

/// Times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// A leader that no majority has answered for so long leads no more, and who has not heard one for so long may
    /// stand.
    pub lead: f64,
    /// The longest term of a permit.
    pub permit: f64,
    /// How far apart clocks may run: 0.02 is two parts in a hundred between any two.
    pub skew: f64,
    /// What was not answered is said again after so long.
    pub again: f64,
    /// The longest that a message is under way.
    pub late: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            lead: 3000.0,
            permit: 60_000.0,
            skew: 0.02,
            again: 300.0,
            late: 10_000.0,
        }
    }
}

impl Terms {
    /// How long a voter without memory keeps still: all that it may have promised or kept for others is over then, with
    /// what was still on its way to somebody.
    pub fn quarantine(&self) -> f64 {
        (self.permit.max(self.lead) + 2.0 * self.lead + self.late) * (1.0 + 2.0 * self.skew)
    }
}

/// How a voter stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stand {
    /// It remembers nothing, and takes no part before then.
    Recalls {
        until: f64,
    },
    Follows(Ballot),
    Candidate,
    Leads(Ballot),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Kept {
    record: Record,
    /// Until when it counts.
    until: f64,
    since: f64,
}

#[derive(Debug, Clone)]
struct Parts {
    got: Vec<Option<Vec<Counted>>>,
}

#[derive(Debug, Clone)]
struct Writing {
    number: u32,
    records: Vec<Kept>,
    sent: f64,
    kept_by: Vec<Id>,
}

#[derive(Debug, Clone)]
struct Leader {
    ballot: Ballot,
    number: u32,
    stamps: u32,
    writes: Vec<Writing>,
    /// When each of the last writes went out first.
    sent: Vec<(u32, f64)>,
    /// When what each voter has answered went out.
    answered: BTreeMap<Id, f64>,
    repaired: BTreeMap<Id, f64>,
    next_beat: f64,
    /// What a majority keeps.
    agreed: BTreeMap<u64, Kept>,
    /// The last write of what it found at its election.
    found: u32,
    since: f64,
}

#[derive(Debug, Clone)]
enum Role {
    Voter,
    Candidate {
        ballot: Ballot,
        nonce: u64,
        promises: BTreeMap<Id, Parts>,
        sent: f64,
        since: f64,
    },
    Leader(Box<Leader>),
}

/// One voter, and the leader where it is that.
#[derive(Debug, Clone)]
pub struct QuorumNode {
    id: Id,
    voters: Vec<Id>,
    terms: Terms,
    rng: Pcg32,
    now: f64,
    promised: Ballot,
    /// The highest round that was heard of.
    round: u32,
    heard: f64,
    recalls: f64,
    kept: BTreeMap<u64, Kept>,
    role: Role,
    next_try: f64,
    out: Vec<(Id, Message)>,
}

impl QuorumNode {
    /// `fresh`: whether it is known that it never voted before, as at the first start of an installation; a voter
    /// that may have forgotten keeps still for [`Terms::quarantine`]. `round`: above those that it may have forgotten,
    /// as far as that can be told (the seconds of the day's clock); turns do not hang on it, what lasts does where a
    /// majority has forgotten and one that has not was cut off all the time.
    pub fn new(
        id: Id,
        voters: &[Id],
        terms: Terms,
        now: f64,
        fresh: bool,
        round: u32,
        seed: u64,
    ) -> Self {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        voters.dedup();
        let recalls = if fresh { now } else { now + terms.quarantine() };
        QuorumNode {
            id,
            voters,
            terms,
            rng: Pcg32::seed_from_u64(seed),
            now,
            promised: Ballot::default(),
            round,
            heard: f64::NEG_INFINITY,
            recalls,
            kept: BTreeMap::new(),
            role: Role::Voter,
            next_try: f64::NEG_INFINITY,
            out: Vec::new(),
        }
    }

    pub fn id(&self) -> Id {
        self.id
    }

    pub fn voters(&self) -> &[Id] {
        &self.voters
    }

    pub fn stand(&self) -> Stand {
        match &self.role {
            _ if self.now < self.recalls => Stand::Recalls {
                until: self.recalls,
            },
            Role::Voter => Stand::Follows(self.promised),
            Role::Candidate { .. } => Stand::Candidate,
            Role::Leader(leader) => Stand::Leads(leader.ballot),
        }
    }

    /// Who leads, as far as this voter heard of late.
    pub fn leader(&self) -> Option<Id> {
        match &self.role {
            Role::Leader(_) => self.leads(self.now).then_some(self.id),
            _ => (self.now - self.heard < self.terms.lead && self.promised.leader != self.id)
                .then_some(self.promised.leader),
        }
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether this one leads and may decide: a majority has answered it of late, and keeps what it found.
    pub fn leads(&self, now: f64) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        self.backed(leader, now)
            && !leader
                .writes
                .iter()
                .any(|write| write.number <= leader.found)
    }

    /// Since when it has led.
    pub fn leads_since(&self) -> Option<f64> {
        if let Role::Leader(leader) = &self.role {
            return Some(leader.since);
        }
        None
    }

    fn backed(&self, leader: &Leader, now: f64) -> bool {
        let lately = leader
            .answered
            .values()
            .filter(|sent| now - **sent < self.terms.lead)
            .count();
        lately + 1 >= self.majority()
    }

    /// All that this voter keeps and how long it counts yet (ms; none: without an end), with what is over.
    pub fn records(&self) -> impl Iterator<Item = Counted> + '_ {
        self.kept
            .values()
            .map(|kept| (kept.record, self.left(kept)))
    }

    fn left(&self, kept: &Kept) -> Option<u32> {
        kept.until.is_finite().then(|| {
            (kept.until - self.now)
                .clamp(0.0, f64::from(u32::MAX - 1))
                .ceil() as u32
        })
    }

    /// What stands at a place for whoever must be careful: what may be so counts, until a majority keeps that it is
    /// over.
    pub fn standing(&self, key: u64) -> Option<Counted> {
        let kept = self.kept.get(&key);
        let agreed = match &self.role {
            Role::Leader(leader) => leader.agreed.get(&key),
            _ => None,
        };
        let holds = [kept, agreed]
            .into_iter()
            .flatten()
            .find(|kept| !kept.record.is_over())?;
        Some((holds.record, self.left(holds)))
    }

    /// Since when a place has stood as it stands, as far as this voter knows.
    pub fn since(&self, key: u64) -> Option<f64> {
        self.kept.get(&key).map(|kept| kept.since)
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Whether what this leader keeps at a place is kept by a majority too.
    pub fn is_agreed(&self, key: u64) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let stamp = |table: &BTreeMap<u64, Kept>| table.get(&key).map(|kept| kept.record.stamp);
        self.backed(leader, self.now)
            && stamp(&self.kept).is_some()
            && stamp(&self.kept) == stamp(&leader.agreed)
    }

    /// The same of all places.
    pub fn all_standing(&self) -> impl Iterator<Item = Counted> + '_ {
        let agreed = match &self.role {
            Role::Leader(leader) => Some(&leader.agreed),
            _ => None,
        };
        let others = agreed
            .into_iter()
            .flatten()
            .filter(|(key, _)| !self.kept.contains_key(key));
        let keys = self.kept.keys().chain(others.map(|(key, _)| key));
        keys.filter_map(|key| self.standing(*key))
    }

    /// A number of all that is kept and not over: equal where the same is kept.
    pub fn digest(&self) -> u32 {
        digest(self.kept.values().map(|kept| &kept.record))
    }

    /// The highest stamp of all that is kept.
    pub fn highest(&self) -> Stamp {
        self.kept
            .values()
            .map(|kept| kept.record.stamp)
            .max()
            .unwrap_or_default()
    }

    /// A round that was heard of: the next ballot of this one is above it.
    pub fn heard_of(&mut self, round: u32) {
        // A forged round at the end of all would leave none above it.
        if round < u32::MAX - 1_000_000 {
            self.round = self.round.max(round);
        }
    }

    // ---- Leading ----

    /// Writes records, each with how long it counts (ms); the number under which `agreed` tells of it, or none where
    /// this one does not lead or has no room.
    pub fn write(
        &mut self,
        now: f64,
        records: &[(u64, Value, Option<f64>)],
    ) -> Option<(Ballot, u32)> {
        self.wakes(now);
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let new = records
            .iter()
            .filter(|(key, ..)| !self.kept.contains_key(key))
            .count();
        let room = records.len() <= wire::RECORDS && leader.writes.len() < MAX_WRITES;
        if records.is_empty() || !room || self.kept.len() + new > MAX_RECORDS {
            return None;
        }
        let (ballot, now) = (leader.ballot, self.now);
        leader.number += 1;
        let mut written = Vec::with_capacity(records.len());
        for (key, value, term) in records {
            leader.stamps += 1;
            let record = Record {
                key: *key,
                stamp: Stamp {
                    ballot,
                    number: leader.stamps,
                },
                value: *value,
            };
            let until = match (value, self.kept.get(key)) {
                // That something is over is told for as long as what is over may count somewhere yet.
                (Value::Over, Some(known)) if known.record.is_over() => known.until,
                (Value::Over, Some(known)) if known.until.is_finite() => {
                    now + (known.until - now).max(0.0) * (1.0 + self.terms.skew) + self.terms.lead
                }
                _ => term.map_or(f64::INFINITY, |term| now + term * (1.0 + self.terms.skew)),
            };
            let kept = Kept {
                record,
                until,
                since: now,
            };
            self.kept.insert(*key, kept);
            written.push(kept);
        }
        let number = leader.number;
        leader.writes.push(Writing {
            number,
            records: written,
            sent: f64::NEG_INFINITY,
            kept_by: vec![self.id],
        });
        leader.sent.push((number, now));
        self.says_writes();
        self.settles();
        Some((ballot, number))
    }

    /// Whether a majority keeps what was written so; none where it never will be known, as this one leads no more.
    pub fn agreed(&self, (ballot, number): (Ballot, u32)) -> Option<bool> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let same = leader.ballot == ballot && self.backed(leader, self.now);
        same.then(|| !leader.writes.iter().any(|write| write.number == number))
    }

    fn says_writes(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let (now, again, ballot) = (self.now, self.terms.again, leader.ballot);
        for write in leader
            .writes
            .iter_mut()
            .filter(|write| now - write.sent >= again)
        {
            write.sent = now;
            let left = |kept: &Kept| {
                kept.until
                    .is_finite()
                    .then(|| (kept.until - now).max(0.0).ceil() as u32)
            };
            let records: Vec<Counted> = write
                .records
                .iter()
                .map(|kept| (kept.record, left(kept)))
                .collect();
            for voter in self
                .voters
                .iter()
                .filter(|voter| !write.kept_by.contains(voter))
            {
                let message = Message::Write {
                    ballot,
                    number: write.number,
                    records: records.clone(),
                };
                self.out.push((*voter, message));
            }
        }
    }

    /// Takes what a majority keeps for agreed.
    fn settles(&mut self) {
        let majority = self.majority();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Leader { writes, agreed, .. } = &mut **leader;
        writes.retain(|write| {
            if write.kept_by.len() < majority {
                return true;
            }
            for kept in &write.records {
                let known = agreed.entry(kept.record.key).or_insert(*kept);
                if known.record.stamp < kept.record.stamp {
                    *known = *kept;
                }
            }
            false
        });
    }

    // ---- Messages ----

    /// A process that was stopped reads what was sent long ago as if it were new, so it takes itself for one that has
    /// forgotten.
    fn wakes(&mut self, now: f64) {
        if now - self.now >= self.terms.lead {
            self.stands_down();
            self.recalls = self.recalls.max(now + self.terms.quarantine());
        }
        self.now = self.now.max(now);
    }

    pub fn handle(&mut self, now: f64, from: Id, message: Message) {
        self.wakes(now);
        if from == self.id || !self.voters.contains(&from) {
            return;
        }
        match message {
            Message::Prepare { ballot, nonce } if ballot.leader == from => {
                self.asked(from, ballot, nonce)
            }
            Message::Promise {
                ballot,
                nonce,
                part,
                parts,
                records,
            } => self.promised_by(from, ballot, nonce, (part, parts), records),
            Message::Write {
                ballot,
                number,
                records,
            } if ballot.leader == from => self.told(from, ballot, number, records),
            Message::Written {
                ballot,
                number,
                digest,
            } => self.kept_by(from, ballot, number, digest),
            Message::No { ballot } => {
                self.heard_of(ballot.round);
                let lost = match &self.role {
                    Role::Voter => false,
                    Role::Candidate { ballot: own, .. } => ballot > *own,
                    Role::Leader(leader) => ballot > leader.ballot,
                };
                if lost {
                    self.stands_down();
                }
            }
            Message::Prepare { .. } | Message::Write { .. } => {}
        }
    }

    fn asked(&mut self, from: Id, ballot: Ballot, nonce: u64) {
        // While the leader that it follows is there, it gives no other one a voice.
        let follows = self.now - self.heard < self.terms.lead && self.promised.leader != from;
        if self.now < self.recalls || ballot < self.promised || follows && ballot != self.promised {
            return self.out.push((
                from,
                Message::No {
                    ballot: self.promised,
                },
            ));
        }
        if ballot != self.promised {
            self.stands_down();
        }
        (self.promised, self.heard) = (ballot, self.now);
        let all: Vec<Counted> = self.records().collect();
        let parts = all.len().div_ceil(wire::RECORDS).max(1) as u16;
        for part in 0..parts {
            let records = all
                .iter()
                .skip(usize::from(part) * wire::RECORDS)
                .take(wire::RECORDS);
            let records = records.copied().collect();
            self.out.push((
                from,
                Message::Promise {
                    ballot,
                    nonce,
                    part,
                    parts,
                    records,
                },
            ));
        }
    }

    fn promised_by(
        &mut self,
        from: Id,
        of: Ballot,
        told: u64,
        (part, parts): (u16, u16),
        records: Vec<Counted>,
    ) {
        let majority = self.majority();
        let Role::Candidate {
            ballot,
            nonce,
            promises,
            ..
        } = &mut self.role
        else {
            return;
        };
        let (part, many) = (usize::from(part), usize::from(parts));
        if of != *ballot || told != *nonce || part >= many || many > MAX_RECORDS {
            return;
        }
        let parts = promises.entry(from).or_insert_with(|| Parts {
            got: vec![None; many],
        });
        if parts.got.len() == many {
            parts.got[part] = Some(records);
        }
        let whole = promises
            .values()
            .filter(|parts| parts.got.iter().all(Option::is_some))
            .count();
        if whole + 1 >= majority {
            self.elected();
        }
    }

    /// A majority has given its voice: what any of it keeps holds, and is written anew.
    fn elected(&mut self) {
        let Role::Candidate {
            ballot,
            promises,
            sent,
            ..
        } = std::mem::replace(&mut self.role, Role::Voter)
        else {
            return;
        };
        let whole = |parts: &Parts| parts.got.iter().all(Option::is_some);
        let mut answered = BTreeMap::new();
        for (voter, parts) in promises.into_iter().filter(|(_, parts)| whole(parts)) {
            answered.insert(voter, sent);
            parts
                .got
                .into_iter()
                .flatten()
                .flatten()
                .for_each(|counted| self.keep(counted));
        }
        let leader = Leader {
            ballot,
            number: 0,
            stamps: 0,
            writes: Vec::new(),
            sent: Vec::new(),
            answered,
            repaired: BTreeMap::new(),
            next_beat: self.now,
            agreed: BTreeMap::new(),
            found: u32::MAX,
            since: self.now,
        };
        self.role = Role::Leader(Box::new(leader));
        let now = self.now;
        if let Role::Leader(leader) = &mut self.role {
            let mut found: Vec<&mut Kept> = self
                .kept
                .values_mut()
                .filter(|kept| !kept.record.is_over())
                .collect();
            for some in found.chunks_mut(wire::RECORDS) {
                leader.number += 1;
                leader.sent.push((leader.number, now));
                for kept in some.iter_mut() {
                    leader.stamps += 1;
                    kept.record.stamp = Stamp {
                        ballot,
                        number: leader.stamps,
                    };
                }
                let records = some.iter().map(|kept| **kept).collect();
                let (number, kept_by) = (leader.number, vec![self.id]);
                leader.writes.push(Writing {
                    number,
                    records,
                    sent: f64::NEG_INFINITY,
                    kept_by,
                });
            }
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.found = leader.number;
        }
        self.says_writes();
        self.settles();
    }

    /// Keeps a record if it is the later one. Where a majority has forgotten, rounds may begin anew, so a stamp alone
    /// proves nothing against time: what is past yields to what counts, whatever its stamp, and of two that count for
    /// the same one the longer time holds.
    fn keep(&mut self, (record, left): Counted) {
        let now = self.now;
        let until = left.map_or(f64::INFINITY, |left| {
            now + f64::from(left) * (1.0 + self.terms.skew)
        });
        let kept = Kept {
            record,
            until,
            since: now,
        };
        let room = self.kept.len() < MAX_RECORDS;
        match self.kept.get_mut(&record.key) {
            Some(known) => match (now < known.until, now < until) {
                (true, false) => {}
                (false, true) => *known = kept,
                _ => {
                    let longer = if record.is_over() || known.record.is_over() {
                        f64::NEG_INFINITY
                    } else {
                        known.until.max(until)
                    };
                    if known.record.stamp < record.stamp {
                        *known = kept;
                    }
                    known.until = known.until.max(longer);
                }
            },
            None if room => {
                self.kept.insert(record.key, kept);
            }
            None => {}
        }
    }

    fn told(&mut self, from: Id, ballot: Ballot, number: u32, records: Vec<Counted>) {
        if ballot < self.promised {
            return self.out.push((
                from,
                Message::No {
                    ballot: self.promised,
                },
            ));
        }
        if ballot != self.promised {
            self.stands_down();
        }
        (self.promised, self.heard) = (ballot, self.now);
        records.into_iter().for_each(|counted| self.keep(counted));
        // One that has forgotten learns again, and counts for nothing yet.
        let answer = if self.now < self.recalls {
            Message::No {
                ballot: self.promised,
            }
        } else {
            Message::Written {
                ballot,
                number,
                digest: self.digest(),
            }
        };
        self.out.push((from, answer));
    }

    fn kept_by(&mut self, from: Id, ballot: Ballot, number: u32, digest: u32) {
        let own = self.digest();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.ballot != ballot {
            return;
        }
        let sent = leader
            .sent
            .iter()
            .find(|(n, _)| *n == number)
            .map(|(_, sent)| *sent);
        // An answer to what went out too long ago does not back this leader: the voter may have forgotten since.
        if let Some(sent) = sent {
            let answered = leader.answered.entry(from).or_insert(sent);
            *answered = answered.max(sent);
        }
        for write in leader
            .writes
            .iter_mut()
            .filter(|write| write.number == number)
        {
            if !write.kept_by.contains(&from) {
                write.kept_by.push(from);
            }
        }
        let behind = digest != own && leader.writes.is_empty();
        let rests = leader
            .repaired
            .get(&from)
            .is_none_or(|at| self.now - at >= self.terms.again);
        if behind && rests {
            leader.repaired.insert(from, self.now);
            leader.number += 1;
            let number = leader.number;
            leader.sent.push((number, self.now));
            self.repairs(from, ballot, number);
        }
        self.settles();
    }

    /// Tells a voter that lags what is kept; anywhere first, so that one with much to learn learns all in the end.
    fn repairs(&mut self, voter: Id, ballot: Ballot, number: u32) {
        let mut all: Vec<Counted> = self.records().collect();
        if !all.is_empty() {
            let first = self.rng.random_range(0..all.len());
            all.rotate_left(first);
        }
        for some in all.chunks(wire::RECORDS).take(MAX_REPAIRS) {
            self.out.push((
                voter,
                Message::Write {
                    ballot,
                    number,
                    records: some.to_vec(),
                },
            ));
        }
    }

    fn stands_down(&mut self) {
        self.role = Role::Voter;
        let spread = 1.0 + self.rng.random::<f64>();
        self.next_try = self.now + 2.0 * self.terms.again * spread;
    }

    // ---- Time ----

    /// What time brings; messages to send, and when to call again.
    pub fn poll(&mut self, now: f64) -> (Vec<(Id, Message)>, f64) {
        self.wakes(now);
        let now = self.now;
        self.kept
            .retain(|_, kept| !kept.record.is_over() || now - kept.since < OVER_FOR);
        let backed = match &self.role {
            Role::Leader(leader) => self.backed(leader, now),
            Role::Candidate { since, .. } => now - since < self.terms.lead,
            Role::Voter => true,
        };
        if !backed {
            self.stands_down();
        }
        match &mut self.role {
            Role::Voter => self.may_stand(),
            Role::Candidate {
                ballot,
                nonce,
                promises,
                sent,
                ..
            } => {
                if now - *sent >= self.terms.again {
                    *sent = now;
                    let (ballot, nonce) = (*ballot, *nonce);
                    let whole = |id: &Id| {
                        promises
                            .get(id)
                            .is_some_and(|p| p.got.iter().all(Option::is_some))
                    };
                    for voter in self
                        .voters
                        .iter()
                        .filter(|voter| **voter != self.id && !whole(voter))
                    {
                        self.out.push((*voter, Message::Prepare { ballot, nonce }));
                    }
                }
            }
            Role::Leader(leader) => {
                let lead = self.terms.lead;
                leader.sent.retain(|(_, sent)| now - sent < lead);
                if now >= leader.next_beat {
                    leader.next_beat = now + self.terms.again;
                    leader.number += 1;
                    leader.sent.push((leader.number, now));
                    let message = Message::Write {
                        ballot: leader.ballot,
                        number: leader.number,
                        records: Vec::new(),
                    };
                    for voter in self.voters.iter().filter(|voter| **voter != self.id) {
                        self.out.push((*voter, message.clone()));
                    }
                }
                self.says_writes();
            }
        }
        (std::mem::take(&mut self.out), now + self.terms.again / 2.0)
    }

    fn may_stand(&mut self) {
        let free = self.now - self.heard >= self.terms.lead * (1.0 + self.terms.skew);
        if self.now < self.recalls
            || !free
            || self.now < self.next_try
            || !self.voters.contains(&self.id)
        {
            return;
        }
        let ballot = Ballot {
            round: self.round.max(self.promised.round) + 1,
            leader: self.id,
        };
        let nonce = self.rng.random();
        (self.promised, self.heard) = (ballot, self.now);
        let (promises, sent, since) = (BTreeMap::new(), self.now, self.now);
        self.role = Role::Candidate {
            ballot,
            nonce,
            promises,
            sent,
            since,
        };
        for voter in self.voters.iter().filter(|voter| **voter != self.id) {
            self.out.push((*voter, Message::Prepare { ballot, nonce }));
        }
        if self.majority() == 1 {
            self.elected();
        }
    }
}

/// A number of these records, but for those that say that something is over: the same in any order.
pub fn digest<'a>(records: impl Iterator<Item = &'a Record>) -> u32 {
    let one = |record: &Record| {
        let Stamp { ballot, number } = record.stamp;
        let mixed = [u64::from(ballot.round), ballot.leader, u64::from(number)]
            .iter()
            .fold(record.key, |hash, part| {
                (hash ^ part)
                    .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                    .rotate_left(29)
            });
        (mixed >> 32) as u32
    };
    records
        .filter(|record| !record.is_over())
        .map(one)
        .fold(0, u32::wrapping_add)
}
