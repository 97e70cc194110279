//! Statement classification by the program: queries without a group, checks of queries with a group, and the command
//! line.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tansymux_testbed::client::{send_query, ClientQuery};
use tansymux_testbed::corpus::{corpus, mutated};
use tansymux_testbed::engine::{
    start_scripted_engine, write_result, write_result_of, Engine, EngineSpec, QueryWork,
    ResultShape, RunContext,
};
use tansymux_testbed::invariants::{find_violations, ClassRules, Effect, Rules};
use tansymux_testbed::program::{Config, Program, TempFile, TIMEOUT};
use tansymux_testbed::wire::read_response;

/// The program under test.
const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
/// Classifies queries without a group, and runs reports in the group of look-ups.
const CLASSIFY_ALL: &str =
    "path: \"/statement\" groups { look_up: \"look\" report: \"look\" load: \"load\" }";

/// Starts the program with this `statements` block in its operators' file, and returns both.
fn start(engines: &[SocketAddr], statements: &str) -> (Program, TempFile) {
    let operator = TempFile::new(
        "operator.textproto",
        &format!("statements {{ {statements} }}"),
    );
    let path = operator.0.display().to_string();
    (
        Program::start(
            Path::new(EXE),
            &Config::with_two_groups(engines),
            &["--operator", &path],
        ),
        operator,
    )
}

fn post(to: SocketAddr, query: &ClientQuery) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(&query.bytes()).unwrap();
    stream
}

fn status(stream: TcpStream) -> u16 {
    read_response(&mut BufReader::new(stream)).unwrap().status
}

fn unclassified_query(id: u64, statement: &str) -> ClientQuery {
    ClientQuery::new(id, "/statement", "bare", statement, 9000.0)
}

/// Runs the program with `input` on its standard input. Returns its exit code, standard output and standard error.
fn run_program(arguments: &[&str], input: &str) -> (i32, String, String) {
    let mut child = Command::new(EXE)
        .args(arguments)
        .env_remove("TANSYMUX_OPERATOR")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        out.status.code().unwrap(),
        text(out.stdout),
        text(out.stderr),
    )
}

#[test]
fn statement_without_a_group_runs_in_the_group_of_its_class_and_gets_404_if_no_path_is_set() {
    let (address, requests) = start_scripted_engine(|parts, to| {
        write_result_of(to, &parts[1], "");
    });
    let (program, _operator) = start(&[address], CLASSIFY_ALL);
    for (id, statement, group) in [
        (1, "select a from sales_17.orders where id = 7", "cls=look,"),
        (2, "insert into sales_17.orders values (1)", "cls=load,"),
        (3, "nonsense of some kind", "cls=load,"),
    ] {
        assert_eq!(
            status(post(program.listen, &unclassified_query(id, statement))),
            200
        );
        let fetch = requests.recv_timeout(TIMEOUT).unwrap().0;
        assert!(
            fetch[2].starts_with(group) && fetch[3] == statement,
            "{fetch:?}"
        );
    }
    assert_eq!(program.counter("statements_bare"), Some(3));
    assert_eq!(program.counter("statements_unknown"), Some(1));
    let (program, _operator) = start(&[address], "check: LOG");
    assert_eq!(
        status(post(program.listen, &unclassified_query(4, "select 1"))),
        404
    );
}

#[test]
fn statement_that_may_write_is_not_retried_unless_the_check_only_logs() {
    // The engine closes each connection on which a request arrives: whether the query ran is unknown, and only a
    // read-only query may be retried.
    let (address, requests) =
        start_scripted_engine(|_, to| drop(to.shutdown(std::net::Shutdown::Both)));
    let hidden = "select 1 -- x\n; delete from sales_17.orders";
    let send_and_count_attempts = |program: &Program, query: &ClientQuery| {
        let status = status(post(program.listen, query));
        let fetches = requests
            .try_iter()
            .filter(|(parts, _)| parts[0] == "fetch")
            .count();
        (status, fetches)
    };
    let (program, _operator) = start(&[address], CLASSIFY_ALL);
    assert_eq!(
        send_and_count_attempts(&program, &unclassified_query(1, hidden)),
        (500, 1)
    );
    assert!(
        send_and_count_attempts(
            &program,
            &unclassified_query(2, "select a from sales_17.orders where id = 1")
        )
        .1 > 1
    );
    assert_eq!(
        send_and_count_attempts(&program, &unclassified_query(3, "select local_function(1)")),
        (500, 1)
    );
    // The class promises read-only, but the statement is not: with LOG the program logs this and treats the query as
    // read-only, and with ENFORCE it treats the query as the statement requires.
    let named = |id| ClientQuery::new(id, "/invoke/look", "look", hidden, 9000.0);
    let (mut program, _operator) = start(&[address], "check: LOG");
    assert!(send_and_count_attempts(&program, &named(4)).1 > 1);
    assert_eq!(program.counter("statements_milder_class_named"), Some(1));
    program.terminate();
    assert!(program
        .wait_for_exit()
        .contains("class promises read-only, statement does not"));
    let (program, _operator) = start(&[address], "check: ENFORCE");
    assert_eq!(send_and_count_attempts(&program, &named(5)), (500, 1));
}

