//! Which halls can be reached: evidence of own submissions and probes, and what peers and the list say beside it.

use crate::define::Definition;
use crate::message::{self, Reach, Told};
use crate::plan::{EnginePlan, HallPlan, Plan};
use std::collections::BTreeMap;

/// An engine that failed as often as this since it was last heard counts as failing.
const FAILS: u32 = 2;
/// Evidence is forgotten after so long (ms): what was not tried lately is not known.
const FORGET: f64 = 8000.0;
/// What peers said counts for so long (ms); they repeat it every `TELL`.
const HEARD_FOR: f64 = 6000.0;
const TELL: f64 = 1500.0;
/// A hall fails again, or is slowed in its climb, by the part of its last outcomes that failed.
const BAD_PART: f64 = 0.3;
const GOOD_PART: f64 = 0.1;
/// Outcomes are forgotten by halves in so long (ms).
const HALF: f64 = 1500.0;
/// A climb is set back at most so often (ms).
const SET_BACK_EVERY: f64 = 1000.0;
/// A list that drops this part of a hall's engines at once while they answer is taken for wrong.
const DROPPED_PART: f64 = 0.5;
/// A hall that is cut is asked by a probe so often (ms), one engine after the other.
const PROBE_EVERY: f64 = 500.0;
/// Where nothing was tried for so long (ms), as no probe is allowed and all go elsewhere, it is tried with the first
/// part of a climb: else nobody would ever learn that it is back.
const UNTRIED: f64 = 12_000.0;
const MOST_PEERS: usize = 1024;
const HISTORY: usize = 64;

/// An engine as listed.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    pub node: u64,
    pub hall: String,
    pub cores: f64,
    pub ready: bool,
}

/// What was seen of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It answered: a result, an error, that it is full, a note, a probe.
    Heard,
    /// No connection, a reset, or silence until time ran out.
    Lost,
}

/// What was seen, of which engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    pub node: u64,
    pub kind: Kind,
}

/// Whether a hall can be reached from here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HallState {
    Well,
    Cut,
    /// It came back: the part of it that may be used.
    Climbing(f64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Most of its engines fail and nothing was heard.
    Lost,
    /// The same, while peers reach it: the way from here is cut.
    LostFromHere,
    Heard,
    /// Nothing was tried for long.
    Untried,
    Climbed,
    FailsAgain,
    /// All halls fail: this dispatcher is cut off itself.
    Alone,
    NotAlone,
    /// The list drops engines that answer.
    ListDrops,
    /// A hall that has no engines any more is forgotten.
    Gone,
}

/// A change, to be told.
#[derive(Debug, Clone, PartialEq)]
pub struct Changed {
    pub at: f64,
    pub hall: String,
    pub state: HallState,
    pub why: Why,
}

#[derive(Debug, Clone)]
struct Known {
    hall: usize,
    cores: f64,
    ready: bool,
    /// Failures since it was last heard; when it was heard and when it failed.
    fails: u32,
    heard: f64,
    failed: f64,
}

#[derive(Debug, Clone)]
struct Hall {
    name: String,
    state: HallState,
    since: f64,
    /// Good and bad outcomes, fading.
    good: f64,
    bad: f64,
    /// All outcomes since it was first named, good and bad, counted round.
    ends: [u16; 2],
    faded: f64,
    set_back: f64,
    progress: f64,
    /// Since when it has only failed; none while it was heard last.
    quiet: Option<f64>,
    /// When anything was last seen of it; when it was last probed, and which of its engines is next.
    seen: f64,
    probed: f64,
    next: usize,
}

#[derive(Debug, Clone)]
struct Peer {
    number: u32,
    at: f64,
    alone: bool,
    halls: Vec<Told>,
}

#[derive(Debug, Clone)]
pub struct Judge {
    definition: Definition,
    /// By node; sorted, so that nothing hangs on the order of a hash.
    engines: BTreeMap<u64, Known>,
    halls: Vec<Hall>,
    peers: Vec<Peer>,
    gateways: f64,
    now: f64,
    looked: f64,
    alone: bool,
    told_at: f64,
    version: u64,
    history: Vec<Changed>,
    fresh: Vec<Changed>,
}

