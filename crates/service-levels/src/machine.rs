//! The state machine: which level is in force, by own signals, peers and operators.

use crate::define::{Definition, Degradation, Term, FULL};
use crate::message::{self, Told};
use crate::Readings;

/// Each level changes at most once in so long (ms): half a second more than the minute that is promised, for clocks
/// that count it differently.
pub const EVERY: f64 = 60_500.0;
/// A longer time than this between two looks is a pause (ms): what held before it holds anew, as nobody looked.
const GAP: f64 = 2000.0;
/// A signal that is not told for so long (ms) clears: a level is not held by what nobody sees any more.
const MISSING: f64 = 30_000.0;
/// What peers said counts for so long (ms); they repeat it every `TELL`.
const HEARD_FOR: f64 = 20_000.0;
const TELL: f64 = 4000.0;
/// At a start: how long peers are listened for before own signals say where to begin (ms).
const START: f64 = 2500.0;
/// A new instance asks so often where the others are (ms).
const ASK: f64 = 800.0;
const MAX_PEERS: usize = 1024;
const HISTORY: usize = 64;

/// A term's memory.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Latch {
    on: bool,
    /// How long (ms) the other state's threshold has been met without a break.
    held: f64,
    /// How long nothing was told.
    missing: f64,
}

impl Latch {
    fn look(&mut self, term: &Term, value: f64, passed: f64) {
        if value.is_nan() {
            self.missing += passed;
            self.held = 0.0;
            if self.missing >= MISSING {
                self.on = false;
            }
            return;
        }
        self.missing = 0.0;
        let bad = if term.is_above() {
            value >= term.enter
        } else {
            value <= term.enter
        };
        let good = if term.is_above() {
            value <= term.leave
        } else {
            value >= term.leave
        };
        let (other, needed) = if self.on {
            (good, term.leave_for)
        } else {
            (bad, term.enter_for)
        };
        self.held = if other { self.held + passed } else { 0.0 };
        if other && self.held >= needed {
            *self = Latch {
                on: !self.on,
                ..Latch::default()
            };
        }
    }
}

/// Why a level changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Why {
    /// Own signals: those that are on, or that cleared, with what they read.
    Signals(Vec<(String, f64)>),
    /// Most of those that hear each other want it.
    Peers {
        heard: usize,
        wants: usize,
    },
    Pinned,
    /// Where a new instance began.
    Start {
        heard: usize,
    },
    /// Other definitions.
    Redefined,
}

/// A change: one step, or where an instance began.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub at: f64,
    pub from: usize,
    pub to: usize,
    pub why: Why,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Peer {
    number: u32,
    told: Told,
    at: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Pin {
    depth: usize,
    until: f64,
}

/// What is shown of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Shown {
    pub depth: usize,
    pub name: String,
    pub since: f64,
    /// Depth that own signals ask for, and peers that are heard.
    pub wants: usize,
    pub heard: usize,
    pub pinned_until: Option<f64>,
    /// Terms of the next deeper level and of the one in force: name, reads, threshold to turn, whether on, how long
    /// it holds (ms) and has to.
    pub would_enter: Vec<(String, f64, f64, bool, f64, f64)>,
    pub would_leave: Vec<(String, f64, f64, bool, f64, f64)>,
}

#[derive(Debug, Clone)]
pub struct LevelStateMachine {
    definition: Definition,
    mark: u16,
    /// For each level its terms: where their signal stands among the readings, and their memory.
    terms: Vec<Vec<(usize, Latch)>>,
    /// Last readings, for what is shown.
    readings: Vec<f64>,
    depth: usize,
    since: f64,
    /// When each level last changed.
    changed: Vec<f64>,
    now: f64,
    began: Option<f64>,
    settled: bool,
    peers: Vec<Peer>,
    /// Since when less than is in force has been asked for.
    clear_since: Option<f64>,
    heard_before: usize,
    /// When last fewer peers were heard than before.
    silenced: f64,
    pin: Option<Pin>,
    told_at: f64,
    told_number: u16,
    times: Vec<f64>,
    changes: Vec<u64>,
    version: u64,
    history: Vec<Change>,
}

