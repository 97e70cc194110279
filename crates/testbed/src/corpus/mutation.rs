//! Random mutations of statements, used to search for statements that the analyzer falsely proves read-only.

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64;

/// Fragments that begin, end or hide a modifying statement in at least one SQL dialect.
const FRAGMENTS: [&[u8]; 38] = [
    b"'",
    b"\"",
    b"`",
    b";",
    b"--",
    b"-- ",
    b"/*",
    b"*/",
    b"/*!",
    b"/*T!",
    b"/*/",
    b"*/*",
    b"[",
    b"]",
    b"q'",
    b"'''",
    b"\x0b",
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
/// Exclusive upper bound on the bytes that one edit removes.
const REMOVED_BYTES_BOUND: usize = 20;
/// Exclusive upper bound on the bytes that one edit repeats.
const REPEATED_BYTES_BOUND: usize = 40;

/// Returns a statement after one to four random edits, some of which insert a piece of `donor`. The result may be
/// invalid UTF-8.
pub fn mutated(statement: &str, donor: &str, rng: &mut Pcg64) -> Vec<u8> {
    let mut bytes = statement.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..=4) {
        edit(&mut bytes, donor.as_bytes(), rng);
    }
    bytes
}

fn edit(bytes: &mut Vec<u8>, donor: &[u8], rng: &mut Pcg64) {
    let position = rng.random_range(0..=bytes.len());
    match rng.random_range(0..6) {
        0 if position < bytes.len() => drop(bytes.remove(position)),
        1 if position < bytes.len() => bytes[position] = rng.random(),
        2 => {
            let end = (position + rng.random_range(0..REMOVED_BYTES_BOUND)).min(bytes.len());
            bytes.drain(position..end);
        }
        3 => {
            let start = rng.random_range(0..=donor.len());
            let end = rng.random_range(start..=donor.len());
            insert(bytes, position, &donor[start..end]);
        }
        4 => {
            let end = (position + rng.random_range(0..REPEATED_BYTES_BOUND)).min(bytes.len());
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
