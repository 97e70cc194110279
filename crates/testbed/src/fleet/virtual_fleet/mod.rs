//! A scenario in virtual time, round the same object that the program drives.

use super::scenario::{Fault, LinkConditions, Scenario};
use super::FleetReport;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansymux_coordination::limits::{Bounds, Limit, Unit};
use tansymux_coordination::{Stage, Stand, Terms};
use tansymux_membership::{member_id_of, Keys};
use tansymux_rollout::message::{Answer, Command};
use tansymux_rollout::{Fleet, FleetClient, Own, Plan, Settings, Told, Turn, TurnEnd};

const STEP: f64 = 10.0;
/// The release begins so long after the start of all: voters without memory keep still at first.
const RELEASE: u32 = 77;
const OLD: u32 = 1;
const NEW: u32 = 2;

/// A dispatcher's process, as it truly is.
struct Slot {
    fleet: Option<Fleet>,
    /// Its clock against the true one: rate, and what it read at the true start.
    rate: f64,
    offset: f64,
    /// The clock of its host, for those who call: no start of the process changes it.
    host: f64,
    version: u32,
    stalled: f64,
    /// When it is started again; none while it runs.
    back: Option<f64>,
    wake: f64,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// The turn that its next start is told.
    turn: u64,
    good: u32,
    all: u32,
}

impl Slot {
    fn local(&self, now: f64) -> f64 {
        self.offset + now * self.rate
    }
    fn of_host(&self, now: f64) -> f64 {
        self.host + now * self.rate
    }
    fn truly(&self, local: f64) -> f64 {
        (local - self.offset) / self.rate
    }
}

/// A supervisor: wants its dispatcher on the new version, and back on the old one where the release goes back.
enum Supervisor {
    Waits {
        turn: Box<Turn>,
        from: f64,
        to: u32,
    },
    /// Has a turn: ends the process then.
    Goes {
        at: f64,
        to: u32,
        turn: u64,
    },
    Down {
        to: u32,
    },
    Rests {
        until: f64,
    },
}

/// A datagram under way: to whose host, from and to which address.
type Flight = (usize, SocketAddr, SocketAddr, Vec<u8>);

struct Operator {
    at: usize,
    caller: FleetClient,
    engine: Option<usize>,
    halts: bool,
    told: bool,
}

/// Whether a version does worse, and under which load: what the release is compared by.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub old: f64,
    pub new: f64,
    /// Requests a second each.
    pub rate: f64,
    /// The new one is as good as the old until then (ms after the release's begin).
    pub worse_from: f64,
}

pub struct VirtualFleet {
    scenario: Scenario,
    slots: Vec<Slot>,
    supervisors: Vec<Supervisor>,
    operators: Vec<Operator>,
    drained: Vec<bool>,
    flying: BTreeMap<(u64, u64), Flight>,
    number: u64,
    bytes: u64,
    way: LinkConditions,
    /// For each member, the side of a cut; one way: the first side is not heard.
    cut: Option<(Vec<bool>, bool)>,
    rng: Pcg32,
    now: f64,
    begin: f64,
    served: Served,
    halt: Option<u32>,
    /// Since when a halt is told to be done, and how long a turn given before it may be on its way.
    halted_since: Option<f64>,
    grace: f64,
    /// What operators were answered.
    pub answers: Vec<Answer>,
    /// The limit now, and since when.
    limit: (usize, f64),
    went_back: bool,
    release_too: Option<(usize, u32)>,
    dies: Vec<usize>,
    /// Whether operators resume what is halted once the faults are over.
    pub resumes: bool,
    /// Supervisors ask nobody: what the fleet was without agreement.
    pub alone: bool,
    /// Waits for a turn that were given up.
    pub given_up: usize,
    pub seen: FleetReport,
    told: Told,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7946))
}

/// Whose host an address is.
fn at_of(to: SocketAddr) -> Option<usize> {
    match to.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
        }
        std::net::IpAddr::V6(_) => None,
    }
}

fn caller_of(n: usize) -> SocketAddr {
    SocketAddr::new(address(n).ip(), 9000)
}

fn operator_of(n: usize, k: usize) -> SocketAddr {
    SocketAddr::new(address(n).ip(), 9100 + k as u16)
}

fn keys() -> Keys {
    Keys {
        signing: Some([7; 16]),
        also_accepted: Some([7; 16]),
    }
}

