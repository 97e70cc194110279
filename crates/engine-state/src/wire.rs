//! EngineStateCache as bytes: entries that say how long they are, so that an instance of another version passes over what it does
//! not know.

use crate::facts::{Fact, Kind};

/// An entry of this version: length, kind, engine, start, origin, number, age (ms), value.
const ENTRY: usize = 1 + 1 + 8 + 4 + 8 + 4 + 4 + 4;
const VERSION: u8 = 1;
const HEAD: usize = 2;
/// The first byte of handed facts.
pub const KIND: u8 = 5;

/// As many facts as fit in so many bytes, and how many that were.
pub fn write(facts: &[Fact], most: usize) -> (Vec<u8>, usize) {
    let mut bytes = vec![KIND, VERSION];
    let mut count = 0;
    for fact in facts {
        if bytes.len() + ENTRY > most {
            break;
        }
        let kind = Kind::ALL
            .iter()
            .position(|kind| *kind == fact.kind)
            .unwrap_or(0) as u8;
        bytes.extend_from_slice(&[(ENTRY - 1) as u8, kind]);
        bytes.extend_from_slice(&fact.engine.to_be_bytes());
        bytes.extend_from_slice(&fact.start.to_be_bytes());
        bytes.extend_from_slice(&fact.origin.to_be_bytes());
        bytes.extend_from_slice(&fact.number.to_be_bytes());
        // Rounded up: a fact must not grow younger on its way.
        bytes.extend_from_slice(
            &(fact.age.ceil().clamp(0.0, f64::from(u32::MAX)) as u32).to_be_bytes(),
        );
        bytes.extend_from_slice(&(fact.value as f32).to_be_bytes());
        count += 1;
    }
    (bytes, count)
}

/// All facts that can be read. A kind or an entry that is not known, or cut short, is passed over.
pub fn read(bytes: &[u8]) -> Vec<Fact> {
    let mut facts = Vec::new();
    if bytes.len() < HEAD || bytes[0] != KIND || bytes[1] != VERSION {
        return facts;
    }
    let mut rest = &bytes[HEAD..];
    while let Some((length, behind)) = rest.split_first() {
        let Some(entry) = behind.get(..usize::from(*length)) else {
            break;
        };
        rest = &behind[usize::from(*length)..];
        facts.extend(one(entry));
    }
    facts
}

fn one(entry: &[u8]) -> Option<Fact> {
    let entry = entry.get(..ENTRY - 1)?;
    let kind = *Kind::ALL.get(usize::from(entry[0]))?;
    let long = |at: usize| Some(u64::from_be_bytes(entry[at..at + 8].try_into().ok()?));
    let short = |at: usize| Some(u32::from_be_bytes(entry[at..at + 4].try_into().ok()?));
    let value = f64::from(f32::from_be_bytes(entry[29..33].try_into().ok()?));
    Some(Fact {
        engine: long(1)?,
        start: short(9)?,
        kind,
        origin: long(13)?,
        number: short(21)?,
        age: f64::from(short(25)?),
        value,
    })
    .filter(|fact| fact.value.is_finite())
}