/// Guards against a write that is sent twice, because it stands behind text that its engine reads in another way than
/// the program.
#[test]
fn write_behind_text_that_engines_read_differently_is_sent_once() {
    let (address, requests) =
        start_scripted_engine(|_, to| drop(to.shutdown(std::net::Shutdown::Both)));
    let (program, _operator) = start(&[address], CLASSIFY_ALL);
    let write = "INSERT INTO rates_17.surcharge VALUES (7, 1)";
    let statements = [
        format!("/* from /data/*/ SELECT price FROM rates_17.lane -- old */ */ {write}"),
        format!("SELECT 1 /*/ ; {write} -- */"),
        format!("SELECT 1 /* a */* */ {write} -- */"),
        format!("SELECT 1 /*T! ; {write} */"),
        format!("SELECT 1 -- a\u{2028}; {write}"),
        format!("SELECT 1 AS [x'], 2; {write} --']"),
        format!("SELECT q'x' || y, x'; {write} --'"),
        format!("SELECT '''a\"''', \"; {write} --\""),
    ];
    for (id, statement) in (1..).zip(&statements) {
        let status = status(post(program.listen, &unclassified_query(id, statement)));
        let fetches = requests.try_iter().filter(|(parts, _)| parts[0] == "fetch");
        assert_eq!((status, fetches.count()), (500, 1), "{statement}");
    }
}

#[test]
fn reloaded_rules_apply_to_new_queries_and_not_to_queries_in_flight() {
    let (address, requests) = start_scripted_engine(|parts, to| {
        if parts[0] == "fetch" {
            thread::sleep(Duration::from_millis(400));
            write_result(to, &parts[1]);
        }
    });
    let (program, operator) = start(&[address], CLASSIFY_ALL);
    let in_flight = post(
        program.listen,
        &unclassified_query(1, "select a from sales_17.orders where id = 1"),
    );
    assert!(requests.recv_timeout(TIMEOUT).unwrap().0[2].starts_with("cls=look,"));
    // An invalid file changes nothing, and its error is logged.
    operator.write("statements { path: \"/statement\"\n groups { look_up: \"nobody\" report: \"look\" load: \"load\" } }");
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(50));
    operator.write("statements { rule { } }");
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(program.counter("operator_files_read"), Some(0));
    let changed = CLASSIFY_ALL.replace("look_up: \"look\"", "look_up: \"load\"");
    operator.write(&format!("statements {{ {changed} }}"));
    program.signal("-HUP");
    program.wait_for_counter_line("operator_files_read 1\n");
    let later = post(
        program.listen,
        &unclassified_query(2, "select a from sales_17.orders where id = 2"),
    );
    assert!(requests.recv_timeout(TIMEOUT).unwrap().0[2].starts_with("cls=load,"));
    assert_eq!((status(in_flight), status(later)), (200, 200));
    // Classification is disabled: its path is unknown.
    operator.write("");
    program.signal("-HUP");
    program.wait_for_counter_line("operator_files_read 2\n");
    assert_eq!(
        status(post(program.listen, &unclassified_query(3, "select 1"))),
        404
    );
    let mut program = program;
    program.terminate();
    let log = program.wait_for_exit();
    for expected in [
        "operators' file reload rejected",
        "look_up is \"nobody\"",
        "rule.0.class is missing",
    ] {
        assert!(log.contains(expected), "{expected} in {log}");
    }
}

