//! Service levels of a running dispatcher: its own signals change them, it reports changes at once, and its admission
//! controller applies them.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::start_scripted_engine;
use tansymux_testbed::program::{
    free_address, free_udp_address, get, numbered_engines, resource_group, Config, Program,
    TempFile, TIMEOUT,
};
use tansymux_testbed::wire::{field, read_response, write_frame, HttpResponse};

/// The program under test.
const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// Defines a level that rejects reports while half of the engines are under pressure.
const LEVELS: &str = r#"levels {
  level {
    name: "short"
    enter { all { signal: PRESSED enter: 0.5 leave: 0.1 enter_for_s: 0.5 leave_for_s: 0.5 } }
    least_stay_s: 1
    act { bounds: 0.5 retry_after: 1.2 spread: 0.3 class { name: "report" part: 0 } }
  }
}"#;

fn config(engines: &[SocketAddr]) -> Config {
    let engines = numbered_engines(engines);
    let classes = [
        resource_group("look", 300.0, 9000.0, keys::effect::READ_ONLY),
        resource_group("report", 900.0, 9000.0, keys::effect::READ_ONLY),
        resource_group("load", 900.0, 9000.0, keys::effect::NON_IDEMPOTENT),
    ];
    Config::new(free_address(), &engines, &classes, &[1, 4, 2])
        .with_setting(
            keys::IS_LOAD_BY_GROUP,
            serde_json::json!([false, false, true]),
        )
        .with_setting(keys::MAX_RETRY_AFTER_US, 5_000_000)
}

/// Starts the program with `levels` as its operators' file, and returns both.
fn start(config: &Config, levels: &str) -> (Program, TempFile) {
    let operator = TempFile::new("operator.textproto", levels);
    let path = operator.0.display().to_string();
    (
        Program::start(Path::new(EXE), config, &["--operator", &path]),
        operator,
    )
}

/// Starts an engine that refuses each report as full and completes all other queries.
fn engine_full_for_reports() -> SocketAddr {
    let answer = |parts: &[String], to: &mut TcpStream| {
        if parts[0] == "fetch" {
            let reply = if parts[2].starts_with("cls=report") {
                "WAIT"
            } else {
                "DONE"
            };
            write_frame(to, &[&parts[1], reply, "batches=1", ""]);
        }
    };
    start_scripted_engine(answer).0
}

/// Sends a query on a new connection. Returns the status of its answer and the retry-after time (ms), if there is one.
fn send_query(program: &Program, group: &str, id: u64) -> (u16, Option<f64>) {
    let mut query = ClientQuery::new(id, &format!("/invoke/{group}"), group, "select 1", 9000.0);
    query.cost = Some(10.0);
    let mut stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(&query.bytes()).unwrap();
    let HttpResponse { status, head, .. } = read_response(&mut BufReader::new(stream)).unwrap();
    (
        status,
        field(&head, "Srv-Wait-Ms").and_then(|ms| ms.parse().ok()),
    )
}

fn get_json(program: &Program, path: &str) -> Value {
    serde_json::from_str(&get(program.listen, path).unwrap().body).unwrap()
}

