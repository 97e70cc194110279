//! Service levels on the real program: entered by its own signals, shown at once, and asked of the decisions.

use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::scripted;
use tansymux_testbed::program::{
    class, free_address, free_udp_address, get, Config, Program, TempFile, TIMEOUT,
};
use tansymux_testbed::wire::{field, read_response, write_frame};

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");

/// Low work of reports is closed while half of the engines show pressure.
const LEVELS: &str = r#"levels {
  level {
    name: "short"
    enter { all { signal: PRESSED enter: 0.5 leave: 0.1 enter_for_s: 0.5 leave_for_s: 0.5 } }
    least_stay_s: 1
    act { bounds: 0.5 retry_after: 1.2 spread: 0.3 class { name: "report" part: 0 } }
  }
}"#;

fn config(engines: &[SocketAddr]) -> Config {
    let engines: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(i, at)| (format!("s-{i}"), *at))
        .collect();
    let classes = [
        class("look", 300.0, 9000.0, "read_like"),
        class("report", 900.0, 9000.0, "read_like"),
        class("load", 900.0, 9000.0, "non_idempotent"),
    ];
    Config::new(free_address(), &engines, &classes, &[1, 4, 2])
        .with(
            "settings.family-info.class-load",
            serde_json::json!([false, false, true]),
        )
        .with("settings.limits.max-retry-after-us", 5_000_000)
}

fn start(config: &Config, levels: &str) -> (Program, TempFile) {
    let operator = TempFile::new("operator.textproto", levels);
    let path = operator.0.display().to_string();
    (
        Program::start(Path::new(EXE), config, &["--operator", &path]),
        operator,
    )
}

/// An engine that says of every report that it is full, and runs the rest.
fn full_for_reports() -> SocketAddr {
    let react = |parts: &[String], to: &mut TcpStream| {
        if parts[0] == "fetch" {
            let word = if parts[2].starts_with("cls=report") {
                "WAIT"
            } else {
                "DONE"
            };
            write_frame(to, &[&parts[1], word, "batches=1", ""]);
        }
    };
    scripted(react).0
}

fn ask(program: &Program, rg: &str, id: u64) -> (u16, Option<f64>) {
    let mut query = ClientQuery::new(id, &format!("/invoke/{rg}"), rg, "select 1", 9000.0);
    query.cost = Some(10.0);
    let mut stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(&query.bytes()).unwrap();
    let (status, head, _) = read_response(&mut BufReader::new(stream)).unwrap();
    (
        status,
        field(&head, "Srv-Wait-Ms").and_then(|ms| ms.parse().ok()),
    )
}

fn shown(program: &Program, path: &str) -> Value {
    serde_json::from_str(&get(program.listen, path).unwrap().2).unwrap()
}

