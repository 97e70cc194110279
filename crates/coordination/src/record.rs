//! What the voters keep: numbered records, of which the one with the higher stamp holds.

/// A dispatcher's or an engine's number; for dispatchers that of membership.
pub type Id = u64;

/// Under which a leader writes: rounds go up, and of two leaders in one round the higher number wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Ballot {
    pub round: u32,
    pub leader: Id,
}

/// When a record was written: by which leader, as its how manieth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    pub ballot: Ballot,
    pub number: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Dispatcher,
    Engine,
}

/// Why one is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// It has a turn, to restart or to be released.
    Turn,
    /// Operators drain it.
    Drain,
    /// It was found to be bad.
    Ejected,
    /// It had a turn or just served, and is not there.
    Lost,
    /// The name service says so: that can't be refused.
    Announced,
}

/// How far a release is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The first few, by themselves.
    Canaries,
    /// All others, zone by zone.
    Waves,
    /// Those that were released go back.
    Back,
    Done,
    /// All went back.
    Undone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Value {
    /// Nothing: what stood here is over.
    Over,
    /// One is out. `session`: of the dispatcher's life that went out; `grant`: the number of the request it answers.
    Out {
        kind: Kind,
        why: Why,
        zone: u32,
        session: u32,
        grant: u64,
    },
    /// Nothing new goes out. `number`: drawn for each halt, so that only that one is ended; `by`: who said so; `why`:
    /// a number of [`crate::limits::Halt`].
    Halt { number: u32, by: Id, why: u8 },
    /// How a zone stands, by the numbers of crates/zone-evacuation.
    Zone {
        zone: u32,
        stage: u8,
        step: u8,
        why: u8,
        number: u32,
    },
    /// A release to `to`, of those that are at `from` (0: of all others).
    Release {
        number: u32,
        to: u32,
        from: u32,
        stage: Stage,
    },
}

/// Records that stand at known places, beside those of dispatchers and engines.
pub const HALT: u64 = 1;
pub const RELEASE: u64 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Record {
    pub key: u64,
    pub stamp: Stamp,
    pub value: Value,
}

impl Record {
    /// The place of one that may be out.
    pub fn key_of(kind: Kind, id: Id) -> u64 {
        let salt = match kind {
            Kind::Dispatcher => 0x5851_F42D_4C95_7F2D,
            Kind::Engine => 0x1405_7B7E_F767_814F,
        };
        (id ^ salt).max(RELEASE + 1)
    }

    /// The place of a zone.
    pub fn key_of_zone(zone: u32) -> u64 {
        u64::from(zone) | 0x5A4F_4E45 << 32
    }

    pub fn is_over(&self) -> bool {
        self.value == Value::Over
    }
}
