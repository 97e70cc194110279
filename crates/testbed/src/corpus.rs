//! Statements with their class and effect known by construction: some written by hand, most made from patterns. Two
//! parts are kept apart: patterns of one part are never in the other, and only one may be looked at while rules are
//! made.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use std::collections::HashMap;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    Building,
    Measuring,
}

/// A statement and what is true of it.
#[derive(Debug, Clone)]
pub struct Labelled {
    pub statement: String,
    pub class: &'static str,
    pub effect: &'static str,
    pub part: Part,
    /// Statements with the same number have the same form.
    pub form: usize,
    /// Work (ms on one core) and threads.
    pub work: f64,
    pub threads: f64,
}

/// By class: name, effect, patterns of the first part, patterns of the second. A pattern's marks: `%t` a table, `%c` a
/// column, `%n` a number, `%s` a string, `%l` a list of literals, `%v` rows of literals. Marks with a digit behind them
/// stand for the same table or column throughout.
type Patterns = (
    &'static str,
    &'static str,
    &'static [&'static str],
    &'static [&'static str],
);

const PATTERNS: [Patterns; 4] = [
    (
        "look-up",
        "read-only",
        &[
            "select %c, %c from %t where id = %n",
            "select %c from %t a where a.%c1 = %s and a.%c > %n",
            "select a.%c, b.%c from %t a join %t b on a.%c1 = b.%c1 where a.id = %n",
            "select %c from %t where %c1 in (%l) order by %c1 limit %n",
            "select count(*) from %t where id = %n and %c = %s",
            "select * from %t where id = %n limit 1",
            "select coalesce(%c, %n), upper(%c) from %t where id = %n",
            "select %c from %t where id = %n and exists (select 1 from %t b where b.%c1 = %n)",
        ],
        &[
            "select x.%c from %t as x left join %t as y using (%c1) where x.%c1 = %s and y.%c is not null",
            "with q as (select %c1, %c from %t where %c1 = %n) select * from q limit %n",
            "select %c || %s from %t where %n = %c1",
            "select cast(%c as varchar(20)) from %t where (%c1 = %n) and %c between %n and %n",
            "select case when %c > %n then %s else null end from %t where %c1 in (%l)",
            "select %c from %t where %c1 = %n and not (%c like %s or %c is null) offset %n limit %n",
        ],
    ),
    (
        "report",
        "read-only",
        &[
            "select %c1, count(*), max(%c) from %t where %c > %n group by %c1",
            "select %c1, sum(%c) from %t group by %c1 having sum(%c) > %n order by 2 desc",
            "select distinct %c from %t where %c1 > %s",
            "select %c from %t where %c > %n union all select %c from %t where %c < %n",
            "select rank() over (partition by %c1 order by %c) from %t",
            "select avg(%c) from %t where %c1 between %n and %n",
            "select a.%c from %t a join %t b on a.id = b.id join %t c on b.id = c.id where a.%c > %n",
            "select %c from %t",
        ],
        &[
            "with d as (select %c1, sum(%c) s from %t group by %c1) select d.%c1, d.s from d join %t e on e.%c1 = d.%c1",
            "select date_trunc('day', %c1) g, stddev(%c) from %t where %c1 >= %s group by g",
            "select %c1 from %t intersect select %c1 from %t",
            "select sum(%c) filter (where %c1 > %n), count(distinct %c) from %t",
            "select t.%c1, lag(t.%c) over (order by t.%c1) from %t t where t.%c1 > %s",
            "select b.%c from %t a, %t b, %t c where a.%c1 = b.%c1 and b.id = c.id",
            "select %c1, grouping(%c1), min(%c) from %t group by rollup (%c1)",
        ],
    ),
    (
        "load",
        "mutating",
        &[
            "insert into %t (%c, %c) values %v",
            "insert into %t select * from staging.%c where %c > %n",
            "update %t set %c = %n where id in (%l)",
            "delete from %t where %c < %s",
            "create table %t as select %c from %t",
            "with x as (insert into %t values %v returning %c) select * from x",
            "select %c from %t where id = %n for update",
            "truncate table %t",
        ],
        &[
            "merge into %t a using %t b on a.id = b.id when matched then update set %c = b.%c",
            "with x as (delete from %t where %c = %n returning *) select count(*) from x",
            "select %c into %t from %t where %c = %s",
            "select nextval('ids'), %c from %t where id = %n",
            "update %t a set %c = b.%c from %t b where a.id = b.id and b.%c1 > %n",
            "select %c from %t; delete from %t where id = %n",
            "explain analyze delete from %t where id = %n",
            "select %c from %t a where a.id in (select id from %t for share)",
        ],
    ),
    (
        "unknown",
        "unknown",
        &[
            "call refresh_%c(%n, %s)",
            "select local_%c(%c) from %t where id = %n",
            "select %c from %t where id = %n and",
            "set %c = %n",
            "select %c from %t where %c = 'open",
            "select %c from (select %c from %t where id = %n",
        ],
        &[
            "do $$ begin update %t set %c = 1; end $$",
            "execute plan_%c(%n)",
            "select * from changes_%c(%n) x where x.id = %n",
            "select %c from %t where id = %n /* open",
            "select %c %c %c from %t",
            "begin; select %c from %t",
            "select %c from %t where %c = \"open",
        ],
    ),
];

