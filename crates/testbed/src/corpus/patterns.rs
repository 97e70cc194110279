//! Statement patterns by class and split, and the table and column names that replace their placeholders.
//!
//! | Placeholder | Replaced by | Drawn |
//! | --- | --- | --- |
//! | `%t` | a table name | once per shape |
//! | `%c` | a column name | once per shape |
//! | `%n` | a number | once per statement |
//! | `%s` | a string literal | once per statement |
//! | `%l` | a list of literals | once per statement |
//! | `%v` | rows of literals | once per statement |
//!
//! A placeholder `%t` or `%c` with a digit (`%c1`) is replaced by the same name throughout the pattern.

/// The patterns of one class of statements.
pub(super) struct ClassPatterns {
    /// The class of all statements of these patterns.
    pub class: &'static str,
    /// The effect of all statements of these patterns.
    pub effect: &'static str,
    /// Patterns of [`Split::Development`](super::Split::Development).
    pub development: &'static [&'static str],
    /// Patterns of [`Split::Evaluation`](super::Split::Evaluation).
    pub evaluation: &'static [&'static str],
}

/// The patterns of each class.
pub(super) const CLASS_PATTERNS: [ClassPatterns; 4] = [
    ClassPatterns {
        class: "look-up",
        effect: "read-only",
        development: &[
            "select %c, %c from %t where id = %n",
            "select %c from %t a where a.%c1 = %s and a.%c > %n",
            "select a.%c, b.%c from %t a join %t b on a.%c1 = b.%c1 where a.id = %n",
            "select %c from %t where %c1 in (%l) order by %c1 limit %n",
            "select count(*) from %t where id = %n and %c = %s",
            "select * from %t where id = %n limit 1",
            "select coalesce(%c, %n), upper(%c) from %t where id = %n",
            "select %c from %t where id = %n and exists (select 1 from %t b where b.%c1 = %n)",
        ],
        evaluation: &[
            "select x.%c from %t as x left join %t as y using (%c1) where x.%c1 = %s and y.%c is not null",
            "with q as (select %c1, %c from %t where %c1 = %n) select * from q limit %n",
            "select %c || %s from %t where %n = %c1",
            "select cast(%c as varchar(20)) from %t where (%c1 = %n) and %c between %n and %n",
            "select case when %c > %n then %s else null end from %t where %c1 in (%l)",
            "select %c from %t where %c1 = %n and not (%c like %s or %c is null) offset %n limit %n",
        ],
    },
    ClassPatterns {
        class: "report",
        effect: "read-only",
        development: &[
            "select %c1, count(*), max(%c) from %t where %c > %n group by %c1",
            "select %c1, sum(%c) from %t group by %c1 having sum(%c) > %n order by 2 desc",
            "select distinct %c from %t where %c1 > %s",
            "select %c from %t where %c > %n union all select %c from %t where %c < %n",
            "select rank() over (partition by %c1 order by %c) from %t",
            "select avg(%c) from %t where %c1 between %n and %n",
            "select a.%c from %t a join %t b on a.id = b.id join %t c on b.id = c.id where a.%c > %n",
            "select %c from %t",
        ],
        evaluation: &[
            "with d as (select %c1, sum(%c) s from %t group by %c1) select d.%c1, d.s from d join %t e on e.%c1 = d.%c1",
            "select date_trunc('day', %c1) g, stddev(%c) from %t where %c1 >= %s group by g",
            "select %c1 from %t intersect select %c1 from %t",
            "select sum(%c) filter (where %c1 > %n), count(distinct %c) from %t",
            "select t.%c1, lag(t.%c) over (order by t.%c1) from %t t where t.%c1 > %s",
            "select b.%c from %t a, %t b, %t c where a.%c1 = b.%c1 and b.id = c.id",
            "select %c1, grouping(%c1), min(%c) from %t group by rollup (%c1)",
        ],
    },
    ClassPatterns {
        class: "load",
        effect: "mutating",
        development: &[
            "insert into %t (%c, %c) values %v",
            "insert into %t select * from staging.%c where %c > %n",
            "update %t set %c = %n where id in (%l)",
            "delete from %t where %c < %s",
            "create table %t as select %c from %t",
            "with x as (insert into %t values %v returning %c) select * from x",
            "select %c from %t where id = %n for update",
            "truncate table %t",
        ],
        evaluation: &[
            "merge into %t a using %t b on a.id = b.id when matched then update set %c = b.%c",
            "with x as (delete from %t where %c = %n returning *) select count(*) from x",
            "select %c into %t from %t where %c = %s",
            "select nextval('ids'), %c from %t where id = %n",
            "update %t a set %c = b.%c from %t b where a.id = b.id and b.%c1 > %n",
            "select %c from %t; delete from %t where id = %n",
            "explain analyze delete from %t where id = %n",
            "select %c from %t a where a.id in (select id from %t for share)",
        ],
    },
    ClassPatterns {
        class: "unknown",
        effect: "unknown",
        development: &[
            "call refresh_%c(%n, %s)",
            "select local_%c(%c) from %t where id = %n",
            "select %c from %t where id = %n and",
            "set %c = %n",
            "select %c from %t where %c = 'open",
            "select %c from (select %c from %t where id = %n",
        ],
        evaluation: &[
            "do $$ begin update %t set %c = 1; end $$",
            "execute plan_%c(%n)",
            "select * from changes_%c(%n) x where x.id = %n",
            "select %c from %t where id = %n /* open",
            "select %c %c %c from %t",
            "begin; select %c from %t",
            "select %c from %t where %c = \"open",
        ],
    },
];

/// Table names; the generator adds a schema.
pub(super) const TABLES: [&str; 12] = [
    "orders", "lanes", "quotes", "rates", "shippers", "holds", "tariffs", "invoices", "stops",
    "zones", "notes", "days",
];
/// Column names.
pub(super) const COLUMNS: [&str; 14] = [
    "day", "weight", "rate", "fuel", "origin", "dest", "code", "region", "miles", "pallets",
    "status", "total", "carrier", "note",
];
