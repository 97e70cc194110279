//! EngineStateCache and what follows from them.

use std::collections::BTreeMap;

/// Engines of which facts are kept, and origins of facts of each kind.
pub const MAX_ENGINES: usize = 2048;
pub const MAX_ORIGINS: usize = 8;
/// Trust in an origin of which nothing is proven, and how much more one wrong fact weighs than a right one.
const FIRST_TRUST: f64 = 0.7;
const WRONG: f64 = 4.0;
const PROVEN_FIRST: f64 = 3.0;
/// What this instance saw itself counts for so many times as much as what it was told.
const OWN: f64 = 8.0;

/// What a fact is about. The order is that of the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// It drains: 1. Ends with a new start.
    Draining,
    /// It is gone: 1.
    Gone,
    /// It said nothing though it should have: 1, or answered: 0.
    Silent,
    /// Part of its answers that are errors.
    Errors,
    /// How slow it is (log ratio to its best).
    Pace,
    /// Its low-lane bound (threads a core).
    Bound,
    /// How long ago it started (ms): grows with the fact's own age.
    Started,
    /// Group of tables that a load holds there.
    Held,
}

impl Kind {
    pub const ALL: [Kind; 8] = [
        Kind::Draining,
        Kind::Gone,
        Kind::Silent,
        Kind::Errors,
        Kind::Pace,
        Kind::Bound,
        Kind::Started,
        Kind::Held,
    ];

    /// How long (ms) until a fact of this kind counts for half; none for what no age takes away.
    fn half_life(self) -> Option<f64> {
        match self {
            Kind::Draining | Kind::Gone | Kind::Started => None,
            Kind::Silent => Some(4000.0),
            Kind::Errors => Some(5000.0),
            Kind::Pace => Some(5000.0),
            Kind::Bound => Some(15_000.0),
            Kind::Held => Some(1500.0),
        }
    }
}

/// Something that an instance saw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fact {
    pub engine: u64,
    /// Which start of the engine it is of: a mark that all instances draw alike from what the list tells.
    pub start: u32,
    pub kind: Kind,
    pub value: f64,
    /// The instance that saw it, and its number there, which rises.
    pub origin: u64,
    pub number: u32,
    /// How long ago (ms) it was seen, at the least.
    pub age: f64,
}

/// A fact as it is kept: with when it was seen by this instance's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    pub value: f64,
    pub number: u32,
    pub seen: f64,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    start: u32,
    /// By kind and origin.
    entries: BTreeMap<(Kind, u64), Entry>,
    /// When anything was last taken in.
    touched: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Proven {
    right: f64,
    wrong: f64,
}

/// What is believed of an engine at a moment. Weights lie from 0 to 1: how far the decisions should go from what they
/// would take for granted towards the value.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct View {
    /// Nothing may be sent to it.
    pub closed: bool,
    /// It is to be doubted until it has answered here: fresh silence, or errors.
    pub doubt: f64,
    pub pace: Option<(f64, f64)>,
    pub bound: Option<(f64, f64)>,
    /// How long ago it started (ms), where that is known.
    pub started: Option<f64>,
    pub held: Option<u32>,
}

/// All that is known, by one instance.
#[derive(Debug, Clone)]
pub struct EngineStateCache {
    own: u64,
    number: u32,
    engines: BTreeMap<u64, Engine>,
    proven: BTreeMap<u64, Proven>,
}