const TABLES: [&str; 12] = [
    "orders", "lanes", "quotes", "rates", "shippers", "holds", "tariffs", "invoices", "stops",
    "zones", "notes", "days",
];
const COLUMNS: [&str; 14] = [
    "day", "weight", "rate", "fuel", "origin", "dest", "code", "region", "miles", "pallets",
    "status", "total", "carrier", "note",
];

/// Fills a pattern's names. Literals stay as marks: they are what differs between statements of a form.
fn form(pattern: &str, rng: &mut Pcg64) -> String {
    let mut names: HashMap<String, String> = HashMap::new();
    let mut text = String::new();
    let mut rest = pattern.chars().peekable();
    while let Some(c) = rest.next() {
        let kind = rest
            .peek()
            .copied()
            .filter(|k| c == '%' && "tc".contains(*k));
        let Some(kind) = kind else {
            text.push(c);
            continue;
        };
        rest.next();
        let digit = rest.next_if(char::is_ascii_digit);
        let mut fresh = || {
            let column = *COLUMNS.choose(rng).unwrap_or(&"day");
            let table = *TABLES.choose(rng).unwrap_or(&"orders");
            if kind == 't' {
                format!("sales_{}.{table}", rng.random_range(1..40))
            } else {
                column.to_owned()
            }
        };
        let name = match digit {
            Some(digit) => names
                .entry(format!("{kind}{digit}"))
                .or_insert_with(&mut fresh)
                .clone(),
            None => fresh(),
        };
        text += &name;
    }
    text
}

/// A statement of a form: literals drawn, words in any case, blanks and comments of any kind.
fn statement(form: &str, rng: &mut Pcg64) -> String {
    let mut text = String::new();
    let mut rest = form.chars();
    let shouts = rng.random_bool(0.3);
    let mut quoted = false;
    let literal = |rng: &mut Pcg64| match rng.random_range(0..4) {
        0 => format!(
            "'{}'",
            ["a", "x''y", "", "delete from t", "1;2", "-- no", "/* no"]
                .choose(rng)
                .unwrap_or(&"")
        ),
        1 => format!("{:.2}", rng.random_range(0.0..1e4)),
        2 => format!("-{}", rng.random_range(1..99)),
        _ => rng.random_range(0..1_000_000).to_string(),
    };
    while let Some(c) = rest.next() {
        quoted ^= c == '\'';
        match c {
            '%' => match rest.next() {
                Some('n') => text += &rng.random_range(0..1_000_000).to_string(),
                Some('s') => {
                    text += &format!(
                        "'{:x}{}'",
                        rng.random::<u32>(),
                        ["", " ", "''", ";", "é"].choose(rng).unwrap_or(&"")
                    )
                }
                Some('l') => {
                    let items: Vec<String> =
                        (0..rng.random_range(1..30)).map(|_| literal(rng)).collect();
                    text += &items.join(", ");
                }
                Some('v') => {
                    let row = |rng: &mut Pcg64| format!("({}, {})", literal(rng), literal(rng));
                    let rows: Vec<String> =
                        (0..rng.random_range(1..20)).map(|_| row(rng)).collect();
                    text += &rows.join(",");
                }
                other => text.extend(['%'].into_iter().chain(other)),
            },
            ' ' if !quoted => {
                text += match rng.random_range(0..40) {
                    0 => "  ",
                    1 => "\n",
                    2 => " /* why; */ ",
                    3 => " -- delete\n",
                    4 => "\t",
                    _ => " ",
                }
            }
            c if shouts && !quoted && c.is_ascii_lowercase() => text.push(c.to_ascii_uppercase()),
            c => text.push(c),
        }
    }
    text
}

