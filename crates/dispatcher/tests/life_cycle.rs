//! Events that cross in the life of the process, of clients' connections and of queries: each test forces the order
//! that docs/design/life-cycle.md names in its row, by stand-ins that hold or send their bytes when they are told.

use serde_json::json;
use std::ffi::CString;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::{refuse_silently, scripted};
use tansymux_testbed::program::{class, free_address, get, Config, Program, TempFile, TIMEOUT};
use tansymux_testbed::wire::{self, read_response, write_frame};

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
/// After SIGTERM new connections are waited for so long.
const TAKES_ON: Duration = Duration::from_millis(700);

/// Two resource groups, of 9 s each, and these engines.
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

fn start(config: &Config) -> Program {
    Program::start(Path::new(EXE), config, &[])
}

/// An engine that answers each query once `hold` has passed.
fn slow(hold: u64) -> (SocketAddr, Receiver<(Vec<String>, Instant)>) {
    scripted(move |parts, to| {
        if parts[0] == "fetch" {
            let (id, mut to) = (parts[1].clone(), to.try_clone().unwrap());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(hold));
                write_frame(&mut to, &[&id, "DONE", "batches=1", "a\tb\tc\n"]);
            });
        }
    })
}

/// A connection, with a limit on every wait.
fn connect(program: &Program) -> TcpStream {
    let stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

fn request(rg: &str, id: u64) -> Vec<u8> {
    ClientQuery::new(
        id,
        &format!("/invoke/{rg}"),
        rg,
        "SELECT a FROM sales_17.orders",
        9000.0,
    )
    .bytes()
}

/// Sends a query on a connection of its own.
fn ask(program: &Program, rg: &str, id: u64) -> TcpStream {
    let mut stream = connect(program);
    stream.write_all(&request(rg, id)).unwrap();
    stream
}

fn status(stream: &TcpStream) -> Option<u16> {
    read_response(&mut BufReader::new(stream)).map(|(status, ..)| status)
}

/// Ids of the queries that an engine was sent.
fn sent(told: &Receiver<(Vec<String>, Instant)>) -> Vec<String> {
    told.try_iter()
        .filter(|(parts, _)| parts[0] == "fetch")
        .map(|(parts, _)| parts[1].clone())
        .collect()
}

/// Stops the program in its tracks until what is returned is dropped: what happens meanwhile, happens at one instant.
struct Stopped(u32);

impl Stopped {
    fn new(program: &Program) -> Self {
        let pid = program.child.id();
        kill("-STOP", pid);
        until("the program stands", || {
            std::fs::read_to_string(format!("/proc/{pid}/stat"))
                .is_ok_and(|stat| stat.contains(") T "))
        });
        Stopped(pid)
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        kill("-CONT", self.0);
    }
}

/// Waits until something is so.
fn until(what: &str, mut so: impl FnMut() -> bool) {
    let from = Instant::now();
    while !so() {
        assert!(from.elapsed() < TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn kill(which: &str, pid: u32) {
    assert!(Command::new("kill")
        .args([which, &pid.to_string()])
        .status()
        .is_ok_and(|s| s.success()));
}

// ---- The process ----

#[test]
fn a_signal_that_comes_before_the_configuration_is_read_is_kept() {
    // The configuration is a pipe: the program stands at its first read until the test writes.
    let text = config(&[]).0.to_string();
    let pipe = TempFile::new("config.fifo", "");
    std::fs::remove_file(&pipe.0).unwrap();
    let path = CString::new(pipe.0.as_os_str().as_bytes()).unwrap();
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    let mut child = Command::new(EXE)
        .env("RELAY_CONFIG", &pipe.0)
        .env_remove("RELAY_LISTEN")
        .env_remove("TANSYMUX_OPERATOR")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Opening for writing waits until the program has opened for reading.
    let mut writer = std::fs::OpenOptions::new()
        .write(true)
        .open(&pipe.0)
        .unwrap();
    kill("-HUP", child.id());
    kill("-TERM", child.id());
    // Both are delivered before the process runs on: it is stopped at a system call.
    let pending = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let of = |name: &str| {
            let line = status
                .lines()
                .find_map(|l| l.strip_prefix(name))
                .unwrap_or("0");
            u64::from_str_radix(line.trim(), 16).unwrap_or(0)
        };
        of("SigPnd:") | of("ShdPnd:")
    };
    until("signals are delivered", || pending() == 0);
    assert!(child.try_wait().unwrap().is_none(), "it ended by a signal");
    writer.write_all(text.as_bytes()).unwrap();
    drop(writer);
    let from = Instant::now();
    let status = child.wait().unwrap();
    assert!(status.success() && from.elapsed() < TIMEOUT, "{status}");
}

#[test]
fn what_has_come_by_the_signal_to_end_is_answered_read_or_not() {
    let (address, told) = slow(20);
    let mut program = start(&config(&[address]));
    let mut rests = ask(&program, "look", 1);
    assert_eq!(status(&rests), Some(200));
    // At one instant: a request on the connection that rests, the signal (twice), three in the backlog.
    let stopped = Stopped::new(&program);
    rests.write_all(&request("look", 2)).unwrap();
    program.terminate();
    let backlog: Vec<TcpStream> = (3..6).map(|id| ask(&program, "look", id)).collect();
    program.terminate();
    drop(stopped);
    assert_eq!(status(&rests), Some(200));
    backlog
        .iter()
        .for_each(|stream| assert_eq!(status(stream), Some(200)));
    let report = program.end();
    assert!(
        report.contains("taken 5\n") && report.contains("finished 5\n"),
        "{report}"
    );
    assert_eq!(sent(&told).len(), 5);
}

#[test]
fn what_has_connected_when_the_listener_is_closed_is_answered() {
    let (address, _told) = slow(20);
    let mut program = start(&config(&[address]));
    let from = Instant::now();
    program.terminate();
    until("the front is told", || {
        get(program.listen, "/_health").is_some_and(|(status, ..)| status == 503)
    });
    // Three connect while the time for connections runs out, and the program sees both at once.
    let stopped = Stopped::new(&program);
    let backlog: Vec<TcpStream> = (1..4).map(|id| ask(&program, "look", id)).collect();
    thread::sleep((TAKES_ON + Duration::from_millis(50)).saturating_sub(from.elapsed()));
    drop(stopped);
    backlog
        .iter()
        .for_each(|stream| assert_eq!(status(stream), Some(200)));
    assert!(program.end().contains("finished 3\n"));
}

#[test]
fn with_all_places_taken_at_the_signal_to_end_the_backlog_is_answered_too() {
    let (address, _told) = slow(900);
    let config = config(&[address]).with("limits", json!({"sockets": 64, "memory_mb": 32}));
    let mut program = start(&config);
    // Half of the descriptors are clients', and each has a query in hand past the time for new connections.
    let clients: Vec<TcpStream> = (0..40).map(|id| ask(&program, "look", id + 1)).collect();
    program.terminate();
    for (nth, stream) in clients.iter().enumerate() {
        assert!(
            status(stream).is_some_and(|status| status == 200 || status == 429),
            "{nth}"
        );
    }
    let report = program.end();
    assert!(
        report.contains("taken 40\n") && report.contains("unanswered 0\n"),
        "{report}"
    );
}

#[test]
fn a_connection_that_rests_at_the_end_is_half_closed_and_what_crosses_goes_nowhere() {
    let (address, told) = slow(0);
    let mut program = start(&config(&[address]));
    let mut rests = ask(&program, "look", 1);
    assert_eq!(status(&rests), Some(200));
    let from = Instant::now();
    program.terminate();
    // It may ask for as long as new connections are waited for, and then learns that nothing more is taken.
    assert_eq!(rests.read(&mut [0; 64]).unwrap(), 0);
    assert!(from.elapsed() >= TAKES_ON, "{:?}", from.elapsed());
    // What crosses that is read, so that nothing is reset, and is no request any more.
    rests.write_all(&request("look", 2)).unwrap();
    assert!(program.end().contains("taken 1\n"));
    assert_eq!(rests.read(&mut [0; 64]).unwrap(), 0);
    assert_eq!(sent(&told), ["0000000000000001"]);
}

#[test]
fn a_request_that_has_begun_at_the_signal_to_end_and_one_that_is_about_to_are_taken() {
    let (address, _told) = slow(20);
    let mut program = start(&config(&[address]));
    let whole = request("look", 1);
    let (mut begun, mut about) = (connect(&program), connect(&program));
    begun.write_all(&whole[..50]).unwrap();
    until("both are taken", || {
        program.counters().contains("connections_from_clients")
    });
    let from = Instant::now();
    program.terminate();
    until("the front is told", || {
        get(program.listen, "/_health").is_some_and(|(status, ..)| status == 503)
    });
    about.write_all(&request("look", 2)).unwrap();
    assert_eq!(status(&about), Some(200));
    // Its last bytes come when the listener is closed already.
    thread::sleep((TAKES_ON + Duration::from_millis(100)).saturating_sub(from.elapsed()));
    begun.write_all(&whole[50..]).unwrap();
    assert_eq!(status(&begun), Some(200));
    assert!(program.end().contains("finished 2\n"));
}

#[test]
fn where_deadlines_are_short_it_ends_before_the_platform_ends_it() {
    let (address, told) = scripted(|_, _| {});
    let classes = [
        class("look", 100.0, 1000.0, "read_like"),
        class("load", 100.0, 1000.0, "non_idempotent"),
    ];
    let config = Config::new(
        free_address(),
        &[("s-0".into(), address)],
        &classes,
        &[1, 1],
    );
    let mut program = start(&config);
    // A client that waits for longer than the settings give, at an engine that hangs.
    let mut client = connect(&program);
    client
        .write_all(
            &ClientQuery::new(
                1,
                "/invoke/load",
                "load",
                "DELETE FROM sales_17.orders",
                4000.0,
            )
            .bytes(),
        )
        .unwrap();
    assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    let from = Instant::now();
    program.terminate();
    assert_eq!(status(&client), Some(500));
    drop(client);
    program.end();
    // The longest deadline and 0.7 s.
    assert!(
        from.elapsed() < Duration::from_millis(1700),
        "{:?}",
        from.elapsed()
    );
}

// ---- Clients ----

#[test]
fn a_client_that_leaves_is_seen_behind_whatever_it_has_sent() {
    let (address, told) = scripted(|_, _| {});
    let program = start(&config(&[address]));
    let mut client = ask(&program, "look", 1);
    assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    // More than is kept of what a client sends ahead.
    client.write_all(&[b'x'; 200 * 1024]).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let (parts, _) = told.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(parts[..2], ["abort", "0000000000000001"]);
    program.wait_for_count("vanished 1\n");
}

#[test]
fn who_sends_ahead_more_than_is_kept_gets_the_answer_and_the_end_of_its_connection() {
    let (address, told) = slow(300);
    let program = start(&config(&[address]));
    let mut client = ask(&program, "look", 1);
    assert_eq!(told.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    let noise = [
        b"GET /_health HTTP/1.1\r\n\r\n".repeat(2000),
        vec![b'x'; 100 * 1024],
    ]
    .concat();
    client.write_all(&noise).unwrap();
    let mut reader = BufReader::new(client);
    let (status, head, _) = read_response(&mut reader).unwrap();
    assert!(
        status == 200 && head.contains("Connection: close\r\n"),
        "{head}"
    );
    // Nothing of what was passed over is taken for a request.
    assert!(read_response(&mut reader).is_none());
}

#[test]
fn who_sends_requests_without_end_keeps_none_from_theirs() {
    let (address, _told) = slow(0);
    let program = start(&config(&[address]));
    let flood = connect(&program);
    let (mut writer, mut reader) = (flood.try_clone().unwrap(), flood.try_clone().unwrap());
    let reads = thread::spawn(move || while matches!(reader.read(&mut [0; 65536]), Ok(1..)) {});
    let writes = thread::spawn(move || {
        let many = b"GET /_health HTTP/1.1\r\n\r\n".repeat(400);
        while writer.write_all(&many).is_ok() {}
    });
    for id in 1..6 {
        let from = Instant::now();
        assert_eq!(status(&ask(&program, "look", id)), Some(200));
        assert!(
            from.elapsed() < Duration::from_secs(2),
            "{:?}",
            from.elapsed()
        );
    }
    flood.shutdown(Shutdown::Both).unwrap();
    writes.join().unwrap();
    reads.join().unwrap();
}

#[test]
fn who_finds_no_room_is_told_when_to_come_back() {
    let (address, told) = scripted(|_, _| {});
    // A fifth of 16 MB holds 52 statements of 64 KB that wait for an engine that hangs.
    let config = config(&[address]).with("limits", json!({"sockets": 1024, "memory_mb": 16}));
    let program = start(&config);
    let big = |id| {
        let statement = format!("SELECT '{}' FROM sales_17.orders", "x".repeat(64_000));
        let mut stream = connect(&program);
        stream
            .write_all(&ClientQuery::new(id, "/invoke/look", "look", &statement, 9000.0).bytes())
            .unwrap();
        stream
    };
    let waits: Vec<TcpStream> = (1..53).map(big).collect();
    waits
        .iter()
        .for_each(|_| drop(told.recv_timeout(TIMEOUT).unwrap()));
    let (status, head, body) = read_response(&mut BufReader::new(big(99))).unwrap();
    assert_eq!((status, body.as_str()), (503, r#"{"error":"TryLater"}"#));
    assert!(head.contains("Srv-Wait-Ms: 500\r\n"), "{head}");
}

// ---- Engines ----

/// An engine whose connections the test holds: each as it was accepted.
fn held() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, told) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            let _ = tell.send(stream);
        }
    });
    (address, told)
}

/// The next request on a connection: its word and id.
fn frame(stream: &TcpStream) -> Option<(String, String)> {
    let parts = wire::frame(&mut BufReader::with_capacity(1, stream))?;
    Some((parts[0].clone(), parts[1].clone()))
}

fn fetch(id: &str) -> Option<(String, String)> {
    Some(("fetch".into(), id.into()))
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_never_goes_out_on_it() {
    let (address, connections) = held();
    let program = start(&config(&[address]));
    let first = ask(&program, "look", 1);
    let mut idles = connections.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(frame(&idles), fetch("0000000000000001"));
    write_frame(
        &mut idles,
        &["0000000000000001", "DONE", "batches=1", "a\tb\tc\n"],
    );
    assert_eq!(status(&first), Some(200));
    // At one instant: the engine closes, with half a line behind an unknown id, and the next request comes.
    let stopped = Stopped::new(&program);
    idles
        .write_all(b"*4\r\n$16\r\n00000000000000ff\r\n$4\r\nDO")
        .unwrap();
    idles.shutdown(Shutdown::Both).unwrap();
    let second = ask(&program, "look", 2);
    drop(stopped);
    let mut next = connections.recv_timeout(TIMEOUT).unwrap();
    assert_eq!(frame(&next), fetch("0000000000000002"));
    write_frame(
        &mut next,
        &["0000000000000002", "DONE", "batches=1", "a\tb\tc\n"],
    );
    assert_eq!(status(&second), Some(200));
    // It was known before it went out: nobody counts it as lost under way.
    assert_eq!(program.counter("submissions_reset"), Some(0));
    assert_eq!(program.counter("connections_lost_idle"), Some(0));
}

#[test]
fn a_connection_that_ends_within_an_answer_loses_a_load_and_a_look_is_asked_again() {
    let (address, connections) = held();
    let program = start(&config(&[address]));
    for (rg, id) in [("load", "0000000000000001"), ("look", "0000000000000002")] {
        let client = ask(&program, rg, id[15..].parse().unwrap());
        let mut stream = connections.recv_timeout(TIMEOUT).unwrap();
        assert_eq!(frame(&stream), fetch(id));
        // The first of two pages, half of the second.
        write_frame(&mut stream, &[id, "DONE", "batches=2", "a\tb\tc\n"]);
        assert_eq!(frame(&stream), Some(("more".into(), id.into())));
        stream
            .write_all(format!("*4\r\n$16\r\n{id}\r\n$4\r\nMO").as_bytes())
            .unwrap();
        stream.shutdown(Shutdown::Both).unwrap();
        if rg == "look" {
            let mut again = connections.recv_timeout(TIMEOUT).unwrap();
            assert_eq!(frame(&again), fetch(id));
            write_frame(&mut again, &[id, "DONE", "batches=1", "x\ty\tz\n"]);
            let (status, _, body) = read_response(&mut BufReader::new(client)).unwrap();
            // Nothing of the first result is left in it.
            assert_eq!(
                (status, body.as_str()),
                (200, r#"{"data":[["x","y","z"]]}"#)
            );
        } else {
            assert_eq!(status(&client), Some(500));
        }
    }
}

#[test]
fn a_connection_that_comes_up_after_its_attempt_was_given_up_carries_nothing() {
    // Nobody accepts, and the backlog is full: connections come up once there is room, a second and more later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let full = refuse_silently(&listener);
    let config = config(&[address]).with("settings.limits.connect-timeout-us", 30_000_000);
    let program = start(&config.with("settings.limits.cancelling", false));
    let leaves = ask(&program, "look", 1);
    program.wait_for_count("submissions 1\n");
    drop(leaves);
    program.wait_for_count("vanished 1\n");
    // Withdrawn, and not left to its deadline in 9 s.
    let from = Instant::now();
    program.wait_for_count("submissions_out 0\n");
    assert!(
        from.elapsed() < Duration::from_secs(3),
        "{:?}",
        from.elapsed()
    );
    let stays = ask(&program, "look", 2);
    drop(full);
    // What comes first on any connection is of the one that stayed.
    listener.set_nonblocking(false).unwrap();
    let mut first = None;
    while first.is_none() {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        first = frame(&stream).map(|frame| (frame, stream));
    }
    let (frame, mut stream) = first.unwrap();
    assert_eq!(Some(frame), fetch("0000000000000002"));
    write_frame(
        &mut stream,
        &["0000000000000002", "DONE", "batches=1", "a\tb\tc\n"],
    );
    assert_eq!(status(&stays), Some(200));
}

#[test]
fn a_connection_that_comes_up_late_carries_what_comes_next() {
    // Nobody accepts, and the backlog is full: what waits is given up after 250 ms, as the settings say.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let full = refuse_silently(&listener);
    let program = start(&config(&[address]));
    assert_eq!(status(&ask(&program, "load", 1)), Some(429));
    let opened = program.counter("connections_to_engines").unwrap();
    // Now there is room, and what was on its way comes up when it is tried again, a second after it began.
    drop(full);
    let (tell, came) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(parts) = wire::frame(&mut reader) {
                    let _ = tell.send(parts[1].clone());
                    write_frame(&mut stream, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
                }
            });
        }
    });
    until("one has come up", || {
        program
            .counter("connections_late_up")
            .is_some_and(|up| up > 0)
    });
    assert_eq!(status(&ask(&program, "load", 2)), Some(200));
    assert_eq!(came.recv_timeout(TIMEOUT).unwrap(), "0000000000000002");
    assert_eq!(program.counter("connections_to_engines"), Some(opened));
}

#[test]
fn an_engine_that_sends_without_end_keeps_no_other_from_its_own() {
    let (floods, connections) = held();
    let (serves, _told) = slow(0);
    let program = start(&config(&[floods, serves]));
    thread::spawn(move || {
        while let Ok(mut stream) = connections.recv_timeout(TIMEOUT) {
            thread::spawn(move || {
                let many =
                    b"*4\r\n$16\r\n00000000000000ff\r\n$4\r\nTELL\r\n$15\r\ntell=frac,num=0\r\n$0\r\n\r\n"
                        .repeat(500);
                while stream.write_all(&many).is_ok() {}
            });
        }
    });
    // Some go to the one that floods, and are moved; none waits for what never ends.
    let clients: Vec<TcpStream> = (1..9).map(|id| ask(&program, "look", id)).collect();
    let from = Instant::now();
    clients
        .iter()
        .for_each(|client| assert_eq!(status(client), Some(200)));
    assert!(
        from.elapsed() < Duration::from_secs(6),
        "{:?}",
        from.elapsed()
    );
    assert_eq!(get(program.listen, "/_health").unwrap().0, 200);
}
