//! Hard cases: what must never be proven read-only, bounds of time and stack, floods of new shapes.

use std::time::{Duration, Instant};
use tansymux_sql_analysis::{
    AnalyzedStatement, Class, Config, Effect, Execution, ExecutionEnd, Rule, StatementAnalyzer,
};

fn analyzer() -> StatementAnalyzer {
    StatementAnalyzer::new(Config::default(), [7; 16])
}

fn analyze(statement: &str) -> AnalyzedStatement {
    analyzer().analyze(statement.as_bytes())
}

/// Each statement has this effect, and a class that goes with it.
fn all_are(effect: Effect, cases: &[&str]) {
    for case in cases {
        let read = analyze(case).analysis;
        assert_eq!(read.effect, effect, "{case}: {read:?}");
        let class = match effect {
            Effect::ReadOnly => read.class == Class::LookUp || read.class == Class::Report,
            Effect::NonIdempotent => read.class == Class::Load,
            Effect::Unknown => read.class == Class::Unknown,
        };
        assert!(class, "{case}: {read:?}");
    }
}

fn none_is_read_only(cases: &[&str]) {
    for case in cases {
        let read = analyze(case).analysis;
        assert_ne!(read.effect, Effect::ReadOnly, "{case}");
        assert!(
            matches!(read.class, Class::Load | Class::Unknown),
            "{case}: {read:?}"
        );
    }
}

