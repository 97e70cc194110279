//! The program on sockets, between clients and engines that stand in by the published protocol (crates/testbed).

use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::client::{send_query_in_two_parts as post_in_two, ClientQuery};
use tansymux_testbed::engine::{refuse_silently, scripted as engine};
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::program::{class, free_address, get, Config, Program, TIMEOUT};
use tansymux_testbed::record::{Record, Status};
use tansymux_testbed::wire::{self, read_response};

const TICK: Duration = Duration::from_millis(1);

/// Starts the program with these engines, and waits until it is healthy.
fn start(engines: &[SocketAddr]) -> Program {
    start_with(engines, |config| config)
}

/// The same with further keys of the configuration.
fn start_with(engines: &[SocketAddr], keys: impl Fn(Config) -> Config) -> Program {
    let engines: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(i, at)| (format!("s-{i}"), *at))
        .collect();
    let classes = [
        class("look", 300.0, 9000.0, "read_like"),
        class("load", 300.0, 9000.0, "non_idempotent"),
    ];
    let config = Config::new(free_address(), &engines, &classes, &[1, 1]);
    Program::start(
        Path::new(env!("CARGO_BIN_EXE_tansymux")),
        &keys(config),
        &[],
    )
}

fn write_frame(to: &mut TcpStream, parts: &[&str]) {
    wire::write_frame(to, parts);
}

fn post(to: SocketAddr, rg: &str, id: u64) -> TcpStream {
    send_query_in_two_parts(to, rg, id, 9000, Duration::from_millis(5))
}

/// The same in two parts with a pause between them, by a client that waits for `wait` ms.
fn send_query_in_two_parts(
    to: SocketAddr,
    rg: &str,
    id: u64,
    wait: u64,
    pause: Duration,
) -> TcpStream {
    let statement = "SELECT a FROM sales_17.orders";
    let mut ask = ClientQuery::new(id, &format!("/invoke/{rg}"), rg, statement, wait as f64);
    ask.cost = Some(20.0);
    // Cut in a field.
    post_in_two(to, &ask, 50, pause)
}