/// What the operators' file would say for a scenario.
pub fn told(scenario: &Scenario) -> Told {
    let bounds = |most: usize| Bounds {
        fleet: Limit {
            number: Some(most as u32),
            part: None,
        },
        carry: 10.0,
        ..Bounds::default()
    };
    let plan = Plan {
        canaries: 1,
        canary: 4000.0,
        goes_on_untold: true,
        pause: 500.0,
        lost: scenario.members,
        ..Plan::default()
    };
    Told {
        dispatchers: bounds(scenario.most),
        engines: bounds(scenario.max_engines),
        plan,
        turn: scenario.turn,
        left: 30_000.0,
        ..Told::default()
    }
}

pub fn terms(scenario: &Scenario) -> Terms {
    Terms {
        lead: 2000.0,
        permit: scenario.turn,
        skew: 0.02,
        again: 250.0,
        late: scenario.late,
    }
}

impl VirtualFleet {
    pub fn new(scenario: Scenario, told: Told, served: Served) -> Self {
        let mut rng = Pcg32::seed_from_u64(scenario.seed);
        let slots = (0..scenario.members)
            .map(|_| Slot {
                fleet: None,
                rate: rng.random_range(0.995..1.005),
                offset: rng.random_range(0.0..1e12),
                host: rng.random_range(0.0..1e12),
                version: OLD,
                stalled: 0.0,
                back: Some(0.0),
                wake: 0.0,
                waiting: Vec::new(),
                turn: 0,
                good: 0,
                all: 0,
            })
            .collect();
        let begin = terms(&scenario).quarantine() * 1.05 + 20_000.0;
        let supervisors = (0..scenario.members)
            .map(|_| Supervisor::Rests { until: begin })
            .collect();
        let lossy = scenario
            .events
            .iter()
            .any(|event| matches!(event.what, Fault::Links(way) if way != LinkConditions::GOOD));
        let seen = FleetReport {
            seed: scenario.seed,
            limit: scenario.most,
            drain_limit: scenario.max_engines,
            of: scenario.members,
            last_fault: scenario.last_fault(),
            ..FleetReport::default()
        };
        VirtualFleet {
            slots,
            supervisors,
            operators: Vec::new(),
            drained: vec![false; scenario.engines],
            flying: BTreeMap::new(),
            number: 0,
            bytes: 0,
            way: LinkConditions::GOOD,
            cut: None,
            rng,
            now: 0.0,
            begin,
            served,
            halt: None,
            halted_since: None,
            grace: if lossy { 7000.0 } else { 1000.0 },
            answers: Vec::new(),
            limit: (scenario.most, 0.0),
            went_back: false,
            release_too: None,
            dies: Vec::new(),
            resumes: true,
            alone: false,
            given_up: 0,
            seen,
            told,
            scenario,
        }
    }

    fn settings(&self, n: usize) -> Settings {
        Settings {
            name: format!("n{n}"),
            address: address(n),
            voters: (0..self.scenario.voters).map(|n| format!("n{n}")).collect(),
            membership: tansymux_membership::Config {
                seeds: (0..self.scenario.members.min(5)).map(address).collect(),
                ..tansymux_membership::Config::default()
            },
            terms: terms(&self.scenario),
            keys: keys(),
            fresh: false,
            turn: self.slots[n].turn,
            told: self.told.clone(),
            zones: None,
        }
    }

    fn starts(&mut self, n: usize) {
        let (settings, seed) = (self.settings(n), self.rng.random());
        // Another process reads another clock: what it was before is not known to it.
        self.slots[n].offset += self.rng.random_range(-1e6..1e6);
        let local = self.slots[n].local(self.now);
        let mut fleet = Fleet::new(&settings, local, seed);
        let units: Vec<Unit> = (0..self.scenario.engines)
            .map(|e| Unit {
                id: 1000 + e as u64,
                zone: (e % 2) as u32,
                version: 0,
                there: true,
                capacity: 8.0,
            })
            .collect();
        fleet.engines(&units);
        let slot = &mut self.slots[n];
        (slot.fleet, slot.back, slot.wake, slot.stalled) = (Some(fleet), None, self.now, 0.0);
        (slot.good, slot.all, slot.turn) = (0, 0, 0);
        slot.waiting.clear();
    }