const LONG_AGO: f64 = -1e12;

impl Judge {
    /// `gateways`: dispatchers that share the engines, as told.
    pub fn new(definition: Definition, gateways: f64) -> Self {
        let (engines, halls, peers, history, fresh) = Default::default();
        let (now, looked, told_at, alone, version) = (LONG_AGO, LONG_AGO, LONG_AGO, false, 1);
        let gateways = gateways.max(1.0);
        Judge {
            definition,
            engines,
            halls,
            peers,
            gateways,
            now,
            looked,
            alone,
            told_at,
            version,
            history,
            fresh,
        }
    }

    pub fn definition(&self) -> &Definition {
        &self.definition
    }

    /// Takes on another definition; what is known of halls and engines stays.
    pub fn redefine(&mut self, definition: Definition) {
        self.definition = definition;
        self.version += 1;
    }

    pub fn alone(&self) -> bool {
        self.alone
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn history(&self) -> &[Changed] {
        &self.history
    }

    /// Changes since they were last taken.
    pub fn changes(&mut self) -> Vec<Changed> {
        std::mem::take(&mut self.fresh)
    }

    pub fn state(&self, hall: &str) -> Option<HallState> {
        self.halls
            .iter()
            .find(|known| known.name == hall)
            .map(|known| known.state)
    }

    fn hall(&mut self, name: &str) -> usize {
        if let Some(at) = self.halls.iter().position(|hall| hall.name == name) {
            return at;
        }
        self.halls.push(Hall {
            name: name.to_owned(),
            state: HallState::Well,
            since: self.now,
            good: 0.0,
            bad: 0.0,
            ends: [0; 2],
            faded: self.now,
            set_back: LONG_AGO,
            progress: 0.0,
            quiet: None,
            seen: self.now,
            probed: LONG_AGO,
            next: 0,
        });
        self.halls.len() - 1
    }

    fn changed(&mut self, hall: usize, state: HallState, why: Why) {
        let (now, known) = (self.now, &mut self.halls[hall]);
        (known.state, known.since) = (state, now);
        let change = Changed {
            at: now,
            hall: known.name.clone(),
            state,
            why,
        };
        self.version += 1;
        self.told_at = LONG_AGO;
        if self.history.len() >= HISTORY {
            self.history.remove(0);
        }
        self.history.push(change.clone());
        self.fresh.push(change);
    }

    // ---- Evidence ----

    /// The list as it is now told, whole. An engine that is no more listed is no evidence of anything.
    pub fn listed(&mut self, now: f64, engines: &[Engine]) {
        self.now = self.now.max(now);
        let mut before: Vec<(usize, usize)> = vec![(0, 0); self.halls.len()];
        for known in self.engines.values().filter(|known| known.ready) {
            before[known.hall].0 += 1;
        }
        let mut next = BTreeMap::new();
        for engine in engines {
            let hall = self.hall(&engine.hall);
            let fresh = Known {
                hall,
                cores: engine.cores,
                ready: engine.ready,
                fails: 0,
                heard: LONG_AGO,
                failed: LONG_AGO,
            };
            let known = self
                .engines
                .remove(&engine.node)
                .filter(|known| known.hall == hall)
                .unwrap_or(fresh);
            next.insert(
                engine.node,
                Known {
                    cores: engine.cores,
                    ready: engine.ready,
                    ..known
                },
            );
        }
        // Those that are left were dropped, or are not ready any more: did they answer a moment ago?
        let answering =
            |known: &Known| known.ready && known.fails == 0 && self.now - known.heard < 2000.0;
        for known in self.engines.values().filter(|known| answering(known)) {
            before[known.hall].1 += 1;
        }
        self.engines = next;
        for (hall, (ready, dropped)) in before.into_iter().enumerate() {
            if ready > 1 && dropped as f64 >= DROPPED_PART * ready as f64 {
                let state = self.halls[hall].state;
                self.changed(hall, state, Why::ListDrops);
            }
        }
    }

    /// What a submission or a probe showed of an engine.
    pub fn seen(&mut self, now: f64, seen: Seen) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(known) = self.engines.get_mut(&seen.node) else {
            return;
        };
        let hall = &mut self.halls[known.hall];
        hall.fade(now);
        hall.seen = now;
        match seen.kind {
            Kind::Heard => {
                (known.fails, known.heard) = (0, now);
                hall.good += 1.0;
                hall.ends[0] = hall.ends[0].wrapping_add(1);
                hall.quiet = None;
            }
            Kind::Lost => {
                known.fails += 1;
                known.failed = now;
                hall.bad += 1.0;
                hall.ends[1] = hall.ends[1].wrapping_add(1);
                hall.quiet.get_or_insert(now);
            }
        }
    }