/// A name service that lists one engine, `s-9`, as event 2.
fn name_service(engine: SocketAddr) -> SocketAddr {
    let listed = Endpoint {
        id: "s-9".into(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: engine,
        status: Status::Ready,
        started: 0.0,
    };
    let names = NameService::start(Vec::new(), Arc::new(Record::default()));
    names.add(listed);
    names.address
}

#[test]
fn the_name_service_brings_an_engine_that_was_not_known_at_the_start() {
    let (address, _told) =
        engine(|parts, to| write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let resolver = name_service(address);
    let program = start_with(&[free_address()], |config| {
        config.with("resolver", resolver.to_string())
    });
    program.wait_for_count("lists 1\n");
    // The engine of the start has no records any more: all go to the new one.
    for id in 1..9 {
        assert_eq!(
            read_response(&mut BufReader::new(post(program.listen, "load", id)))
                .unwrap()
                .0,
            200
        );
    }
}

#[test]
fn told_to_read_its_configuration_again_it_asks_another_name_service_and_loses_nothing() {
    let (address, told) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(300));
        write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    });
    let (mute, resolver) = (
        UdpSocket::bind("127.0.0.1:0").unwrap(),
        name_service(address),
    );
    let silent = mute.local_addr().unwrap().to_string();
    let old = format!(r#""resolver":"{silent}""#);
    let mut program = start_with(&[address], |config| config.with("resolver", silent.clone()));
    let text = std::fs::read_to_string(&program.config.0).unwrap();
    let open = post(program.listen, "look", 1);
    assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    // One that can't be used, and then one that can, with a key that has to wait.
    program.config.write(&text.replace(&old, r#""resolver":7"#));
    program.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    let new = format!(r#""resolver":"{resolver}","limits":{{"sockets":512}}"#);
    program.config.write(&text.replace(&old, &new));
    (0..3).for_each(|_| program.signal("-HUP"));
    program.wait_for_count("lists 1\n");
    assert_eq!(read_response(&mut BufReader::new(open)).unwrap().0, 200);
    program.terminate();
    program.signal("-HUP");
    let log = program.end();
    assert!(
        log.contains("stays as it was") && log.contains("key resolver is 7, not a text"),
        "{log}"
    );
    assert!(log.contains("wait for the next start: limits\n"), "{log}");
}

#[test]
fn a_connection_that_went_silent_is_not_used_again() {
    let first = std::sync::Arc::new(std::sync::Mutex::new(None));
    let (address, told) = engine(move |parts, to| {
        let from = to.peer_addr().unwrap();
        if *first.lock().unwrap().get_or_insert(from) != from {
            write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
        }
    });
    let program = start(&[address]);
    // Moved after its patience is over, to the only engine there is, on a new connection.
    let served = read_response(&mut BufReader::new(post(program.listen, "look", 1))).unwrap();
    assert_eq!(
        (served.0, served.2.as_str()),
        (200, r#"{"data":[["a","b","c"]]}"#)
    );
    // The first was given up by a word, before its connection was closed and well before the second went out.
    let words: Vec<(String, Instant)> = told
        .try_iter()
        .map(|(parts, at)| (parts[0].clone(), at))
        .collect();
    assert_eq!(
        words
            .iter()
            .map(|(word, _)| word.as_str())
            .collect::<Vec<_>>(),
        ["fetch", "abort", "fetch"]
    );
    assert!(
        words[2].1 - words[1].1 > Duration::from_millis(30),
        "{words:?}"
    );
    assert_eq!(
        read_response(&mut BufReader::new(post(program.listen, "look", 2)))
            .unwrap()
            .0,
        200
    );
}

#[test]
fn a_query_goes_to_an_engine_and_its_pages_come_back_as_one_answer() {
    let (address, told) = engine(|parts, to| match parts[0].as_str() {
        "fetch" => {
            write_frame(to, &[&parts[1], "TELL", "tell=frac,num=0.5", ""]);
            write_frame(to, &[&parts[1], "DONE", "batches=2", "a\t1\t\"\n"]);
        }
        "more" => write_frame(
            to,
            &[
                &parts[1],
                "MORE",
                &format!("batch={}", parts[2]),
                "b\t2\ty\n",
            ],
        ),
        _ => {}
    });
    let mut program = start(&[address]);
    // Two on one connection, one after the other.
    let mut client = post(program.listen, "look", 1);
    let mut reader = BufReader::new(client.try_clone().unwrap());
    let served = r#"{"data":[["a","1","\""],["b","2","y"]]}"#;
    assert_eq!(
        read_response(&mut reader).map(|(s, _, b)| (s, b)),
        Some((200, served.into()))
    );
    client
        .write_all(b"GET /_counters HTTP/1.1\r\n\r\n")
        .unwrap();
    let counters = read_response(&mut reader).unwrap().2;
    for line in [
        "taken 1\n",
        "finished 1\n",
        "submissions_finished 1\n",
        "unanswered 0\n",
        "in_hand 0\n",
    ] {
        assert!(counters.contains(line), "{line} in {counters}");
    }
    let fetch = told.recv_timeout(TIMEOUT).unwrap().0;
    assert_eq!(
        (fetch[0].as_str(), fetch[1].as_str()),
        ("fetch", "0000000000000001")
    );
    assert!(
        fetch[2].starts_with("cls=look,limit=8") && fetch[2].ends_with(",nice=3"),
        "{}",
        fetch[2]
    );
    assert_eq!(fetch[3], "SELECT a FROM sales_17.orders");
    program.terminate();
    assert!(program.end().contains("taken 1\n"));
}

#[test]
fn told_to_end_it_takes_on_for_a_while_and_answers_all_that_it_has() {
    let (address, told) = engine(|_, _| {});
    let mut program = start(&[address]);
    let mut clients = vec![
        post(program.listen, "look", 1),
        post(program.listen, "load", 2),
    ];
    (0..2).for_each(|_| drop(told.recv_timeout(TIMEOUT).unwrap()));
    // Hundreds that say nothing, and a reload under way, are no bar to the end.
    let _mute: Vec<TcpStream> = (0..300)
        .map(|_| TcpStream::connect(program.listen).unwrap())
        .collect();
    let from = Instant::now();
    program.signal("-HUP");
    program.terminate();
    while get(program.listen, "/_health").is_some_and(|(status, ..)| status == 200) {
        assert!(from.elapsed() < TIMEOUT);
    }
    clients.push(post(program.listen, "look", 3));
    let statuses: Vec<u16> = clients
        .iter()
        .map(|c| read_response(&mut BufReader::new(c)).unwrap().0)
        .collect();
    // The engine is silent: what only reads is deferred, what may have changed tables is killed.
    assert_eq!(statuses, [429, 500, 429]);
    let report = program.end();
    assert!(
        from.elapsed() < Duration::from_millis(4200),
        "{:?}",
        from.elapsed()
    );
    assert!(
        report.contains("taken 3\n") && report.contains("unanswered 0\n"),
        "{report}"
    );
}

#[test]
fn a_query_has_its_time_from_its_last_byte() {
    let (address, _told) =
        engine(|parts, to| write_frame(to, &[&parts[1], "DONE", "batches=1", ""]));
    let program = start(&[address]);
    let slow = send_query_in_two_parts(program.listen, "look", 1, 800, Duration::from_millis(1000));
    assert_eq!(read_response(&mut BufReader::new(slow)).unwrap().0, 200);
}

#[test]
fn what_never_ran_is_deferred_and_what_may_have_run_is_not_sent_again() {
    // Nobody listens at the one address; at the other, connections end when a request has come.
    let program = start(&[free_address()]);
    let deferred = read_response(&mut BufReader::new(post(program.listen, "load", 1))).unwrap();
    assert_eq!(
        (deferred.0, deferred.2.as_str()),
        (429, r#"{"error":"TryLater"}"#)
    );
    assert!(
        deferred.1.contains("Srv-Wait-Ms: 500\r\n"),
        "{}",
        deferred.1
    );
    let (address, told) = engine(|_, to| drop(to.shutdown(std::net::Shutdown::Both)));
    let program = start(&[address]);
    assert_eq!(
        read_response(&mut BufReader::new(post(program.listen, "load", 1)))
            .unwrap()
            .0,
        500
    );
    assert_eq!(
        told.try_iter()
            .filter(|(parts, _)| parts[0] == "fetch")
            .count(),
        1
    );
}

#[test]
fn a_client_that_leaves_has_its_query_given_up_and_the_rest_goes_on() {
    let (address, told) = engine(|parts, to| {
        if parts[1].ends_with('2') {
            write_frame(to, &[&parts[1], "DONE", "batches=1", ""]);
        }
    });
    let program = start(&[address]);
    let leaves = post(program.listen, "look", 1);
    assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    drop(leaves);
    assert_eq!(
        told.recv_timeout(TIMEOUT).unwrap().0[..2],
        ["abort", "0000000000000001"]
    );
    let served = read_response(&mut BufReader::new(post(program.listen, "look", 2))).unwrap();
    assert_eq!((served.0, served.2.as_str()), (200, r#"{"data":[]}"#));
    // Names that the settings do not know are not taken in.
    let unknown = read_response(&mut BufReader::new(post(program.listen, "nothing", 3))).unwrap();
    assert_eq!(unknown.0, 404);
    // What can't be read or used is answered so, and the program serves on.
    let head = "POST /invoke/look HTTP/1.1\r\nReq-Id: 00000000000000aa\r\nReq-Wait-Ms: 9000\r\n";
    let costs =
        ["1e300", "-1", "NaN", "inf", "x"].map(|cost| format!("{head}Req-Cost: {cost}\r\n\r\n"));
    for bytes in costs
        .iter()
        .map(String::as_bytes)
        .chain([b"\xff\xff\xff\xff\r\n\r\n".as_slice()])
    {
        let mut hostile = TcpStream::connect(program.listen).unwrap();
        hostile.write_all(bytes).unwrap();
        assert_eq!(read_response(&mut BufReader::new(hostile)).unwrap().0, 400);
    }
    assert_eq!(get(program.listen, "/_health").unwrap().0, 200);
}

#[test]
fn a_spoilt_answer_takes_none_with_it_and_one_that_stops_short_is_not_waited_for() {
    // Query 1 gets noise, query 2 half an answer, query 3 a page with a column too few, query 4 a good answer ahead
    // of which and behind which comes what is not its own.
    let (address, told) = engine(|parts, to| {
        let id = parts[1].as_str();
        if parts[0] != "fetch" {
            return;
        }
        thread::sleep(Duration::from_millis(100));
        match id.as_bytes()[15] {
            b'1' => drop(to.write_all(b"*4\r\n$16\r\n\xff\xfe\x00no answer")),
            b'2' => drop(to.write_all(format!("*4\r\n$16\r\n{id}\r\n$4\r\nDO").as_bytes())),
            b'3' => write_frame(to, &[id, "DONE", "batches=1", "a\tb\n"]),
            _ => {
                thread::sleep(Duration::from_millis(300));
                write_frame(to, &["00000000000000ff", "DONE", "batches=1", "x\ty\tz\n"]);
                (0..2).for_each(|_| write_frame(to, &[id, "DONE", "batches=1", "a\tb\tc\n"]));
            }
        }
    });
    let program = start(&[address]);
    let from = Instant::now();
    let clients: Vec<TcpStream> = [4, 1, 2, 3]
        .map(|id| {
            let client = post(program.listen, "load", id);
            assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
            client
        })
        .into();
    let answers: Vec<(u16, String)> = clients
        .into_iter()
        .map(|client| {
            read_response(&mut BufReader::new(client))
                .map(|(status, _, body)| (status, body))
                .unwrap()
        })
        .collect();
    assert_eq!(answers[0], (200, r#"{"data":[["a","b","c"]]}"#.into()));
    // A load may have run: it is not sent again.
    assert!(
        answers[1..].iter().all(|(status, _)| *status == 500),
        "{answers:?}"
    );
    assert!(
        from.elapsed() < Duration::from_secs(2),
        "{:?}",
        from.elapsed()
    );
    program.wait_for_count("connections_spoilt 3\n");
}

#[test]
fn a_connection_that_has_idled_carries_nothing_more() {
    // The engine ends a connection when a request comes on it after a pause.
    let last = std::cell::Cell::new(None::<Instant>);
    let (address, _told) = engine(move |parts, to| {
        if last
            .replace(Some(Instant::now()))
            .is_some_and(|at| at.elapsed() > Duration::from_millis(100))
        {
            return drop(to.shutdown(std::net::Shutdown::Both));
        }
        write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    });
    let program = start(&[address]);
    for id in 1..8 {
        assert_eq!(
            read_response(&mut BufReader::new(post(program.listen, "load", id)))
                .unwrap()
                .0,
            200,
            "{id}"
        );
        thread::sleep(Duration::from_millis(if id % 2 == 0 { 10 } else { 130 }));
    }
}

#[test]
fn a_token_and_a_key_go_on_as_they_came_and_queries_of_one_key_go_in_turn() {
    let (address, told) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(60));
        write_frame(to, &[&parts[1], "DONE", "batches=1", ""]);
    });
    let program = start_with(&[address], |config| {
        let load = json!({"name": "load", "aim-us": 300_000, "hard-limit-us": 9_000_000, "effect": "idempotency_key",
            "dedup-scope": "all", "repeat-window-us": 5_000_000, "in-order": true});
        config.with("settings.services.1", load)
    });
    let (token, key) = ("0123456789abcdef0123456789ABCDEF", "00000000000000c7");
    let post = |id: u64, fields: &str| {
        let mut client = TcpStream::connect(program.listen).unwrap();
        client.set_read_timeout(Some(TIMEOUT)).unwrap();
        let head = format!(
            "POST /invoke/load HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Wait-Ms: 9000\r\nReq-Owner: acme\r\n"
        );
        client
            .write_all(format!("{head}{fields}Content-Length: 8\r\n\r\nSELECT 1").as_bytes())
            .unwrap();
        client
    };
    let marks = format!("Req-Token: {token}\r\nReq-Key: {key}\r\n");
    let clients = [post(1, &marks), post(2, &marks)];
    let fetch = || {
        let (parts, at) = told.recv_timeout(TIMEOUT).unwrap();
        assert_eq!(parts[0], "fetch");
        (
            parts[2]
                .split(',')
                .map(str::to_owned)
                .collect::<Vec<String>>(),
            at,
        )
    };
    let ((first, began), (_, second)) = (fetch(), fetch());
    assert!(
        first.contains(&format!("nonce={token}")) && first.contains(&format!("item={key}")),
        "{first:?}"
    );
    // The second of its key has not gone out while the first ran.
    assert!(
        second - began >= Duration::from_millis(60),
        "{:?}",
        second - began
    );
    clients
        .iter()
        .for_each(|client| assert_eq!(read_response(&mut BufReader::new(client)).unwrap().0, 200));
    // What would break the list of fields is turned away, as is one that is told twice.
    for wrong in [
        "Req-Token: a,mb=9\r\n",
        "Req-Key: \r\n",
        "Req-Key: 1\r\nReq-Key: 2\r\n",
    ] {
        assert_eq!(
            read_response(&mut BufReader::new(post(9, wrong)))
                .unwrap()
                .0,
            400,
            "{wrong}"
        );
    }
}

/// Asks a few in turn with pauses; all are to finish.
fn all_finish(program: &Program, rg: &str, ids: std::ops::Range<u64>, pause: u64) {
    for id in ids {
        let got = read_response(&mut BufReader::new(post(program.listen, rg, id)));
        assert_eq!(got.map(|got| got.0), Some(200), "{rg} {id}");
        thread::sleep(Duration::from_millis(pause));
    }
}

#[test]
fn what_may_be_repeated_goes_on_a_connection_that_idled_and_a_load_on_none() {
    let (address, _told) =
        engine(|parts, to| write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start(&[address]);
    all_finish(&program, "look", 1..15, 70);
    assert_eq!(program.counter("connections_to_engines"), Some(1));
    all_finish(&program, "load", 15..20, 70);
    assert_eq!(program.counter("connections_to_engines"), Some(6));
    // Several at once have several; one of those that idle then is kept.
    let at_once: Vec<TcpStream> = (20..24)
        .map(|id| post(program.listen, "look", id))
        .collect();
    at_once
        .into_iter()
        .for_each(|one| assert_eq!(read_response(&mut BufReader::new(one)).unwrap().0, 200));
    thread::sleep(Duration::from_millis(1200));
    let before = program.counter("connections_to_engines");
    all_finish(&program, "look", 24..26, 70);
    assert_eq!(program.counter("connections_to_engines"), before);
}

#[test]
fn where_connections_that_idled_are_lost_they_are_soon_used_no_more() {
    // The engine ends a connection when a request comes on it after a pause, having heard of it or not.
    let last = std::cell::Cell::new(None::<Instant>);
    let (address, _told) = engine(move |parts, to| {
        if last
            .replace(Some(Instant::now()))
            .is_some_and(|at| at.elapsed() > Duration::from_millis(100))
        {
            return drop(to.shutdown(std::net::Shutdown::Both));
        }
        write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    });
    let program = start(&[address]);
    all_finish(&program, "look", 1..20, 130);
    let lost = program.counter("connections_lost_idle").unwrap();
    assert!((1..=2).contains(&lost), "{lost}");
    // They say nothing of the engine: no attempt counts as reset there.
    assert_eq!(program.counter("submissions_reset"), Some(0));
}

#[test]
fn an_engine_that_takes_what_goes_out_and_says_nothing_is_checked_by_a_new_connection() {
    // It answers, then refuse_silently: its connection stays open and mute, and no new one comes up.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, same) = (
        listener.local_addr().unwrap(),
        listener.try_clone().unwrap(),
    );
    let vanished = Arc::new(AtomicBool::new(false));
    let gone = vanished.clone();
    thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let (mut reader, mut writer) = (BufReader::new(stream.try_clone().unwrap()), stream);
        while let Some(parts) = wire::frame(&mut reader) {
            if !gone.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(90));
                write_frame(&mut writer, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
            }
        }
    });
    let (other, _told) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(90));
        write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    });
    let program = start(&[address, other]);
    let ask = |id| {
        let mut ask = ClientQuery::new(
            id,
            "/invoke/look",
            "look",
            "SELECT a FROM sales_17.orders",
            9000.0,
        );
        ask.cost = Some(100.0);
        let from = Instant::now();
        let mut reader = BufReader::new(post_in_two(
            program.listen,
            &ask,
            50,
            Duration::from_millis(1),
        ));
        assert_eq!(
            read_response(&mut reader).map(|got| got.0),
            Some(200),
            "{id}"
        );
        from.elapsed()
    };
    (1..9).for_each(|id| assert!(ask(id) < TIMEOUT));
    thread::sleep(Duration::from_millis(150));
    let _full = refuse_silently(&same);
    vanished.store(true, Ordering::Relaxed);
    // Without the check each that goes there waits for 900 ms: 400 and five times its run.
    let longest = (9..25).map(ask).max().unwrap();
    assert!((500..800).contains(&longest.as_millis()), "{longest:?}");
    assert_eq!(program.counter("submissions_reset"), Some(1));
}