const LONG_AGO: f64 = -1e12;

impl LevelStateMachine {
    /// `definition` has no faults.
    pub fn new(definition: Definition) -> Self {
        let signals = definition.signals();
        let place = |term: &Term| {
            signals
                .iter()
                .position(|signal| *signal == term.signal)
                .unwrap_or(0)
        };
        let terms: Vec<Vec<(usize, Latch)>> = definition
            .levels
            .iter()
            .map(|level| {
                level
                    .enter
                    .terms()
                    .map(|term| (place(term), Latch::default()))
                    .collect()
            })
            .collect();
        let levels = definition.levels.len();
        LevelStateMachine {
            mark: definition.mark(),
            terms,
            readings: vec![f64::NAN; signals.len()],
            depth: 0,
            since: 0.0,
            changed: vec![LONG_AGO; levels],
            now: LONG_AGO,
            began: None,
            settled: false,
            peers: Vec::new(),
            clear_since: None,
            heard_before: 0,
            silenced: LONG_AGO,
            pin: None,
            told_at: LONG_AGO,
            told_number: 0,
            times: vec![0.0; levels + 1],
            changes: vec![0; levels],
            version: 1,
            history: Vec::new(),
            definition,
        }
    }

    pub fn definition(&self) -> &Definition {
        &self.definition
    }

    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Counts what was changed: whoever has seen a number waits for a higher one.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn history(&self) -> &[Change] {
        &self.history
    }

    pub fn name_of(&self, depth: usize) -> &str {
        depth
            .checked_sub(1)
            .and_then(|n| self.definition.levels.get(n))
            .map_or(FULL, |level| &level.name)
    }

    /// Time (ms) at each depth, and how often each level changed.
    pub fn totals(&self) -> (&[f64], &[u64]) {
        (&self.times, &self.changes)
    }

    /// What the level in force asks of the decisions.
    pub fn reduction(&self) -> Degradation {
        let level = self
            .depth
            .checked_sub(1)
            .and_then(|n| self.definition.levels.get(n));
        level.map_or_else(Degradation::default, |level| level.reduction.clone())
    }

    /// Looks at the readings; at most one step is taken. Meant to be called some times a second.
    pub fn look(&mut self, now: f64, readings: &Readings) -> Option<&Change> {
        // A clock that jumps back stands still here.
        let passed = if self.now == LONG_AGO {
            0.0
        } else {
            (now - self.now).max(0.0)
        };
        let now = now.max(self.now);
        self.now = now;
        self.times[self.depth] += passed;
        let paused = passed > GAP;
        let counts = if paused { 0.0 } else { passed };
        for (place, reading) in self.readings.iter_mut().enumerate() {
            *reading = readings.get(place).copied().unwrap_or(f64::NAN);
        }
        for (level, terms) in self.definition.levels.iter().zip(&mut self.terms) {
            for (term, (place, latch)) in level.enter.terms().zip(terms) {
                latch.held = if paused { 0.0 } else { latch.held };
                latch.look(term, self.readings[*place], counts);
            }
        }
        let began = *self.began.get_or_insert(now);
        self.peers.retain(|peer| now - peer.at < HEARD_FOR);
        if !self.settled {
            if now - began < START {
                return None;
            }
            return self.begin(now);
        }
        self.step(now)
    }

    // ---- Where an instance begins ----

    /// At the level that peers tell; without any, where its own first readings point.
    fn begin(&mut self, now: f64) -> Option<&Change> {
        self.settled = true;
        self.since = now;
        let mut told: Vec<usize> = self
            .peers
            .iter()
            .map(|peer| usize::from(peer.told.depth))
            .collect();
        told.sort_unstable();
        let heard = told.len();
        let to = match (self.pin.filter(|pin| now < pin.until), told.get(heard / 2)) {
            (Some(pin), _) => pin.depth,
            (None, Some(depth)) => *depth,
            (None, None) => self.raw_depth(),
        };
        let to = to.min(self.definition.levels.len());
        if to == 0 {
            return None;
        }
        // Levels it begins in are on, and have to clear like any other.
        for terms in &mut self.terms[..to] {
            terms.iter_mut().for_each(|(_, latch)| {
                *latch = Latch {
                    on: true,
                    ..Latch::default()
                }
            });
        }
        self.changed[..to].fill(now);
        Some(self.change(now, to, Why::Start { heard }))
    }

