//! Bare statements and checks of named classes on the real program, and its command line.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tansymux_testbed::client::{send_query, ClientQuery};
use tansymux_testbed::corpus::{corpus, mutated};
use tansymux_testbed::engine::{scripted, Engine, EngineSpec, QueryWork, RunContext};
use tansymux_testbed::invariants::{find_violations, ClassRules, Effect, Rules};
use tansymux_testbed::program::{class, free_address, Config, Program, TempFile, TIMEOUT};
use tansymux_testbed::wire::{read_response, write_frame};

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
const ON: &str =
    "path: \"/statement\" groups { look_up: \"look\" report: \"look\" load: \"load\" }";

fn config(engines: &[SocketAddr]) -> Config {
    let engines: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(i, at)| (format!("s-{i}"), *at))
        .collect();
    let classes = [
        class("look", 300.0, 9000.0, "read_like"),
        class("load", 300.0, 9000.0, "non_idempotent"),
    ];
    Config::new(free_address(), &engines, &classes, &[1, 1])
}

fn start(engines: &[SocketAddr], statements: &str) -> (Program, TempFile) {
    let operator = TempFile::new(
        "operator.textproto",
        &format!("statements {{ {statements} }}"),
    );
    let path = operator.0.display().to_string();
    (
        Program::start(Path::new(EXE), &config(engines), &["--operator", &path]),
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
    read_response(&mut BufReader::new(stream)).unwrap().0
}

fn bare(id: u64, statement: &str) -> ClientQuery {
    ClientQuery::new(id, "/statement", "bare", statement, 9000.0)
}

fn run(arguments: &[&str], input: &str) -> (i32, String, String) {
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
fn a_bare_statement_runs_in_the_group_of_its_class_and_without_the_path_in_none() {
    let (address, told) = scripted(|parts, to| {
        write_frame(to, &[&parts[1], "DONE", "batches=1", ""]);
    });
    let (program, _operator) = start(&[address], ON);
    for (id, statement, group) in [
        (1, "select a from sales_17.orders where id = 7", "cls=look,"),
        (2, "insert into sales_17.orders values (1)", "cls=load,"),
        (3, "nonsense of some kind", "cls=load,"),
    ] {
        assert_eq!(status(post(program.listen, &bare(id, statement))), 200);
        let fetch = told.recv_timeout(TIMEOUT).unwrap().0;
        assert!(
            fetch[2].starts_with(group) && fetch[3] == statement,
            "{fetch:?}"
        );
    }
    assert_eq!(program.counter("statements_bare"), Some(3));
    assert_eq!(program.counter("statements_unknown"), Some(1));
    let (program, _operator) = start(&[address], "check: LOG");
    assert_eq!(status(post(program.listen, &bare(4, "select 1"))), 404);
}

#[test]
fn what_may_alter_is_not_sent_again_whatever_its_class_says() {
    // Each connection ends when a request has come: nobody knows what ran.
    let (address, told) = scripted(|_, to| drop(to.shutdown(std::net::Shutdown::Both)));
    let hidden = "select 1 -- x\n; delete from sales_17.orders";
    let sent = |program: &Program, query: &ClientQuery| {
        let status = status(post(program.listen, query));
        let fetches = told
            .try_iter()
            .filter(|(parts, _)| parts[0] == "fetch")
            .count();
        (status, fetches)
    };
    let (program, _operator) = start(&[address], ON);
    assert_eq!(sent(&program, &bare(1, hidden)), (500, 1));
    assert!(
        sent(
            &program,
            &bare(2, "select a from sales_17.orders where id = 1")
        )
        .1 > 1
    );
    assert_eq!(
        sent(&program, &bare(3, "select local_function(1)")),
        (500, 1)
    );
    // A named class that promises to read only: logged and run as promised, or held to its text.
    let named = |id| ClientQuery::new(id, "/invoke/look", "look", hidden, 9000.0);
    let (mut program, _operator) = start(&[address], "check: LOG");
    assert!(sent(&program, &named(4)).1 > 1);
    assert_eq!(program.counter("statements_milder_class_named"), Some(1));
    program.terminate();
    assert!(program
        .end()
        .contains("class promises read-only, statement does not"));
    let (program, _operator) = start(&[address], "check: ENFORCE");
    assert_eq!(sent(&program, &named(5)), (500, 1));
}

#[test]
fn other_rules_by_sighup_hold_for_what_comes_and_not_for_what_is_in_hand() {
    let (address, told) = scripted(|parts, to| {
        if parts[0] == "fetch" {
            thread::sleep(Duration::from_millis(400));
            write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
        }
    });
    let (program, operator) = start(&[address], ON);
    let in_hand = post(
        program.listen,
        &bare(1, "select a from sales_17.orders where id = 1"),
    );
    assert!(told.recv_timeout(TIMEOUT).unwrap().0[2].starts_with("cls=look,"));
    // One that can't be used changes nothing and says where.
    operator.write("statements { path: \"/statement\"\n groups { look_up: \"nobody\" report: \"look\" load: \"load\" } }");
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(50));
    operator.write("statements { rule { } }");
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(program.counter("operator_files_read"), Some(0));
    let moved = ON.replace("look_up: \"look\"", "look_up: \"load\"");
    operator.write(&format!("statements {{ {moved} }}"));
    program.signal("-HUP");
    program.wait_for_count("operator_files_read 1\n");
    let later = post(
        program.listen,
        &bare(2, "select a from sales_17.orders where id = 2"),
    );
    assert!(told.recv_timeout(TIMEOUT).unwrap().0[2].starts_with("cls=load,"));
    assert_eq!((status(in_hand), status(later)), (200, 200));
    // Off again: the path is gone.
    operator.write("");
    program.signal("-HUP");
    program.wait_for_count("operator_files_read 2\n");
    assert_eq!(status(post(program.listen, &bare(3, "select 1"))), 404);
    let mut program = program;
    program.terminate();
    let log = program.end();
    for says in [
        "operators' file reload rejected",
        "look_up is \"nobody\"",
        "rule.0.class is missing",
    ] {
        assert!(log.contains(says), "{says} in {log}");
    }
}

#[test]
fn every_statement_malformed_or_not_gets_exactly_one_final_answer() {
    use rand::SeedableRng;
    let world = Arc::new(RunContext::default());
    let engines: Vec<Engine> = (0..3)
        .map(|n| Engine::start(&format!("s-{n}"), EngineSpec::default(), n, world.clone()))
        .collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let (mut program, _operator) = start(&addresses, ON);
    let mut rng = rand_pcg::Pcg64::seed_from_u64(7);
    let all = corpus(1, 4, 7);
    let mut waiting = Vec::new();
    for (n, labelled) in all.iter().enumerate() {
        let other = &all[(n * 7 + 3) % all.len()].statement;
        let spoilt = n % 3 == 0;
        let text = if spoilt {
            String::from_utf8_lossy(&mutated(&labelled.statement, other, &mut rng)).into_owned()
        } else {
            labelled.statement.clone()
        };
        // What was spoilt may be anything: only its one answer counts.
        let class = if spoilt { "spoilt" } else { labelled.class };
        let query = ClientQuery {
            class: class.into(),
            ..bare(n as u64 + 1, &text)
        };
        let work = QueryWork {
            work: 2.0,
            threads: 1.0,
            changes: labelled.effect != "read-only",
            tables: 0,
        };
        world.works.lock().unwrap().insert(query.id(), work);
        let (world, listen) = (world.clone(), program.listen);
        waiting.push(thread::spawn(move || {
            send_query(listen, &query, &world.record).is_some()
        }));
        if waiting.len() % 24 == 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }
    let answered = waiting
        .into_iter()
        .filter(|_| true)
        .map(|w| w.join().unwrap())
        .filter(|got| *got)
        .count();
    assert_eq!(answered, all.len());
    program.terminate();
    let report = program.end();
    assert!(report.contains("unanswered 0\n"), "{report}");
    let effect = |class: &str| match class {
        "look-up" | "report" | "spoilt" => Effect::ReadOnly,
        _ => Effect::NonIdempotent,
    };
    let classes = ["look-up", "report", "load", "unknown", "spoilt"];
    let classes = classes
        .map(|class| (class.to_owned(), ClassRules::of(effect(class))))
        .into();
    let rules = Rules {
        slack_ms: 50.0,
        grace_ms: 1000.0,
        warm_up: None,
        rest_ms: 0.0,
        retry_budget: None,
        classes,
    };
    let broken = find_violations(&world.record.entries(), &rules);
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn the_command_line_tells_by_its_exit_codes() {
    assert_eq!(run(&["--version"], "").0, 0);
    assert_eq!(run(&["--help"], "").0, 0);
    assert_eq!(run(&["nonsense"], "").0, 2);
    assert_eq!(run(&["check"], "").0, 2);
    let operator = TempFile::new(
        "o",
        "log {\n lines_a_second: 0 }\nstatements { cache { shapes: 1 } }",
    );
    let good = TempFile::new("c", &config(&[]).0.to_string());
    let bad = TempFile::new("d", "{\n\"seed\": 7 }");
    let path = |scrap: &TempFile| scrap.0.display().to_string();
    let (code, out, _) = run(
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
    for says in [
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
        assert!(out.contains(says), "{says} in {out}");
    }
    let fits = TempFile::new("f", &format!("statements {{ {ON} }}"));
    assert_eq!(run(&["check", &path(&good), &path(&fits)], "").0, 0);
    let unfit = TempFile::new(
        "u",
        &format!(
            "statements {{ {} }}",
            ON.replace("load: \"load\"", "load: \"look\"")
        ),
    );
    let (code, out, _) = run(&["check", &path(&good), &path(&unfit)], "");
    assert!(
        code == 1 && out.contains("statements.groups.load is \"look\""),
        "{out}"
    );
    let (code, out, _) = run(&["classify", "--plain"], "select 1\ndelete from t\n'\n");
    let effects: Vec<&str> = out
        .lines()
        .filter_map(|l| l.split("\"effect\":\"").nth(1)?.split('"').next())
        .collect();
    assert_eq!(
        (code, effects),
        (0, vec!["read-only", "mutating", "unknown"])
    );
    let (code, _, err) = run(&["classify", "--operator", &path(&operator)], "");
    assert!(code == 1 && err.contains("log.lines_a_second"), "{err}");
}

#[test]
fn log_lines_are_text_or_json_with_fields_and_a_level() {
    let (address, _told) = scripted(|parts, to| {
        write_frame(to, &[&parts[1], "DONE", "batches=1", ""]);
    });
    for (arguments, says) in [
        (
            ["--log-format", "json", "--log-level", "debug"],
            r#""outcome":"completed""#,
        ),
        (
            ["--log-format", "text", "--log-level", "debug"],
            "outcome=\"completed\"",
        ),
    ] {
        let mut program = Program::start(Path::new(EXE), &config(&[address]), &arguments);
        let query = ClientQuery::new(1, "/invoke/look", "look", "select 1", 9000.0);
        assert_eq!(status(post(program.listen, &query)), 200);
        program.terminate();
        let log = program.end();
        assert!(log.contains(says) && log.contains("query"), "{log}");
        if arguments[1] == "json" {
            let json = |line: &str| serde_json::from_str::<serde_json::Value>(line).is_ok();
            assert!(
                log.lines().filter(|line| line.starts_with('{')).all(json),
                "{log}"
            );
        }
    }
}
