//! The members, by probes, hearsay and refutation.

use crate::seal::{DatagramAuthenticator, Keys};
use crate::wire::{self, Datagram, Gossip, Id, State, What};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Members that are kept at most, with those that are dead and not yet forgotten.
pub const MAX_MEMBERS: usize = 1024;
/// A member that is dead or left is remembered for so many periods, so that old news does not bring it back.
const REMEMBERED: f64 = 60.0;
/// Gossip is told on so many times for each doubling of the group, and a doubling more.
const TOLD: f64 = 3.0;
/// How bad this detector may think of itself, and how much slower that makes it.
const MAX_SLOW: u32 = 8;
const HISTORY: usize = 128;
/// Members that each datagram names beside its news.
const REMINDERS: usize = 2;
/// Datagrams in a period that answer joins, and such that answer a comparison of tables.
const MAX_JOIN_ANSWERS: usize = 60;
const MAX_SYNC_ANSWERS: usize = 5;
/// Tables are compared with one member each so many periods; in each one while the last comparison brought news.
const SYNC_EVERY: f64 = 5.0;
const UNSETTLED: u32 = 10;
/// A member is asked so often in a period, and others as well from the second time on.
const TRIES: u32 = 3;
/// So many periods without an answer, one after the other, before others hear of a suspicion. On a network that loses
/// three in ten, one period alone ends so for one probe in thirty: told at once, the refutations of 300 members
/// could not be told on as fast as they were needed.
const DOUBTS: u32 = 2;
/// Messages for others than membership that wait to be taken.
const MAX_CARRIED_IN: usize = 1024;

/// Times in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// One member is probed in each period.
    pub period: f64,
    /// An answer takes at most so long, before others are asked.
    pub timeout: f64,
    /// How many others are asked.
    pub helpers: usize,
    /// Periods of suspicion for each doubling of the group.
    pub suspicion: f64,
    /// Where to ask first.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            period: 1000.0,
            timeout: 300.0,
            helpers: 3,
            suspicion: 1.5,
            seeds: Vec::new(),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    pub id: Id,
    pub address: SocketAddr,
    pub state: State,
    pub incarnation: u32,
    /// When its state was last changed.
    pub since: f64,
}

impl Member {
    fn news(&self) -> Gossip {
        Gossip {
            id: self.id,
            address: self.address,
            state: self.state,
            incarnation: self.incarnation,
        }
    }
}

fn bucket(id: Id) -> usize {
    (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 60) as usize % wire::BUCKETS
}

/// What became of a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    pub at: f64,
    pub id: Id,
    pub state: State,
}

/// A probe under way.
#[derive(Debug, Clone, Copy)]
struct Probe {
    id: Id,
    number: u32,
    sent: f64,
    tries: u32,
    /// Periods in which it has not answered.
    doubts: u32,
}

/// A message that was carried for others than membership.
#[derive(Debug, Clone, PartialEq)]
pub struct Carried {
    pub from: Id,
    pub address: SocketAddr,
    pub content: Vec<u8>,
}

/// A probe that this member makes for another one.
#[derive(Debug, Clone, Copy)]
struct Errand {
    number: u32,
    about: Id,
    from: Id,
    until: f64,
}

#[derive(Debug, Clone)]
pub struct SwimDetector {
    id: Id,
    address: SocketAddr,
    incarnation: u32,
    leaving: bool,
    settings: Settings,
    seal: DatagramAuthenticator,
    rng: Pcg32,
    members: BTreeMap<Id, Member>,
    /// Whom to probe in this round: all in an order drawn anew, so that none waits for more than two rounds.
    round: Vec<Id>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    next_period: f64,
    next_join: f64,
    next_sync: f64,
    /// Periods for which tables are still compared in each.
    unsettled: u32,
    syncs_answered: usize,
    carried: VecDeque<Carried>,
    number: u32,
    /// Datagrams that answered joins in this period.
    joins_answered: usize,
    /// How slow this detector takes itself to be: its own late answers and what others had to refute.
    slow: u32,
    /// Gossip to be told on, and how often it still is.
    news: VecDeque<(Gossip, u32)>,
    history: Vec<Change>,
    now: f64,
    out: Vec<(SocketAddr, Vec<u8>)>,
}

