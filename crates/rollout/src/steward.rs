//! What the leader decides. Its own memory is soft: a later leader gathers it anew before it decides anything.

use crate::compare::{Compare, Finding};
use crate::message::{Answer, Command, Report, Status};
use crate::plan::{NotYet, Plan, Release, Seen};
use std::collections::{BTreeMap, BTreeSet};
use tansymux_coordination::limits::{self, Ask, Bounds, Halt, Out, Unit, Verdict, View};
use tansymux_coordination::{Id, Kind, QuorumNode, Record, Stage, Value, Why};
use tansymux_membership::MemberState as State;

/// Lost ones that are written down in one look.
const MAX_LOST_A_LOOK: usize = 24;
/// One that had a turn and is not back after so many times its length is lost.
const LOST_AFTER: f64 = 1.5;
/// Members are asked for what they know no more often than that (ms).
const WANT_EVERY: f64 = 100.0;
/// Members whose reports are kept.
const MAX_REPORTS: usize = 1024;
/// What a member said counts so long (ms), for its load and version; whether it is there, membership says.
const REPORT_HOLDS: f64 = 10_000.0;

/// What the operators' file says.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    pub dispatchers: Bounds,
    pub engines: Bounds,
    pub plan: Plan,
    /// How long a turn lasts (ms): ended, started anew and back within it.
    pub turn: f64,
    /// How long a new leader listens before it decides (ms).
    pub settle: f64,
    /// One that left by itself and without a turn counts as out so long (ms).
    pub left: f64,
    /// So many dispatchers must find an engine bad before it is put out, and how long it stays out (ms). None: never.
    pub witnesses: Option<usize>,
    pub ejected: f64,
}

