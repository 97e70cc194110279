//! Which zones can be reached: evidence of own attempts and probes, and what peers and the list say beside it.

use crate::define::Definition;
use crate::message::{self, Reach, Told};
use crate::plan::{EnginePlan, Plan, ZonePlan};
use std::collections::BTreeMap;

/// An engine that failed as often as this since it was last heard counts as failing.
const FAILS: u32 = 2;
/// Evidence is forgotten after so long (ms): what was not tried lately is not known.
const FORGET: f64 = 8000.0;
/// What peers said counts for so long (ms); they repeat it every `TELL`.
const HEARD_FOR: f64 = 6000.0;
const TELL: f64 = 1500.0;
/// A zone fails again, or is slowed in its climb, by the part of its last outcomes that failed.
const BAD_PART: f64 = 0.3;
const GOOD_PART: f64 = 0.1;
/// Outcomes are forgotten by halves in so long (ms).
const HALF: f64 = 1500.0;
/// A climb is set back at most so often (ms).
const SET_BACK_EVERY: f64 = 1000.0;
/// A list that drops this part of a zone's engines at once while they answer is taken for wrong.
const DROPPED_PART: f64 = 0.5;
/// A zone that is cut is asked by a probe so often (ms), one engine after the other.
const PROBE_EVERY: f64 = 500.0;
/// Where nothing was tried for so long (ms), as no probe is allowed and all go elsewhere, it is tried with the first
/// part of a climb: else nobody would ever learn that it is back.
const UNTRIED: f64 = 12_000.0;
const MAX_PEERS: usize = 1024;
const HISTORY: usize = 64;

/// An engine as listed.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    pub engine_id: u64,
    pub zone: String,
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
    pub engine_id: u64,
    pub kind: Kind,
}

/// Whether a zone can be reached from here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ZoneState {
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
    /// All zones fail: this dispatcher is cut off itself.
    Alone,
    NotAlone,
    /// The list drops engines that answer.
    ListDrops,
    /// A zone that has no engines any more is forgotten.
    Gone,
}

/// A change, to be told.
#[derive(Debug, Clone, PartialEq)]
pub struct Changed {
    pub at: f64,
    pub zone: String,
    pub state: ZoneState,
    pub why: Why,
}

#[derive(Debug, Clone)]
struct Known {
    zone: usize,
    cores: f64,
    ready: bool,
    /// Failures since it was last heard; when it was heard and when it failed.
    fails: u32,
    heard: f64,
    failed: f64,
}

#[derive(Debug, Clone)]
struct Zone {
    name: String,
    state: ZoneState,
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
    zones: Vec<Told>,
}

#[derive(Debug, Clone)]
pub struct ZoneHealthDetector {
    definition: Definition,
    /// By engine_id; sorted, so that nothing hangs on the order of a hash.
    engines: BTreeMap<u64, Known>,
    zones: Vec<Zone>,
    peers: Vec<Peer>,
    dispatchers: f64,
    now: f64,
    looked: f64,
    alone: bool,
    told_at: f64,
    version: u64,
    history: Vec<Changed>,
    fresh: Vec<Changed>,
}

const LONG_AGO: f64 = -1e12;