    /// The depth that the last readings ask for, without waiting.
    fn raw_depth(&self) -> usize {
        let raw = |n: &usize| {
            let level = &self.definition.levels[*n];
            let on = |term: &Term| {
                let place = level
                    .enter
                    .terms()
                    .position(|other| std::ptr::eq(other, term))
                    .unwrap_or(0);
                let value = self.readings[self.terms[*n][place].0];
                if term.is_above() {
                    value >= term.enter
                } else {
                    value <= term.enter
                }
            };
            level.enter.all.iter().all(on)
                && (level.enter.any.is_empty() || level.enter.any.iter().any(on))
        };
        (0..self.definition.levels.len()).take_while(raw).count()
    }

    // ---- Steps ----

    /// Whether a level's condition holds by its latches.
    fn holds(&self, level: usize) -> bool {
        let (condition, latches) = (&self.definition.levels[level].enter, &self.terms[level]);
        let (all, any) = latches.split_at(condition.all.len());
        all.iter().all(|(_, latch)| latch.on)
            && (any.is_empty() || any.iter().any(|(_, latch)| latch.on))
    }

    /// The depth that own signals ask for: down through all levels that hold. A level in force whose condition
    /// holds keeps those above it in force.
    fn wants(&self) -> usize {
        let in_force = (0..self.depth)
            .rev()
            .find(|level| self.holds(*level))
            .map_or(0, |level| level + 1);
        let mut wants = in_force;
        while wants < self.definition.levels.len() && self.holds(wants) {
            wants += 1;
        }
        wants
    }

    fn step(&mut self, now: f64) -> Option<&Change> {
        self.pin = self.pin.filter(|pin| now < pin.until);
        let own = self.wants();
        let heard = self.peers.len();
        // One that fell silent may have been what held a level: from here on what else is known must hold anew.
        if heard < self.heard_before {
            self.silenced = now;
        }
        self.heard_before = heard;
        let (wants, why) = match self.pin {
            Some(pin) => (pin.depth, Why::Pinned),
            None => self.agreed(own),
        };
        if wants < self.depth {
            let since = *self.clear_since.get_or_insert(now);
            let level = self.depth - 1;
            let stayed = now - self.since >= self.definition.levels[level].min_stay;
            let cleared = self.pin.is_some()
                || now - since.max(self.silenced) >= self.clears_in(level, own, now);
            if stayed && cleared && self.may_change(level, now) {
                return Some(self.change(now, level, why));
            }
            return None;
        }
        self.clear_since = None;
        if wants > self.depth && self.may_change(self.depth, now) {
            return Some(self.change(now, self.depth + 1, why));
        }
        None
    }

    /// How long less must be asked for before a step up. Where own signals ask for it, their latches have done the
    /// waiting; where only peers do, or those that told of the level are heard no more, the same time passes here.
    fn clears_in(&self, level: usize, own: usize, now: f64) -> f64 {
        let leaves = self.definition.levels[level]
            .enter
            .terms()
            .map(|term| term.leave_for)
            .fold(0.0, f64::max);
        if own >= self.depth || now - self.silenced < leaves {
            leaves
        } else {
            0.0
        }
    }

    /// What those that hear each other want: the middle, so that no one alone drags all down; of two middles the one
    /// nearer to what is wanted here, and own signals where nobody is heard.
    fn agreed(&self, own: usize) -> (usize, Why) {
        if self.peers.is_empty() {
            return (own, self.own_reasons(own));
        }
        let mut all: Vec<usize> = self
            .peers
            .iter()
            .map(|peer| usize::from(peer.told.wants))
            .collect();
        all.push(own);
        all.sort_unstable();
        let (lower, upper) = (all[(all.len() - 1) / 2], all[all.len() / 2]);
        let wants = own.clamp(lower, upper).min(self.definition.levels.len());
        let why = if wants == own {
            self.own_reasons(own)
        } else {
            Why::Peers {
                heard: self.peers.len(),
                wants,
            }
        };
        (wants, why)
    }

