//! Random damage to statements, for the search for statements that are falsely proven read-only.

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64;

/// Fragments that start, end or hide a change in one SQL dialect or another.
const FRAGMENTS: [&[u8]; 30] = [
    b"'",
    b"\"",
    b"`",
    b";",
    b"--",
    b"-- ",
    b"/*",
    b"*/",
    b"/*!",
    b"#",
    b"\\",
    b"\\'",
    b"$$",
    b"$a$",
    b"(",
    b")",
    b"\n",
    b"\r",
    b"\0",
    b" into x ",
    b" for update ",
    b"delete from t",
    b"; delete from t",
    b" returning ",
    b"nextval(",
    b"e'",
    b"''",
    b"insert into t values (1)",
    b"\xc3",
    b"with x as (update t set a = 1) ",
];
/// Longest run of bytes that one edit removes.
const MAX_REMOVED_BYTES: usize = 20;
/// Longest run of bytes that one edit repeats.
const MAX_REPEATED_BYTES: usize = 40;

/// A statement after one to four random edits; an edit may insert a piece of `other`. The result need not be UTF-8.
pub fn mutated(statement: &str, other: &str, rng: &mut Pcg64) -> Vec<u8> {
    let mut bytes = statement.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..=4) {
        edit(&mut bytes, other.as_bytes(), rng);
    }
    bytes
}

fn edit(bytes: &mut Vec<u8>, other: &[u8], rng: &mut Pcg64) {
    let position = rng.random_range(0..=bytes.len());
    match rng.random_range(0..6) {
        0 if position < bytes.len() => drop(bytes.remove(position)),
        1 if position < bytes.len() => bytes[position] = rng.random(),
        2 => {
            let end = (position + rng.random_range(0..MAX_REMOVED_BYTES)).min(bytes.len());
            bytes.drain(position..end);
        }
        3 => {
            let start = rng.random_range(0..=other.len());
            let end = rng.random_range(start..=other.len());
            insert(bytes, position, &other[start..end]);
        }
        4 => {
            let end = (position + rng.random_range(0..MAX_REPEATED_BYTES)).min(bytes.len());
            let repeated = bytes[position..end].to_vec();
            insert(bytes, position, &repeated);
        }
        _ => {
            let fragment = FRAGMENTS.choose(rng).unwrap_or(&FRAGMENTS[0]);
            insert(bytes, position, fragment);
        }
    }
}

fn insert(bytes: &mut Vec<u8>, position: usize, inserted: &[u8]) {
    bytes.splice(position..position, inserted.iter().copied());
}