#[test]
fn plain_queries_are_proven_read_only() {
    all_are(
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
fn common_table_expressions_that_change_data() {
    all_are(
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
fn select_into_and_create_table_as() {
    all_are(
        Effect::NonIdempotent,
        &[
            "select * into t2 from t",
            "select a into temp t2 from t",
            "create table t2 as select * from t",
        ],
    );
    none_is_read_only(&[
        "select a into outfile '/tmp/x' from t",
        "select a from t into @x",
        "select a from t into dumpfile 'x'",
        "create temporary table x as select 1",
        "create materialized view x as select 1",
    ]);
}

#[test]
fn rows_locked_for_update_or_share() {
    all_are(
        Effect::NonIdempotent,
        &[
            "select * from t for update",
            "select * from t for share",
            "select * from (select * from t for update) x",
            "select * from t where a in (select b from u for update skip locked)",
            "with x as (select * from t for share) select * from x",
        ],
    );
    none_is_read_only(&[
        "select * from t for no key update",
        "select * from t for key share",
        "select * from t lock in share mode",
        "select * from t with (updlock)",
    ]);
}

#[test]
fn functions_with_effects_and_unknown_ones() {
    all_are(
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
    all_are(
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
    none_is_read_only(&[
        "select \"nextval\"('s')",
        "with nextval (a) as (select 1) select nextval('s') from nextval",
    ]);
    let config = Config {
        pure_functions: vec!["geo.distance".into(), "do_it".into()],
        effect_functions: vec!["upper".into()],
        ..Config::default()
    };
    let mut analyzer = StatementAnalyzer::new(config, [7; 16]);
    for (case, effect) in [
        (
            "select do_it(1), geo.distance(a, b) from t",
            Effect::ReadOnly,
        ),
        ("select distance(a, b) from t", Effect::Unknown),
        ("select upper(a) from t", Effect::NonIdempotent),
    ] {
        assert_eq!(
            analyzer.analyze(case.as_bytes()).analysis.effect,
            effect,
            "{case}"
        );
    }
}

#[test]
fn explain_analyze_of_a_write() {
    all_are(
        Effect::NonIdempotent,
        &[
            "explain analyze delete from t",
            "explain (analyze) update t set a = 1",
        ],
    );
    none_is_read_only(&[
        "explain analyze insert into t values (1)",
        "explain (analyze true) delete from t",
    ]);
}

#[test]
fn statements_that_are_not_queries() {
    all_are(
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
    none_is_read_only(&[
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
fn several_statements_in_one_text() {
    all_are(
        Effect::NonIdempotent,
        &[
            "select 1; delete from t",
            "; delete from t",
            ";;/* x */;insert into t values (1)",
            "select 1; select 2; update t set a = 1; select 3",
            "select 1 /* ; */ ; -- ;\n delete from t",
        ],
    );
    none_is_read_only(&[
        "select 1; call f()",
        "select 1; garbage (",
        "select 1;; set x = 1",
    ]);
}

#[test]
fn writes_hidden_behind_comments_and_quotes() {
    none_is_read_only(&[
        "select 1 -- x\n; delete from t",
        "select 1 --x\n; delete from t",
        "select 1 -- x\r; delete from t",
        "/* /* */ delete from t -- */ select 1",
        "select 1 /*! ; delete from t */",
        "select 1 /*!50000 into outfile 'x' */",
        "select 1 /*M! ; delete from t */",
        "select 1 # ; \n ; delete from t",
        "select '\\'; delete from t; -- '",
        "select '\\\\\\'; delete from t; -- '",
        "select \"\\\"; delete from t; -- \"",
        "select $$ $$; delete from t; -- $$",
        "select $a$ $$ $a$; delete from t",
        "select 'a''; delete from t; --",
        "select `a``; delete from t; -- `; delete from t",
        "select e'\\'; delete from t; --'",
        "select 1 from t where a = '\u{2019}; delete from t",
    ]);
}

#[test]
fn unterminated_statements_are_not_proven_read_only() {
    none_is_read_only(&[
        "select 'a",
        "select \"a",
        "select `a",
        "select /* a",
        "select $$a",
        "select (",
        "select a from (select 1",
        "select 'a''",
        "select 1 /*",
        "select n'",
        "select e'\\'",
        "select 1 /",
        "select [a",
        "select case when 1",
    ]);
}

#[test]
fn nul_bytes_byte_order_marks_invalid_utf8_and_look_alike_letters() {
    none_is_read_only(&[
        "",
        " ",
        ";",
        "-- x",
        "/* x */",
        "select \0",
        "select 1\0; delete from t",
        "\u{feff}select 1",
        "s\u{435}lect 1",
        "select 1 \u{ff1b} delete from t",
        "\u{ff33}ELECT 1",
        "select 1 \u{131}nto t",
        "select * \u{131}NTO x from t",
        "select\u{3000}1",
        "select\u{2028}1",
        "select \u{1b}[2J 1",
    ]);
    for bytes in [
        b"select \xff".as_slice(),
        b"\xfe\xff\0s",
        b"select '\xc3'",
        b"\xef\xbb\xbfselect 1",
    ] {
        assert_ne!(
            analyzer().analyze(bytes).analysis.effect,
            Effect::ReadOnly,
            "{bytes:?}"
        );
    }
}

#[test]
fn quoted_keywords_and_non_ascii_literals_are_proven_read_only() {
    all_are(
        Effect::ReadOnly,
        &[
            "select \"delete\", \"into\" from \"update\"",
            "select 'größe', '表' from t where a = '\u{2019}'",
        ],
    );
}

/// A statement is analyzed within this time, also by a build without optimization.
const BOUNDED: Duration = Duration::from_millis(1500);

#[test]
fn very_long_statements_take_bounded_time_and_stack() {
    let joins: String = (0..5000)
        .map(|n| format!(" join t{n} on a{n} = 1"))
        .collect();
    let unions = "select 1 union ".repeat(4000) + "select 1";
    let not = format!("select {} 1", "not ".repeat(15_000));
    let cases: Vec<String> = vec![
        "(".repeat(65_536),
        format!("select {}1{}", "(".repeat(30_000), ")".repeat(30_000)),
        format!("select {}1", "-".repeat(60_000)),
        format!("select {}1", "- ".repeat(30_000)),
        format!("select 1{}", "+1".repeat(30_000)),
        format!("select a from t where a = 1{}", " and a = 1".repeat(5000)),
        format!("select * from t{joins}")
            .chars()
            .take(65_536)
            .collect(),
        unions.chars().take(65_536).collect(),
        not,
        format!("select {}", "case when ".repeat(6000)),
        format!("select a{}", "[1]".repeat(20_000)),
        format!("select a{}", "::int".repeat(12_000)),
        format!("select {}", "f(".repeat(30_000)),
        format!("select {}", "a.".repeat(32_000)),
        "select ".repeat(9000),
        "with a as (".repeat(5000),
        format!("select '{}", "''".repeat(32_000)),
        "/*".repeat(32_000),
        "$a".repeat(32_000),
        "'?'".repeat(20_000),
        "x\u{0}".repeat(20_000),
        "insert into t values ".to_owned() + &"(1),".repeat(16_000),
        ";".repeat(65_536),
        "select 1;".repeat(7000),
        "z".repeat(200_000),
    ];
    for case in cases {
        let from = Instant::now();
        let read = analyze(&case).analysis;
        assert!(
            from.elapsed() < BOUNDED,
            "{:?} for {}",
            from.elapsed(),
            &case[..40]
        );
        assert_ne!(read.effect, Effect::ReadOnly, "{}", &case[..40]);
    }
}

#[test]
fn list_of_ten_thousand_items_has_the_shape_of_a_short_one() {
    let items: Vec<String> = (0..10_000).map(|n| n.to_string()).collect();
    let mut analyzer = analyzer();
    let long =
        analyzer.analyze(format!("select a from t where b in ({})", items.join(", ")).as_bytes());
    let short = analyzer.analyze(b"SELECT a FROM t WHERE b IN (7)");
    assert_eq!(
        (long.shape_id, long.analysis.effect, short.is_cache_hit),
        (short.shape_id, Effect::ReadOnly, true)
    );
}

#[test]
fn statements_that_differ_in_literals_only_share_a_shape() {
    let mut analyzer = analyzer();
    let mut shape = |statement: &str| analyzer.analyze(statement.as_bytes()).shape_id;
    let one = shape("select a from t where b = 1 and c = 'x'");
    assert_eq!(
        shape("SELECT a\nFROM t -- c\n WHERE b=22 AND c='y''z'"),
        one
    );
    for other in [
        "select a from t where b = 1 or c = 'x'",
        "select a from u where b = 1 and c = 'x'",
        "select a from t where b <> 1 and c = 'x'",
        "select distinct a from t where b = 1 and c = 'x'",
        "select a from t where b = 1 and c = 'x' for update",
        "select a from \"T\" where b = 1 and c = 'x'",
        "select a from t where b = 1 and c = 'x' # y",
    ] {
        assert_ne!(shape(other), one, "{other}");
    }
    // Another process draws another key: nobody can construct shapes with equal hashes.
    let other = StatementAnalyzer::new(Config::default(), [8; 16])
        .analyze(b"select a from t where b = 1 and c = 'x'")
        .shape_id;
    assert_ne!(other, one);
}

#[test]
fn flood_of_new_shapes_does_not_evict_common_ones_or_exceed_bounds() {
    let config = Config {
        max_shapes: 512,
        max_shape_bytes: 512 * 1024,
        max_learned_costs: 1024,
        ..Config::default()
    };
    let mut analyzer = StatementAnalyzer::new(config, [7; 16]);
    let common: Vec<String> = (0..200)
        .map(|n| format!("select a{n} from t where b = 1"))
        .collect();
    let (mut asked, mut hits) = (0, 0);
    for n in 0..100_000_u32 {
        analyzer.analyze(format!("select x{n} from flood").as_bytes());
        if n % 4 == 0 {
            let read = analyzer.analyze(common[(n / 4) as usize % common.len()].as_bytes());
            if n >= 8000 {
                asked += 1;
                hits += u32::from(read.is_cache_hit);
            }
        }
    }
    let counts = analyzer.counts();
    assert!(
        counts.shapes <= 512 && counts.bytes <= 512 * 1024,
        "{counts:?}"
    );
    assert!(
        f64::from(hits) > 0.9 * f64::from(asked),
        "{hits} of {asked}"
    );
}

const EXECUTION: Execution = Execution {
    ended_at_ms: 0.0,
    engine_id: 1,
    latency_ms: 10.0,
    threads: 1.0,
    end: ExecutionEnd::Completed,
    waited: false,
    warming_up: false,
};

#[test]
fn learned_costs_outlive_the_cached_analysis_within_their_own_bound() {
    let config = Config {
        max_shapes: 16,
        max_shape_bytes: 65_536,
        max_learned_costs: 4096,
        ..Config::default()
    };
    let mut analyzer = StatementAnalyzer::new(config.clone(), [7; 16]);
    let query = b"select a from t where b = 1";
    for _ in 0..10 {
        let read = analyzer.analyze(query);
        analyzer.record_execution(
            read.shape_id,
            read.analysis.class,
            read.analysis.cost_ms,
            &EXECUTION,
        );
    }
    for n in 0..1000 {
        analyzer.analyze(format!("select x{n} from flood").as_bytes());
    }
    analyzer.reconfigure(config);
    let read = analyzer.analyze(query);
    let estimate = analyzer.estimate(&read, 0.0);
    assert!(
        !read.is_cache_hit && (estimate.cost_ms - 10.0).abs() < 1.0 && estimate.confidence > 0.5,
        "{estimate:?}"
    );
}

#[test]
fn hundredfold_change_of_cost_is_followed() {
    let mut analyzer = analyzer();
    let read = analyzer.analyze(b"select a from t where b = 1");
    let mut cost_after = |samples: usize, latency: f64| {
        for _ in 0..samples {
            let execution = Execution {
                latency_ms: latency,
                ..EXECUTION
            };
            analyzer.record_execution(
                read.shape_id,
                read.analysis.class,
                read.analysis.cost_ms,
                &execution,
            );
        }
        analyzer.estimate(&read, 0.0).cost_ms
    };
    assert!((cost_after(50, 10.0) - 10.0).abs() < 0.5);
    assert!((cost_after(3, 1000.0) / 1000.0 - 1.0).abs() < 0.2);
    assert!((cost_after(50, 1000.0) / 1000.0 - 1.0).abs() < 0.05);
    assert!((cost_after(4, 10.0) / 10.0 - 1.0).abs() < 0.2);
}

#[test]
fn new_rules_apply_to_new_statements_and_not_to_those_in_flight() {
    let mut analyzer = analyzer();
    let query = b"select count(*) from t where b = 1 group by c";
    let before = analyzer.analyze(query);
    assert_eq!(before.analysis.class, Class::Report);
    analyzer.record_execution(
        before.shape_id,
        before.analysis.class,
        before.analysis.cost_ms,
        &EXECUTION,
    );
    analyzer.reconfigure(Config {
        rules: vec![Rule::for_all(Class::LookUp)],
        ..Config::default()
    });
    let after = analyzer.analyze(query);
    assert_eq!(
        (before.analysis.class, after.analysis.class),
        (Class::Report, Class::LookUp)
    );
    assert_eq!(before.shape_id, after.shape_id);
    // One that was started under the old rules ends under the new ones: its cost is learned all the same.
    analyzer.record_execution(
        before.shape_id,
        before.analysis.class,
        before.analysis.cost_ms,
        &EXECUTION,
    );
    assert!((analyzer.estimate(&after, 0.0).cost_ms - 10.0).abs() < 1.0);
}

#[test]
fn classes_follow_the_default_rules() {
    for (case, class) in [
        ("select 1", Class::LookUp),
        ("select a, b from t where id = 1", Class::LookUp),
        ("select count(*) from t where id = 1", Class::LookUp),
        (
            "select a from t join u on t.x = u.x join v on v.y = u.y where t.id = 'a'",
            Class::LookUp,
        ),
        (
            "select a from t where id in (1, 2, 3) order by b limit 3",
            Class::LookUp,
        ),
        ("select a from t limit 10", Class::LookUp),
        ("select a from t", Class::Report),
        (
            "select a, count(*) from t where day > '2020' group by a",
            Class::Report,
        ),
        ("select distinct a from t where b > 1", Class::Report),
        (
            "select a from t where b > 1 union select a from u where b > 1",
            Class::Report,
        ),
        (
            "select rank() over (order by a) from t where id = 1",
            Class::Report,
        ),
        (
            "select sum(a) from t where b between 1 and 2",
            Class::Report,
        ),
        ("insert into t select * from staging.x", Class::Load),
        ("select * from t for update", Class::Load),
        ("nonsense", Class::Unknown),
    ] {
        assert_eq!(
            analyze(case).analysis.class,
            class,
            "{case}: {:?}",
            analyze(case).analysis
        );
    }
}

#[test]
fn tables_read_and_written_are_named() {
    let read = analyze(
        "with x as (select a from sales_17.orders) insert into Staging.\"Day One\" select * from x join \
         sales_17.lanes l on x.a = l.a",
    );
    assert_eq!(
        read.analysis.tables_read,
        ["sales_17.lanes", "sales_17.orders"]
    );
    assert_eq!(read.analysis.tables_written, ["staging.Day One"]);
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_never_panic_and_give_the_same_analysis_twice(
        bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..300),
    ) {
        let (one, other) = (analyzer().analyze(&bytes), analyzer().analyze(&bytes));
        assert_eq!((one.shape_id, &one.analysis), (other.shape_id, &other.analysis));
    }

    #[test]
    fn arbitrary_tokens_never_panic_and_never_prove_a_delete_read_only(
        text in "(select|from|where|delete|insert into|t|a\\.b|'x'|1|,|\\(|\\)|;|--|/\\*|\\*/|\\$\\$|\"| |\n){0,40}",
    ) {
        let analysis = analyzer().analyze(text.as_bytes()).analysis;
        let shown = !text.contains(['\'', '"', '$', '-', '/', '*']) && text.contains("delete");
        assert!(!(shown && analysis.effect == Effect::ReadOnly), "{text}");
    }
}
