//! Statements classed by their shape.
//!
//! Owns: what a statement's text shows (`lexer`, `read`), which class that gives it (`rules`), what it is likely to
//! cost (`learn`), and the bounded memory of both (`cache`). It does no I/O, reads no clock and draws no random
//! numbers: bytes and times come in, readings and estimates go out. It never decides where a query runs: class,
//! effect and estimate are handed to the decisions, which keep all rules.
//!
//! What holds here, and is tested by name in `tests/`:
//! - a statement is read-only only if that is proven: each doubt, each unknown function and each word that could
//!   begin a change makes it unknown or mutating;
//! - what was proven for a shape holds for every statement of that shape, because the parser is given the shape and
//!   not the statement;
//! - time and stack are bounded whatever comes in.
//!
//! Start reading at [`Statements::read`].

mod cache;
mod learn;
mod lexer;
mod read;
mod rules;
mod tables;
mod words;

pub use cache::Counts;
pub use learn::{End, Estimate, Observation};
pub use lexer::{Lexed, Lexer, Unproven};
pub use read::Features;
pub use rules::{Dialect, Learning, Prices, Rule, Settings};
pub use tables::table_group;

use cache::Shapes;
use learn::Learner;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;
use std::rc::Rc;

/// What a statement is, by its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Class {
    LookUp,
    Report,
    Load,
    Unknown,
}

impl Class {
    pub const ALL: [Class; 4] = [Class::LookUp, Class::Report, Class::Load, Class::Unknown];

    pub fn name(self) -> &'static str {
        match self {
            Class::LookUp => "look-up",
            Class::Report => "report",
            Class::Load => "load",
            Class::Unknown => "unknown",
        }
    }
}

/// Whether it may change anything. The order is that of caution: the worst of several holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Effect {
    /// Proven: under every dialect that is told, and by words and by grammar.
    ReadOnly,
    /// Not proven. It runs under the rules of mutating.
    Unknown,
    NonIdempotent,
}

impl Effect {
    pub fn name(self) -> &'static str {
        match self {
            Effect::ReadOnly => "read-only",
            Effect::Unknown => "unknown",
            Effect::NonIdempotent => "mutating",
        }
    }
}

/// What is known of all statements of a shape.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    pub class: Class,
    pub effect: Effect,
    /// Tables that are read, and that are written, as named; lower case where they were not quoted.
    pub reads: Vec<String>,
    pub writes: Vec<String>,
    pub features: Features,
    /// Why it could not be read, or not be proven.
    pub error: Option<String>,
    /// The estimate by class and features alone: work (ms on one core) and memory (MB).
    pub cost: f64,
    pub memory: f64,
}

/// A statement's reading, and the keyed hash of its shape.
#[derive(Debug, Clone)]
pub struct Read {
    pub shape: u128,
    pub reading: Rc<Reading>,
    /// Whether the shape was known.
    pub hit: bool,
}

/// Reads statements, remembers their shapes and learns what they cost.
pub struct Statements {
    settings: Settings,
    key: [u8; 16],
    lexer: Lexer,
    shapes: Shapes,
    learner: Learner,
}

impl Statements {
    /// `key`: secret, drawn for this process, so that nobody can make shapes fall together.
    pub fn new(settings: Settings, key: [u8; 16]) -> Self {
        Statements {
            lexer: Lexer::default(),
            shapes: Shapes::new(settings.max_shapes, settings.max_bytes),
            learner: Learner::new(settings.learning, settings.max_costs),
            settings,
            key,
        }
    }

    /// Takes on other rules. Readings are made anew; what was learned of costs stays, as it hangs on shapes and not
    /// on rules. Readings that are in use elsewhere stay as they are.
    pub fn set(&mut self, settings: Settings) {
        self.shapes.reset(settings.max_shapes, settings.max_bytes);
        self.learner.set(settings.learning, settings.max_costs);
        self.settings = settings;
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Reads a statement: any bytes. Takes time in proportion to its length, plus a bounded time where its shape
    /// is new.
    pub fn read(&mut self, statement: &[u8]) -> Read {
        let lexed = self.lexer.lex(statement);
        let mut hasher = SipHasher13::new_with_key(&self.key);
        hasher.write(lexed.text.as_bytes());
        // What bars a proof and leaves no trace in the text is part of the shape.
        hasher.write_u8(lexed.doubt.map_or(0, |doubt| doubt as u8 + 1));
        let shape = hasher.finish128().as_u128();
        if let Some(reading) = self.shapes.get(shape, &lexed) {
            return Read {
                shape,
                reading,
                hit: true,
            };
        }
        let reading = Rc::new(read::read(&lexed, &self.settings));
        self.shapes.keep(shape, &lexed, &reading);
        Read {
            shape,
            reading,
            hit: false,
        }
    }

    /// What a statement that was read will cost, as far as is known at `now` (ms), and how sure that is.
    pub fn estimate(&mut self, read: &Read, now: f64) -> Estimate {
        self.learner.estimate(
            read.shape,
            read.reading.class,
            read.reading.cost,
            read.reading.memory,
            now,
        )
    }

    /// Takes in how a attempt ended. `shape`, `class` and `cost` are those of the reading under which it was
    /// taken, whatever the rules say by now.
    pub fn ended(&mut self, shape: u128, class: Class, cost: f64, seen: &Observation) {
        self.learner.take(shape, class, cost, seen);
    }

    /// Hits, misses and what is kept.
    pub fn counts(&self) -> Counts {
        Counts {
            costs: self.learner.kept(),
            ..self.shapes.counts()
        }
    }
}