#[test]
fn where_no_notes_are_sent_a_run_that_is_given_up_within_its_time_says_nothing_of_its_connection() {
    // Query 1 is never answered; its client leaves after 400 ms, where answers may take 5 s.
    let (address, told) = engine(|parts, to| {
        if parts[0] == "fetch" && !parts[1].ends_with('1') {
            write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
        }
    });
    let program = start_with(&[address], |config| {
        config
            .with("settings.services.0.aim-us", 5_000_000)
            .with("settings.services.1.aim-us", 5_000_000)
    });
    let ask = |id| {
        post_in_two(
            program.listen,
            &ClientQuery::new(id, "/invoke/look", "look", "SELECT 1", 9000.0),
            50,
            TICK,
        )
    };
    let leaves = ask(1);
    assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    assert_eq!(read_response(&mut BufReader::new(ask(2))).unwrap().0, 200);
    thread::sleep(Duration::from_millis(400));
    drop(leaves);
    program.wait_for_count("vanished 1\n");
    assert_eq!(read_response(&mut BufReader::new(ask(3))).unwrap().0, 200);
    assert_eq!(program.counter("connections_to_engines"), Some(2));
}

/// The fewest places, 32 of them for clients.
fn small(config: Config) -> Config {
    config.with("limits", json!({"sockets": 64, "memory_mb": 32}))
}

