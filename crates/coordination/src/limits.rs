//! Whether a further one may be out: limits by number and part, by zone and version, the load that the rest must carry,
//! and the least time between two. One place decides it, whoever asks and whatever for.

use crate::record::{Id, Kind, Why};

/// The smaller of a number and a part; none of both: no limit. A part is of all that are known, rounded down, and not
/// less than one.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    pub number: Option<u32>,
    pub part: Option<f64>,
}

impl Limit {
    pub fn of(&self, all: usize) -> Option<usize> {
        let part = self.part.map(|part| ((part * all as f64) as usize).max(1));
        let number = self.number.map(|number| number as usize);
        match (number, part) {
            (Some(number), Some(part)) => Some(number.min(part)),
            (number, part) => number.or(part),
        }
    }
}

/// The limits of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    pub fleet: Limit,
    /// Of each zone, and of each version.
    pub zone: Limit,
    pub version: Limit,
    /// Least time between two (ms).
    pub apart: f64,
    /// The load as seen may be at most this part of what remains.
    pub carry: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        let fleet = Limit {
            number: None,
            part: Some(0.1),
        };
        Bounds {
            fleet,
            zone: Limit::default(),
            version: Limit::default(),
            apart: 0.0,
            carry: 0.9,
        }
    }
}

/// One that is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unit {
    pub id: Id,
    pub zone: u32,
    pub version: u32,
    /// It is seen to serve.
    pub there: bool,
    /// What it can carry.
    pub capacity: f64,
}

/// One that is out as far as is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Out {
    pub id: Id,
    pub why: Why,
    pub grant: u64,
}

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    pub id: Id,
    pub kind: Kind,
    pub why: Why,
    /// Drawn by whoever asks, anew for each turn: a repeated request is the same one.
    pub grant: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scope {
    Fleet,
    Zone,
    Version,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    Granted,
    /// It is out already by this request.
    Again,
    /// Try later: so many are out of at most so many.
    Full {
        scope: Scope,
        out: usize,
        most: usize,
    },
    /// Try later: so long after the last one (ms).
    TooSoon {
        wait: f64,
    },
    /// Out for another reason.
    AlreadyOut {
        why: Why,
    },
    /// What remains could not carry the load.
    NotCarried {
        load: f64,
        left: f64,
    },
    Unknown,
}

/// Why nothing new goes out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Halt {
    ByHand = 0,
    /// Those that were released do worse than those that were not.
    Worse = 1,
    /// Failures have used the limit up.
    UsedUp = 2,
    /// Members were lost during a release.
    Lost = 3,
    /// The first few were too few to tell.
    CantTell = 4,
}

impl Halt {
    pub fn of(number: u8) -> Halt {
        [
            Halt::ByHand,
            Halt::Worse,
            Halt::UsedUp,
            Halt::Lost,
            Halt::CantTell,
        ]
        .get(usize::from(number))
        .copied()
        .unwrap_or(Halt::ByHand)
    }

    pub fn words(self) -> &'static str {
        match self {
            Halt::ByHand => "by hand",
            Halt::Worse => "the released do worse than the others",
            Halt::UsedUp => "failures have used the limit up",
            Halt::Lost => "members were lost",
            Halt::CantTell => "the first few were too few to tell",
        }
    }
}

/// What is known of one kind at the moment.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    pub units: &'a [Unit],
    pub outs: &'a [Out],
    /// When the last one was let out (ms).
    pub last: f64,
    /// What all of them carry, in the measure of their capacity.
    pub load: f64,
}

impl View<'_> {
    /// Whether a unit counts as out: by a record, or as it is not there.
    pub fn is_out(&self, unit: &Unit) -> bool {
        !unit.there || self.outs.iter().any(|out| out.id == unit.id)
    }

    /// How many are out of those that a condition names, and how many there are. What is out and of whom nothing else
    /// is known counts in both.
    pub fn count(&self, of: impl Fn(&Unit) -> bool) -> (usize, usize) {
        let known = self.units.iter().filter(|unit| of(unit));
        let (mut out, mut all) = (0, 0);
        for unit in known {
            all += 1;
            out += usize::from(self.is_out(unit));
        }
        (out, all)
    }

    fn strangers(&self) -> usize {
        self.outs
            .iter()
            .filter(|out| !self.units.iter().any(|unit| unit.id == out.id))
            .count()
    }

    /// The same of all.
    pub fn count_all(&self) -> (usize, usize) {
        let (out, all) = self.count(|_| true);
        (out + self.strangers(), all + self.strangers())
    }
}

/// Whether this one may be out too.
pub fn decide(now: f64, bounds: &Bounds, view: View, ask: Ask) -> Verdict {
    if let Some(out) = view.outs.iter().find(|out| out.id == ask.id) {
        let same = out.grant == ask.grant && out.why == ask.why;
        return if same {
            Verdict::Again
        } else {
            Verdict::AlreadyOut { why: out.why }
        };
    }
    let Some(unit) = view.units.iter().find(|unit| unit.id == ask.id) else {
        return Verdict::Unknown;
    };
    // One that is not there takes no place that it has not taken already.
    let more = usize::from(unit.there);
    let scopes = [
        (Scope::Fleet, bounds.fleet, view.count_all()),
        (
            Scope::Zone,
            bounds.zone,
            view.count(|other| other.zone == unit.zone),
        ),
        (
            Scope::Version,
            bounds.version,
            view.count(|other| other.version == unit.version),
        ),
    ];
    for (scope, most, (out, all)) in scopes {
        if let Some(most) = most.of(all).filter(|most| out + more > *most) {
            return Verdict::Full { scope, out, most };
        }
    }
    if now - view.last < bounds.apart {
        return Verdict::TooSoon {
            wait: bounds.apart - (now - view.last),
        };
    }
    let rest = view
        .units
        .iter()
        .filter(|other| other.id != unit.id && !view.is_out(other));
    let left: f64 = rest.map(|other| other.capacity).sum();
    if view.load > 0.0 && view.load > bounds.carry * left {
        return Verdict::NotCarried {
            load: view.load,
            left,
        };
    }
    Verdict::Granted
}
