//! Definitions of levels, and which of them could never work.

/// What is measured. Parts lie from 0 to 1.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Signal {
    /// Part of the ready engines that show pressure, in the pool or in a zone.
    Pressed(Option<String>),
    /// Part of the low lane's bounds that is in use, as it would be at full service.
    BoundsUsed,
    /// Part of the finished queries that came late, of all or of a class.
    Late(Option<String>),
    /// Part of the queries that were rejected, of all or of a class.
    Rejected(Option<String>),
    /// Parts of the listed engines that are ready, cold, or in doubt.
    Ready,
    Cold,
    Doubted,
    /// Parts of this dispatcher's own limits that are used.
    Memory,
    Descriptors,
}

impl Signal {
    pub fn name(&self) -> String {
        let of = |name: &str, of: &Option<String>| {
            of.as_ref()
                .map_or(name.into(), |of| format!("{name}({of})"))
        };
        match self {
            Signal::Pressed(zone) => of("pressed", zone),
            Signal::BoundsUsed => "bounds-used".into(),
            Signal::Late(class) => of("late", class),
            Signal::Rejected(class) => of("deferred", class),
            Signal::Ready => "ready".into(),
            Signal::Cold => "cold".into(),
            Signal::Doubted => "doubted".into(),
            Signal::Memory => "memory".into(),
            Signal::Descriptors => "descriptors".into(),
        }
    }

    /// Whether a deeper level itself may keep it up: such a signal alone must not hold a level.
    fn is_kept_up_by_levels(&self) -> bool {
        matches!(self, Signal::Rejected(_))
    }
}

/// A signal with two thresholds: it is on once the one was reached for a time, and off once the other was.
#[derive(Debug, Clone, PartialEq)]
pub struct Term {
    pub signal: Signal,
    pub enter: f64,
    pub leave: f64,
    /// How long (ms) either must hold.
    pub enter_for: f64,
    pub leave_for: f64,
}

impl Term {
    /// Whether high values are bad: else low ones are.
    pub fn is_above(&self) -> bool {
        self.enter > self.leave
    }
}

/// Holds while all of `all` are on, and one of `any` where there are some.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Condition {
    pub all: Vec<Term>,
    pub any: Vec<Term>,
}

impl Condition {
    pub fn terms(&self) -> impl Iterator<Item = &Term> {
        self.all.iter().chain(&self.any)
    }
}

/// What a level asks of the decisions. At full service nothing: all factors 1.
#[derive(Debug, Clone, PartialEq)]
pub struct Degradation {
    /// Factors on the low lane's bounds, on the factor of demotion, on grants of memory beyond need: up to 1.
    pub bounds: f64,
    pub demotion: f64,
    pub grants: f64,
    /// Factor on the time to come back, from 1, and how far it is spread at random beyond that (part).
    pub retry_after: f64,
    pub spread: f64,
    /// No further attempts for low work.
    pub withhold_low: bool,
    /// Low work of tenants over their share finds no room, nor does low work whose cost is less sure than this.
    pub close_over_share: bool,
    pub min_sure: f64,
    /// Room of low work by class: a part of what it would find; none closes the class.
    pub classes: Vec<(String, f64)>,
}

impl Default for Degradation {
    fn default() -> Self {
        Degradation {
            bounds: 1.0,
            demotion: 1.0,
            grants: 1.0,
            retry_after: 1.0,
            spread: 0.0,
            withhold_low: false,
            close_over_share: false,
            min_sure: 0.0,
            classes: Vec::new(),
        }
    }
}

impl Degradation {
    /// The part of its room that a class's low work finds.
    pub fn of_class(&self, class: &str) -> f64 {
        self.classes
            .iter()
            .find(|(name, _)| name == class)
            .map_or(1.0, |(_, part)| *part)
    }

    /// What of it is milder than `before`, by name.
    fn milder_than(&self, before: &Degradation) -> Option<&'static str> {
        let classes = before
            .classes
            .iter()
            .any(|(name, part)| self.of_class(name) > *part);
        let checks = [
            (self.bounds > before.bounds, "bounds"),
            (self.demotion > before.demotion, "demotion"),
            (self.grants > before.grants, "grants"),
            (self.retry_after < before.retry_after, "retry_after"),
            (before.withhold_low && !self.withhold_low, "withhold_low"),
            (
                before.close_over_share && !self.close_over_share,
                "close_over_share",
            ),
            (self.min_sure < before.min_sure, "least_sure"),
            (classes, "class"),
        ];
        checks
            .iter()
            .find(|(milder, _)| *milder)
            .map(|(_, name)| *name)
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    pub name: String,
    pub enter: Condition,
    /// How long (ms) it stays at the least.
    pub min_stay: f64,
    pub reduction: Degradation,
}

/// Levels below full service, in order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Definition {
    pub levels: Vec<Level>,
}

/// A level that could never work: its number, which key, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    pub level: usize,
    pub key: String,
    pub found: String,
    pub allowed: &'static str,
}