impl Default for Told {
    fn default() -> Self {
        Told {
            dispatchers: Bounds::default(),
            engines: Bounds::default(),
            plan: Plan {
                canaries: 1,
                canary: 60_000.0,
                pause: 0.0,
                lost: 1,
                ..Plan::default()
            },
            turn: 30_000.0,
            settle: 3000.0,
            left: 60_000.0,
            witnesses: None,
            ejected: 30_000.0,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Reported {
    report: Report,
    at: f64,
    /// It was there at this time of the leader's: it has told back a tick of then. A datagram may be late, a tick is
    /// not earlier than it was told.
    proven: f64,
}

/// The leader's memory and decisions.
#[derive(Debug, Clone)]
pub struct RolloutController {
    told: Told,
    /// Since when it leads, as last seen; what it remembers is of that time.
    leads_since: Option<f64>,
    reports: BTreeMap<Id, Reported>,
    members: BTreeMap<Id, State>,
    engines: Vec<Unit>,
    /// When the last dispatcher and the last engine were let out.
    last: [f64; 2],
    compare: Compare,
    found: Option<Finding>,
    /// The release that is compared, and how many were lost when it was first seen.
    compared: Option<(u32, Stage, usize)>,
    canaries_since: Option<f64>,
    /// The zone whose wave it is, and until when it rests.
    wave: Option<u32>,
    rests_until: f64,
    forgotten: BTreeSet<Id>,
    /// Who finds an engine bad, by engine.
    bad: BTreeMap<Id, BTreeMap<Id, f64>>,
    /// How often in a row a member's records differed, and when one was last asked for them.
    differs: BTreeMap<Id, u32>,
    wanted: f64,
}

impl RolloutController {
    pub fn new(told: Told) -> Self {
        RolloutController {
            told,
            leads_since: None,
            reports: BTreeMap::new(),
            members: BTreeMap::new(),
            engines: Vec::new(),
            last: [f64::NEG_INFINITY; 2],
            compare: Compare::default(),
            found: None,
            compared: None,
            canaries_since: None,
            wave: None,
            rests_until: f64::NEG_INFINITY,
            forgotten: BTreeSet::new(),
            bad: BTreeMap::new(),
            differs: BTreeMap::new(),
            wanted: f64::NEG_INFINITY,
        }
    }

    /// Takes on what the operators' file says now: a limit below what is out lets nothing more out, and calls nothing
    /// back.
    pub fn set(&mut self, told: Told) {
        self.told = told;
    }

    pub fn told(&self) -> &Told {
        &self.told
    }

    /// All members that are known, this one among them, and how they stand.
    pub fn members(&mut self, members: impl Iterator<Item = (Id, State)>) {
        self.members.clear();
        self.members.extend(members.take(MAX_REPORTS));
    }

    /// The engines as this dispatcher's list tells them.
    pub fn engines(&mut self, engines: &[Unit]) {
        self.engines = engines.to_vec();
        self.engines.sort_by_key(|unit| unit.id);
    }

    /// Whether a member whose records differ from the leader's is asked for them.
    pub fn wants(&mut self, now: f64, council: &QuorumNode, from: Id, differs: bool) -> bool {
        if !differs {
            self.differs.remove(&from);
            return false;
        }
        let often = self.differs.entry(from).or_insert(0);
        *often += 1;
        let new = council
            .leads_since()
            .is_some_and(|since| now - since < self.told.settle);
        if (*often < 3 && !new) || now - self.wanted < WANT_EVERY {
            return false;
        }
        self.wanted = now;
        true
    }

    /// What a member says of itself.
    pub fn report(&mut self, now: f64, council: &QuorumNode, from: Id, report: Report) {
        if self.reports.len() >= MAX_REPORTS && !self.reports.contains_key(&from) {
            return;
        }
        let before = self.reports.get(&from).copied();
        let proven = self.told_at(now, report.echo).unwrap_or(f64::NEG_INFINITY);
        // One that was overtaken on its way says nothing new.
        if before.is_some_and(|before| proven < before.proven) {
            return;
        }
        self.reports.insert(
            from,
            Reported {
                report,
                at: now,
                proven,
            },
        );
        let since =
            before.filter(|b| b.report.session == report.session && b.report.all <= report.all);
        if let (Some(before), Some(release)) = (since, release_of(council)) {
            let (good, all) = (
                report.good.wrapping_sub(before.report.good),
                report.all - before.report.all,
            );
            let released = report.version == Plan::target(&release);
            let window = (now / self.told.plan.compare.window) as u64;
            self.compare
                .report(window, report.zone, released, good, all);
        }
        if report.bad != 0
            && self.told.witnesses.is_some()
            && self.engines.iter().any(|e| e.id == report.bad)
        {
            self.bad.entry(report.bad).or_default().insert(from, now);
        }
    }

    /// The tick to tell now.
    pub fn tick(now: f64) -> u32 {
        now.max(0.0) as u64 as u32
    }

    /// When this leader told that tick; none for one that was told before it led.
    fn told_at(&self, now: f64, tick: u32) -> Option<f64> {
        let ago = f64::from(RolloutController::tick(now).wrapping_sub(tick));
        let at = now - ago;
        self.leads_since
            .filter(|since| at >= *since - 1.0)
            .map(|_| at)
    }

    /// In which zone a member said that it stands.
    pub fn zone_of(&self, id: Id) -> Option<u32> {
        self.reports.get(&id).map(|reported| reported.report.zone)
    }

    /// Whether this one leads and has listened for long enough to decide.
    pub fn leads(&self, now: f64, council: &QuorumNode) -> bool {
        let listened = council
            .leads_since()
            .is_some_and(|since| now - since >= self.told.settle);
        council.leads(now) && listened
    }

    // ---- What is known ----

    fn there(&self, id: Id) -> bool {
        self.members
            .get(&id)
            .is_some_and(|state| *state <= State::Suspect)
    }

    fn outs(&self, council: &QuorumNode, kind: Kind) -> Vec<Out> {
        let known: BTreeMap<u64, Id> = match kind {
            Kind::Dispatcher => self
                .members
                .keys()
                .chain(self.reports.keys())
                .map(|id| (Record::key_of(kind, *id), *id))
                .collect(),
            Kind::Engine => self
                .engines
                .iter()
                .map(|unit| (Record::key_of(kind, unit.id), unit.id))
                .collect(),
        };
        let of_kind = |record: Record| match record.value {
            Value::Out {
                kind: k,
                why,
                grant,
                ..
            } if k == kind => Some(Out {
                id: known.get(&record.key).copied().unwrap_or(record.key),
                why,
                grant,
            }),
            _ => None,
        };
        council
            .all_standing()
            .filter_map(|(record, _)| of_kind(record))
            .collect()
    }

    fn units(&self, kind: Kind, council: &QuorumNode) -> Vec<Unit> {
        if kind == Kind::Engine {
            return self.engines.clone();
        }
        let lost = |id: Id| {
            let standing = council.standing(Record::key_of(Kind::Dispatcher, id));
            standing.is_some_and(|(record, _)| matches!(record.value, Value::Out { .. }))
        };
        let unit = |(id, state): (&Id, &State)| {
            let there = *state <= State::Suspect;
            // Who has left and counts no more is no part of the fleet.
            if !there && (self.forgotten.contains(id) || *state == State::Left && !lost(*id)) {
                return None;
            }
            let report = self
                .reports
                .get(id)
                .map(|reported| reported.report)
                .unwrap_or_default();
            let (zone, version) = (report.zone, report.version);
            Some(Unit {
                id: *id,
                zone,
                version,
                there,
                capacity: 1.0,
            })
        };
        self.members.iter().filter_map(unit).collect()
    }

    fn load(&self, now: f64, kind: Kind) -> f64 {
        let fresh = self
            .reports
            .values()
            .filter(|reported| now - reported.at < REPORT_HOLDS);
        let of = |report: &Report| {
            f64::from(if kind == Kind::Engine {
                report.threads
            } else {
                report.busy
            })
        };
        fresh.map(|reported| of(&reported.report).max(0.0)).sum()
    }

    fn seen(&self, council: &QuorumNode) -> Vec<Seen> {
        // Who never said what it is has no version that a release could ask for.
        let units = self
            .units(Kind::Dispatcher, council)
            .into_iter()
            .filter(|unit| unit.version != 0);
        let seen = |unit: Unit| Seen {
            id: unit.id,
            zone: unit.zone,
            version: unit.version,
            there: unit.there,
        };
        units.map(seen).collect()
    }

    fn decides(&self, now: f64, council: &QuorumNode, ask: Ask) -> Verdict {
        let (units, outs) = (self.units(ask.kind, council), self.outs(council, ask.kind));
        let (bounds, last) = match ask.kind {
            Kind::Dispatcher => (&self.told.dispatchers, self.last[0]),
            Kind::Engine => (&self.told.engines, self.last[1]),
        };
        let view = View {
            units: &units,
            outs: &outs,
            last,
            load: self.load(now, ask.kind),
        };
        limits::decide(now, bounds, view, ask)
    }

    // ---- What is asked ----

    /// What a member asks. It asks again until it is answered with more than `Pending`, and every command may come
    /// twice: each names what it is about by a number of its own.
    pub fn command(&mut self, now: f64, council: &mut QuorumNode, command: Command) -> Answer {
        if !self.leads(now, council) {
            return Answer::NoLeader;
        }
        match command {
            Command::Status => Answer::Status(self.status(council)),
            Command::Turn { id, to, grant } => self.turn(now, council, id, to, grant),
            Command::Return { id, grant } => self.returns(now, council, id, grant),
            Command::Drain { engine, grant } => {
                let ask = Ask {
                    id: engine,
                    kind: Kind::Engine,
                    why: Why::Drain,
                    grant,
                };
                match self.lets_out(now, council, ask, 0, None) {
                    Answer::Granted { .. } => Answer::Done,
                    answer => answer,
                }
            }
            Command::Undrain { engine } => {
                let key = Record::key_of(Kind::Engine, engine);
                match council.standing(key).map(|(record, _)| record.value) {
                    Some(Value::Out {
                        why: Why::Drain | Why::Ejected,
                        ..
                    }) => self.ends(now, council, key),
                    Some(Value::Out { why, .. }) => Answer::AlreadyOut { why },
                    _ => Answer::Done,
                }
            }
            Command::Release { number, to, from } => {
                self.releases(now, council, (number, to, from))
            }
            Command::Back { number } => self.goes_back(now, council, number),
            Command::Halt { number } => match halt_of(council) {
                Some(_) => self.agreed(council, tansymux_coordination::HALT, Answer::Done),
                None => self.halts(now, council, Halt::ByHand, number),
            },
            Command::Resume { number } => match halt_of(council) {
                Some((halt, ..)) if halt == number => {
                    // What was lost at the halt was seen by whoever resumes.
                    self.compared = None;
                    self.ends(now, council, tansymux_coordination::HALT)
                }
                Some((number, why, by)) => Answer::Halted { why, by, number },
                None => Answer::Done,
            },
            // Zones are the watch's.
            Command::Leave { .. } | Command::ReturnTo { .. } | Command::Zones => Answer::Unknown,
            Command::Forget { id } => {
                if self.there(id) {
                    return Answer::Already;
                }
                self.forgotten.insert(id);
                self.ends(now, council, Record::key_of(Kind::Dispatcher, id))
            }
        }
    }

    /// Done once a majority keeps what stands at a place.
    fn agreed(&self, council: &QuorumNode, key: u64, answer: Answer) -> Answer {
        if council.is_agreed(key) {
            answer
        } else {
            Answer::Pending
        }
    }

    fn ends(&mut self, now: f64, council: &mut QuorumNode, key: u64) -> Answer {
        if council.standing(key).is_none() {
            return Answer::Done;
        }
        let ending = council
            .records()
            .any(|(record, _)| record.key == key && record.is_over());
        if !ending {
            council.write(now, &[(key, Value::Over, None)]);
        }
        Answer::Pending
    }

    fn halts(&mut self, now: f64, council: &mut QuorumNode, why: Halt, number: u32) -> Answer {
        let value = Value::Halt {
            number,
            by: council.id(),
            why: why as u8,
        };
        council.write(now, &[(tansymux_coordination::HALT, value, None)]);
        self.agreed(council, tansymux_coordination::HALT, Answer::Done)
    }

    fn turn(&mut self, now: f64, council: &mut QuorumNode, id: Id, to: u32, grant: u64) -> Answer {
        let own = self.reports.get(&id).map(|reported| reported.report);
        let Some(own) = own.filter(|_| self.there(id)) else {
            return Answer::Unknown;
        };
        let ask = Ask {
            id,
            kind: Kind::Dispatcher,
            why: Why::Turn,
            grant,
        };
        let key = Record::key_of(Kind::Dispatcher, id);
        let repeated = council.standing(key).is_some_and(
            |(record, _)| matches!(record.value, Value::Out { why: Why::Turn, grant: g, .. } if g == grant),
        );
        if !repeated && to != 0 && to != own.version {
            let release = release_of(council);
            let rests = now < self.rests_until;
            let admitted =
                self.told
                    .plan
                    .admits(release.as_ref(), &self.seen(council), id, to, rests);
            match admitted {
                Ok(()) => {}
                Err(NotYet::NoSuchRelease) => return Answer::NoSuchRelease,
                Err(NotYet::Already) => return Answer::Already,
                Err(NotYet::Others) => return Answer::Others,
                Err(NotYet::Pause) => return Answer::Pause,
            }
        }
        self.lets_out(now, council, ask, own.session, Some(self.told.turn))
    }

    fn lets_out(
        &mut self,
        now: f64,
        council: &mut QuorumNode,
        ask: Ask,
        session: u32,
        term: Option<f64>,
    ) -> Answer {
        let key = Record::key_of(ask.kind, ask.id);
        if let Some((number, why, by)) = halt_of(council) {
            return Answer::Halted { why, by, number };
        }
        match self.decides(now, council, ask) {
            Verdict::Granted => {
                let zone = match ask.kind {
                    Kind::Dispatcher => self
                        .reports
                        .get(&ask.id)
                        .map_or(0, |reported| reported.report.zone),
                    Kind::Engine => self
                        .engines
                        .iter()
                        .find(|unit| unit.id == ask.id)
                        .map_or(0, |unit| unit.zone),
                };
                let value = Value::Out {
                    kind: ask.kind,
                    why: ask.why,
                    zone,
                    session,
                    grant: ask.grant,
                };
                if council.write(now, &[(key, value, term)]).is_some() {
                    self.last[usize::from(ask.kind == Kind::Engine)] = now;
                }
                self.granted(council, key)
            }
            Verdict::Again => {
                // One that is ending is not given once more.
                let over = council
                    .records()
                    .any(|(record, _)| record.key == key && record.is_over());
                if over {
                    return Answer::AlreadyOut { why: ask.why };
                }
                self.granted(council, key)
            }
            Verdict::Full { scope, out, most } => Answer::Full {
                scope,
                out: out as u32,
                most: most as u32,
            },
            Verdict::TooSoon { wait } => Answer::TooSoon {
                wait: wait.ceil() as u32,
            },
            Verdict::AlreadyOut { why } => Answer::AlreadyOut { why },
            Verdict::NotCarried { load, left } => Answer::NotCarried {
                load: load as f32,
                left: left as f32,
            },
            Verdict::Unknown => Answer::Unknown,
        }
    }

    /// What is left of a turn that a majority keeps, without the allowance for clocks that is counted here.
    fn granted(&self, council: &QuorumNode, key: u64) -> Answer {
        let left = council
            .standing(key)
            .and_then(|(_, left)| left)
            .unwrap_or(0);
        let left = (f64::from(left) / (1.0 + council.terms().skew)) as u32;
        self.agreed(council, key, Answer::Granted { left })
    }

    fn returns(&mut self, now: f64, council: &mut QuorumNode, id: Id, grant: u64) -> Answer {
        let key = Record::key_of(Kind::Dispatcher, id);
        match council.standing(key).map(|(record, _)| record.value) {
            Some(Value::Out {
                why: Why::Turn,
                grant: g,
                ..
            }) if g == grant => self.ends(now, council, key),
            _ => Answer::Done,
        }
    }

    fn releases(
        &mut self,
        now: f64,
        council: &mut QuorumNode,
        (number, to, from): (u32, u32, u32),
    ) -> Answer {
        if let Some((number, why, by)) = halt_of(council) {
            return Answer::Halted { why, by, number };
        }
        let key = tansymux_coordination::RELEASE;
        match release_of(council) {
            Some(running) if running.number == number => self.agreed(council, key, Answer::Done),
            Some(running) if !matches!(running.stage, Stage::Done | Stage::Undone) => {
                Answer::Running {
                    number: running.number,
                }
            }
            _ => {
                let stage = if self.told.plan.canaries > 0 {
                    Stage::Canaries
                } else {
                    Stage::Waves
                };
                council.write(
                    now,
                    &[(
                        key,
                        Value::Release {
                            number,
                            to,
                            from,
                            stage,
                        },
                        None,
                    )],
                );
                self.agreed(council, key, Answer::Done)
            }
        }
    }

    /// The way back, from wherever the release is; a halt of it is over with that.
    fn goes_back(&mut self, now: f64, council: &mut QuorumNode, number: u32) -> Answer {
        let key = tansymux_coordination::RELEASE;
        let Some(release) = release_of(council).filter(|release| release.number == number) else {
            return Answer::NoSuchRelease;
        };
        if release.from == 0 {
            return Answer::NoWayBack;
        }
        if matches!(release.stage, Stage::Back | Stage::Undone) {
            return self.agreed(council, key, Answer::Done);
        }
        let Release {
            number, to, from, ..
        } = release;
        let back = (
            key,
            Value::Release {
                number,
                to,
                from,
                stage: Stage::Back,
            },
            None,
        );
        let mut writes = vec![back];
        if halt_of(council).is_some() {
            writes.push((tansymux_coordination::HALT, Value::Over, None));
        }
        council.write(now, &writes);
        self.agreed(council, key, Answer::Done)
    }

    fn status(&self, council: &QuorumNode) -> Status {
        let units = self.units(Kind::Dispatcher, council);
        let outs = self.outs(council, Kind::Dispatcher);
        let engine_outs = self.outs(council, Kind::Engine);
        let view = |units, outs| View {
            units,
            outs,
            last: 0.0,
            load: 0.0,
        };
        let (out, members) = view(&units, &outs).count_all();
        let (engines_out, engines) = view(&self.engines, &engine_outs).count_all();
        let release = release_of(council);
        let seen = self.seen(council);
        let released = release.map_or(0, |r| {
            seen.iter()
                .filter(|s| s.version == Plan::target(&r))
                .count()
        });
        let to_go = release.map_or(0, |r| {
            seen.iter().filter(|s| Plan::has_to_go(&r, s)).count()
        });
        let (pairs, by) = match self.found {
            Some(Finding::CantTell { pairs }) => (pairs, 0.0),
            Some(Finding::Even { pairs, by } | Finding::Worse { pairs, by }) => (pairs, by),
            None => (0, 0.0),
        };
        Status {
            leader: council.id(),
            members: members as u32,
            out: out as u32,
            lost: self.lost(council) as u32,
            engines: engines as u32,
            engines_out: engines_out as u32,
            halt: halt_of(council).map(|(number, why, _)| (why, number)),
            release: release.map(|r| (r.number, r.stage, r.to, r.from)),
            released: released as u32,
            to_go: to_go as u32,
            pairs: pairs as u32,
            by: by as f32,
        }
    }

    /// How many are out without having been let out.
    fn lost(&self, council: &QuorumNode) -> usize {
        let outs = self.outs(council, Kind::Dispatcher);
        let gone = self.members.iter().filter(|(id, state)| {
            **state == State::Dead
                && !self.forgotten.contains(id)
                && !outs.iter().any(|out| out.id == **id)
        });
        outs.iter().filter(|out| out.why == Why::Lost).count() + gone.count()
    }

    // ---- What time brings ----

    /// Looks at who is there, what is over and how the release does.
    pub fn look(&mut self, now: f64, council: &mut QuorumNode) {
        if council.leads_since() != self.leads_since {
            // Another leader's memory would be of another time.
            self.leads_since = council.leads_since();
            (self.compare, self.found, self.compared) = Default::default();
            (self.canaries_since, self.wave, self.rests_until) = (None, None, f64::NEG_INFINITY);
            // The last one was let out by whoever led before: it may have been just now.
            self.last = [now; 2];
            self.bad.clear();
            self.differs.clear();
        }
        if !self.leads(now, council) {
            return;
        }
        self.looks_at_outs(now, council);
        self.looks_for_lost(now, council);
        self.looks_at_bad(now, council);
        self.looks_at_release(now, council);
    }

    /// Ends what is over: one that is back, or that did not go in its time. One that went and did not come is lost.
    fn looks_at_outs(&mut self, now: f64, council: &mut QuorumNode) {
        let keys: BTreeMap<u64, Id> = self
            .members
            .keys()
            .map(|id| (Record::key_of(Kind::Dispatcher, *id), *id))
            .collect();
        let mut changes = Vec::new();
        for (record, left) in council.all_standing() {
            let Value::Out {
                kind,
                why,
                zone,
                session,
                grant,
            } = record.value
            else {
                continue;
            };
            let over = left == Some(0);
            if kind == Kind::Engine {
                if over {
                    changes.push((record.key, Value::Over, None));
                }
                continue;
            }
            let id = keys.get(&record.key).copied();
            let report = id
                .and_then(|id| self.reports.get(&id))
                .map(|reported| reported.report);
            let there = id.is_some_and(|id| self.there(id));
            let proven = id
                .and_then(|id| self.reports.get(&id))
                .map_or(f64::NEG_INFINITY, |r| r.proven);
            let since = council.since(record.key).unwrap_or(now);
            // It was started under this turn. Another life alone is no sign: it may have crashed and come back, and whoever
            // has the turn may still be about to use it.
            let back = there
                && proven > since
                && report.is_some_and(|report| {
                    report.turn == grant && grant != 0 && report.session != session
                });
            // Its time is over for whoever has it too, and it was seen after that: it never went, or is back untold.
            let stayed = over
                && there
                && proven > since + self.told.turn * (1.0 + 2.0 * council.terms().skew);
            let change = match why {
                _ if back => Some((record.key, Value::Over, None)),
                Why::Turn if stayed => Some((record.key, Value::Over, None)),
                // It may have begun at the very end of its time; it counts as out all the while.
                Why::Turn if over && !there && now - since >= LOST_AFTER * self.told.turn => {
                    Some((
                        record.key,
                        Value::Out {
                            kind,
                            why: Why::Lost,
                            zone,
                            session,
                            grant,
                        },
                        None,
                    ))
                }
                Why::Lost if over || there && proven > since => {
                    Some((record.key, Value::Over, None))
                }
                _ => None,
            };
            changes.extend(change.filter(|(_, value, _)| *value != record.value));
        }
        // What is being ended already is not ended again.
        let ending = |key: u64| {
            council
                .records()
                .any(|(record, _)| record.key == key && record.is_over())
        };
        changes.retain(|(key, ..)| !ending(*key));
        for some in changes.chunks(tansymux_coordination::wire::RECORDS).take(8) {
            council.write(now, some);
        }
    }

    /// Writes down who is gone without a turn, so that a later leader knows.
    fn looks_for_lost(&mut self, now: f64, council: &mut QuorumNode) {
        let there = |id: &Id| {
            self.members
                .get(id)
                .is_some_and(|state| *state <= State::Suspect)
        };
        self.forgotten.retain(|id| !there(id));
        let mut lost = Vec::new();
        for (id, state) in &self.members {
            let key = Record::key_of(Kind::Dispatcher, *id);
            let known = self.reports.get(id).map(|reported| reported.report);
            if *state <= State::Suspect
                || self.forgotten.contains(id)
                || council.standing(key).is_some()
            {
                continue;
            }
            // One of which nothing was ever heard was no part of this leader's fleet.
            let Some(report) = known else { continue };
            let term = (*state == State::Left).then_some(self.told.left);
            // Once that time is over it is no part of the fleet any more.
            let ended = council
                .records()
                .any(|(record, _)| record.key == key && record.is_over());
            if *state == State::Left && ended {
                continue;
            }
            let (kind, why) = (Kind::Dispatcher, Why::Lost);
            let value = Value::Out {
                kind,
                why,
                zone: report.zone,
                session: report.session,
                grant: 0,
            };
            lost.push((key, value, term));
        }
        lost.truncate(MAX_LOST_A_LOOK);
        for some in lost.chunks(tansymux_coordination::wire::RECORDS) {
            council.write(now, some);
        }
    }

    /// Puts an engine out that enough dispatchers find bad, where the limits let it.
    fn looks_at_bad(&mut self, now: f64, council: &mut QuorumNode) {
        let Some(witnesses) = self.told.witnesses else {
            return;
        };
        for by in self.bad.values_mut() {
            by.retain(|_, at| now - *at < REPORT_HOLDS);
        }
        self.bad.retain(|_, by| !by.is_empty());
        let enough = self
            .bad
            .iter()
            .filter(|(_, by)| by.len() >= witnesses)
            .map(|(engine, _)| *engine);
        let enough: Vec<Id> = enough.collect();
        for engine in enough {
            let ask = Ask {
                id: engine,
                kind: Kind::Engine,
                why: Why::Ejected,
                grant: 0,
            };
            if let Answer::Granted { .. } | Answer::Pending =
                self.lets_out(now, council, ask, 0, Some(self.told.ejected))
            {
                self.bad.remove(&engine);
            }
        }
    }

    fn looks_at_release(&mut self, now: f64, council: &mut QuorumNode) {
        let Some(release) = release_of(council) else {
            return;
        };
        if matches!(release.stage, Stage::Done | Stage::Undone) || halt_of(council).is_some() {
            return;
        }
        let (lost, seen) = (self.lost(council), self.seen(council));
        let way = if release.stage == Stage::Back {
            Stage::Back
        } else {
            Stage::Waves
        };
        if self
            .compared
            .is_none_or(|(number, of, _)| (number, of) != (release.number, way))
        {
            self.compared = Some((release.number, way, lost));
            (self.compare, self.found, self.canaries_since, self.wave) = Default::default();
        }
        let at_first = self.compared.map_or(0, |(_, _, lost)| lost);
        let window = (now / self.told.plan.compare.window) as u64;
        let found = self.compare.look(&self.told.plan.compare, window);
        self.found = Some(found);
        let (_, all) = View {
            units: &self.units(Kind::Dispatcher, council),
            outs: &[],
            last: 0.0,
            load: 0.0,
        }
        .count_all();
        let used_up = self
            .told
            .dispatchers
            .fleet
            .of(all)
            .is_some_and(|most| lost >= most && lost > at_first);
        let why = match found {
            Finding::Worse { .. } => Some(Halt::Worse),
            _ if lost > at_first + self.told.plan.lost => Some(Halt::Lost),
            _ if used_up => Some(Halt::UsedUp),
            _ => None,
        };
        if let Some(why) = why {
            self.halts(now, council, why, number_of(now, release.number));
            return;
        }
        if release.stage == Stage::Canaries {
            let went = self.told.plan.canaries_went(&release, &seen);
            self.canaries_since = if went {
                self.canaries_since.or(Some(now))
            } else {
                None
            };
        }
        let looked = self
            .canaries_since
            .is_some_and(|since| now - since >= self.told.plan.canary);
        let cant_tell = matches!(found, Finding::CantTell { .. }) && !self.told.plan.goes_on_untold;
        let all_went = !seen.iter().any(|seen| Plan::has_to_go(&release, seen));
        if release.stage == Stage::Canaries && looked && cant_tell && !all_went {
            self.halts(now, council, Halt::CantTell, number_of(now, release.number));
            return;
        }
        // A zone that is done rests before the next one.
        let zone = self.told.plan.zone(&release, &seen);
        if release.stage == Stage::Waves && zone != self.wave {
            if self.wave.is_some() {
                self.rests_until = now + self.told.plan.pause;
            }
            self.wave = zone;
        }
        let stage = self.told.plan.next(&release, &seen, looked);
        // Nobody known is no sign that all went, and one that has not said what it is may have to go.
        let units = self.units(Kind::Dispatcher, council);
        let sure = !seen.is_empty() && units.iter().all(|unit| unit.version != 0 || !unit.there);
        if stage != release.stage && sure && council.is_agreed(tansymux_coordination::RELEASE) {
            let Release {
                number, to, from, ..
            } = release;
            council.write(
                now,
                &[(
                    tansymux_coordination::RELEASE,
                    Value::Release {
                        number,
                        to,
                        from,
                        stage,
                    },
                    None,
                )],
            );
        }
    }
}

/// A number for a halt that no other one has.
fn number_of(now: f64, release: u32) -> u32 {
    ((now as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32 ^ release | 1
}

/// The halt that stands: its number, why, and by whom.
pub fn halt_of(council: &QuorumNode) -> Option<(u32, Halt, Id)> {
    match council.standing(tansymux_coordination::HALT)?.0.value {
        Value::Halt { number, by, why } => Some((number, Halt::of(why), by)),
        _ => None,
    }
}

pub fn release_of(council: &QuorumNode) -> Option<Release> {
    match council.standing(tansymux_coordination::RELEASE)?.0.value {
        Value::Release {
            number,
            to,
            from,
            stage,
        } => Some(Release {
            number,
            to,
            from,
            stage,
        }),
        _ => None,
    }
}
