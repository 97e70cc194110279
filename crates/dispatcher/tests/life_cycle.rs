//! Events that cross in the life of the process, of clients' connections and of queries: each test forces the order
//! that docs/design/life-cycle.md names in its row, by stand-ins that hold or send their bytes when they are told.

use serde_json::json;
use std::ffi::CString;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};
use tansymux_rig::client::Ask;
use tansymux_rig::engine::scripted;
use tansymux_rig::program::{class, free_address, get, Config, Program, Scrap, WAIT};
use tansymux_rig::wire::{answer, say};

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
/// After SIGTERM new connections are waited for so long.
const TAKES_ON: Duration = Duration::from_millis(700);

/// Two resource groups, of 9 s each, and these engines.
fn config(engines: &[SocketAddr]) -> Config {
    let engines: Vec<_> = engines.iter().enumerate().map(|(i, at)| (format!("s-{i}"), *at)).collect();
    let classes = [class("look", 300.0, 9000.0, "read_like"), class("load", 300.0, 9000.0, "non_idempotent")];
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
                say(&mut to, &[&id, "DONE", "batches=1", "a\tb\tc\n"]);
            });
        }
    })
}

/// A connection, with a limit on every wait.
fn connect(program: &Program) -> TcpStream {
    let stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

fn request(rg: &str, id: u64) -> Vec<u8> {
    Ask::new(id, &format!("/invoke/{rg}"), rg, "SELECT a FROM sales_17.orders", 9000.0).bytes()
}

/// Sends a query on a connection of its own.
fn ask(program: &Program, rg: &str, id: u64) -> TcpStream {
    let mut stream = connect(program);
    stream.write_all(&request(rg, id)).unwrap();
    stream
}

fn status(stream: &TcpStream) -> Option<u16> {
    answer(&mut BufReader::new(stream)).map(|(status, ..)| status)
}

/// Ids of the queries that an engine was sent.
fn sent(told: &Receiver<(Vec<String>, Instant)>) -> Vec<String> {
    told.try_iter().filter(|(parts, _)| parts[0] == "fetch").map(|(parts, _)| parts[1].clone()).collect()
}

/// Stops the program in its tracks until what is returned is dropped: what happens meanwhile, happens at one instant.
struct Stopped(u32);

impl Stopped {
    fn new(program: &Program) -> Self {
        let pid = program.child.id();
        kill("-STOP", pid);
        until("the program stands", || {
            std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|stat| stat.contains(") T "))
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
        assert!(from.elapsed() < WAIT, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn kill(which: &str, pid: u32) {
    assert!(Command::new("kill").args([which, &pid.to_string()]).status().is_ok_and(|s| s.success()));
}

// ---- The process ----

#[test]
fn a_signal_that_comes_before_the_configuration_is_read_is_kept() {
    // The configuration is a pipe: the program stands at its first read until the test writes.
    let text = config(&[]).0.to_string();
    let pipe = Scrap::new("config.fifo", "");
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
    let mut writer = std::fs::OpenOptions::new().write(true).open(&pipe.0).unwrap();
    kill("-HUP", child.id());
    kill("-TERM", child.id());
    // Both are delivered before the process runs on: it is stopped at a system call.
    let pending = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let of = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or("0");
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
    assert!(status.success() && from.elapsed() < WAIT, "{status}");
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
    program.told_to_end();
    let backlog: Vec<TcpStream> = (3..6).map(|id| ask(&program, "look", id)).collect();
    program.told_to_end();
    drop(stopped);
    assert_eq!(status(&rests), Some(200));
    backlog.iter().for_each(|stream| assert_eq!(status(stream), Some(200)));
    let report = program.end();
    assert!(report.contains("taken 5\n") && report.contains("finished 5\n"), "{report}");
    assert_eq!(sent(&told).len(), 5);
}

#[test]
fn what_has_connected_when_the_listener_is_closed_is_answered() {
    let (address, _told) = slow(20);
    let mut program = start(&config(&[address]));
    let from = Instant::now();
    program.told_to_end();
    until("the front is told", || get(program.listen, "/_health").is_some_and(|(status, ..)| status == 503));
    // Three connect while the time for connections runs out, and the program sees both at once.
    let stopped = Stopped::new(&program);
    let backlog: Vec<TcpStream> = (1..4).map(|id| ask(&program, "look", id)).collect();
    thread::sleep((TAKES_ON + Duration::from_millis(50)).saturating_sub(from.elapsed()));
    drop(stopped);
    backlog.iter().for_each(|stream| assert_eq!(status(stream), Some(200)));
    assert!(program.end().contains("finished 3\n"));
}

#[test]
fn with_all_places_taken_at_the_signal_to_end_the_backlog_is_answered_too() {
    let (address, _told) = slow(900);
    let config = config(&[address]).with("limits", json!({"sockets": 64, "memory_mb": 32}));
    let mut program = start(&config);
    // Half of the descriptors are clients', and each has a query in hand past the time for new connections.
    let clients: Vec<TcpStream> = (0..40).map(|id| ask(&program, "look", id + 1)).collect();
    program.told_to_end();
    for (nth, stream) in clients.iter().enumerate() {
        assert!(status(stream).is_some_and(|status| status == 200 || status == 429), "{nth}");
    }
    let report = program.end();
    assert!(report.contains("taken 40\n") && report.contains("unanswered 0\n"), "{report}");
}

#[test]
fn a_connection_that_rests_at_the_end_is_half_closed_and_what_crosses_goes_nowhere() {
    let (address, told) = slow(0);
    let mut program = start(&config(&[address]));
    let mut rests = ask(&program, "look", 1);
    assert_eq!(status(&rests), Some(200));
    let from = Instant::now();
    program.told_to_end();
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
    until("both are taken", || program.counters().contains("connections_from_clients"));
    let from = Instant::now();
    program.told_to_end();
    until("the front is told", || get(program.listen, "/_health").is_some_and(|(status, ..)| status == 503));
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
    let classes = [class("look", 100.0, 1000.0, "read_like"), class("load", 100.0, 1000.0, "non_idempotent")];
    let config = Config::new(free_address(), &[("s-0".into(), address)], &classes, &[1, 1]);
    let mut program = start(&config);
    // A client that waits for longer than the settings give, at an engine that hangs.
    let mut client = connect(&program);
    client
        .write_all(&Ask::new(1, "/invoke/load", "load", "DELETE FROM sales_17.orders", 4000.0).bytes())
        .unwrap();
    assert_eq!(told.recv_timeout(WAIT).unwrap().0[0], "fetch");
    let from = Instant::now();
    program.told_to_end();
    assert_eq!(status(&client), Some(500));
    drop(client);
    program.end();
    // The longest deadline and 0.7 s.
    assert!(from.elapsed() < Duration::from_millis(1700), "{:?}", from.elapsed());
}

// ---- Clients ----

#[test]
fn a_client_that_leaves_is_seen_behind_whatever_it_has_sent() {
    let (address, told) = scripted(|_, _| {});
    let program = start(&config(&[address]));
    let mut client = ask(&program, "look", 1);
    assert_eq!(told.recv_timeout(WAIT).unwrap().0[0], "fetch");
    // More than is kept of what a client sends ahead.
    client.write_all(&[b'x'; 200 * 1024]).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let (parts, _) = told.recv_timeout(WAIT).unwrap();
    assert_eq!(parts[..2], ["abort", "0000000000000001"]);
    program.wait_for_count("vanished 1\n");
}

#[test]
fn who_sends_ahead_more_than_is_kept_gets_the_answer_and_the_end_of_its_connection() {
    let (address, told) = slow(300);
    let program = start(&config(&[address]));
    let mut client = ask(&program, "look", 1);
    assert_eq!(told.recv_timeout(WAIT).unwrap().0[0], "fetch");
    let noise = [b"GET /_health HTTP/1.1\r\n\r\n".repeat(2000), vec![b'x'; 100 * 1024]].concat();
    client.write_all(&noise).unwrap();
    let mut reader = BufReader::new(client);
    let (status, head, _) = answer(&mut reader).unwrap();
    assert!(status == 200 && head.contains("Connection: close\r\n"), "{head}");
    // Nothing of what was passed over is taken for a request.
    assert!(answer(&mut reader).is_none());
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
        assert!(from.elapsed() < Duration::from_secs(2), "{:?}", from.elapsed());
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
        stream.write_all(&Ask::new(id, "/invoke/look", "look", &statement, 9000.0).bytes()).unwrap();
        stream
    };
    let waits: Vec<TcpStream> = (1..53).map(big).collect();
    waits.iter().for_each(|_| drop(told.recv_timeout(WAIT).unwrap()));
    let (status, head, body) = answer(&mut BufReader::new(big(99))).unwrap();
    assert_eq!((status, body.as_str()), (503, r#"{"error":"TryLater"}"#));
    assert!(head.contains("Srv-Wait-Ms: 500\r\n"), "{head}");
}