    fn own_reasons(&self, own: usize) -> Why {
        let down = own > self.depth;
        let level = if down {
            self.depth
        } else {
            self.depth.saturating_sub(1)
        };
        let Some(definition) = self.definition.levels.get(level) else {
            return Why::Signals(Vec::new());
        };
        let terms = definition.enter.terms().zip(&self.terms[level]);
        let told = terms.filter(|(_, (_, latch))| latch.on == down);
        Why::Signals(
            told.map(|(term, (place, _))| (term.signal.name(), self.readings[*place]))
                .collect(),
        )
    }

    /// The one place where the promise of a minute is kept.
    fn may_change(&self, level: usize, now: f64) -> bool {
        now - self.changed[level] >= EVERY
    }

    fn change(&mut self, now: f64, to: usize, why: Why) -> &Change {
        let from = self.depth;
        let toggled = from.min(to)..from.max(to);
        for level in toggled {
            self.changed[level] = now;
            self.changes[level] += 1;
        }
        (self.depth, self.since, self.clear_since) = (to, now, None);
        self.version += 1;
        self.told_at = LONG_AGO;
        if self.history.len() >= HISTORY {
            self.history.remove(0);
        }
        self.history.push(Change {
            at: now,
            from,
            to,
            why,
        });
        &self.history[self.history.len() - 1]
    }

    // ---- Peers and operators ----

    /// What is to be told to peers now, if anything: a change at once, else every few seconds; at a start it asks.
    pub fn tells(&mut self, now: f64) -> Option<[u8; message::LENGTH]> {
        let every = if self.settled { TELL } else { ASK };
        if now - self.told_at < every || self.definition.levels.is_empty() {
            return None;
        }
        self.told_at = now;
        self.told_number = self.told_number.wrapping_add(1);
        let most = usize::from(message::ASKS) - 1;
        let depth = if self.settled {
            self.depth.min(most) as u8
        } else {
            message::ASKS
        };
        let wants = self.wants().min(most) as u8;
        Some(message::write(Told {
            mark: self.mark,
            depth,
            wants,
            number: self.told_number,
        }))
    }

    /// A peer's message. One with another definition, or older than what is known, is passed over.
    pub fn heard(&mut self, now: f64, peer: u32, content: &[u8]) {
        let Some(told) = message::read(content).filter(|told| told.mark == self.mark) else {
            return;
        };
        let now = now.max(self.now);
        // A new one is answered with the next look, and does not count before it has begun. Many of them, or one that
        // asks without end, are answered together.
        if told.depth == message::ASKS {
            if now - self.told_at >= ASK {
                self.told_at = LONG_AGO;
            }
            return;
        }
        let room = self.peers.len() < MAX_PEERS;
        match self.peers.iter_mut().find(|known| known.number == peer) {
            Some(known) => {
                let newer = told.number.wrapping_sub(known.told.number);
                // One that started anew counts from the beginning.
                if (1..0x8000).contains(&newer) || told.number <= 2 {
                    (known.told, known.at) = (told, now);
                }
            }
            None if room => self.peers.push(Peer {
                number: peer,
                told,
                at: now,
            }),
            None => {}
        }
    }

    /// Pins a level by its name, until a time; false for a name that is not known. None lets go.
    pub fn pin(&mut self, name: Option<&str>, until: f64) -> bool {
        let Some(name) = name else {
            self.pin = None;
            return true;
        };
        let depth = (0..=self.definition.levels.len()).find(|depth| self.name_of(*depth) == name);
        self.pin = depth.map(|depth| Pin { depth, until }).or(self.pin);
        depth.is_some()
    }