    fn ends(&mut self, n: usize, back: f64) {
        self.slots[n].fleet = None;
        self.slots[n].back = Some(self.now + back);
    }

    fn leader(&self) -> Option<usize> {
        let leads = |slot: &Slot| {
            let fleet = slot.fleet.as_ref()?;
            let leads = matches!(fleet.stand(), Some(Stand::Leads(_)));
            leads
                .then(|| fleet.council().and_then(|council| council.leads_since()))
                .flatten()
        };
        let all = self
            .slots
            .iter()
            .enumerate()
            .filter_map(|(n, slot)| Some((n, leads(slot)?)));
        all.map(|(n, _)| n).next()
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        match &self.cut {
            Some((side, one_way)) => side[from] == side[to] || *one_way && !side[from],
            None => true,
        }
    }

    /// A datagram on its way; those of one host are never lost.
    fn sends(&mut self, from: usize, source: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let Some(at) = at_of(to).filter(|at| *at < self.slots.len()) else {
            return;
        };
        if bytes.len() > 256 {
            self.seen
                .broken
                .push(format!("a datagram of {} bytes", bytes.len()));
        }
        self.number += 1;
        if at == from {
            self.flying.insert(
                (((self.now + 1.0) * 1000.0) as u64, self.number * 4),
                (at, source, to, bytes),
            );
            return;
        }
        self.bytes += bytes.len() as u64;
        if !self.reaches(from, at) {
            return;
        }
        let many = if self.rng.random_bool(self.way.doubled) {
            2
        } else {
            1
        };
        for copy in 0..many {
            if self.rng.random_bool(self.way.loss) {
                continue;
            }
            let late = self.rng.random_bool(self.way.late);
            let delay = if late {
                self.scenario.late
            } else {
                self.rng.random_range(0.0..=self.way.delay)
            };
            let when = ((self.now + delay) * 1000.0) as u64;
            self.flying.insert(
                (when, self.number * 4 + copy),
                (at, source, to, bytes.clone()),
            );
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due = self.flying.split_off(&((self.now * 1000.0) as u64, 0));
        let arrived = std::mem::replace(&mut self.flying, due);
        for (at, source, to, bytes) in arrived.into_values() {
            if to.port() != address(at).port() {
                self.answers(at, to, &bytes);
                continue;
            }
            let slot = &mut self.slots[at];
            if slot.fleet.is_some() && self.now < slot.stalled {
                // A stopped process finds what its socket could hold.
                if slot.waiting.len() < 200 {
                    slot.waiting.push((source, bytes));
                }
                continue;
            }
            let local = slot.local(self.now);
            if let Some(fleet) = &mut slot.fleet {
                fleet.handle(local, source, &bytes);
                slot.wake = slot.wake.min(self.now);
            }
        }
        for n in 0..self.slots.len() {
            if self.slots[n].back.is_some_and(|back| self.now >= back) {
                self.starts(n);
            }
            self.runs(n);
        }
        self.operate();
        (0..self.slots.len()).for_each(|n| self.supervise(n));
        let out = self
            .supervisors
            .iter()
            .filter(|s| matches!(s, Supervisor::Goes { .. } | Supervisor::Down { .. }))
            .count();
        self.seen.out(out);
        self.seen
            .drained(self.drained.iter().filter(|d| **d).count());
    }

    fn runs(&mut self, n: usize) {
        let (now, begin, served) = (self.now, self.begin, self.served);
        let slot = &mut self.slots[n];
        if now < slot.stalled || now < slot.wake {
            return;
        }
        let local = slot.local(now);
        let Some(fleet) = &mut slot.fleet else { return };
        for (from, bytes) in std::mem::take(&mut slot.waiting) {
            fleet.handle(local, from, &bytes);
        }
        let bad = slot.version == NEW && now - begin >= served.worse_from;
        let part = if bad { served.new } else { served.old };
        let many = served.rate * 0.25;
        if many > 0.0 && self.rng.random::<f64>() < 0.5 {
            for _ in 0..(2.0 * many) as u32 {
                slot.all += 1;
                slot.good += u32::from(self.rng.random::<f64>() < part);
            }
        }
        let zone = (n % self.scenario.zones) as u32 + 1;
        fleet.says(Own {
            zone,
            version: slot.version,
            good: slot.good,
            all: slot.all,
            ..Own::default()
        });
        let (out, next) = fleet.poll(local);
        slot.wake = slot.truly(next).clamp(now, now + 250.0);
        for (to, bytes) in out {
            self.sends(n, address(n), to, bytes);
        }
    }

    // ---- Whoever calls ----

    fn answers(&mut self, at: usize, to: SocketAddr, bytes: &[u8]) {
        // Supervisors and operators run on their host's clock, whatever the process does.
        let local = self.slots[at].of_host(self.now);
        if to == caller_of(at) {
            if let Supervisor::Waits { turn, .. } = &mut self.supervisors[at] {
                turn.handle(local, bytes);
            }
        } else {
            let k = usize::from(to.port().saturating_sub(9100));
            if let Some(operator) = self.operators.get_mut(k) {
                operator.caller.handle(bytes);
            }
        }
    }

    fn calls(&mut self, at: usize, command: Command, engine: Option<usize>) {
        let seed = self.rng.random();
        let caller = FleetClient::new(keys(), command, self.slots[at].of_host(self.now), seed);
        let halts = matches!(command, Command::Halt { .. });
        if matches!(command, Command::Resume { .. } | Command::Back { .. }) {
            self.halted_since = None;
        }
        self.operators.push(Operator {
            at,
            caller,
            engine,
            halts,
            told: false,
        });
    }

    fn operate(&mut self) {
        for k in 0..self.operators.len() {
            let at = self.operators[k].at;
            let local = self.slots[at].of_host(self.now);
            let (out, _) = self.operators[k].caller.poll(local);
            for bytes in out {
                self.sends(at, operator_of(at, k), address(at), bytes);
            }
            let operator = &mut self.operators[k];
            if let Some(answer) = operator.caller.answer().filter(|_| !operator.told) {
                operator.told = true;
                if operator.halts && answer == Answer::Done {
                    self.halted_since.get_or_insert(self.now);
                }
                self.answers.push(answer);
            }
            if let (Some(engine), Some(Answer::Done)) =
                (self.operators[k].engine, self.operators[k].caller.answer())
            {
                // Only what an answer allows is done; what is unknown is not.
                self.drained[engine] = true;
                self.operators[k].engine = None;
            }
        }
    }

    fn supervise(&mut self, n: usize) {
        let (now, local, host) = (
            self.now,
            self.slots[n].local(self.now),
            self.slots[n].of_host(self.now),
        );
        match &mut self.supervisors[n] {
            Supervisor::Rests { until } => {
                let to = if self.went_back { OLD } else { NEW };
                let wants =
                    now >= *until && self.slots[n].version != to && self.slots[n].fleet.is_some();
                if wants && self.alone {
                    let at = now + self.rng.random_range(0.0..self.scenario.down * 3.0);
                    self.supervisors[n] = Supervisor::Goes { at, to, turn: 0 };
                } else if now >= *until
                    && self.slots[n].version != to
                    && self.slots[n].fleet.is_some()
                {
                    let turn = Turn::new(
                        keys(),
                        member_id_of(&format!("n{n}")),
                        to,
                        0.02,
                        host,
                        20_000.0,
                        self.rng.random(),
                    );
                    self.supervisors[n] = Supervisor::Waits {
                        turn: Box::new(turn),
                        from: now,
                        to,
                    };
                }
            }
            Supervisor::Waits { turn, from, to } => {
                let (out, _) = turn.poll(host);
                let (end, grant, from, to) = (turn.end(), turn.grant(), *from, *to);
                for bytes in out {
                    self.sends(n, caller_of(n), address(n), bytes);
                }
                match end {
                    Some(TurnEnd::Granted { until }) => {
                        self.seen.to_grant.push(now - from);
                        let holds = |s: &Supervisor| {
                            matches!(s, Supervisor::Goes { .. } | Supervisor::Down { .. })
                        };
                        let out = self.supervisors.iter().filter(|s| holds(s)).count();
                        let (most, since) = self.limit;
                        if out + 1 > most && now > since + self.grace {
                            self.seen
                                .broken
                                .push(format!("a turn with {out} out, {most} are allowed by now"));
                        }
                        if self
                            .halted_since
                            .is_some_and(|since| now > since + self.grace)
                        {
                            self.seen.broken.push("a turn after a halt".into());
                        }
                        let latest = ((until - host) / self.slots[n].rate).max(0.0);
                        // A slow script: it may begin at the very end of what it was given.
                        let wait = if self.rng.random_bool(0.2) {
                            latest * 0.98
                        } else {
                            latest.min(300.0)
                        };
                        self.supervisors[n] = Supervisor::Goes {
                            at: now + wait,
                            to,
                            turn: grant,
                        };
                    }
                    Some(end) => {
                        self.given_up += usize::from(matches!(end, TurnEnd::GivenUp(_)));
                        let rest = self.rng.random_range(500.0..2500.0);
                        self.supervisors[n] = Supervisor::Rests { until: now + rest };
                    }
                    None => {}
                }
            }
            Supervisor::Goes { at, to, turn } => {
                if now >= *at {
                    let (to, turn) = (*to, *turn);
                    let polite = self.rng.random_bool(0.8);
                    if let Some(fleet) = self.slots[n].fleet.as_mut().filter(|_| polite) {
                        fleet.leave(local);
                        let (out, _) = fleet.poll(local);
                        for (to, bytes) in out {
                            self.sends(n, address(n), to, bytes);
                        }
                    }
                    let down = self.scenario.down * self.rng.random_range(0.5..1.5);
                    (self.slots[n].version, self.slots[n].turn) = (to, turn);
                    self.ends(n, down);
                    self.supervisors[n] = Supervisor::Down { to };
                }
            }
            Supervisor::Down { to } => {
                if self.slots[n].fleet.is_some() && self.slots[n].version == *to {
                    self.supervisors[n] = Supervisor::Rests { until: now };
                }
            }
        }
    }

    // ---- Faults ----

    fn apply_fault(&mut self, fault: Fault) {
        let members = self.slots.len();
        let side_of = |some: &[usize]| {
            (0..members)
                .map(|n| some.contains(&n))
                .collect::<Vec<bool>>()
        };
        match fault {
            Fault::Links(way) => self.way = way,
            Fault::Cut { side, one_way } => self.cut = Some((side_of(&side), one_way)),
            Fault::CutLeader { one_way } => {
                let leader = self.leader();
                self.cut = leader.map(|leader| (side_of(&[leader]), one_way));
            }
            Fault::Heal => self.cut = None,
            Fault::Stall { who, lasts } => self.slots[who].stalled = self.now + lasts,
            Fault::StallLeader { lasts } => {
                if let Some(leader) = self.leader() {
                    self.slots[leader].stalled = self.now + lasts;
                }
            }
            Fault::Kill { who, back } => self.ends(who, back),
            Fault::KillLeader { back } => {
                if let Some(leader) = self.leader() {
                    self.ends(leader, back);
                }
            }
            Fault::KillHolder { back } => {
                let holder = self
                    .supervisors
                    .iter()
                    .position(|s| matches!(s, Supervisor::Goes { .. }));
                if let Some(holder) = holder {
                    self.ends(holder, back);
                }
            }
            Fault::Drain { engines } => {
                for (at, engine) in engines {
                    let grant = self.rng.random();
                    self.calls(
                        at,
                        Command::Drain {
                            engine: 1000 + engine as u64,
                            grant,
                        },
                        Some(engine),
                    );
                }
            }
            Fault::Undrain { engine, at } => {
                // It serves again for the operators from the moment on which they say so.
                self.drained[engine] = false;
                self.calls(
                    at,
                    Command::Undrain {
                        engine: 1000 + engine as u64,
                    },
                    None,
                );
            }
            Fault::Halt { at } => {
                let number = self.rng.random::<u32>() | 1;
                self.halt = Some(number);
                self.calls(at, Command::Halt { number }, None);
            }
            Fault::Resume { at } => {
                if let Some(number) = self.halt {
                    self.calls(at, Command::Resume { number }, None);
                }
            }
            Fault::Limit { most } => {
                self.limit = (most, self.now);
                self.told.dispatchers.fleet = Limit {
                    number: Some(most as u32),
                    part: None,
                };
                for slot in &mut self.slots {
                    if let Some(fleet) = &mut slot.fleet {
                        fleet.set(self.told.clone(), keys(), None);
                    }
                }
            }
            Fault::Back { at } => {
                self.went_back = true;
                self.calls(at, Command::Back { number: RELEASE }, None);
            }
        }
    }

    /// Another release is asked for at the same time, at this member.
    pub fn release_too(&mut self, at: usize, number: u32) {
        self.release_too = Some((at, number));
    }

    /// All but the first few start only so long after the release's begin (ms).
    pub fn joins_late(&mut self, first: usize, after: f64) {
        let begin = self.begin;
        for slot in self.slots.iter_mut().skip(first) {
            slot.back = Some(begin + after);
        }
    }

    /// These crash shortly before the release, for good.
    pub fn dies_before(&mut self, members: &[usize]) {
        self.dies = members.to_vec();
    }

    /// Operators say that these don't come back.
    pub fn forgets(&mut self, members: &[usize]) {
        for n in members {
            self.calls(
                0,
                Command::Forget {
                    id: member_id_of(&format!("n{n}")),
                },
                None,
            );
        }
        // What stands halted for them is resumed.
        self.resumes_halt();
    }

    fn resumes_halt(&mut self) {
        let leader = self
            .leader()
            .and_then(|leader| self.slots[leader].fleet.as_ref());
        let halt = leader
            .and_then(Fleet::council)
            .and_then(tansymux_rollout::halt_of);
        if let Some((number, ..)) = halt {
            self.calls(0, Command::Resume { number }, None);
        }
    }

    /// Plays on without further faults.
    pub fn runs_on(&mut self, lasts: f64) {
        let end = self.now + lasts;
        while self.now < end {
            self.step();
            if (self.now as u64) % 5000 < STEP as u64 && self.resumes {
                self.resumes_halt();
            }
        }
    }

    /// The way back is asked for; whether all are as they were in that time.
    pub fn goes_back(&mut self, within: f64) -> bool {
        self.apply_fault(Fault::Back { at: 0 });
        let end = self.now + within;
        while self.now < end {
            self.step();
            if self
                .slots
                .iter()
                .all(|slot| slot.version == OLD && slot.fleet.is_some())
                && self.stage() == Some(Stage::Undone)
            {
                return true;
            }
        }
        false
    }

    pub fn released_now(&self) -> usize {
        self.released()
    }

    fn released(&self) -> usize {
        let to = if self.went_back { OLD } else { NEW };
        self.slots
            .iter()
            .filter(|slot| slot.version == to && slot.fleet.is_some())
            .count()
    }

    /// What the leader thinks of the release.
    pub fn stage(&self) -> Option<Stage> {
        let leader = self.slots[self.leader()?].fleet.as_ref()?;
        tansymux_rollout::release_of(leader.council()?).map(|release| release.stage)
    }

    pub fn halted(&self) -> Option<tansymux_coordination::limits::Halt> {
        let leader = self.slots[self.leader()?].fleet.as_ref()?;
        tansymux_rollout::halt_of(leader.council()?).map(|(_, why, _)| why)
    }

    /// What the leader keeps, for whoever looks for a cause.
    pub fn kept(&self) -> String {
        let Some(leader) = self.leader() else {
            return "nobody leads".into();
        };
        let council = self.slots[leader].fleet.as_ref().and_then(Fleet::council);
        let states = |n: usize| {
            let states = self.slots.iter().map(|slot| {
                let fleet = slot.fleet.as_ref()?;
                fleet
                    .group()
                    .members()
                    .find(|m| m.id == member_id_of(&format!("n{n}")))
                    .map(|m| (m.state, m.incarnation))
            });
            states
                .map(|state| format!("{state:?}"))
                .collect::<Vec<_>>()
                .join(" ")
        };
        let table = (0..self.slots.len().min(7))
            .map(|n| format!("\n  n{n}: {}", states(n)))
            .collect::<String>();
        let stand = |slot: &Slot| {
            let fleet = slot.fleet.as_ref()?;
            let now = slot.local(self.now);
            let council = fleet.council();
            let leads = council.map(|c| {
                (
                    c.leads(now),
                    c.leads_since().map(|s| now - s),
                    c.leader(),
                    c.highest(),
                )
            });
            let all: Vec<_> = fleet
                .agent()
                .records(now)
                .map(|(r, l)| (r.key, r.value, r.stamp.ballot.round, r.stamp.number, l))
                .collect();
            Some((
                fleet.stand(),
                leads,
                fleet.agent().leader(now),
                all,
                council.map(|c| {
                    c.records()
                        .map(|(r, _)| (r.key, r.value))
                        .collect::<Vec<_>>()
                }),
            ))
        };
        let stands: String = self
            .slots
            .iter()
            .take(7)
            .map(|slot| format!("\n  {:?}", stand(slot)))
            .collect();
        let records = council
            .into_iter()
            .flat_map(|council| council.all_standing());
        let name = |key: u64| {
            let of = |n: &usize| {
                let id = member_id_of(&format!("n{n}"));
                tansymux_coordination::Record::key_of(tansymux_coordination::Kind::Dispatcher, id)
                    == key
            };
            (0..self.slots.len())
                .find(of)
                .map_or_else(|| format!("{key:x}"), |n| format!("n{n}"))
        };
        records
            .map(|(record, left)| format!("{} {:?} {left:?}", name(record.key), record.value))
            .collect::<Vec<_>>()
            .join("; ")
            + &table
            + &stands
    }

    /// Plays the whole scenario.
    pub fn play(mut self) -> FleetReport {
        self.plays(|_| false);
        self.seen
    }

    /// Plays until its end, or until `done` says so.
    pub fn plays(&mut self, done: impl Fn(&VirtualFleet) -> bool) {
        while self.now < self.begin - 36_000.0 {
            self.step();
        }
        for n in std::mem::take(&mut self.dies) {
            self.ends(n, f64::INFINITY);
        }
        while self.now < self.begin - 2000.0 {
            self.step();
        }
        let number = RELEASE;
        self.calls(
            0,
            Command::Release {
                number,
                to: NEW,
                from: OLD,
            },
            None,
        );
        if let Some((at, number)) = self.release_too {
            self.calls(
                at,
                Command::Release {
                    number,
                    to: NEW + 1,
                    from: OLD,
                },
                None,
            );
        }
        while self.now < self.begin {
            self.step();
        }
        let (bytes, from) = (self.bytes, self.now);
        let mut events = self.scenario.events.clone().into_iter().peekable();
        while self.now - self.begin < self.scenario.lasts {
            while events
                .peek()
                .is_some_and(|event| self.now - self.begin >= event.at)
            {
                if let Some(event) = events.next() {
                    self.apply_fault(event.what);
                }
            }
            self.step();
            let since = self.now - self.begin;
            if self.seen.halted.is_none() && self.halted().is_some() {
                self.seen.halted = Some(since);
            }
            if self.released() == self.slots.len() && self.seen.took.is_none() {
                self.seen.took = Some(since);
            }
            // Halts of the fleet's own accord wait for operators: these look once all is over.
            if since > self.seen.last_fault + 3000.0
                && (self.now as u64) % 5000 < STEP as u64
                && self.resumes
            {
                let leader = self
                    .leader()
                    .and_then(|leader| self.slots[leader].fleet.as_ref());
                let halt = leader
                    .and_then(Fleet::council)
                    .and_then(tansymux_rollout::halt_of);
                if let Some((number, ..)) = halt {
                    self.calls(0, Command::Resume { number }, None);
                } else if leader.is_some() && self.stage().is_none() {
                    // All who knew of the release have forgotten it, and nothing goes on: it is told once more.
                    self.calls(
                        0,
                        Command::Release {
                            number: RELEASE,
                            to: NEW,
                            from: OLD,
                        },
                        None,
                    );
                }
            }
            let over = since > self.seen.last_fault + 1000.0 && events.peek().is_none();
            if over && self.seen.took.is_some() || done(self) {
                break;
            }
        }
        self.seen.released = self.released();
        let lasted = (self.now - from) / 1000.0;
        self.seen.bytes = (self.bytes - bytes) as f64 / lasted / self.slots.len() as f64;
        let limit = self.seen.last_fault + self.scenario.done_within;
        if self.scenario.done_within > 0.0 && self.seen.took.is_none_or(|took| took > limit) {
            let waits = |s: &Supervisor| match s {
                Supervisor::Waits { turn, .. } => Some(turn.last()),
                _ => None,
            };
            let waiting: Vec<Answer> = self.supervisors.iter().filter_map(waits).take(5).collect();
            self.seen.broken.push(format!(
                "not all released {:.0} s after the last fault: {} of {}, stage {:?}, halt {:?}, {waiting:?}; n{:?} leads: {}",
                self.scenario.done_within / 1000.0,
                self.seen.released,
                self.seen.of,
                self.stage(),
                self.halted(),
                self.leader(),
                self.kept()
            ));
        }
    }
}
