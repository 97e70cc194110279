//! Random mutations of statements.

use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64;

/// Pieces that change how a text is split into words, or what it does.
const PIECES: [&[u8]; 30] = [
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

/// A statement with one to four mutated places, perhaps with a piece of another one.
pub fn mutated(statement: &str, other: &str, rng: &mut Pcg64) -> Vec<u8> {
    let mut bytes = statement.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..=4) {
        mutate_once(&mut bytes, other.as_bytes(), rng);
    }
    bytes
}

fn mutate_once(bytes: &mut Vec<u8>, other: &[u8], rng: &mut Pcg64) {
    let at = rng.random_range(0..=bytes.len());
    match rng.random_range(0..6) {
        0 if at < bytes.len() => drop(bytes.remove(at)),
        1 if at < bytes.len() => bytes[at] = rng.random(),
        2 => {
            let to = (at + rng.random_range(0..20)).min(bytes.len());
            bytes.drain(at..to);
        }
        3 => {
            let from = rng.random_range(0..=other.len());
            let to = rng.random_range(from..=other.len());
            bytes.splice(at..at, other[from..to].iter().copied());
        }
        4 => {
            let to = (at + rng.random_range(0..40)).min(bytes.len());
            let repeated: Vec<u8> = bytes[at..to].to_vec();
            bytes.splice(at..at, repeated);
        }
        _ => {
            let piece = *PIECES.choose(rng).unwrap_or(&PIECES[0]);
            bytes.splice(at..at, piece.iter().copied());
        }
    }
}
