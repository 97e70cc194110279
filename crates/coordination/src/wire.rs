//! The voters' messages in bytes.

use crate::record::{Ballot, Kind, Record, Stage, Stamp, Value, Why};

/// The longest message, as membership carries it.
pub const MOST: usize = 225;
const BALLOT: usize = 12;
const STAMP: usize = BALLOT + 4;
/// Place, stamp, the value's kind and what it holds.
const RECORD: usize = 8 + STAMP + VALUE;
const VALUE: usize = 19;
const LEFT: usize = 4;
/// Records that fit one message.
pub const RECORDS: usize = (MOST - 1 - BALLOT - 8 - 4 - 1) / (RECORD + LEFT);

/// A record, and how long it still counts (ms; none: without an end).
pub type Counted = (Record, Option<u32>);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// Shall I lead? `nonce` is drawn anew for each candidacy.
    Prepare { ballot: Ballot, nonce: u64 },
    /// You may, and this is part `part` of `parts` of what I keep.
    Promise {
        ballot: Ballot,
        nonce: u64,
        part: u16,
        parts: u16,
        records: Vec<Counted>,
    },
    /// Keep these; none: are you still with me? `number` tells one from another.
    Write {
        ballot: Ballot,
        number: u32,
        records: Vec<Counted>,
    },
    /// I keep them. `digest` is of all that I keep.
    Written {
        ballot: Ballot,
        number: u32,
        digest: u32,
    },
    /// I am with that one, or can't vote yet.
    No { ballot: Ballot },
}

fn put_ballot(bytes: &mut Vec<u8>, ballot: Ballot) {
    bytes.extend_from_slice(&ballot.round.to_be_bytes());
    bytes.extend_from_slice(&ballot.leader.to_be_bytes());
}

/// The bytes of one record: always the same many.
pub fn put_record(bytes: &mut Vec<u8>, (record, left): &Counted) {
    bytes.extend_from_slice(&record.key.to_be_bytes());
    put_ballot(bytes, record.stamp.ballot);
    bytes.extend_from_slice(&record.stamp.number.to_be_bytes());
    let from = bytes.len();
    match record.value {
        Value::Over => bytes.push(0),
        Value::Out {
            kind,
            why,
            zone,
            session,
            grant,
        } => {
            bytes.extend_from_slice(&[1, kind as u8, why as u8]);
            [zone, session]
                .iter()
                .for_each(|n| bytes.extend_from_slice(&n.to_be_bytes()));
            bytes.extend_from_slice(&grant.to_be_bytes());
        }
        Value::Halt { number, by, why } => {
            bytes.extend_from_slice(&[2, why]);
            bytes.extend_from_slice(&number.to_be_bytes());
            bytes.extend_from_slice(&by.to_be_bytes());
        }
        Value::Zone {
            zone,
            stage,
            step,
            why,
            number,
        } => {
            bytes.extend_from_slice(&[4, stage, step, why]);
            [zone, number]
                .iter()
                .for_each(|n| bytes.extend_from_slice(&n.to_be_bytes()));
        }
        Value::Release {
            number,
            to,
            from,
            stage,
        } => {
            bytes.extend_from_slice(&[3, stage as u8]);
            [number, to, from]
                .iter()
                .for_each(|n| bytes.extend_from_slice(&n.to_be_bytes()));
        }
    }
    bytes.resize(from + VALUE, 0);
    bytes.extend_from_slice(&left.unwrap_or(u32::MAX).to_be_bytes());
}