#[test]
fn clients_that_ask_no_more_or_never_do_keep_no_place_from_those_that_ask() {
    let (address, _told) =
        engine(|parts, to| write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start_with(&[address], small);
    let mute: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(program.listen).unwrap())
        .collect();
    let from = Instant::now();
    let stay: Vec<TcpStream> = (1..80)
        .map(|id| {
            let client = post(program.listen, "look", id);
            assert_eq!(
                read_response(&mut BufReader::new(client.try_clone().unwrap()))
                    .unwrap()
                    .0,
                200
            );
            client
        })
        .collect();
    assert!(
        from.elapsed() < Duration::from_millis(2500),
        "{:?}",
        from.elapsed()
    );
    // Those that never asked are told so by a close, and one that sends by drops by an error.
    let mut drips = TcpStream::connect(program.listen).unwrap();
    drips.set_read_timeout(Some(TIMEOUT)).unwrap();
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(3) && drips.write_all(b"POST /x").is_ok() {
        thread::sleep(Duration::from_millis(100));
    }
    for mut client in mute {
        client.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert!(!matches!(client.read(&mut [0]), Ok(1..)));
    }
    assert!(
        from.elapsed() < Duration::from_millis(3500),
        "{:?}",
        from.elapsed()
    );
    assert!(read_response(&mut BufReader::new(drips)).is_none_or(|(status, ..)| status == 408));
    drop(stay);
}