/// The statements written by hand: all of the measuring part, one form each.
fn written() -> Vec<Labelled> {
    let lines = include_str!("../corpus/written.txt").lines();
    let known = |word: &str| {
        PATTERNS
            .iter()
            .flat_map(|p| [p.0, p.1])
            .find(|known| *known == word)
            .unwrap_or("unknown")
    };
    lines
        .filter_map(|line| {
            let (class, rest) = line.split_once('\t')?;
            let (effect, statement) = rest.split_once('\t')?;
            Some((known(class), known(effect), statement.to_owned()))
        })
        .enumerate()
        .map(|(form, (class, effect, statement))| {
            let (part, work, threads) = (Part::Measuring, 50.0, 1.0);
            Labelled {
                statement,
                class,
                effect,
                part,
                form,
                work,
                threads,
            }
        })
        .collect()
}

/// A corpus of so many forms a pattern, with so many statements each, and what is written by hand.
pub fn corpus(forms: usize, each: usize, seed: u64) -> Vec<Labelled> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut all = written();
    let mut number = all.len();
    for (class, effect, building, measuring) in PATTERNS {
        for (part, patterns) in [(Part::Building, building), (Part::Measuring, measuring)] {
            for pattern in patterns {
                for _ in 0..forms {
                    let form = form(pattern, &mut rng);
                    let (median, threads) = match class {
                        "look-up" => (15.0, 1.0),
                        "report" => (400.0, 4.0),
                        _ => (300.0, 2.0),
                    };
                    // What a form costs is its own: far from what its class would tell.
                    let costs = LogNormal::new(f64::ln(median), 0.8).expect("a finite spread");
                    let work = costs.sample(&mut rng);
                    for _ in 0..each {
                        let statement = statement(&form, &mut rng);
                        all.push(Labelled {
                            statement,
                            class,
                            effect,
                            part,
                            form: number,
                            work,
                            threads,
                        });
                    }
                    number += 1;
                }
            }
        }
    }
    all
}

/// Whether a text may change something under any way in which an engine could split it into words. Written apart from
/// the code under test: it tries all readings and looks for words alone.
pub fn may_change(text: &[u8]) -> bool {
    (0..64_u8).any(|modes| reading_may_change(text, modes))
}

const STARTS: [&[u8]; 30] = [
    b"insert",
    b"update",
    b"delete",
    b"merge",
    b"truncate",
    b"drop",
    b"alter",
    b"create",
    b"grant",
    b"revoke",
    b"call",
    b"do",
    b"execute",
    b"prepare",
    b"copy",
    b"lock",
    b"set",
    b"reset",
    b"begin",
    b"commit",
    b"rollback",
    b"vacuum",
    b"replace",
    b"load",
    b"refresh",
    b"deallocate",
    b"start",
    b"savepoint",
    b"listen",
    b"notify",
];
const ANYWHERE: [&[u8]; 10] = [
    b"insert",
    b"update",
    b"delete",
    b"merge",
    b"into",
    b"truncate",
    b"drop",
    b"alter",
    b"create",
    b"grant",
];
/// Functions with effects, where a bracket is behind them.
const CALLED: [&[u8]; 4] = [b"nextval", b"setval", b"pg_advisory_lock", b"set_config"];

