//! Generates statements from patterns in two steps: a pattern with its names filled in ([`fill_names`]) is a shape, and a
//! shape with its literals filled in ([`fill_literals`]) is a statement.

use super::patterns::{COLUMNS, TABLES};
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::collections::HashMap;

/// Part of the statements that are written in upper case.
const UPPER_CASE_PROBABILITY: f64 = 0.3;
/// One blank in this many, for each kind, becomes another kind of blank or a comment.
const BLANK_VARIANTS: u32 = 40;
/// String literals that look like other syntax.
const TRICKY_STRINGS: [&str; 7] = ["a", "x''y", "", "delete from t", "1;2", "-- no", "/* no"];
/// Ends of string literals.
const STRING_ENDS: [&str; 5] = ["", " ", "''", ";", "é"];

/// Fills a pattern's table and column names. Placeholders of literals remain, because statements of one shape differ in
/// their literals.
pub(super) fn fill_names(pattern: &str, rng: &mut Pcg64) -> String {
    let mut numbered_names: HashMap<String, String> = HashMap::new();
    let mut text = String::new();
    let mut rest = pattern.chars().peekable();
    while let Some(current) = rest.next() {
        let placeholder = rest
            .peek()
            .copied()
            .filter(|kind| current == '%' && "tc".contains(*kind));
        let Some(kind) = placeholder else {
            text.push(current);
            continue;
        };
        rest.next();
        let name = match rest.next_if(char::is_ascii_digit) {
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

/// A table's name for kind `t`, otherwise a column's.
fn draw_name(kind: char, rng: &mut Pcg64) -> String {
    // Both are drawn for either kind: the order of draws is part of a seed's corpus.
    let column = *COLUMNS.choose(rng).unwrap_or(&"day");
    let table = *TABLES.choose(rng).unwrap_or(&"orders");
    if kind == 't' {
        format!("sales_{}.{table}", rng.random_range(1..40))
    } else {
        column.to_owned()
    }
}

/// A statement of a shape: literals, letter case, blanks and comments are drawn.
pub(super) fn fill_literals(shape: &str, rng: &mut Pcg64) -> String {
    let mut text = String::new();
    let mut rest = shape.chars();
    let is_upper_case = rng.random_bool(UPPER_CASE_PROBABILITY);
    let mut in_string = false;
    while let Some(current) = rest.next() {
        in_string ^= current == '\'';
        match current {
            '%' => push_placeholder(&mut text, rest.next(), rng),
            ' ' if !in_string => text += draw_blank(rng),
            letter if is_upper_case && !in_string => text.push(letter.to_ascii_uppercase()),
            other => text.push(other),
        }
    }
    text
}

/// Appends the text that replaces a placeholder of this kind. A placeholder of an unknown kind remains unchanged.
fn push_placeholder(text: &mut String, kind: Option<char>, rng: &mut Pcg64) {
    match kind {
        Some('n') => *text += &rng.random_range(0..1_000_000).to_string(),
        Some('s') => {
            let stem = rng.random::<u32>();
            let end = STRING_ENDS.choose(rng).unwrap_or(&"");
            *text += &format!("'{stem:x}{end}'");
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

fn draw_blank(rng: &mut Pcg64) -> &'static str {
    match rng.random_range(0..BLANK_VARIANTS) {
        0 => "  ",
        1 => "\n",
        2 => " /* why; */ ",
        3 => " -- delete\n",
        4 => "\t",
        _ => " ",
    }
}