#[test]
fn what_no_engine_can_use_is_turned_away_and_nothing_behind_it_is_read() {
    let (address, told) =
        engine(|parts, to| write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start_with(&[address], small);
    let behind =
        "POST /invoke/look HTTP/1.1\r\nReq-Id: 00000000000000ab\r\nReq-Wait-Ms: 9000\r\nReq-Owner: acme\r\n\
         Content-Length: 8\r\n\r\nSELECT 1";
    let head = "POST /invoke/look HTTP/1.1\r\nReq-Id: 00000000000000aa\r\n";
    let cases = [
        ("Req-Wait-Ms: 9000\r\nReq-Owner: nobody\r\nContent-Length: 8\r\n\r\nSELECT 1", 403),
        ("Req-Wait-Ms: 9000\r\nContent-Length: 8\r\n\r\nSELECT 1", 403),
        ("Req-Wait-Ms: 90000000\r\nReq-Owner: acme\r\nContent-Length: 8\r\n\r\nSELECT 1", 400),
        ("Req-Wait-Ms: 9000\r\nReq-Owner: acme\r\nX-Need-Mb: 1e8\r\nContent-Length: 8\r\n\r\nSELECT 1", 400),
        ("Req-Wait-Ms: 9000\r\nReq-Owner: acme\r\nReq-Cost: 1e8\r\nContent-Length: 8\r\n\r\nSELECT 1", 400),
        ("Req-Wait-Ms: 9000\r\nReq-Owner: acme\r\nContent-Length: 8\r\n\r\nSELECT \0", 400),
        ("Req-Wait-Ms: 9000\r\nReq-Owner: acme\r\n\r\n", 400),
        ("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501),
        ("Transfer-Encoding: x\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 501),
        ("Content-Length: 4\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400),
    ];
    for (rest, status) in cases {
        let mut client = TcpStream::connect(program.listen).unwrap();
        client.set_read_timeout(Some(TIMEOUT)).unwrap();
        client
            .write_all(format!("{head}{rest}{behind}").as_bytes())
            .unwrap();
        let mut reader = BufReader::new(client);
        assert_eq!(read_response(&mut reader).unwrap().0, status, "{rest}");
        assert!(read_response(&mut reader).is_none(), "{rest}");
    }
    // The refusal of a statement without end reaches its client while that still sends.
    let mut client = TcpStream::connect(program.listen).unwrap();
    client
        .write_all(format!("{head}Content-Length: 60000000\r\n\r\n").as_bytes())
        .unwrap();
    (0..50).for_each(|_| drop(client.write_all(&[b'x'; 4096])));
    assert_eq!(read_response(&mut BufReader::new(client)).unwrap().0, 413);
    assert_eq!(told.try_iter().count(), 0);
    assert_eq!(
        read_response(&mut BufReader::new(post(program.listen, "look", 1)))
            .unwrap()
            .0,
        200
    );
}

#[test]
fn clients_that_fill_the_room_for_what_is_unread_are_no_bar_to_small_requests() {
    let (address, _told) =
        engine(|parts, to| write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start_with(&[address], |config| {
        small(config).with("limits.memory_mb", 16)
    });
    // A tenth of 16 MB, but for a few bytes, lies in requests that do not become whole.
    let head = "POST /invoke/look HTTP/1.1\r\nContent-Length: 65000\r\n\r\n";
    let sent = [head.as_bytes(), &vec![b'x'; 59_915 - head.len()]].concat();
    let hoards: Vec<TcpStream> = (0..28)
        .map(|_| {
            let mut client = TcpStream::connect(program.listen).unwrap();
            client.write_all(&sent).unwrap();
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    for id in 1..5 {
        assert_eq!(
            read_response(&mut BufReader::new(post(program.listen, "look", id)))
                .unwrap()
                .0,
            200
        );
    }
    drop(hoards);
}