/// Sends reports, which the engine refuses as full, until the level is in force.
fn enter_level_by_pressure(program: &Program) {
    let started = Instant::now();
    let mut id = 1000;
    while get_json(program, "/_levels")["depth"] != 1 {
        send_query(program, "report", id);
        id += 1;
        assert!(
            started.elapsed() < TIMEOUT,
            "level not entered: {}",
            get_json(program, "/_levels")
        );
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn level_is_entered_by_its_signal_reported_at_once_and_rejects_only_its_classes() {
    let (mut program, _operator) = start(&config(&[engine_full_for_reports()]), LEVELS);
    // The program chooses its initial level 2.5 s after startup: until then it waits for reports of peers.
    thread::sleep(Duration::from_millis(3800));
    let before = get_json(&program, "/_levels");
    assert_eq!(
        (before["level"].as_str(), before["defined"].as_bool()),
        (Some("full"), Some(true))
    );
    // A client that waits for the next change is answered when it happens.
    let (listen, version) = (program.listen, before["version"].as_u64().unwrap());
    let change_waiter = thread::spawn(move || {
        (
            get(listen, &format!("/_levels?after={version}"))
                .unwrap()
                .body,
            Instant::now(),
        )
    });
    enter_level_by_pressure(&program);
    let entered = Instant::now();
    let (body, received_at) = change_waiter.join().unwrap();
    let change: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(change["level"], "short");
    assert!(
        change["why"]["why"]
            .as_str()
            .unwrap()
            .contains("pressed reads 1"),
        "{change}"
    );
    assert!(received_at.saturating_duration_since(entered) < Duration::from_millis(300));
    // Reports are rejected at once with different retry-after times: 1.2 s plus a spread of up to 30 %. Look-ups and
    // loads complete.
    let started = Instant::now();
    let retry_after_times_ms: Vec<f64> = (1..20)
        .map(|id| send_query(&program, "report", id))
        .map(|(status, retry_after_ms)| retry_after_ms.filter(|_| status == 429).unwrap())
        .collect();
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    assert!(
        retry_after_times_ms
            .iter()
            .all(|ms| (1200.0..=1561.0).contains(ms)),
        "{retry_after_times_ms:?}"
    );
    assert!(
        retry_after_times_ms
            .iter()
            .any(|ms| (ms - retry_after_times_ms[0]).abs() > 20.0),
        "{retry_after_times_ms:?}"
    );
    assert_eq!(
        (
            send_query(&program, "look", 50).0,
            send_query(&program, "load", 51).0
        ),
        (200, 200)
    );
    let counters = program.counters();
    assert!(
        counters.contains("level_depth 1\n") && counters.contains("level_short_changes 1\n"),
        "{counters}"
    );
    // The pressure is over, but the level stays in force: it changes at most once per minute.
    thread::sleep(Duration::from_millis(4000));
    assert_eq!(get_json(&program, "/_levels")["depth"], 1);
    program.terminate();
    let log = program.wait_for_exit();
    assert!(
        log.contains("service level changed") && log.contains("to=\"short\""),
        "{log}"
    );
    assert!(log.contains("unanswered 0\n"), "{log}");
}

#[test]
fn sighup_pins_a_level_rejects_a_bad_definition_and_turns_levels_off() {
    let (program, operator) = start(&config(&[engine_full_for_reports()]), LEVELS);
    thread::sleep(Duration::from_millis(3800));
    operator.write(&LEVELS.replace("levels {", "levels { pin: \"short\" pin_for_s: 300"));
    program.signal("-HUP");
    program.wait_for_counter_line("level_depth 1\n");
    assert_eq!(send_query(&program, "report", 1).0, 429);
    assert!(get_json(&program, "/_levels")["pinned_until"].is_number());
    // An invalid definition changes nothing.
    operator.write(&LEVELS.replace("leave: 0.1", "leave: 0.49"));
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (
            send_query(&program, "report", 2).0,
            program.counter("operator_files_read")
        ),
        (429, Some(1))
    );
    // The level is removed while it is in force.
    operator.write("");
    program.signal("-HUP");
    program.wait_for_counter_line("operator_files_read 2\n");
    let levels = get_json(&program, "/_levels");
    assert_eq!(
        (levels["depth"].as_u64(), levels["defined"].as_bool()),
        (Some(0), Some(false))
    );
    let (status, retry_after_ms) = send_query(&program, "report", 3);
    assert_eq!((status, retry_after_ms), (429, Some(1000.0)));
}

#[test]
fn restarted_dispatcher_starts_at_its_peers_level_and_answers_all_queries_at_sigterm() {
    let engine = engine_full_for_reports();
    let peers = [free_udp_address(), free_udp_address()];
    let config_of = |index: usize| {
        let peer_list = serde_json::json!([peers[0].to_string(), peers[1].to_string()]);
        config(&[engine])
            .with("peer_listen", peers[index].to_string())
            .with("peers", peer_list)
            .with("peers_all", peers[1 - index].to_string())
            .with_setting(keys::DISPATCHERS, 2)
            .with_setting(keys::DISPATCHER_INDEX, index as u64)
            .with_setting(keys::PEER_MESSAGES, true)
    };
    let (first, _first_file) = start(&config_of(0), LEVELS);
    thread::sleep(Duration::from_millis(3800));
    enter_level_by_pressure(&first);
    // The second dispatcher has observed no pressure itself: it starts at its peer's level.
    let (mut second, _second_file) = start(&config_of(1), LEVELS);
    second.wait_for_counter_line("level_depth 1\n");
    let why = get_json(&second, "/_levels")["why"]["why"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    assert_eq!(why, "1 peers told of it at the start");
    let clients: Vec<_> = (0..8)
        .map(|index| {
            let listen = second.listen;
            thread::spawn(move || {
                let group = ["look", "report", "load"][index % 3];
                let query = ClientQuery::new(
                    index as u64 + 1,
                    &format!("/invoke/{group}"),
                    group,
                    "select 1",
                    9000.0,
                );
                let mut stream = TcpStream::connect(listen).unwrap();
                stream.write_all(&query.bytes()).unwrap();
                read_response(&mut BufReader::new(stream)).map(|response| response.status)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(20));
    second.terminate();
    assert!(clients
        .into_iter()
        .all(|client| client.join().unwrap().is_some()));
    assert!(second.wait_for_exit().contains("unanswered 0\n"));
}