impl SwimDetector {
    /// `name` stays the same over restarts; `incarnation` is the last one known of it, 0 if none is; `seed` is drawn
    /// anew at each start.
    pub fn new(
        name: &str,
        address: SocketAddr,
        incarnation: u32,
        settings: Settings,
        keys: Keys,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let session = rng.random();
        let (members, round, errands, news, history, out) = Default::default();
        SwimDetector {
            id: wire::id_of(name),
            address,
            incarnation: incarnation.wrapping_add(1),
            leaving: false,
            settings,
            seal: DatagramAuthenticator::new(keys, session),
            rng,
            members,
            round,
            probe: None,
            errands,
            next_period: f64::NEG_INFINITY,
            next_join: f64::NEG_INFINITY,
            next_sync: f64::NEG_INFINITY,
            unsettled: UNSETTLED,
            syncs_answered: 0,
            carried: VecDeque::new(),
            number: 0,
            joins_answered: 0,
            slow: 0,
            news,
            history,
            now: f64::NEG_INFINITY,
            out,
        }
    }

    pub fn id(&self) -> Id {
        self.id
    }

    /// To be kept over a restart.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are held to be there, this one among them.
    pub fn count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.state <= State::Suspect)
            .count()
            + 1
    }

    pub fn state(&self, id: Id) -> Option<State> {
        self.members.get(&id).map(|member| member.state)
    }

    pub fn history(&self) -> &[Change] {
        &self.history
    }

    /// How slow this detector takes itself to be, from 0.
    pub fn slow(&self) -> u32 {
        self.slow
    }

    pub fn set_keys(&mut self, keys: Keys) {
        self.seal.set(keys);
    }

    /// Says that this member goes; what `poll` gives afterwards tells the others.
    pub fn leave(&mut self, now: f64) {
        self.now = self.now.max(now);
        self.leaving = true;
        let news = self.own(State::Left);
        self.tell(news);
        let to: Vec<SocketAddr> = self
            .there()
            .take(2 * self.settings.helpers + 2)
            .map(|m| m.address)
            .collect();
        for to in to {
            self.send(to, What::Ping);
        }
    }

    /// Sends a member what is not membership's; whether it is one that is there and the message fits.
    pub fn carry(&mut self, to: Id, content: &[u8]) -> bool {
        let address = self
            .members
            .get(&to)
            .filter(|m| m.state <= State::Suspect)
            .map(|m| m.address);
        address.is_some_and(|address| self.carry_to(address, content))
    }

    /// The same to an address, as to one that asked without being a member.
    pub fn carry_to(&mut self, to: SocketAddr, content: &[u8]) -> bool {
        let Some(mut bytes) = wire::write_carried(self.id, content) else {
            return false;
        };
        self.seal.seal(&mut bytes);
        self.out.push((to, bytes));
        true
    }

    /// The next message that came for others than membership.
    pub fn next_carried(&mut self) -> Option<Carried> {
        self.carried.pop_front()
    }

    fn own(&self, state: State) -> Gossip {
        Gossip {
            id: self.id,
            address: self.address,
            state,
            incarnation: self.incarnation,
        }
    }

    fn there(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.state <= State::Suspect)
    }

    /// A detector that is slow itself waits longer.
    fn patience(&self) -> f64 {
        1.0 + f64::from(self.slow)
    }

    fn doublings(&self) -> f64 {
        (self.members.len() as f64 + 2.0).log2()
    }

    // ---- Gossip ----

    /// Puts news in the queue to be told on; what it replaces goes.
    fn tell(&mut self, news: Gossip) {
        let times = (TOLD * (self.doublings() + 1.0)).ceil() as u32;
        self.news.retain(|(old, _)| old.id != news.id);
        self.news.push_front((news, times));
        self.news.truncate(MAX_MEMBERS);
    }

    /// Gossip for a datagram: of the sender itself, then what was told least often.
    fn takes_news(&mut self, room: usize) -> Vec<Gossip> {
        let own = if self.leaving {
            State::Left
        } else {
            State::Alive
        };
        let mut all = vec![self.own(own)];
        self.news
            .make_contiguous()
            .sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        for (news, left) in self
            .news
            .iter_mut()
            .filter(|(news, _)| news.id != self.id)
            .take(room.saturating_sub(1))
        {
            all.push(*news);
            *left -= 1;
        }
        self.news.retain(|(_, left)| *left > 0);
        // What is left of the room names some that are known, at random: who missed news of a member hears of it yet.
        for _ in 0..REMINDERS
            .min(room.saturating_sub(all.len()))
            .min(self.members.len())
        {
            let n = self.rng.random_range(0..self.members.len());
            if let Some(m) = self
                .members
                .values()
                .nth(n)
                .filter(|m| m.state <= State::Suspect)
            {
                all.push(m.news());
            }
        }
        all
    }

    /// Whether news holds against what is known: a higher incarnation, or the worse state at the same one.
    fn holds(known: &Member, news: &Gossip) -> bool {
        let later = news.incarnation.wrapping_sub(known.incarnation);
        let newer = (1..0x8000_0000).contains(&later);
        newer || later == 0 && news.state > known.state
    }

    fn hears(&mut self, news: Gossip) {
        if news.id == self.id {
            return self.hears_of_itself(news);
        }
        let (now, full) = (self.now, self.members.len() >= MAX_MEMBERS);
        match self.members.get_mut(&news.id) {
            Some(known) => {
                if !SwimDetector::holds(known, &news) {
                    return;
                }
                let changed = known.state != news.state;
                let moved = known.address != news.address;
                (known.state, known.incarnation, known.address) =
                    (news.state, news.incarnation, news.address);
                if changed {
                    known.since = now;
                }
                if changed || moved {
                    self.changed(news.id, news.state);
                }
                self.tell(news);
            }
            // Of those that are gone already nobody needs to hear.
            None if news.state >= State::Dead || full => {}
            None => {
                let Gossip {
                    id,
                    address,
                    state,
                    incarnation,
                } = news;
                self.members.insert(
                    id,
                    Member {
                        id,
                        address,
                        state,
                        incarnation,
                        since: now,
                    },
                );
                self.unsettled = self.unsettled.max(3);
                // Where it comes in the round is drawn, so that all don't probe the newest at once.
                let at = self.rng.random_range(0..=self.round.len());
                self.round.insert(at, id);
                self.changed(id, state);
                self.tell(news);
            }
        }
    }

    /// Others hold this member for suspect or dead, or remember a life of it before this one: it says more loudly
    /// that it is there. That they came to think so is a sign that it is slow itself.
    fn hears_of_itself(&mut self, news: Gossip) {
        let later = news.incarnation.wrapping_sub(self.incarnation);
        let of_this = later == 0 && news.state != State::Alive;
        if self.leaving || !(of_this || (1..0x8000_0000).contains(&later)) {
            return;
        }
        self.incarnation = news.incarnation.wrapping_add(1);
        if of_this && news.state == State::Suspect {
            self.slow = (self.slow + 1).min(MAX_SLOW);
        }
        let own = self.own(State::Alive);
        self.tell(own);
    }

    fn changed(&mut self, id: Id, state: State) {
        if self.history.len() >= HISTORY {
            self.history.remove(0);
        }
        self.history.push(Change {
            at: self.now,
            id,
            state,
        });
    }

    // ---- Datagrams ----

    fn send(&mut self, to: SocketAddr, what: What) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.send_as(to, what, self.number);
        self.number
    }

    fn send_as(&mut self, to: SocketAddr, what: What, number: u32) {
        let news = self.takes_news(wire::room(what));
        let mut bytes = wire::write(&Datagram {
            what,
            from: self.id,
            number,
            news,
        });
        self.seal.seal(&mut bytes);
        self.out.push((to, bytes));
    }

    /// A datagram came. What can't be read or is not believed is passed over.
    pub fn handle(&mut self, now: f64, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        if bytes.len() > wire::MOST {
            return;
        }
        let Some(sender) = wire::sender(bytes).filter(|sender| *sender != self.id) else {
            return;
        };
        let Some(opened) = self.seal.open(sender, bytes) else {
            return;
        };
        if let Some(content) = wire::carried(opened) {
            if self.carried.len() < MAX_CARRIED_IN {
                let content = content.to_vec();
                self.carried.push_back(Carried {
                    from: sender,
                    address: from,
                    content,
                });
            }
            return;
        }
        let Some(datagram) = wire::read(opened) else {
            return;
        };
        datagram.news.iter().for_each(|news| self.hears(*news));
        match datagram.what {
            What::Ping => self.send_as(from, What::Ack, datagram.number),
            What::Join => self.answers_join(from, datagram.number),
            What::Ack => self.acked(sender, datagram.number),
            What::Heard(about) => self.heard(about, datagram.number),
            What::Sync(digests) => self.answers_sync(from, &digests),
            What::Ask(about) => {
                let Some(to) = self.members.get(&about).map(|member| member.address) else {
                    return;
                };
                if self.errands.len() < MAX_MEMBERS {
                    // The answer is passed on under the number that was asked with.
                    let until = self.now + self.settings.period;
                    self.errands.push(Errand {
                        number: datagram.number,
                        about,
                        from: sender,
                        until,
                    });
                    self.send(to, What::Ping);
                }
            }
        }
    }

    /// Whoever joins is told of all that are there, in as many datagrams as that takes; not of more in a period than
    /// a few newcomers need, as an answer is longer than the question.
    fn answers_join(&mut self, to: SocketAddr, number: u32) {
        let all: Vec<Gossip> = self.there().map(Member::news).collect();
        self.send_as(to, What::Ack, number);
        let room = MAX_JOIN_ANSWERS.saturating_sub(self.joins_answered);
        self.joins_answered += self.tells_some(to, number, all, room);
    }

    /// Tells one of these, beginning anywhere, in at most so many datagrams; how many it took.
    fn tells_some(
        &mut self,
        to: SocketAddr,
        number: u32,
        mut all: Vec<Gossip>,
        most: usize,
    ) -> usize {
        if all.is_empty() {
            return 0;
        }
        let from = self.rng.random_range(0..all.len());
        all.rotate_left(from);
        let mut sent = 0;
        for news in all.chunks(wire::room(What::Ack)).take(most) {
            sent += 1;
            let datagram = Datagram {
                what: What::Ack,
                from: self.id,
                number,
                news: news.to_vec(),
            };
            let mut bytes = wire::write(&datagram);
            self.seal.seal(&mut bytes);
            self.out.push((to, bytes));
        }
        sent
    }

    /// A digest of each part of the table: of whom is there, in which incarnation.
    fn digests(&self) -> [u32; wire::BUCKETS] {
        let mut digests = [0_u32; wire::BUCKETS];
        let own = (self.id, self.incarnation);
        for (id, incarnation) in self.there().map(|m| (m.id, m.incarnation)).chain([own]) {
            let mixed =
                (id ^ u64::from(incarnation).rotate_left(32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let digest = &mut digests[bucket(id)];
            *digest = digest.wrapping_add((mixed >> 32) as u32);
        }
        digests
    }

    /// Tells what is known of the parts that differ, of the dead too.
    fn answers_sync(&mut self, to: SocketAddr, theirs: &[u32; wire::BUCKETS]) {
        let own = self.digests();
        let differs = |id: Id| own[bucket(id)] != theirs[bucket(id)];
        let mut some: Vec<Gossip> = self
            .members
            .values()
            .filter(|member| differs(member.id))
            .map(Member::news)
            .collect();
        if differs(self.id) && !self.leaving {
            some.push(self.own(State::Alive));
        }
        if !some.is_empty() {
            let most = if self.unsettled > 0 {
                3 * MAX_SYNC_ANSWERS
            } else {
                MAX_SYNC_ANSWERS
            };
            let room = most.saturating_sub(self.syncs_answered);
            self.syncs_answered += self.tells_some(to, 0, some, room);
        }
    }

    /// Compares tables with one member: news that is told on is told on for a time only, and may miss some.
    fn syncs(&mut self) {
        if self.now < self.next_sync || self.leaving {
            return;
        }
        let spread = 0.5 + self.rng.random::<f64>();
        let every = if self.unsettled > 0 { 1.0 } else { SYNC_EVERY };
        self.unsettled = self.unsettled.saturating_sub(1);
        self.next_sync = self.now + every * spread * self.settings.period;
        let there = self.there().count();
        if there > 0 {
            let n = self.rng.random_range(0..there);
            let to = self.there().nth(n).map(|member| member.address);
            let what = What::Sync(self.digests());
            to.into_iter().for_each(|to| {
                self.send(to, what);
            });
        }
    }

    fn acked(&mut self, from: Id, number: u32) {
        if self
            .probe
            .is_some_and(|probe| probe.id == from && probe.number == number)
        {
            self.probe = None;
            self.slow = self.slow.saturating_sub(1);
        }
        let errands: Vec<Errand> = self
            .errands
            .iter()
            .copied()
            .filter(|errand| errand.about == from)
            .collect();
        self.errands.retain(|errand| errand.about != from);
        for errand in errands {
            if let Some(to) = self.members.get(&errand.from).map(|member| member.address) {
                self.send_as(to, What::Heard(from), errand.number);
            }
        }
    }

    fn heard(&mut self, about: Id, number: u32) {
        if self
            .probe
            .is_some_and(|probe| probe.id == about && probe.number == number)
        {
            self.probe = None;
        }
    }

    // ---- Time ----

    /// What time brings; datagrams to send, and when to call again.
    pub fn poll(&mut self, now: f64) -> (Vec<(SocketAddr, Vec<u8>)>, f64) {
        // A pause of this process is its own slowness, and no member's.
        if now - self.now > 2.0 * self.settings.period && self.now.is_finite() {
            self.slow = (self.slow + 2).min(MAX_SLOW);
            self.probe = None;
            let (now, patience) = (now, self.suspicion());
            for member in self
                .members
                .values_mut()
                .filter(|member| member.state == State::Suspect)
            {
                member.since = member.since.max(now - patience / 2.0);
            }
        }
        self.now = self.now.max(now);
        if !self.leaving {
            self.join();
            self.syncs();
            self.look_at_probe();
            self.look_at_suspects();
            if self.now >= self.next_period {
                self.next_period = self.now + self.settings.period;
                self.period();
            }
        }
        self.errands.retain(|errand| errand.until > self.now);
        let probe = self
            .probe
            .map_or(f64::INFINITY, |probe| self.tries_again(&probe));
        let next = probe
            .min(self.next_period)
            .min(self.next_sync)
            .max(self.now + 1.0);
        (std::mem::take(&mut self.out), next)
    }

    /// Alone, or with fewer than seeds there are, it asks the seeds; later and later, and never quite stops, so that
    /// two halves that were cut find each other.
    fn join(&mut self) {
        if self.now < self.next_join {
            return;
        }
        let alone = self.there().next().is_none();
        // Spread at random: those that started together must not ask together for ever.
        let spread = 0.5 + self.rng.random::<f64>();
        self.next_join = self.now + self.settings.period * if alone { 1.0 } else { 15.0 * spread };
        let seeds: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.address)
            .collect();
        if alone {
            for seed in seeds {
                self.send(seed, What::Join);
            }
        } else if !seeds.is_empty() {
            let seed = seeds[self.rng.random_range(0..seeds.len())];
            self.send(seed, What::Join);
        }
    }

    fn period(&mut self) {
        self.forget();
        (self.joins_answered, self.syncs_answered) = (0, 0);
        // What was probed in the last period and never answered is asked again in this one, and is suspected then.
        if let Some(probe) = self.probe.take() {
            let there = self
                .members
                .get(&probe.id)
                .filter(|m| m.state <= State::Suspect);
            let suspected = there.is_none_or(|m| m.state == State::Suspect);
            if let Some(to) = there
                .map(|m| m.address)
                .filter(|_| !suspected && probe.doubts + 1 < DOUBTS)
            {
                let number = self.send(to, What::Ping);
                let (sent, doubts) = (self.now, probe.doubts + 1);
                self.probe = Some(Probe {
                    id: probe.id,
                    number,
                    sent,
                    tries: 1,
                    doubts,
                });
                return;
            }
            self.slow = (self.slow + 1).min(MAX_SLOW);
            self.suspects(probe.id);
        }
        while let Some(id) = self.round.pop() {
            let Some(to) = self
                .members
                .get(&id)
                .filter(|m| m.state <= State::Suspect)
                .map(|m| m.address)
            else {
                continue;
            };
            let number = self.send(to, What::Ping);
            self.probe = Some(Probe {
                id,
                number,
                sent: self.now,
                tries: 1,
                doubts: 0,
            });
            return;
        }
        self.round = self.there().map(|member| member.id).collect();
        for n in (1..self.round.len()).rev() {
            self.round.swap(n, self.rng.random_range(0..=n));
        }
    }

    /// When a probe without an answer is made again.
    fn tries_again(&self, probe: &Probe) -> f64 {
        if probe.tries >= TRIES {
            return f64::INFINITY;
        }
        probe.sent + self.settings.timeout * self.patience() * f64::from(probe.tries)
    }

    /// Asks once more, and others as well, of whom each time other ones are drawn.
    fn look_at_probe(&mut self) {
        let Some(probe) = self
            .probe
            .filter(|probe| self.now >= self.tries_again(probe))
        else {
            return;
        };
        let mut others: Vec<SocketAddr> = self
            .there()
            .filter(|m| m.id != probe.id)
            .map(|m| m.address)
            .collect();
        for _ in 0..self.settings.helpers.min(others.len()) {
            let helper = others.swap_remove(self.rng.random_range(0..others.len()));
            self.send_as(helper, What::Ask(probe.id), probe.number);
        }
        if let Some(to) = self.members.get(&probe.id).map(|member| member.address) {
            self.send_as(to, What::Ping, probe.number);
        }
        self.probe = Some(Probe {
            tries: probe.tries + 1,
            ..probe
        });
    }

    fn suspects(&mut self, id: Id) {
        let Some(member) = self
            .members
            .get(&id)
            .filter(|member| member.state == State::Alive)
        else {
            return;
        };
        let news = Gossip {
            id,
            address: member.address,
            state: State::Suspect,
            incarnation: member.incarnation,
        };
        self.hears(news);
        // It is told at once that it is suspected, so that it can say otherwise.
        let to = news.address;
        self.send(to, What::Ping);
    }

    /// How long a member is suspected before it is held for dead (ms).
    fn suspicion(&self) -> f64 {
        self.settings.suspicion * self.doublings() * self.settings.period * self.patience()
    }

    fn look_at_suspects(&mut self) {
        let patience = self.suspicion();
        let over = |member: &&Member| {
            member.state == State::Suspect && self.now - member.since >= patience
        };
        let dead: Vec<Gossip> = self
            .members
            .values()
            .filter(over)
            .map(|m| Gossip {
                state: State::Dead,
                ..m.news()
            })
            .collect();
        dead.into_iter().for_each(|news| self.hears(news));
    }

    fn forget(&mut self) {
        let (now, remembered) = (self.now, REMEMBERED * self.settings.period);
        self.members
            .retain(|_, member| member.state <= State::Suspect || now - member.since < remembered);
    }
}