fn reading_may_change(text: &[u8], modes: u8) -> bool {
    let [escapes, nested, hash, dashes, dollars, runs] =
        std::array::from_fn(|bit| modes >> bit & 1 == 1);
    let mut at = 0;
    let mut starts = true;
    let mut behind_dot = false;
    let peek = |at: usize| text.get(at).copied().unwrap_or(0);
    while at < text.len() {
        let b = text[at];
        match b {
            b'\'' | b'"' | b'`' => {
                at += 1;
                while at < text.len() {
                    if escapes && text[at] == b'\\' {
                        at += 1;
                    } else if text[at] == b {
                        if peek(at + 1) != b {
                            break;
                        }
                        at += 1;
                    }
                    at += 1;
                }
                at += 1;
                (starts, behind_dot) = (false, false);
            }
            b'#' if hash => {
                while at < text.len() && text[at] != b'\n' {
                    at += 1
                }
            }
            b'-' if peek(at + 1) == b'-'
                && (!dashes || peek(at + 2).is_ascii_whitespace() || at + 2 >= text.len()) =>
            {
                while at < text.len() && text[at] != b'\n' && !(runs && text[at] == b'\r') {
                    at += 1;
                }
            }
            b'/' if peek(at + 1) == b'*' => {
                if runs && (peek(at + 2) == b'!' || peek(at + 2) == b'M' && peek(at + 3) == b'!') {
                    at += 3;
                    while peek(at).is_ascii_digit() || peek(at) == b'!' {
                        at += 1;
                    }
                    continue;
                }
                let mut depth = 1;
                at += 2;
                while at < text.len() && depth > 0 {
                    if text[at] == b'*' && peek(at + 1) == b'/' {
                        depth -= 1;
                        at += 1;
                    } else if nested && text[at] == b'/' && peek(at + 1) == b'*' {
                        depth += 1;
                        at += 1;
                    }
                    at += 1;
                }
            }
            b'$' if dollars => {
                let tag = text[at + 1..]
                    .iter()
                    .position(|b| !(b.is_ascii_alphanumeric() || *b == b'_'));
                let end = tag
                    .filter(|tag| text[at + 1 + tag] == b'$')
                    .map(|tag| at + 2 + tag);
                let close = end.and_then(|end| {
                    let tag = &text[at..end];
                    text[end..]
                        .windows(tag.len())
                        .position(|w| w == tag)
                        .map(|inside| end + inside + tag.len())
                });
                at = close.unwrap_or(at + 1);
            }
            b if b.is_ascii_alphabetic() || b == b'_' => {
                let from = at;
                while peek(at).is_ascii_alphanumeric() || peek(at) == b'_' {
                    at += 1;
                }
                let word = text[from..at].to_ascii_lowercase();
                let known = |list: &[&[u8]]| list.contains(&word.as_slice());
                let behind = text[at..].iter().find(|b| !b.is_ascii_whitespace());
                let called = behind.is_some_and(|b| matches!(b, b'('));
                if !behind_dot
                    && (starts && known(&STARTS) || known(&ANYWHERE) || called && known(&CALLED))
                {
                    return true;
                }
                (starts, behind_dot) = (false, false);
            }
            b';' => {
                (starts, behind_dot) = (true, false);
                at += 1;
            }
            b if b.is_ascii_whitespace() => at += 1,
            b => {
                behind_dot = b == b'.';
                starts &= b == b'(';
                at += 1;
            }
        }
    }
    false
}

/// A statement with one to four spoilt places, perhaps with a piece of another one.
pub fn mutated(statement: &str, other: &str, rng: &mut Pcg64) -> Vec<u8> {
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
    let mut bytes = statement.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..=4) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..6) {
            0 if at < bytes.len() => drop(bytes.remove(at)),
            1 if at < bytes.len() => bytes[at] = rng.random(),
            2 => {
                let to = (at + rng.random_range(0..20)).min(bytes.len());
                bytes.drain(at..to);
            }
            3 => {
                let other = other.as_bytes();
                let from = rng.random_range(0..=other.len());
                let to = rng.random_range(from..=other.len());
                bytes.splice(at..at, other[from..to].iter().copied());
            }
            4 => {
                let to = (at + rng.random_range(0..40)).min(bytes.len());
                let piece: Vec<u8> = bytes[at..to].to_vec();
                bytes.splice(at..at, piece);
            }
            _ => {
                let piece = *PIECES.choose(rng).unwrap_or(&PIECES[0]);
                bytes.splice(at..at, piece.iter().copied());
            }
        }
    }
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_corpus_is_large_and_its_parts_share_no_form() {
        let all = corpus(8, 8, 1);
        assert!(all.len() >= 3000, "{}", all.len());
        let part_of: HashMap<usize, Part> = all.iter().map(|s| (s.form, s.part)).collect();
        assert!(all.iter().all(|s| part_of[&s.form] == s.part));
        let made = all.iter().filter(|s| s.form >= written().len());
        assert!(
            made.clone().all(|s| !s.statement.contains('%')),
            "a mark was not filled"
        );
        let again = corpus(8, 8, 1);
        assert!(all
            .iter()
            .zip(&again)
            .all(|(a, b)| a.statement == b.statement));
    }

    #[test]
    fn the_oracle_finds_changes_that_one_reading_shows_and_another_hides() {
        for text in [
            "delete from t",
            "select '\\'; delete from t; -- '",
            "select 1 /*! ; drop table t */",
            "select 1 --x\n; delete from t",
            "select 1 # '\n; delete from t -- '",
            "select $$ ; delete from t $$",
            "select nextval('s')",
        ] {
            assert!(may_change(text.as_bytes()), "{text}");
        }
        for text in [
            "select 'delete from t'",
            "select t.update from t",
            "select 1 -- delete\n",
            "select \"into\"",
        ] {
            assert!(!may_change(text.as_bytes()), "{text}");
        }
    }
}