impl EngineStateCache {
    /// `own`: this instance's number, another one at each start, so that its former self is an origin like any other.
    pub fn new(own: u64) -> Self {
        EngineStateCache {
            own,
            number: 0,
            engines: BTreeMap::new(),
            proven: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.engines.len()
    }

    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Takes in what this instance saw now.
    pub fn saw(&mut self, now: f64, engine: u64, start: u32, kind: Kind, value: f64) {
        self.number = self.number.wrapping_add(1);
        let (origin, number) = (self.own, self.number);
        self.merge(
            now,
            &Fact {
                engine,
                start,
                kind,
                value,
                origin,
                number,
                age: 0.0,
            },
        );
    }

    /// Takes in a fact, wherever it came from. A later start of its engine makes all earlier facts void; of one origin
    /// the higher number holds, and of the same one the greater age.
    pub fn merge(&mut self, now: f64, fact: &Fact) {
        if !(fact.value.is_finite() && fact.age >= 0.0 && fact.age.is_finite()) {
            return;
        }
        if !self.engines.contains_key(&fact.engine) && self.engines.len() >= MAX_ENGINES {
            self.forget_oldest();
        }
        let seen = now - fact.age;
        let engine = self.engines.entry(fact.engine).or_insert_with(|| Engine {
            start: fact.start,
            ..Engine::default()
        });
        let later = fact.start.wrapping_sub(engine.start);
        if (1..0x8000_0000).contains(&later) {
            (engine.start, engine.entries) = (fact.start, BTreeMap::new());
        } else if later != 0 {
            return;
        }
        engine.touched = engine.touched.max(seen);
        let fresh = Entry {
            value: fact.value,
            number: fact.number,
            seen,
        };
        let entry = engine
            .entries
            .entry((fact.kind, fact.origin))
            .or_insert(fresh);
        let newer = fact.number.wrapping_sub(entry.number);
        if (1..0x8000_0000).contains(&newer) {
            *entry = fresh;
        } else if newer == 0 {
            // The same fact by another way: what lay on the way makes it seem younger, never older.
            entry.seen = entry.seen.min(seen);
            // Two that claim one number: the order must not decide.
            if fact.value.total_cmp(&entry.value).is_gt() {
                entry.value = fact.value;
            }
        }
        EngineStateCache::bound_origins(engine, fact.kind);
    }

    /// Of each kind the origins with the lowest numbers of instance go first, wherever they came in the order.
    fn bound_origins(engine: &mut Engine, kind: Kind) {
        let of: Vec<(Kind, u64)> = engine
            .entries
            .range((kind, 0)..=(kind, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in of.iter().take(of.len().saturating_sub(MAX_ORIGINS)) {
            engine.entries.remove(key);
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .engines
            .iter()
            .min_by(|a, b| a.1.touched.total_cmp(&b.1.touched))
            .map(|(engine_id, _)| *engine_id);
        oldest.map(|engine_id| self.engines.remove(&engine_id));
    }

    /// An engine is not listed any more: nothing is known of it that matters.
    pub fn forget(&mut self, engine: u64) {
        self.engines.remove(&engine);
    }

    /// A fact of an origin was put to the test by this instance's own eyes.
    pub fn proven(&mut self, origin: u64, right: bool) {
        let proven = self.proven.entry(origin).or_default();
        *(if right {
            &mut proven.right
        } else {
            &mut proven.wrong
        }) += 1.0;
        while self.proven.len() > MAX_ENGINES {
            self.proven.pop_first();
        }
    }

    /// How far an origin is believed, from 0 to 1: one that was wrong on some facts loses weight on all.
    pub fn trust(&self, origin: u64) -> f64 {
        if origin == self.own {
            return 1.0;
        }
        let Proven { right, wrong } = self.proven.get(&origin).copied().unwrap_or_default();
        (PROVEN_FIRST * FIRST_TRUST + right) / (PROVEN_FIRST + right + WRONG * wrong)
    }

    /// A weighted mean of what is known of a kind, and the weight it deserves.
    fn mean(&self, engine: &Engine, kind: Kind, now: f64) -> Option<(f64, f64)> {
        let half_life = kind.half_life()?;
        let (mut sum, mut weights, mut most) = (0.0, 0.0, 0.0_f64);
        for ((_, origin), entry) in engine.entries.range((kind, 0)..=(kind, u64::MAX)) {
            let age = (now - entry.seen).max(0.0);
            let belief = self.trust(*origin) * (-age / half_life * std::f64::consts::LN_2).exp();
            let weight = belief * if *origin == self.own { OWN } else { 1.0 };
            sum += weight * entry.value;
            weights += weight;
            most = most.max(belief);
        }
        (weights > 1e-6).then(|| (sum / weights, most))
    }

    /// What is believed of an engine at `now`.
    pub fn view(&self, engine: u64, now: f64) -> View {
        let Some(known) = self.engines.get(&engine) else {
            return View::default();
        };
        let of = |kind: Kind| known.entries.range((kind, 0)..=(kind, u64::MAX));
        let closed = [Kind::Draining, Kind::Gone]
            .into_iter()
            .flat_map(of)
            .any(|(_, entry)| entry.value > 0.0);
        let silent = self
            .mean(known, Kind::Silent, now)
            .map_or(0.0, |(value, weight)| value * weight);
        let errors = self
            .mean(known, Kind::Errors, now)
            .map_or(0.0, |(value, weight)| value * weight);
        // Started: the greatest age that anyone tells; a cold engine must not seem warm by a fact that was lost.
        let started = of(Kind::Started)
            .map(|(_, e)| e.value + (now - e.seen).max(0.0))
            .reduce(f64::min);
        let held = self
            .mean(known, Kind::Held, now)
            .filter(|(_, weight)| *weight > 0.5)
            .map(|(value, _)| value as u32);
        View {
            closed,
            doubt: silent.max(errors).clamp(0.0, 1.0),
            pace: self.mean(known, Kind::Pace, now),
            bound: self.mean(known, Kind::Bound, now),
            started,
            held,
        }
    }

    /// All facts, with their ages at `now`, to be handed on: those that matter most first.
    pub fn all(&self, now: f64) -> Vec<Fact> {
        let mut facts: Vec<Fact> = Vec::new();
        for (engine, known) in &self.engines {
            for ((kind, origin), entry) in &known.entries {
                let age = (now - entry.seen).max(0.0);
                let (start, value, number) = (known.start, entry.value, entry.number);
                facts.push(Fact {
                    engine: *engine,
                    start,
                    kind: *kind,
                    value,
                    origin: *origin,
                    number,
                    age,
                });
            }
        }
        facts.sort_by(|a, b| {
            a.kind
                .cmp(&b.kind)
                .then(a.age.total_cmp(&b.age))
                .then(a.engine.cmp(&b.engine))
        });
        facts
    }
}
