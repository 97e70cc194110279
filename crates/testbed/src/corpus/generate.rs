//! Fills patterns: first names, which make a form, then literals, case, blanks and comments, which make a statement.

use super::patterns::{COLUMNS, TABLES};
use rand::seq::IndexedRandom;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::collections::HashMap;

/// Fills a pattern's names. Literals stay as marks: they are what differs between statements of a form.
pub(super) fn form(pattern: &str, rng: &mut Pcg64) -> String {
    let mut names: HashMap<String, String> = HashMap::new();
    let mut text = String::new();
    let mut rest = pattern.chars().peekable();
    while let Some(character) = rest.next() {
        let kind = rest
            .peek()
            .copied()
            .filter(|kind| character == '%' && "tc".contains(*kind));
        let Some(kind) = kind else {
            text.push(character);
            continue;
        };
        rest.next();
        let name = match rest.next_if(char::is_ascii_digit) {
            Some(digit) => names
                .entry(format!("{kind}{digit}"))
                .or_insert_with(|| draw_name(kind, rng))
                .clone(),
            None => draw_name(kind, rng),
        };
        text += &name;
    }
    text
}

/// A table's name for `t`, else a column's. Both are drawn in any case, so that the sequence of draws is the same.
fn draw_name(kind: char, rng: &mut Pcg64) -> String {
    let column = *COLUMNS.choose(rng).unwrap_or(&"day");
    let table = *TABLES.choose(rng).unwrap_or(&"orders");
    if kind == 't' {
        format!("sales_{}.{table}", rng.random_range(1..40))
    } else {
        column.to_owned()
    }
}

/// A statement of a form: literals drawn, words in any case, blanks and comments of any kind.
pub(super) fn statement(form: &str, rng: &mut Pcg64) -> String {
    let mut text = String::new();
    let mut rest = form.chars();
    let upper_case = rng.random_bool(0.3);
    let mut quoted = false;
    while let Some(character) = rest.next() {
        quoted ^= character == '\'';
        match character {
            '%' => match rest.next() {
                Some(mark) => fill(mark, &mut text, rng),
                None => text.push('%'),
            },
            ' ' if !quoted => text += draw_blank(rng),
            _ if upper_case && !quoted && character.is_ascii_lowercase() => {
                text.push(character.to_ascii_uppercase());
            }
            _ => text.push(character),
        }
    }
    text
}

/// Fills a literal's mark; one that is none is kept.
fn fill(mark: char, text: &mut String, rng: &mut Pcg64) {
    match mark {
        'n' => *text += &rng.random_range(0..1_000_000).to_string(),
        's' => {
            let digits = rng.random::<u32>();
            let end = ["", " ", "''", ";", "é"].choose(rng).unwrap_or(&"");
            *text += &format!("'{digits:x}{end}'");
        }
        'l' => {
            let count = rng.random_range(1..30);
            let items: Vec<String> = (0..count).map(|_| draw_literal(rng)).collect();
            *text += &items.join(", ");
        }
        'v' => {
            let count = rng.random_range(1..20);
            let rows: Vec<String> = (0..count)
                .map(|_| format!("({}, {})", draw_literal(rng), draw_literal(rng)))
                .collect();
            *text += &rows.join(",");
        }
        other => text.extend(['%', other]),
    }
}

fn draw_literal(rng: &mut Pcg64) -> String {
    match rng.random_range(0..4) {
        0 => format!(
            "'{}'",
            ["a", "x''y", "", "delete from t", "1;2", "-- no", "/* no"]
                .choose(rng)
                .unwrap_or(&"")
        ),
        1 => format!("{:.2}", rng.random_range(0.0..1e4)),
        2 => format!("-{}", rng.random_range(1..99)),
        _ => rng.random_range(0..1_000_000).to_string(),
    }
}

fn draw_blank(rng: &mut Pcg64) -> &'static str {
    match rng.random_range(0..40) {
        0 => "  ",
        1 => "\n",
        2 => " /* why; */ ",
        3 => " -- delete\n",
        4 => "\t",
        _ => " ",
    }
}