/// Sends reports that an engine says it is full for until the level is in force.
fn press(program: &Program) {
    let from = Instant::now();
    let mut id = 1000;
    while shown(program, "/_levels")["depth"] != 1 {
        ask(program, "report", id);
        id += 1;
        assert!(from.elapsed() < TIMEOUT, "{}", shown(program, "/_levels"));
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_level_is_entered_shown_at_once_and_closes_what_it_says_and_nothing_else() {
    let (mut program, _operator) = start(&config(&[full_for_reports()]), LEVELS);
    thread::sleep(Duration::from_millis(3800));
    let before = shown(&program, "/_levels");
    assert_eq!(
        (before["level"].as_str(), before["defined"].as_bool()),
        (Some("full"), Some(true))
    );
    // Whoever waits for the next change hears of it as it happens.
    let (listen, version) = (program.listen, before["version"].as_u64().unwrap());
    let waits = thread::spawn(move || {
        (
            get(listen, &format!("/_levels?after={version}")).unwrap().2,
            Instant::now(),
        )
    });
    press(&program);
    let entered = Instant::now();
    let (told, heard) = waits.join().unwrap();
    let told: Value = serde_json::from_str(&told).unwrap();
    assert_eq!(told["level"], "short");
    assert!(
        told["why"]["why"]
            .as_str()
            .unwrap()
            .contains("pressed reads 1"),
        "{told}"
    );
    assert!(heard.saturating_duration_since(entered) < Duration::from_millis(300));
    // Reports are deferred at once, each with a time of its own; look-ups and loads run.
    let from = Instant::now();
    let waits: Vec<f64> = (1..20)
        .map(|id| ask(&program, "report", id))
        .map(|(status, wait)| wait.filter(|_| status == 429).unwrap())
        .collect();
    assert!(
        from.elapsed() < Duration::from_secs(1),
        "{:?}",
        from.elapsed()
    );
    assert!(
        waits.iter().all(|wait| (1200.0..=1561.0).contains(wait)),
        "{waits:?}"
    );
    assert!(
        waits.iter().any(|wait| (wait - waits[0]).abs() > 20.0),
        "{waits:?}"
    );
    assert_eq!(
        (ask(&program, "look", 50).0, ask(&program, "load", 51).0),
        (200, 200)
    );
    let counters = program.counters();
    assert!(
        counters.contains("level_depth 1\n") && counters.contains("level_short_changes 1\n"),
        "{counters}"
    );
    // Pressure is over, and still it stays: a level changes once a minute.
    thread::sleep(Duration::from_millis(4000));
    assert_eq!(shown(&program, "/_levels")["depth"], 1);
    program.terminate();
    let log = program.end();
    assert!(
        log.contains("service level changed") && log.contains("to=\"short\""),
        "{log}"
    );
    assert!(log.contains("unanswered 0\n"), "{log}");
}

#[test]
fn operators_pin_levels_redefine_them_and_turn_them_off_by_sighup() {
    let (program, operator) = start(&config(&[full_for_reports()]), LEVELS);
    thread::sleep(Duration::from_millis(3800));
    operator.write(&LEVELS.replace("levels {", "levels { pin: \"short\" pin_for_s: 300"));
    program.signal("-HUP");
    program.wait_for_count("level_depth 1\n");
    assert_eq!(ask(&program, "report", 1).0, 429);
    assert!(shown(&program, "/_levels")["pinned_until"].is_number());
    // What can't be used changes nothing.
    operator.write(&LEVELS.replace("leave: 0.1", "leave: 0.49"));
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (
            ask(&program, "report", 2).0,
            program.counter("operator_files_read")
        ),
        (429, Some(1))
    );
    // A level that is gone while it is in force.
    operator.write("");
    program.signal("-HUP");
    program.wait_for_count("operator_files_read 2\n");
    let levels = shown(&program, "/_levels");
    assert_eq!(
        (levels["depth"].as_u64(), levels["defined"].as_bool()),
        (Some(0), Some(false))
    );
    let (status, wait) = ask(&program, "report", 3);
    assert_eq!((status, wait), (429, Some(1000.0)));
}

#[test]
fn sigterm_at_a_level_answers_all_and_a_restart_begins_where_its_peers_are() {
    let engine = full_for_reports();
    let peers = [free_udp_address(), free_udp_address()];
    let of = |n: usize| {
        let each = serde_json::json!([peers[0].to_string(), peers[1].to_string()]);
        config(&[engine])
            .with("peer_listen", peers[n].to_string())
            .with("peers", each)
            .with("peers_all", peers[1 - n].to_string())
            .with("settings.balancers", 2)
            .with("settings.me", n as u64)
            .with("settings.limits.peers", true)
    };
    let (first, _a) = start(&of(0), LEVELS);
    thread::sleep(Duration::from_millis(3800));
    press(&first);
    // The second one is new, sees nothing bad itself, and begins at the level.
    let (mut second, _b) = start(&of(1), LEVELS);
    second.wait_for_count("level_depth 1\n");
    let why = shown(&second, "/_levels")["why"]["why"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    assert_eq!(why, "1 peers told of it at the start");
    let open: Vec<_> = (0..8)
        .map(|n| {
            let listen = second.listen;
            thread::spawn(move || {
                let rg = ["look", "report", "load"][n % 3];
                let query = ClientQuery::new(
                    n as u64 + 1,
                    &format!("/invoke/{rg}"),
                    rg,
                    "select 1",
                    9000.0,
                );
                let mut stream = TcpStream::connect(listen).unwrap();
                stream.write_all(&query.bytes()).unwrap();
                read_response(&mut BufReader::new(stream)).map(|(status, ..)| status)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(20));
    second.terminate();
    assert!(open.into_iter().all(|open| open.join().unwrap().is_some()));
    assert!(second.end().contains("unanswered 0\n"));
}
