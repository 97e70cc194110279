//! Generates statements from patterns in two steps: a pattern with its names filled in ([`fill_names`]) is a shape, and
//! a shape with its literals filled in ([`fill_literals`]) is a statement.

use super::patterns::{COLUMNS, TABLES};
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::collections::HashMap;

/// Probability that a statement is written in upper case.
const UPPER_CASE_PROBABILITY: f64 = 0.3;
/// Number of equally likely outcomes of a separator draw. Five outcomes each give an unusual separator or a comment,
/// the others a space.
const SEPARATOR_DRAWS: u32 = 40;
/// String literals that look like other syntax.
const TRICKY_STRINGS: [&str; 7] = ["a", "x''y", "", "delete from t", "1;2", "-- no", "/* no"];
/// Suffixes of string literals.
const STRING_SUFFIXES: [&str; 5] = ["", " ", "''", ";", "é"];

/// Replaces the table and column placeholders of a pattern. Literal placeholders remain, because statements of one
/// shape differ in their literals.
pub(super) fn fill_names(pattern: &str, rng: &mut Pcg64) -> String {
    let mut numbered_names: HashMap<String, String> = HashMap::new();
    let mut text = String::new();
    let mut characters = pattern.chars().peekable();
    while let Some(character) = characters.next() {
        let placeholder = characters
            .peek()
            .copied()
            .filter(|kind| character == '%' && "tc".contains(*kind));
        let Some(kind) = placeholder else {
            text.push(character);
            continue;
        };
        characters.next();
        let name = match characters.next_if(char::is_ascii_digit) {
            Some(digit) => numbered_names
                .entry(format!("{kind}{digit}"))
                .or_insert_with(|| draw_name(kind, rng))
                .clone(),
            None => draw_name(kind, rng),
        };
        text += &name;
    }
    text
}

/// Returns a random table name for kind `t`, otherwise a random column name.
fn draw_name(kind: char, rng: &mut Pcg64) -> String {
    // Both names are drawn for either kind: the corpus of a seed depends on the sequence of draws.
    let column = *COLUMNS.choose(rng).unwrap_or(&"day");
    let table = *TABLES.choose(rng).unwrap_or(&"orders");
    if kind == 't' {
        format!("sales_{}.{table}", rng.random_range(1..40))
    } else {
        column.to_owned()
    }
}

/// Returns a statement of a shape, with random literals, letter case, whitespace and comments.
pub(super) fn fill_literals(shape: &str, rng: &mut Pcg64) -> String {
    let mut text = String::new();
    let mut characters = shape.chars();
    let is_upper_case = rng.random_bool(UPPER_CASE_PROBABILITY);
    let mut is_in_string = false;
    while let Some(character) = characters.next() {
        is_in_string ^= character == '\'';
        match character {
            '%' => push_placeholder(&mut text, characters.next(), rng),
            ' ' if !is_in_string => text += draw_separator(rng),
            letter if is_upper_case && !is_in_string => text.push(letter.to_ascii_uppercase()),
            other => text.push(other),
        }
    }
    text
}

/// Appends the replacement of a placeholder of this kind. A placeholder of unknown kind is appended unchanged.
fn push_placeholder(text: &mut String, kind: Option<char>, rng: &mut Pcg64) {
    match kind {
        Some('n') => *text += &rng.random_range(0..1_000_000).to_string(),
        Some('s') => {
            let stem = rng.random::<u32>();
            let suffix = STRING_SUFFIXES.choose(rng).unwrap_or(&"");
            *text += &format!("'{stem:x}{suffix}'");
        }
        Some('l') => {
            let length = rng.random_range(1..30);
            let items: Vec<String> = (0..length).map(|_| draw_literal(rng)).collect();
            *text += &items.join(", ");
        }
        Some('v') => {
            let length = rng.random_range(1..20);
            let rows: Vec<String> = (0..length).map(|_| draw_row(rng)).collect();
            *text += &rows.join(",");
        }
        other => {
            text.push('%');
            text.extend(other);
        }
    }
}

fn draw_row(rng: &mut Pcg64) -> String {
    format!("({}, {})", draw_literal(rng), draw_literal(rng))
}

fn draw_literal(rng: &mut Pcg64) -> String {
    match rng.random_range(0..4) {
        0 => format!("'{}'", TRICKY_STRINGS.choose(rng).unwrap_or(&"")),
        1 => format!("{:.2}", rng.random_range(0.0..1e4)),
        2 => format!("-{}", rng.random_range(1..99)),
        _ => rng.random_range(0..1_000_000).to_string(),
    }
}

fn draw_separator(rng: &mut Pcg64) -> &'static str {
    match rng.random_range(0..SEPARATOR_DRAWS) {
        0 => "  ",
        1 => "\n",
        2 => " /* why; */ ",
        3 => " -- delete\n",
        4 => "\t",
        _ => " ",
    }
}