#[test]
fn every_statement_malformed_or_not_gets_exactly_one_final_answer() {
    use rand::SeedableRng;
    let context = Arc::new(RunContext::default());
    let engines: Vec<Engine> = (0..3)
        .map(|index| {
            let id = format!("s-{index}");
            Engine::start(&id, EngineSpec::default(), index, context.clone())
        })
        .collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let (mut program, _operator) = start(&addresses, CLASSIFY_ALL);
    let mut rng = rand_pcg::Pcg64::seed_from_u64(7);
    let all = corpus(1, 4, 7);
    let mut clients = Vec::new();
    for (index, labelled) in all.iter().enumerate() {
        let other = &all[(index * 7 + 3) % all.len()].statement;
        let is_mutated = index % 3 == 0;
        let text = if is_mutated {
            String::from_utf8_lossy(&mutated(&labelled.statement, other, &mut rng)).into_owned()
        } else {
            labelled.statement.clone()
        };
        // The effect of a mutated statement is unknown: the test checks only that it gets exactly one answer.
        let class = if is_mutated { "fuzzed" } else { labelled.class };
        let query = ClientQuery {
            class: class.into(),
            ..unclassified_query(index as u64 + 1, &text)
        };
        let work = QueryWork {
            result: ResultShape::OneRow,
            work_ms: 2.0,
            threads: 1.0,
            changes_tables: labelled.effect != "read-only",
            tables: 0,
        };
        context.query_work.lock().unwrap().insert(query.id(), work);
        let (context, listen) = (context.clone(), program.listen);
        clients.push(thread::spawn(move || {
            send_query(listen, &query, &context.record).is_some()
        }));
        if clients.len() % 24 == 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }
    let answered = clients
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .filter(|is_answered| *is_answered)
        .count();
    assert_eq!(answered, all.len());
    program.terminate();
    let report = program.wait_for_exit();
    assert!(report.contains("unanswered 0\n"), "{report}");
    let effect = |class: &str| match class {
        "look-up" | "report" | "fuzzed" => Effect::ReadOnly,
        _ => Effect::NonIdempotent,
    };
    let classes = ["look-up", "report", "load", "unknown", "fuzzed"];
    let classes = classes.map(|class| (class.to_owned(), ClassRules::for_effect(effect(class))));
    let rules = Rules::for_classes(classes);
    let violations = find_violations(&context.record.entries(), &rules);
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn exit_codes_distinguish_success_errors_and_wrong_usage() {
    assert_eq!(run_program(&["--version"], "").0, 0);
    assert_eq!(run_program(&["--help"], "").0, 0);
    assert_eq!(run_program(&["nonsense"], "").0, 2);
    assert_eq!(run_program(&["check"], "").0, 2);
    let operator = TempFile::new(
        "o",
        "log {\n lines_a_second: 0 }\nstatements { cache { shapes: 1 } }",
    );
    let good = TempFile::new("c", &Config::with_two_groups(&[]).0.to_string());
    let bad = TempFile::new("d", "{\n\"seed\": 7 }");
    let path = |file: &TempFile| file.0.display().to_string();
    let (code, out, _) = run_program(
        &[
            "check",
            &path(&operator),
            &path(&bad),
            &path(&good),
            "/nowhere",
        ],
        "",
    );
    assert_eq!(code, 1);
    for expected in [
        &format!(
            "{}:2:2: log.lines_a_second is 0, allowed is 1 to 1000",
            path(&operator)
        ),
        &format!(
            "{}:3:22: statements.cache.shapes is 1, allowed is 16 to 1000000",
            path(&operator)
        ),
        &format!("{}:2: key seed is 7, expected a text", path(&bad)),
        "/nowhere: ",
    ] {
        assert!(out.contains(expected), "{expected} in {out}");
    }
    let matching = TempFile::new("f", &format!("statements {{ {CLASSIFY_ALL} }}"));
    assert_eq!(
        run_program(&["check", &path(&good), &path(&matching)], "").0,
        0
    );
    let mismatched = TempFile::new(
        "u",
        &format!(
            "statements {{ {} }}",
            CLASSIFY_ALL.replace("load: \"load\"", "load: \"look\"")
        ),
    );
    let (code, out, _) = run_program(&["check", &path(&good), &path(&mismatched)], "");
    assert!(
        code == 1 && out.contains("statements.groups.load is \"look\""),
        "{out}"
    );
    let (code, out, _) = run_program(&["classify", "--plain"], "select 1\ndelete from t\n'\n");
    let effects: Vec<&str> = out
        .lines()
        .filter_map(|line| line.split("\"effect\":\"").nth(1)?.split('"').next())
        .collect();
    assert_eq!(
        (code, effects),
        (0, vec!["read-only", "mutating", "unknown"])
    );
    let (code, _, err) = run_program(&["classify", "--operator", &path(&operator)], "");
    assert!(code == 1 && err.contains("log.lines_a_second"), "{err}");
}

#[test]
fn log_lines_are_text_or_json_with_fields_and_a_level() {
    let (address, _requests) = start_scripted_engine(|parts, to| {
        write_result_of(to, &parts[1], "");
    });
    for (arguments, expected) in [
        (
            ["--log-format", "json", "--log-level", "debug"],
            r#""outcome":"completed""#,
        ),
        (
            ["--log-format", "text", "--log-level", "debug"],
            "outcome=\"completed\"",
        ),
    ] {
        let mut program = Program::start(
            Path::new(EXE),
            &Config::with_two_groups(&[address]),
            &arguments,
        );
        let query = ClientQuery::new(1, "/invoke/look", "look", "select 1", 9000.0);
        assert_eq!(status(post(program.listen, &query)), 200);
        program.terminate();
        let log = program.wait_for_exit();
        assert!(log.contains(expected) && log.contains("query"), "{log}");
        if arguments[1] == "json" {
            let is_json = |line: &str| serde_json::from_str::<serde_json::Value>(line).is_ok();
            assert!(
                log.lines()
                    .filter(|line| line.starts_with('{'))
                    .all(is_json),
                "{log}"
            );
        }
    }
}