/// Reads from the front; each gives none where too few bytes are left or they mean nothing.
struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*first)
    }
    fn byte(&mut self) -> Option<u8> {
        self.take::<1>().map(|[byte]| byte)
    }
    fn two(&mut self) -> Option<u16> {
        self.take().map(u16::from_be_bytes)
    }
    fn four(&mut self) -> Option<u32> {
        self.take().map(u32::from_be_bytes)
    }
    fn eight(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }
    fn ballot(&mut self) -> Option<Ballot> {
        Some(Ballot {
            round: self.four()?,
            leader: self.eight()?,
        })
    }
    fn record(&mut self) -> Option<Counted> {
        let key = self.eight()?;
        let stamp = Stamp {
            ballot: self.ballot()?,
            number: self.four()?,
        };
        let mut held = Bytes(self.0.get(..VALUE)?);
        self.0 = &self.0[VALUE..];
        let value = match held.byte()? {
            0 => Value::Over,
            1 => Value::Out {
                kind: [Kind::Dispatcher, Kind::Engine]
                    .get(usize::from(held.byte()?))
                    .copied()?,
                why: [
                    Why::Turn,
                    Why::Drain,
                    Why::Ejected,
                    Why::Lost,
                    Why::Announced,
                ]
                .get(usize::from(held.byte()?))
                .copied()?,
                zone: held.four()?,
                session: held.four()?,
                grant: held.eight()?,
            },
            2 => {
                let why = held.byte()?;
                Value::Halt {
                    number: held.four()?,
                    by: held.eight()?,
                    why,
                }
            }
            3 => {
                let stages = [
                    Stage::Canaries,
                    Stage::Waves,
                    Stage::Back,
                    Stage::Done,
                    Stage::Undone,
                ];
                let stage = stages.get(usize::from(held.byte()?)).copied()?;
                Value::Release {
                    number: held.four()?,
                    to: held.four()?,
                    from: held.four()?,
                    stage,
                }
            }
            4 => {
                let (stage, step, why) = (held.byte()?, held.byte()?, held.byte()?);
                Value::Zone {
                    zone: held.four()?,
                    stage,
                    step,
                    why,
                    number: held.four()?,
                }
            }
            _ => return None,
        };
        let left = self.four()?;
        Some((
            Record { key, stamp, value },
            (left != u32::MAX).then_some(left),
        ))
    }
    fn records(&mut self) -> Option<Vec<Counted>> {
        let mut records = Vec::new();
        while !self.0.is_empty() {
            records.push(self.record()?);
        }
        Some(records)
    }
}

/// Records from bytes that hold nothing else.
pub fn read_records(bytes: &[u8]) -> Option<Vec<Counted>> {
    Bytes(bytes).records()
}

pub fn write(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MOST);
    let head = |bytes: &mut Vec<u8>, code: u8, ballot: Ballot| {
        bytes.push(code);
        put_ballot(bytes, ballot);
    };
    match message {
        Message::Prepare { ballot, nonce } => {
            head(&mut bytes, 1, *ballot);
            bytes.extend_from_slice(&nonce.to_be_bytes());
        }
        Message::Promise {
            ballot,
            nonce,
            part,
            parts,
            records,
        } => {
            head(&mut bytes, 2, *ballot);
            bytes.extend_from_slice(&nonce.to_be_bytes());
            [part, parts]
                .iter()
                .for_each(|n| bytes.extend_from_slice(&n.to_be_bytes()));
            records
                .iter()
                .take(RECORDS)
                .for_each(|record| put_record(&mut bytes, record));
        }
        Message::Write {
            ballot,
            number,
            records,
        } => {
            head(&mut bytes, 3, *ballot);
            bytes.extend_from_slice(&number.to_be_bytes());
            records
                .iter()
                .take(RECORDS)
                .for_each(|record| put_record(&mut bytes, record));
        }
        Message::Written {
            ballot,
            number,
            digest,
        } => {
            head(&mut bytes, 4, *ballot);
            [number, digest]
                .iter()
                .for_each(|n| bytes.extend_from_slice(&n.to_be_bytes()));
        }
        Message::No { ballot } => head(&mut bytes, 5, *ballot),
    }
    bytes
}

/// None for what is no such message.
pub fn read(bytes: &[u8]) -> Option<Message> {
    let mut bytes = Bytes(bytes.get(..bytes.len().min(MOST))?);
    let (code, ballot) = (bytes.byte()?, bytes.ballot()?);
    Some(match code {
        1 => Message::Prepare {
            ballot,
            nonce: bytes.eight()?,
        },
        2 => {
            let (nonce, part, parts) = (bytes.eight()?, bytes.two()?, bytes.two()?);
            Message::Promise {
                ballot,
                nonce,
                part,
                parts,
                records: bytes.records()?,
            }
        }
        3 => Message::Write {
            ballot,
            number: bytes.four()?,
            records: bytes.records()?,
        },
        4 => Message::Written {
            ballot,
            number: bytes.four()?,
            digest: bytes.four()?,
        },
        5 => Message::No { ballot },
        _ => return None,
    })
}
