//! The effects of statements: which are proven read-only, and which are not.

use crate::{analyze, assert_effects, assert_none_read_only};
use tansymux_sql_analysis::{Config, Effect, StatementAnalyzer};

#[test]
fn plain_queries_are_proven_read_only() {
    assert_effects(
        Effect::ReadOnly,
        &[
            "SELECT 1",
            "select a, b from sales_17.orders where id = 7",
            "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
            "select * from a join b on a.x = b.x left join c using (y) where a.z in (1, 2, 3) order by 1 limit 5;",
            "with x as (select a from t), y (p, q) as (select 1, 2) select * from x, y where p > 0",
            "with recursive r (n) as (select 1 union all select n + 1 from r where n < 9) select * from r",
            "select sum(a) over (partition by b order by c rows between 1 preceding and current row) from t",
            "select coalesce(a, 0), case when b is null then 'x' else cast(c as varchar(10)) end from t",
            "select a::numeric(10, 2), d - interval '1 day', date '2020-01-01' from t where s like 'a%' escape '!'",
            "select * from (select a from t union select b from u) v (w) where exists (select 1 from z where z.k = w)",
            "values (1, 'a'), (2, 'b')",
            "explain select * from t",
            "explain analyze select * from t",
            "(select a from t) union all (select b from u) order by 1",
            "select extract(year from d), substring(s from 1 for 3), trim(both ' ' from s), position('a' in s) from t",
            "select \"a b\", `c` from \"Mixed\".\"Case\"",
            "select a from t where b = $1 and c = ? and d = :name",
            "select t.update, \"delete\", x.into from t, x",
            "select 'insert into t values (1)', 'x; drop table t' from t -- delete from t",
            "select /*+ hint(t) */ a from t",
            "select 1; select 2;",
            "; ;select 1",
            "select count(distinct a) filter (where b > 1) from t group by grouping sets ((a), (b))",
        ],
    );
}

#[test]
fn data_changing_common_table_expressions_are_non_idempotent() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "with x as (insert into t values (1) returning a) select * from x",
            "with x as (update t set a = 1 returning *) select * from x",
            "with x as (delete from t returning *) select count(*) from x",
            "with x as (select 1) insert into t select * from x",
            "with x as (select 1), y as (delete from t where a in (select 1) returning 1) select * from y",
        ],
    );
}

#[test]
fn select_into_and_create_table_as_are_not_read_only() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "select * into t2 from t",
            "select a into temp t2 from t",
            "create table t2 as select * from t",
        ],
    );
    assert_none_read_only(&[
        "select a into outfile '/tmp/x' from t",
        "select a from t into @x",
        "select a from t into dumpfile 'x'",
        "create temporary table x as select 1",
        "create materialized view x as select 1",
    ]);
}

#[test]
fn row_locks_for_update_or_share_are_not_read_only() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "select * from t for update",
            "select * from t for share",
            "select * from (select * from t for update) x",
            "select * from t where a in (select b from u for update skip locked)",
            "with x as (select * from t for share) select * from x",
        ],
    );
    assert_none_read_only(&[
        "select * from t for no key update",
        "select * from t for key share",
        "select * from t lock in share mode",
        "select * from t with (updlock)",
    ]);
}

#[test]
fn calls_of_effect_functions_and_unknown_functions_are_not_read_only() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "select nextval('s')",
            "select setval('s', 1)",
            "select pg_advisory_lock(1)",
            "select * from t where a = nextval('s')",
            "select * from t order by nextval('s')",
            "select pg_catalog.nextval('s')",
            "select case when a then set_config('x', 'y', false) end from t",
            "select sum(nextval('s')) over (order by a) from t",
            "select NEXTVAL ('s')",
        ],
    );
    assert_effects(
        Effect::Unknown,
        &[
            "select do_it(1)",
            "select my.count(1)",
            "select * from refresh_all()",
            "select * from t, lateral f(t.a)",
            "select * from t where f(a) = 1",
            "select \"do it\"(1)",
            "with nextval (a) as (select 1) select do_it(1), nextval.a from nextval",
        ],
    );
    assert_none_read_only(&[
        "select \"nextval\"('s')",
        "with nextval (a) as (select 1) select nextval('s') from nextval",
    ]);
    let config = Config {
        pure_functions: vec!["geo.distance".into(), "do_it".into()],
        effect_functions: vec!["upper".into()],
        ..Config::default()
    };
    let mut analyzer = StatementAnalyzer::new(config, [7; 16]);
    for (statement, effect) in [
        (
            "select do_it(1), geo.distance(a, b) from t",
            Effect::ReadOnly,
        ),
        ("select distance(a, b) from t", Effect::Unknown),
        ("select upper(a) from t", Effect::NonIdempotent),
    ] {
        assert_eq!(
            analyzer.analyze(statement.as_bytes()).analysis.effect,
            effect,
            "{statement}"
        );
    }
}

#[test]
fn explain_analyze_of_a_write_is_not_read_only() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "explain analyze delete from t",
            "explain (analyze) update t set a = 1",
        ],
    );
    assert_none_read_only(&[
        "explain analyze insert into t values (1)",
        "explain (analyze true) delete from t",
    ]);
}

#[test]
fn statements_that_are_not_queries_are_not_read_only() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "insert into t values (1)",
            "update t set a = 1 where b = 2",
            "delete from t",
            "merge into t using u on t.a = u.a when matched then update set b = 1",
            "truncate table t",
            "drop table t",
            "alter table t add column a int",
            "copy t from stdin",
        ],
    );
    assert_none_read_only(&[
        "call refresh()",
        "do $$ begin delete from t; end $$",
        "execute p",
        "prepare p as delete from t",
        "prepare p as select 1",
        "deallocate p",
        "copy t to '/tmp/x'",
        "copy (select 1) to program 'x'",
        "copy t from program 'x'",
        "set a = 1",
        "set role x",
        "reset all",
        "begin",
        "start transaction",
        "commit",
        "rollback",
        "savepoint a",
        "lock table t",
        "vacuum",
        "analyze t",
        "grant all on t to x",
        "refresh materialized view x",
        "replace into t values (1)",
        "load data infile 'x' into table t",
        "use x",
        "kill 7",
        "listen x",
        "notify x",
        "comment on table t is 'x'",
        "handler t open",
        "unload to 'x' select 1",
    ]);
}

#[test]
fn text_with_a_write_among_its_statements_is_not_read_only() {
    assert_effects(
        Effect::NonIdempotent,
        &[
            "select 1; delete from t",
            "; delete from t",
            ";;/* x */;insert into t values (1)",
            "select 1; select 2; update t set a = 1; select 3",
            "select 1 /* ; */ ; -- ;\n delete from t",
        ],
    );
    assert_none_read_only(&[
        "select 1; call f()",
        "select 1; garbage (",
        "select 1;; set x = 1",
    ]);
}

#[test]
fn tables_read_and_written_are_named() {
    let analyzed = analyze(
        "with x as (select a from sales_17.orders) insert into Staging.\"Day One\" select * from x join \
         sales_17.lanes l on x.a = l.a",
    );
    assert_eq!(
        analyzed.analysis.tables_read,
        ["sales_17.lanes", "sales_17.orders"]
    );
    assert_eq!(analyzed.analysis.tables_written, ["staging.Day One"]);
}