/// Thresholds nearer than this to each other are crossed by noise alone.
pub const MIN_GAP: f64 = 0.02;

impl Definition {
    /// All signals that are named, each once, in the order in which they come.
    pub fn signals(&self) -> Vec<Signal> {
        let mut signals: Vec<Signal> = Vec::new();
        for term in self.levels.iter().flat_map(|level| level.enter.terms()) {
            if !signals.contains(&term.signal) {
                signals.push(term.signal.clone());
            }
        }
        signals
    }

    /// A mark of what is defined, so that dispatchers with other definitions do not count on each other.
    pub fn mark(&self) -> u16 {
        let text = format!("{self:?}");
        let hash = text.bytes().fold(0x811c_9dc5_u32, |hash, b| {
            (hash ^ u32::from(b)).wrapping_mul(0x0100_0193)
        });
        (hash ^ hash >> 16) as u16
    }
}

/// All faults: what must flap, can't be entered or left, or makes another level useless.
pub fn faults(definition: &Definition) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (n, level) in definition.levels.iter().enumerate() {
        let mut add = |key: &str, found: String, allowed: &'static str| {
            faults.push(Fault {
                level: n,
                key: key.to_owned(),
                found,
                allowed,
            });
        };
        if level.name.is_empty() || level.name == FULL {
            add(
                "name",
                format!("{:?}", level.name),
                "a name other than that of full service",
            );
        } else if definition.levels[..n]
            .iter()
            .any(|other| other.name == level.name)
        {
            add(
                "name",
                format!("{:?} a second time", level.name),
                "each name once",
            );
        }
        if level.enter.terms().next().is_none() {
            add("enter", "missing".into(), "at least one term in all or any");
        }
        for (part, terms) in [("all", &level.enter.all), ("any", &level.enter.any)] {
            for (t, term) in terms.iter().enumerate() {
                let key = format!("enter.{part}.{t}");
                let (high, low) = (term.enter.max(term.leave), term.enter.min(term.leave));
                if !(term.enter.is_finite() && term.leave.is_finite()) || high - low < MIN_GAP {
                    let found = format!("{} to enter and {} to leave", term.enter, term.leave);
                    add(&key, found, "thresholds 0.02 apart or more: it would flap");
                } else if !(0.0..=1.0).contains(&term.enter) {
                    add(
                        &key,
                        format!("{} to enter", term.enter),
                        "0 to 1: it could never be entered",
                    );
                } else if term.is_above() && term.leave <= 0.0
                    || !term.is_above() && term.leave > 1.0
                {
                    add(
                        &key,
                        format!("{} to leave", term.leave),
                        "a value inside 0 to 1: it could not be left",
                    );
                }
            }
        }
        let held_up = |term: &Term| term.signal.is_kept_up_by_levels() && term.is_above();
        let any_only = level.enter.all.is_empty() && level.enter.any.iter().any(held_up);
        let all_only = !level.enter.all.is_empty() && level.enter.all.iter().all(held_up);
        if any_only || all_only {
            let allowed =
                "a further term in all: the level itself keeps deferrals up and could not be left";
            add("enter", "held by deferrals alone".into(), allowed);
        }
        let Some(before) = n.checked_sub(1).map(|n| &definition.levels[n]) else {
            continue;
        };
        if no_later(&level.enter, &before.enter) {
            let found = format!("entered no later than {:?}", before.name);
            add(
                "enter",
                found,
                "a condition that is harder to meet: the level before would be shadowed",
            );
        }
        if let Some(what) = level.reduction.milder_than(&before.reduction) {
            add(
                &format!("act.{what}"),
                format!("milder than in {:?}", before.name),
                "at least as strict",
            );
        }
        if level.reduction == before.reduction {
            add(
                "act",
                format!("the same as in {:?}", before.name),
                "stricter: a level must do something",
            );
        }
    }
    if let Some(level) = definition
        .levels
        .first()
        .filter(|level| level.reduction == Degradation::default())
    {
        let found = format!("nothing in {:?}", level.name);
        faults.push(Fault {
            level: 0,
            key: "act".into(),
            found,
            allowed: "stricter than full service",
        });
    }
    faults
}

/// The name of full service.
pub const FULL: &str = "full";

/// Whether all that meets `earlier` meets `later` as well: each of its terms has one there that asks for as much.
fn no_later(later: &Condition, earlier: &Condition) -> bool {
    let covers = |term: &Term| {
        earlier.all.iter().any(|other| {
            let as_far = if term.is_above() {
                other.enter >= term.enter
            } else {
                other.enter <= term.enter
            };
            other.signal == term.signal
                && other.is_above() == term.is_above()
                && as_far
                && other.enter_for >= term.enter_for
        })
    };
    // With a choice on either side only the same choice is known to be no later.
    later.all.iter().all(covers)
        && (later.any.is_empty() || later.any == earlier.any || later.any.iter().any(covers))
}