    /// A peer's message, if it is one about halls.
    pub fn heard(&mut self, now: f64, peer: u32, content: &[u8]) {
        self.now = self.now.max(now);
        let Some((alone, halls)) = message::read(content) else {
            return;
        };
        let halls: Vec<Told> = halls.collect();
        let told = Peer {
            number: peer,
            at: self.now,
            alone,
            halls,
        };
        match self.peers.iter().position(|known| known.number == peer) {
            Some(at) => self.peers[at] = told,
            None if self.peers.len() < MOST_PEERS => self.peers.push(told),
            None => {}
        }
    }

    /// What is to be told to peers now, if anything.
    pub fn tells(&mut self, now: f64) -> Option<Vec<u8>> {
        if now - self.told_at < TELL || self.halls.len() < 2 {
            return None;
        }
        self.told_at = now;
        let told = |(n, hall): (usize, &Hall)| Told {
            mark: message::mark_of(&hall.name),
            state: self.reach(n, hall),
        };
        Some(message::write(
            self.alone,
            self.halls.iter().enumerate().map(told),
        ))
    }

    /// How this dispatcher reaches each hall, for a fleet that puts the evidence of many together: one lost answer of
    /// each engine that was tried is enough to say so, as several must say it. Where it reaches none, it says nothing
    /// of any. Beside it all outcomes, good and bad, counted round.
    pub fn reaches(&self) -> impl Iterator<Item = (&str, Reach, [u16; 2])> + '_ {
        let lost: Vec<bool> = (0..self.halls.len())
            .map(|hall| self.seems_lost(hall))
            .collect();
        let none = !lost.is_empty() && lost.iter().all(|lost| *lost);
        self.halls.iter().enumerate().map(move |(n, hall)| {
            let reach = match self.reach(n, hall) {
                Reach::Well | Reach::Unknown if lost[n] && !none => Reach::Cut,
                Reach::Well | Reach::Unknown if lost[n] => Reach::Unknown,
                reach => reach,
            };
            (hall.name.as_str(), reach, hall.ends)
        })
    }

    /// Whether all engines of a hall that were tried of late were lost since they were last heard, and half of them
    /// were tried.
    fn seems_lost(&self, hall: usize) -> bool {
        let of = || {
            self.engines
                .values()
                .filter(|known| known.hall == hall && known.ready)
        };
        let tried = || of().filter(|known| self.now - known.heard.max(known.failed) < FORGET);
        let many = tried().count();
        many > 0 && 2 * many >= of().count() && tried().all(|known| known.fails > 0)
    }

    /// How this dispatcher reaches a hall, as told to others: well only with evidence.
    fn reach(&self, n: usize, hall: &Hall) -> Reach {
        let heard = self
            .engines
            .values()
            .any(|known| known.hall == n && self.now - known.heard < FORGET);
        match hall.state {
            HallState::Cut => Reach::Cut,
            HallState::Climbing(_) => Reach::Climbing,
            HallState::Well if heard => Reach::Well,
            HallState::Well => Reach::Unknown,
        }
    }

    // ---- The regular look ----

    /// Whether a hall fails by its engines' evidence; none where too little is known.
    fn fails(&self, hall: usize) -> Option<bool> {
        let of = || {
            self.engines
                .values()
                .filter(|known| known.hall == hall && known.ready)
        };
        let tried = of()
            .filter(|known| self.now - known.heard.max(known.failed) < FORGET)
            .count();
        let all = of().count();
        // Half of the hall must have been tried, or the one engine that it has.
        if tried == 0 || 2 * tried < all {
            return None;
        }
        let failing = of()
            .filter(|known| known.fails >= FAILS && self.now - known.failed < FORGET)
            .count();
        let quiet = self.halls[hall]
            .quiet
            .is_some_and(|since| self.now - since >= self.definition.cut.quiet_for);
        Some(quiet && failing as f64 >= self.definition.cut.part * tried as f64)
    }

    /// Whether any peer that is not cut off itself reaches a hall.
    fn reached_by_peers(&self, hall: &str) -> bool {
        let mark = message::mark_of(hall);
        let reaches =
            |told: &Told| told.mark == mark && matches!(told.state, Reach::Well | Reach::Climbing);
        self.peers
            .iter()
            .any(|peer| !peer.alone && peer.halls.iter().any(reaches))
    }

    /// Looks at all evidence; meant to be called some times a second.
    pub fn look(&mut self, now: f64) {
        self.now = self.now.max(now);
        let now = self.now;
        // A pause of the process climbs nothing.
        let passed = Some(now - self.looked)
            .filter(|passed| *passed <= 1000.0)
            .unwrap_or(0.0);
        self.looked = now;
        self.peers.retain(|peer| now - peer.at < HEARD_FOR);
        self.halls.iter_mut().for_each(|hall| hall.fade(now));
        self.forget_empty();
        let fails: Vec<Option<bool>> = (0..self.halls.len()).map(|hall| self.fails(hall)).collect();
        self.look_at_self(&fails);
        for (hall, fails) in fails.iter().enumerate() {
            let failing = *fails == Some(true);
            match self.halls[hall].state {
                // A dispatcher that is cut off itself can judge no hall.
                HallState::Well | HallState::Climbing(_) if failing && !self.alone => {
                    let again = matches!(self.halls[hall].state, HallState::Climbing(_));
                    let here = self.reached_by_peers(&self.halls[hall].name);
                    let why = if again {
                        Why::FailsAgain
                    } else if here {
                        Why::LostFromHere
                    } else {
                        Why::Lost
                    };
                    self.halls[hall].progress = 0.0;
                    self.changed(hall, HallState::Cut, why);
                }
                HallState::Cut if self.heard_since(hall) => {
                    // What failed while it was cut says nothing of how it answers now.
                    let known = &mut self.halls[hall];
                    (known.progress, known.good, known.bad) = (0.0, 1.0, 0.0);
                    self.changed(
                        hall,
                        HallState::Climbing(self.definition.climb.first),
                        Why::Heard,
                    );
                }
                HallState::Cut
                    if now - self.halls[hall].seen.max(self.halls[hall].since) >= UNTRIED =>
                {
                    let known = &mut self.halls[hall];
                    (known.progress, known.good, known.bad) = (0.0, 0.0, 0.0);
                    self.changed(
                        hall,
                        HallState::Climbing(self.definition.climb.first),
                        Why::Untried,
                    );
                }
                HallState::Climbing(_) => self.climb(hall, passed),
                _ => {}
            }
        }
    }

    /// All halls that are known well enough fail, or stand cut: it is this dispatcher that is cut off. Halls that it
    /// called cut while the rest failed with them are not held to be.
    fn look_at_self(&mut self, fails: &[Option<bool>]) {
        let failing =
            |hall: usize| fails[hall] == Some(true) || self.halls[hall].state == HallState::Cut;
        let known: Vec<usize> = (0..fails.len())
            .filter(|hall| fails[*hall].is_some() || self.halls[*hall].state == HallState::Cut)
            .collect();
        let newly = known
            .iter()
            .any(|hall| fails[*hall] == Some(true) && self.halls[*hall].state != HallState::Cut);
        let alone =
            known.len() > 1 && known.iter().all(|hall| failing(*hall)) && (newly || self.alone);
        if alone == self.alone {
            return;
        }
        self.alone = alone;
        if alone {
            // The first hall that failed was judged before the others had shown that it is not the hall.
            for hall in 0..self.halls.len() {
                let known = &self.halls[hall];
                if known.state == HallState::Cut && self.now - known.since < FORGET {
                    self.changed(hall, HallState::Well, Why::Alone);
                }
            }
        }
        if let Some(hall) = known
            .first()
            .copied()
            .or((!self.halls.is_empty()).then_some(0))
        {
            let state = self.halls[hall].state;
            self.changed(hall, state, if alone { Why::Alone } else { Why::NotAlone });
        }
    }

    /// The engine of a cut hall that is to be probed now, if one is; where probes are allowed.
    pub fn probes(&mut self, now: f64) -> Option<u64> {
        let due = |hall: &Hall| hall.state == HallState::Cut && now - hall.probed >= PROBE_EVERY;
        let hall = self.halls.iter().position(due)?;
        let of: Vec<u64> = self
            .engines
            .iter()
            .filter(|(_, e)| e.hall == hall && e.ready)
            .map(|(node, _)| *node)
            .collect();
        let known = &mut self.halls[hall];
        (known.probed, known.next) = (now, known.next.wrapping_add(1));
        of.get(known.next % of.len().max(1)).copied()
    }

    fn heard_since(&self, hall: usize) -> bool {
        let since = self.halls[hall].since;
        self.engines
            .values()
            .any(|known| known.hall == hall && known.ready && known.heard > since)
    }

    /// More is given while answers are good, less when they worsen, all anew when they fail.
    fn climb(&mut self, hall: usize, passed: f64) {
        let (now, climb) = (self.now, self.definition.climb);
        let known = &mut self.halls[hall];
        let bad = known.bad / (known.good + known.bad).max(1.0);
        if bad > BAD_PART && now - known.set_back >= SET_BACK_EVERY {
            known.set_back = now;
            known.progress /= 2.0;
        } else if bad <= GOOD_PART && known.good > 0.2 {
            known.progress = (known.progress + passed / climb.over).min(1.0);
        }
        let part = climb.first + (1.0 - climb.first) * known.progress;
        known.state = HallState::Climbing(part);
        if known.progress >= 1.0 {
            self.changed(hall, HallState::Well, Why::Climbed);
        }
    }

    /// A hall without engines is forgotten when it is the last one that was named: numbers of the others stay.
    fn forget_empty(&mut self) {
        while let Some(last) = self.halls.len().checked_sub(1) {
            let empty = !self.engines.values().any(|known| known.hall == last);
            if !empty
                || self.halls[last].state != HallState::Well
                || self.now - self.halls[last].since < FORGET
            {
                return;
            }
            self.halls.pop();
        }
    }

    // ---- What follows ----

    /// Dispatchers that share a returning hall: as told, or more where more are heard.
    fn sharers(&self) -> f64 {
        self.gateways.max(self.peers.len() as f64 + 1.0)
    }

    /// What the decisions are handed: for each hall and engine what it may still be given.
    pub fn plan(&self, from: &str, classes: &[String]) -> Plan {
        let share = 1.0 / self.sharers();
        let halls = self.halls.iter().enumerate().map(|(n, hall)| {
            let cores: f64 = self
                .engines
                .values()
                .filter(|e| e.hall == n && e.ready)
                .map(|e| e.cores)
                .sum();
            let part =
                |class: Option<&str>| self.definition.spill(&hall.name, class) * cores * share;
            HallPlan {
                name: hall.name.clone(),
                state: hall.state,
                ranks: classes
                    .iter()
                    .map(|class| self.definition.rank(class, from, &hall.name))
                    .collect(),
                spill: part(None),
                spill_by_class: classes.iter().map(|class| part(Some(class))).collect(),
            }
        });
        let engines = self.engines.iter().map(|(node, known)| {
            let whole = known.cores * self.definition.climb.whole * share;
            let threads = match self.halls[known.hall].state {
                HallState::Well => f64::INFINITY,
                HallState::Climbing(part) => part * whole,
                HallState::Cut => 0.0,
            };
            EnginePlan {
                node: *node,
                threads,
            }
        });
        Plan {
            halls: halls.collect(),
            engines: engines.collect(),
            alone: self.alone,
            cross_retries: self.definition.cross_retries,
        }
    }
}

impl Hall {
    fn fade(&mut self, now: f64) {
        let fade = (-(now - self.faded).max(0.0) / HALF * std::f64::consts::LN_2).exp();
        (self.good, self.bad, self.faded) = (self.good * fade, self.bad * fade, now);
    }
}