    /// Takes on other definitions. Levels that are on stay on, by their names, and with them what stands before them
    /// now; those that are gone are off. What changed lately stays so, by name. Levels in force have to clear anew.
    pub fn redefine(&mut self, now: f64, definition: Definition) -> Option<&Change> {
        let now = now.max(self.now);
        let names: Vec<String> = self
            .definition
            .levels
            .iter()
            .map(|level| level.name.clone())
            .collect();
        let fresh = LevelStateMachine::new(definition);
        let new_depth = |name: &str| {
            fresh
                .definition
                .levels
                .iter()
                .position(|level| level.name == name)
        };
        let on = &names[..self.depth];
        let stays = on
            .iter()
            .filter_map(|name| new_depth(name))
            .max()
            .map_or(0, |level| level + 1);
        let was_on = |level: &crate::Level| on.contains(&level.name);
        let changed = |level: &crate::Level| {
            names
                .iter()
                .position(|name| *name == level.name)
                .map(|n| self.changed[n])
        };
        // A level that is new counts as changed just now: the promise holds for it from its first day.
        let changed: Vec<f64> = (fresh.definition.levels.iter().enumerate())
            .map(|(n, level)| {
                if (n < stays) == was_on(level) {
                    changed(level).unwrap_or(now)
                } else {
                    now
                }
            })
            .collect();
        let (before, history) = (self.depth, std::mem::take(&mut self.history));
        let (peers, version, number) = (
            std::mem::take(&mut self.peers),
            self.version,
            self.told_number,
        );
        *self = LevelStateMachine {
            changed,
            depth: stays,
            since: self.since,
            now: self.now,
            began: self.began,
            settled: self.settled,
            peers,
            history,
            version: version + 1,
            told_number: number,
            ..fresh
        };
        for terms in &mut self.terms[..stays] {
            terms.iter_mut().for_each(|(_, latch)| {
                *latch = Latch {
                    on: true,
                    ..Latch::default()
                }
            });
        }
        // Peers may not have read their files yet: what they told was of other levels.
        self.peers.clear();
        if stays == before {
            return None;
        }
        self.since = now;
        if self.history.len() >= HISTORY {
            self.history.remove(0);
        }
        self.history.push(Change {
            at: now,
            from: before,
            to: stays,
            why: Why::Redefined,
        });
        self.history.last()
    }

    // ---- What is shown ----

    pub fn shown(&self) -> Shown {
        let terms = |level: Option<usize>, entering: bool| {
            let Some(level) = level.filter(|level| *level < self.definition.levels.len()) else {
                return Vec::new();
            };
            let of = |(term, (place, latch)): (&Term, &(usize, Latch))| {
                let (threshold, needed) = if entering {
                    (term.enter, term.enter_for)
                } else {
                    (term.leave, term.leave_for)
                };
                (
                    term.signal.name(),
                    self.readings[*place],
                    threshold,
                    latch.on,
                    latch.held,
                    needed,
                )
            };
            self.definition.levels[level]
                .enter
                .terms()
                .zip(&self.terms[level])
                .map(of)
                .collect()
        };
        Shown {
            depth: self.depth,
            name: self.name_of(self.depth).to_owned(),
            since: self.since,
            wants: self.wants(),
            heard: self.peers.len(),
            pinned_until: self.pin.map(|pin| pin.until),
            would_enter: terms(Some(self.depth), true),
            would_leave: terms(self.depth.checked_sub(1), false),
        }
    }

    /// All that decides what comes next, with times counted from now and capped where they matter no more: two
    /// machines with the same key behave alike. For model checking.
    pub fn key(&self) -> Vec<i64> {
        let ago = |at: f64| (self.now - at).min(EVERY + 1.0) as i64;
        let mut key = vec![
            self.depth as i64,
            i64::from(self.settled),
            ago(self.since),
            ago(self.told_at),
        ];
        key.push(self.clear_since.map_or(-1, ago));
        key.push(self.heard_before as i64);
        key.push(self.began.map_or(-1, |at| ago(at).min(START as i64 + 1)));
        key.extend(self.changed.iter().map(|at| ago(*at)));
        for (_, latch) in self.terms.iter().flatten() {
            key.extend([
                i64::from(latch.on),
                latch.held.min(1e6) as i64,
                latch.missing.min(MISSING) as i64,
            ]);
        }
        for peer in &self.peers {
            key.extend([
                i64::from(peer.number),
                i64::from(peer.told.depth),
                i64::from(peer.told.wants),
                ago(peer.at),
            ]);
        }
        key.push(ago(self.silenced));
        key
    }
}