impl ZoneHealthDetector {
    /// `dispatchers`: dispatchers that share the engines, as told.
    pub fn new(definition: Definition, dispatchers: f64) -> Self {
        let (engines, zones, peers, history, fresh) = Default::default();
        let (now, looked, told_at, alone, version) = (LONG_AGO, LONG_AGO, LONG_AGO, false, 1);
        let dispatchers = dispatchers.max(1.0);
        ZoneHealthDetector {
            definition,
            engines,
            zones,
            peers,
            dispatchers,
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

    /// Takes on another definition; what is known of zones and engines stays.
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

    pub fn state(&self, zone: &str) -> Option<ZoneState> {
        self.zones
            .iter()
            .find(|known| known.name == zone)
            .map(|known| known.state)
    }

    fn zone(&mut self, name: &str) -> usize {
        if let Some(at) = self.zones.iter().position(|zone| zone.name == name) {
            return at;
        }
        self.zones.push(Zone {
            name: name.to_owned(),
            state: ZoneState::Well,
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
        self.zones.len() - 1
    }

    fn changed(&mut self, zone: usize, state: ZoneState, why: Why) {
        let (now, known) = (self.now, &mut self.zones[zone]);
        (known.state, known.since) = (state, now);
        let change = Changed {
            at: now,
            zone: known.name.clone(),
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
        let mut before: Vec<(usize, usize)> = vec![(0, 0); self.zones.len()];
        for known in self.engines.values().filter(|known| known.ready) {
            before[known.zone].0 += 1;
        }
        let mut next = BTreeMap::new();
        for engine in engines {
            let zone = self.zone(&engine.zone);
            let fresh = Known {
                zone,
                cores: engine.cores,
                ready: engine.ready,
                fails: 0,
                heard: LONG_AGO,
                failed: LONG_AGO,
            };
            let known = self
                .engines
                .remove(&engine.engine_id)
                .filter(|known| known.zone == zone)
                .unwrap_or(fresh);
            next.insert(
                engine.engine_id,
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
            before[known.zone].1 += 1;
        }
        self.engines = next;
        for (zone, (ready, dropped)) in before.into_iter().enumerate() {
            if ready > 1 && dropped as f64 >= DROPPED_PART * ready as f64 {
                let state = self.zones[zone].state;
                self.changed(zone, state, Why::ListDrops);
            }
        }
    }

    /// What a attempt or a probe showed of an engine.
    pub fn seen(&mut self, now: f64, seen: Seen) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(known) = self.engines.get_mut(&seen.engine_id) else {
            return;
        };
        let zone = &mut self.zones[known.zone];
        zone.fade(now);
        zone.seen = now;
        match seen.kind {
            Kind::Heard => {
                (known.fails, known.heard) = (0, now);
                zone.good += 1.0;
                zone.ends[0] = zone.ends[0].wrapping_add(1);
                zone.quiet = None;
            }
            Kind::Lost => {
                known.fails += 1;
                known.failed = now;
                zone.bad += 1.0;
                zone.ends[1] = zone.ends[1].wrapping_add(1);
                zone.quiet.get_or_insert(now);
            }
        }
    }

    /// A peer's message, if it is one about zones.
    pub fn heard(&mut self, now: f64, peer: u32, content: &[u8]) {
        self.now = self.now.max(now);
        let Some((alone, zones)) = message::read(content) else {
            return;
        };
        let zones: Vec<Told> = zones.collect();
        let told = Peer {
            number: peer,
            at: self.now,
            alone,
            zones,
        };
        match self.peers.iter().position(|known| known.number == peer) {
            Some(at) => self.peers[at] = told,
            None if self.peers.len() < MAX_PEERS => self.peers.push(told),
            None => {}
        }
    }

    /// What is to be told to peers now, if anything.
    pub fn tells(&mut self, now: f64) -> Option<Vec<u8>> {
        if now - self.told_at < TELL || self.zones.len() < 2 {
            return None;
        }
        self.told_at = now;
        let told = |(n, zone): (usize, &Zone)| Told {
            mark: message::mark_of(&zone.name),
            state: self.reach(n, zone),
        };
        Some(message::write(
            self.alone,
            self.zones.iter().enumerate().map(told),
        ))
    }

    /// How this dispatcher reaches each zone, for a fleet that puts the evidence of many together: one lost answer of
    /// each engine that was tried is enough to say so, as several must say it. Where it reaches none, it says nothing
    /// of any. Beside it all outcomes, good and bad, counted round.
    pub fn reaches(&self) -> impl Iterator<Item = (&str, Reach, [u16; 2])> + '_ {
        let lost: Vec<bool> = (0..self.zones.len())
            .map(|zone| self.seems_lost(zone))
            .collect();
        let none = !lost.is_empty() && lost.iter().all(|lost| *lost);
        self.zones.iter().enumerate().map(move |(n, zone)| {
            let reach = match self.reach(n, zone) {
                Reach::Well | Reach::Unknown if lost[n] && !none => Reach::Cut,
                Reach::Well | Reach::Unknown if lost[n] => Reach::Unknown,
                reach => reach,
            };
            (zone.name.as_str(), reach, zone.ends)
        })
    }

    /// Whether all engines of a zone that were tried of late were lost since they were last heard, and half of them
    /// were tried.
    fn seems_lost(&self, zone: usize) -> bool {
        let of = || {
            self.engines
                .values()
                .filter(|known| known.zone == zone && known.ready)
        };
        let tried = || of().filter(|known| self.now - known.heard.max(known.failed) < FORGET);
        let many = tried().count();
        many > 0 && 2 * many >= of().count() && tried().all(|known| known.fails > 0)
    }

    /// How this dispatcher reaches a zone, as told to others: well only with evidence.
    fn reach(&self, n: usize, zone: &Zone) -> Reach {
        let heard = self
            .engines
            .values()
            .any(|known| known.zone == n && self.now - known.heard < FORGET);
        match zone.state {
            ZoneState::Cut => Reach::Cut,
            ZoneState::Climbing(_) => Reach::Climbing,
            ZoneState::Well if heard => Reach::Well,
            ZoneState::Well => Reach::Unknown,
        }
    }

    // ---- The regular look ----

    /// Whether a zone fails by its engines' evidence; none where too little is known.
    fn fails(&self, zone: usize) -> Option<bool> {
        let of = || {
            self.engines
                .values()
                .filter(|known| known.zone == zone && known.ready)
        };
        let tried = of()
            .filter(|known| self.now - known.heard.max(known.failed) < FORGET)
            .count();
        let all = of().count();
        // Half of the zone must have been tried, or the one engine that it has.
        if tried == 0 || 2 * tried < all {
            return None;
        }
        let failing = of()
            .filter(|known| known.fails >= FAILS && self.now - known.failed < FORGET)
            .count();
        let quiet = self.zones[zone]
            .quiet
            .is_some_and(|since| self.now - since >= self.definition.cut.quiet_for);
        Some(quiet && failing as f64 >= self.definition.cut.part * tried as f64)
    }

    /// Whether any peer that is not cut off itself reaches a zone.
    fn reached_by_peers(&self, zone: &str) -> bool {
        let mark = message::mark_of(zone);
        let reaches =
            |told: &Told| told.mark == mark && matches!(told.state, Reach::Well | Reach::Climbing);
        self.peers
            .iter()
            .any(|peer| !peer.alone && peer.zones.iter().any(reaches))
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
        self.zones.iter_mut().for_each(|zone| zone.fade(now));
        self.forget_empty();
        let fails: Vec<Option<bool>> = (0..self.zones.len()).map(|zone| self.fails(zone)).collect();
        self.look_at_self(&fails);
        for (zone, fails) in fails.iter().enumerate() {
            let failing = *fails == Some(true);
            match self.zones[zone].state {
                // A dispatcher that is cut off itself can judge no zone.
                ZoneState::Well | ZoneState::Climbing(_) if failing && !self.alone => {
                    let again = matches!(self.zones[zone].state, ZoneState::Climbing(_));
                    let here = self.reached_by_peers(&self.zones[zone].name);
                    let why = if again {
                        Why::FailsAgain
                    } else if here {
                        Why::LostFromHere
                    } else {
                        Why::Lost
                    };
                    self.zones[zone].progress = 0.0;
                    self.changed(zone, ZoneState::Cut, why);
                }
                ZoneState::Cut if self.heard_since(zone) => {
                    // What failed while it was cut says nothing of how it answers now.
                    let known = &mut self.zones[zone];
                    (known.progress, known.good, known.bad) = (0.0, 1.0, 0.0);
                    self.changed(
                        zone,
                        ZoneState::Climbing(self.definition.climb.first),
                        Why::Heard,
                    );
                }
                ZoneState::Cut
                    if now - self.zones[zone].seen.max(self.zones[zone].since) >= UNTRIED =>
                {
                    let known = &mut self.zones[zone];
                    (known.progress, known.good, known.bad) = (0.0, 0.0, 0.0);
                    self.changed(
                        zone,
                        ZoneState::Climbing(self.definition.climb.first),
                        Why::Untried,
                    );
                }
                ZoneState::Climbing(_) => self.climb(zone, passed),
                _ => {}
            }
        }
    }

    /// All zones that are known well enough fail, or stand cut: it is this dispatcher that is cut off. Zones that it
    /// called cut while the rest failed with them are not held to be.
    fn look_at_self(&mut self, fails: &[Option<bool>]) {
        let failing =
            |zone: usize| fails[zone] == Some(true) || self.zones[zone].state == ZoneState::Cut;
        let known: Vec<usize> = (0..fails.len())
            .filter(|zone| fails[*zone].is_some() || self.zones[*zone].state == ZoneState::Cut)
            .collect();
        let newly = known
            .iter()
            .any(|zone| fails[*zone] == Some(true) && self.zones[*zone].state != ZoneState::Cut);
        let alone =
            known.len() > 1 && known.iter().all(|zone| failing(*zone)) && (newly || self.alone);
        if alone == self.alone {
            return;
        }
        self.alone = alone;
        if alone {
            // The first zone that failed was judged before the others had shown that it is not the zone.
            for zone in 0..self.zones.len() {
                let known = &self.zones[zone];
                if known.state == ZoneState::Cut && self.now - known.since < FORGET {
                    self.changed(zone, ZoneState::Well, Why::Alone);
                }
            }
        }
        if let Some(zone) = known
            .first()
            .copied()
            .or((!self.zones.is_empty()).then_some(0))
        {
            let state = self.zones[zone].state;
            self.changed(zone, state, if alone { Why::Alone } else { Why::NotAlone });
        }
    }

    /// The engine of a cut zone that is to be probed now, if one is; where probes are allowed.
    pub fn probes(&mut self, now: f64) -> Option<u64> {
        let due = |zone: &Zone| zone.state == ZoneState::Cut && now - zone.probed >= PROBE_EVERY;
        let zone = self.zones.iter().position(due)?;
        let of: Vec<u64> = self
            .engines
            .iter()
            .filter(|(_, e)| e.zone == zone && e.ready)
            .map(|(engine_id, _)| *engine_id)
            .collect();
        let known = &mut self.zones[zone];
        (known.probed, known.next) = (now, known.next.wrapping_add(1));
        of.get(known.next % of.len().max(1)).copied()
    }

    fn heard_since(&self, zone: usize) -> bool {
        let since = self.zones[zone].since;
        self.engines
            .values()
            .any(|known| known.zone == zone && known.ready && known.heard > since)
    }

    /// More is given while answers are good, less when they worsen, all anew when they fail.
    fn climb(&mut self, zone: usize, passed: f64) {
        let (now, climb) = (self.now, self.definition.climb);
        let known = &mut self.zones[zone];
        let bad = known.bad / (known.good + known.bad).max(1.0);
        if bad > BAD_PART && now - known.set_back >= SET_BACK_EVERY {
            known.set_back = now;
            known.progress /= 2.0;
        } else if bad <= GOOD_PART && known.good > 0.2 {
            known.progress = (known.progress + passed / climb.over).min(1.0);
        }
        let part = climb.first + (1.0 - climb.first) * known.progress;
        known.state = ZoneState::Climbing(part);
        if known.progress >= 1.0 {
            self.changed(zone, ZoneState::Well, Why::Climbed);
        }
    }

    /// A zone without engines is forgotten when it is the last one that was named: numbers of the others stay.
    fn forget_empty(&mut self) {
        while let Some(last) = self.zones.len().checked_sub(1) {
            let empty = !self.engines.values().any(|known| known.zone == last);
            if !empty
                || self.zones[last].state != ZoneState::Well
                || self.now - self.zones[last].since < FORGET
            {
                return;
            }
            self.zones.pop();
        }
    }

    // ---- What follows ----

    /// Dispatchers that share a returning zone: as told, or more where more are heard.
    fn sharers(&self) -> f64 {
        self.dispatchers.max(self.peers.len() as f64 + 1.0)
    }

    /// What the decisions are handed: for each zone and engine what it may still be given.
    pub fn plan(&self, from: &str, classes: &[String]) -> Plan {
        let share = 1.0 / self.sharers();
        let zones = self.zones.iter().enumerate().map(|(n, zone)| {
            let cores: f64 = self
                .engines
                .values()
                .filter(|e| e.zone == n && e.ready)
                .map(|e| e.cores)
                .sum();
            let part =
                |class: Option<&str>| self.definition.spill(&zone.name, class) * cores * share;
            ZonePlan {
                name: zone.name.clone(),
                state: zone.state,
                ranks: classes
                    .iter()
                    .map(|class| self.definition.rank(class, from, &zone.name))
                    .collect(),
                spill: part(None),
                spill_by_class: classes.iter().map(|class| part(Some(class))).collect(),
            }
        });
        let engines = self.engines.iter().map(|(engine_id, known)| {
            let whole = known.cores * self.definition.climb.whole * share;
            let threads = match self.zones[known.zone].state {
                ZoneState::Well => f64::INFINITY,
                ZoneState::Climbing(part) => part * whole,
                ZoneState::Cut => 0.0,
            };
            EnginePlan {
                engine_id: *engine_id,
                threads,
            }
        });
        Plan {
            zones: zones.collect(),
            engines: engines.collect(),
            alone: self.alone,
            cross_retries: self.definition.cross_retries,
        }
    }
}

impl Zone {
    fn fade(&mut self, now: f64) {
        let fade = (-(now - self.faded).max(0.0) / HALF * std::f64::consts::LN_2).exp();
        (self.good, self.bad, self.faded) = (self.good * fade, self.bad * fade, now);
    }
}
