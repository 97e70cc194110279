//! The program on sockets, between clients and engines that stand in by the published protocol.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(10);

struct Program {
    child: Child,
    listen: SocketAddr,
    config: Scrap,
}

/// A file that goes with the test.
struct Scrap(std::path::PathBuf);

impl Drop for Scrap {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts the program with these engines, and waits until it is healthy.
fn start(engines: &[SocketAddr]) -> Program {
    start_with(engines, "")
}

/// The same with further keys of the configuration.
fn start_with(engines: &[SocketAddr], keys: &str) -> Program {
    let listen = free_address();
    let entry = |(i, at): (usize, &SocketAddr)| {
        format!(
            r#"{{"instanceId":"s-{i}","hostPort":"{at}","zone":"h","machineType":"std","lifecycle":"Ready"}}"#
        )
    };
    let engines: Vec<String> = engines.iter().enumerate().map(entry).collect();
    let class = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","aim-us":300000,"hard-limit-us":9000000,"effect":"{effect}"}}"#)
    };
    let config = format!(
        r#"{{{keys}"name":"n0","listen":"{listen}","seed":"1","known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":
        {{"instances":[{}]}}}}]}},"settings":{{"balancers":1,"zone":"h","kinds":["std"],
        "projects":[{{"name":"acme"}}],"services":[{},{}],
        "family-info":{{"cores-by-kind":[8],"kind-memory-mb":[4096],"dop":[1,1],"lanes-count":true}},"limits":{{"cancelling":true,
        "max-attempts":3,"max-retry-after-us":500000}}}}}}"#,
        engines.join(","),
        class("look", "read_like"),
        class("load", "non_idempotent")
    );
    let path = std::env::temp_dir().join(format!("tansymux-{}-{}.json", std::process::id(), listen.port()));
    std::fs::write(&path, config).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_tansymux"))
        .env("RELAY_CONFIG", &path)
        .env_remove("RELAY_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let program = Program { child, listen, config: Scrap(path) };
    let from = Instant::now();
    while get(listen, "/_health").is_none_or(|(status, ..)| status != 200) {
        assert!(from.elapsed() < WAIT, "not healthy in time");
        thread::sleep(Duration::from_millis(10));
    }
    program
}

fn get(to: SocketAddr, path: &str) -> Option<(u16, String, String)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).ok()?;
    answer(&mut BufReader::new(stream))
}

fn post(to: SocketAddr, rg: &str, id: u64) -> TcpStream {
    post_slowly(to, rg, id, 9000, Duration::from_millis(5))
}

/// The same in two parts with a pause between them, by a client that waits for `wait` ms.
fn post_slowly(to: SocketAddr, rg: &str, id: u64, wait: u64, pause: Duration) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    let statement = "SELECT a FROM sales_17.orders";
    let head = format!(
        "POST /invoke/{rg} HTTP/1.1\r\nHost: b\r\nReq-Id: {id:016x}\r\nReq-Wait-Ms: {wait}\r\nReq-Owner: acme\r\n\
         Req-Cost: 20.0\r\nContent-Length: {}\r\n\r\n",
        statement.len()
    );
    // In two parts, cut in a field.
    let whole = head + statement;
    let (first, second) = whole.as_bytes().split_at(50);
    stream.write_all(first).unwrap();
    thread::sleep(pause);
    stream.write_all(second).unwrap();
    stream
}

/// Status, head and body of an answer; none if the connection ends before it is whole.
fn answer(from: &mut impl BufRead) -> Option<(u16, String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        (from.read_line(&mut head).ok()? > 0).then_some(())?;
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length =
        head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).and_then(|l| l.parse().ok())?;
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((status, head, String::from_utf8(body).ok()?))
}

/// An engine whose connections' frames come out of the channel; `react` writes what is to be answered.
fn engine(
    react: impl Fn(&[String], &mut TcpStream) + Send + Clone + 'static,
) -> (SocketAddr, Receiver<(Vec<String>, Instant)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (tell, told)) = (listener.local_addr().unwrap(), channel());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell, react) = (tell.clone(), react.clone());
            thread::spawn(move || {
                let (mut reader, mut writer) = (BufReader::new(stream.try_clone().unwrap()), stream);
                while let Some(parts) = frame(&mut reader) {
                    let _ = tell.send((parts.clone(), Instant::now()));
                    react(&parts, &mut writer);
                }
            });
        }
    });
    (address, told)
}

fn frame(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut number = |mark: &str| {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(mark)?.parse::<usize>().ok()
    };
    let count = number("*")?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let length: usize = line.trim_end().strip_prefix('$')?.parse().ok()?;
        let mut part = vec![0; length + 2];
        from.read_exact(&mut part).ok()?;
        parts.push(String::from_utf8(part[..length].to_vec()).ok()?);
    }
    Some(parts)
}

fn say(to: &mut TcpStream, parts: &[&str]) {
    let bulk = |part: &&str| format!("${}\r\n{part}\r\n", part.len());
    let text = format!("*{}\r\n", parts.len()) + &parts.iter().map(bulk).collect::<String>();
    let _ = to.write_all(text.as_bytes());
}

fn told_to_end(program: &Program) {
    signal(program, "-TERM");
}

fn signal(program: &Program, which: &str) {
    let pid = program.child.id().to_string();
    assert!(Command::new("kill").args([which, &pid]).status().unwrap().success());
}

/// Waits until the counters show this line.
fn wait_for_count(program: &Program, line: &str) {
    let from = Instant::now();
    while !get(program.listen, "/_counters").is_some_and(|(.., body)| body.contains(line)) {
        assert!(from.elapsed() < WAIT, "no {line}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Waits for the end; what was written to standard error.
fn end(program: &mut Program) -> String {
    let from = Instant::now();
    let status = loop {
        match program.child.try_wait().unwrap() {
            Some(status) => break status,
            None => assert!(from.elapsed() < WAIT, "not ended in time"),
        }
        thread::sleep(Duration::from_millis(10));
    };
    assert!(status.success(), "{status}");
    let mut text = String::new();
    program.child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
    text
}

/// A name service that lists one engine, `s-9`, as event 2, after an answer that is none.
fn name_service(engine: SocketAddr) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut asked = [0; 512];
        while let Ok((count, from)) = socket.recv_from(&mut asked) {
            let mut bytes = asked[..count].to_vec();
            bytes[2] |= 0x80;
            (bytes[7], bytes[9], bytes[11]) = (1, 1, 2);
            let mut record = |name: &[u8], kind: u8, data: &[u8]| {
                bytes.extend_from_slice(name);
                bytes.extend_from_slice(&[0, kind, 0, 1, 0, 0, 0, 1, 0, data.len() as u8]);
                bytes.extend_from_slice(data);
            };
            let (question, target) = ([0xc0, 12], b"\x03s-9\x01h\x05hosts\0");
            let port = engine.port().to_be_bytes();
            record(&question, 33, &[&[0, 0, 0, 10], port.as_slice(), target].concat());
            record(&question, 6, &[&question, question.as_slice(), &[0, 0, 0, 2], &[0; 16]].concat());
            record(target, 1, &[127, 0, 0, 1]);
            record(target, 16, b"\x08kind=std");
            let _ = socket.send_to(b"no answer", from);
            let _ = socket.send_to(&bytes, from);
        }
    });
    address
}

#[test]
fn the_name_service_brings_an_engine_that_was_not_known_at_the_start() {
    let (address, _told) = engine(|parts, to| say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let resolver = name_service(address);
    let program = start_with(&[free_address()], &format!(r#""resolver":"{resolver}","#));
    wait_for_count(&program, "lists 1\n");
    // The engine of the start has no records any more: all go to the new one.
    for id in 1..9 {
        assert_eq!(answer(&mut BufReader::new(post(program.listen, "load", id))).unwrap().0, 200);
    }
}

#[test]
fn told_to_read_its_configuration_again_it_asks_another_name_service_and_loses_nothing() {
    let (address, told) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(300));
        say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    });
    let (mute, resolver) = (UdpSocket::bind("127.0.0.1:0").unwrap(), name_service(address));
    let old = format!(r#""resolver":"{}""#, mute.local_addr().unwrap());
    let mut program = start_with(&[address], &format!("{old},"));
    let text = std::fs::read_to_string(&program.config.0).unwrap();
    let open = post(program.listen, "look", 1);
    assert_eq!(told.recv_timeout(WAIT).unwrap().0[0], "fetch");
    // One that can't be used, and then one that can, with a key that has to wait.
    std::fs::write(&program.config.0, text.replace(&old, r#""resolver":7"#)).unwrap();
    signal(&program, "-HUP");
    thread::sleep(Duration::from_millis(100));
    let new = format!(r#""resolver":"{resolver}","limits":{{"sockets":512}}"#);
    std::fs::write(&program.config.0, text.replace(&old, &new)).unwrap();
    (0..3).for_each(|_| signal(&program, "-HUP"));
    wait_for_count(&program, "lists 1\n");
    assert_eq!(answer(&mut BufReader::new(open)).unwrap().0, 200);
    told_to_end(&program);
    signal(&program, "-HUP");
    let log = end(&mut program);
    assert!(log.contains("stays as it was") && log.contains("key resolver is 7, not a text"), "{log}");
    assert!(log.contains("wait for the next start: limits\n"), "{log}");
}

#[test]
fn a_connection_that_went_silent_is_not_used_again() {
    let first = std::sync::Arc::new(std::sync::Mutex::new(None));
    let (address, told) = engine(move |parts, to| {
        let from = to.peer_addr().unwrap();
        if *first.lock().unwrap().get_or_insert(from) != from {
            say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
        }
    });
    let program = start(&[address]);
    // Moved after its patience is over, to the only engine there is, on a new connection.
    let served = answer(&mut BufReader::new(post(program.listen, "look", 1))).unwrap();
    assert_eq!((served.0, served.2.as_str()), (200, r#"{"data":[["a","b","c"]]}"#));
    // The first was given up by a word, before its connection was closed and well before the second went out.
    let words: Vec<(String, Instant)> = told.try_iter().map(|(parts, at)| (parts[0].clone(), at)).collect();
    assert_eq!(words.iter().map(|(word, _)| word.as_str()).collect::<Vec<_>>(), ["fetch", "abort", "fetch"]);
    assert!(words[2].1 - words[1].1 > Duration::from_millis(30), "{words:?}");
    assert_eq!(answer(&mut BufReader::new(post(program.listen, "look", 2))).unwrap().0, 200);
}

#[test]
fn a_query_goes_to_an_engine_and_its_pages_come_back_as_one_answer() {
    let (address, told) = engine(|parts, to| match parts[0].as_str() {
        "fetch" => {
            say(to, &[&parts[1], "TELL", "tell=frac,num=0.5", ""]);
            say(to, &[&parts[1], "DONE", "batches=2", "a\t1\t\"\n"]);
        }
        "more" => say(to, &[&parts[1], "MORE", &format!("batch={}", parts[2]), "b\t2\ty\n"]),
        _ => {}
    });
    let mut program = start(&[address]);
    // Two on one connection, one after the other.
    let mut client = post(program.listen, "look", 1);
    let mut reader = BufReader::new(client.try_clone().unwrap());
    let served = r#"{"data":[["a","1","\""],["b","2","y"]]}"#;
    assert_eq!(answer(&mut reader).map(|(s, _, b)| (s, b)), Some((200, served.into())));
    client.write_all(b"GET /_counters HTTP/1.1\r\n\r\n").unwrap();
    let counters = answer(&mut reader).unwrap().2;
    for line in ["taken 1\n", "finished 1\n", "submissions_finished 1\n", "unanswered 0\n", "in_hand 0\n"] {
        assert!(counters.contains(line), "{line} in {counters}");
    }
    let fetch = told.recv_timeout(WAIT).unwrap().0;
    assert_eq!((fetch[0].as_str(), fetch[1].as_str()), ("fetch", "0000000000000001"));
    assert!(fetch[2].starts_with("cls=look,limit=8") && fetch[2].ends_with(",nice=3"), "{}", fetch[2]);
    assert_eq!(fetch[3], "SELECT a FROM sales_17.orders");
    told_to_end(&program);
    assert!(end(&mut program).contains("taken 1\n"));
}

#[test]
fn told_to_end_it_takes_on_for_a_while_and_answers_all_that_it_has() {
    let (address, told) = engine(|_, _| {});
    let mut program = start(&[address]);
    let mut clients = vec![post(program.listen, "look", 1), post(program.listen, "load", 2)];
    (0..2).for_each(|_| drop(told.recv_timeout(WAIT).unwrap()));
    // Hundreds that say nothing, and a reload under way, are no bar to the end.
    let _mute: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(program.listen).unwrap()).collect();
    let from = Instant::now();
    signal(&program, "-HUP");
    told_to_end(&program);
    while get(program.listen, "/_health").is_some_and(|(status, ..)| status == 200) {
        assert!(from.elapsed() < WAIT);
    }
    clients.push(post(program.listen, "look", 3));
    let statuses: Vec<u16> = clients.iter().map(|c| answer(&mut BufReader::new(c)).unwrap().0).collect();
    // The engine is silent: what only reads is deferred, what may have changed tables is killed.
    assert_eq!(statuses, [429, 500, 429]);
    let report = end(&mut program);
    assert!(from.elapsed() < Duration::from_millis(4200), "{:?}", from.elapsed());
    assert!(report.contains("taken 3\n") && report.contains("unanswered 0\n"), "{report}");
}

#[test]
fn a_query_has_its_time_from_its_last_byte() {
    let (address, _told) = engine(|parts, to| say(to, &[&parts[1], "DONE", "batches=1", ""]));
    let program = start(&[address]);
    let slow = post_slowly(program.listen, "look", 1, 800, Duration::from_millis(1000));
    assert_eq!(answer(&mut BufReader::new(slow)).unwrap().0, 200);
}

#[test]
fn what_never_ran_is_deferred_and_what_may_have_run_is_not_sent_again() {
    // Nobody listens at the one address; at the other, connections end when a request has come.
    let program = start(&[free_address()]);
    let deferred = answer(&mut BufReader::new(post(program.listen, "load", 1))).unwrap();
    assert_eq!((deferred.0, deferred.2.as_str()), (429, r#"{"error":"TryLater"}"#));
    assert!(deferred.1.contains("Srv-Wait-Ms: 500\r\n"), "{}", deferred.1);
    let (address, told) = engine(|_, to| drop(to.shutdown(std::net::Shutdown::Both)));
    let program = start(&[address]);
    assert_eq!(answer(&mut BufReader::new(post(program.listen, "load", 1))).unwrap().0, 500);
    assert_eq!(told.try_iter().filter(|(parts, _)| parts[0] == "fetch").count(), 1);
}

#[test]
fn a_client_that_leaves_has_its_query_given_up_and_the_rest_goes_on() {
    let (address, told) = engine(|parts, to| {
        if parts[1].ends_with('2') {
            say(to, &[&parts[1], "DONE", "batches=1", ""]);
        }
    });
    let program = start(&[address]);
    let leaves = post(program.listen, "look", 1);
    assert_eq!(told.recv_timeout(WAIT).unwrap().0[0], "fetch");
    drop(leaves);
    assert_eq!(told.recv_timeout(WAIT).unwrap().0[..2], ["abort", "0000000000000001"]);
    let served = answer(&mut BufReader::new(post(program.listen, "look", 2))).unwrap();
    assert_eq!((served.0, served.2.as_str()), (200, r#"{"data":[]}"#));
    // Names that the settings do not know are not taken in.
    let unknown = answer(&mut BufReader::new(post(program.listen, "nothing", 3))).unwrap();
    assert_eq!(unknown.0, 404);
    // What can't be read or used is answered so, and the program serves on.
    let head = "POST /invoke/look HTTP/1.1\r\nReq-Id: 00000000000000aa\r\nReq-Wait-Ms: 9000\r\n";
    let costs = ["1e300", "-1", "NaN", "inf", "x"].map(|cost| format!("{head}Req-Cost: {cost}\r\n\r\n"));
    for bytes in costs.iter().map(String::as_bytes).chain([b"\xff\xff\xff\xff\r\n\r\n".as_slice()]) {
        let mut hostile = TcpStream::connect(program.listen).unwrap();
        hostile.write_all(bytes).unwrap();
        assert_eq!(answer(&mut BufReader::new(hostile)).unwrap().0, 400);
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
            b'3' => say(to, &[id, "DONE", "batches=1", "a\tb\n"]),
            _ => {
                thread::sleep(Duration::from_millis(300));
                say(to, &["00000000000000ff", "DONE", "batches=1", "x\ty\tz\n"]);
                (0..2).for_each(|_| say(to, &[id, "DONE", "batches=1", "a\tb\tc\n"]));
            }
        }
    });
    let program = start(&[address]);
    let from = Instant::now();
    let clients: Vec<TcpStream> = [4, 1, 2, 3]
        .map(|id| {
            let client = post(program.listen, "load", id);
            assert_eq!(told.recv_timeout(WAIT).unwrap().0[0], "fetch");
            client
        })
        .into();
    let answers: Vec<(u16, String)> = clients
        .into_iter()
        .map(|client| answer(&mut BufReader::new(client)).map(|(status, _, body)| (status, body)).unwrap())
        .collect();
    assert_eq!(answers[0], (200, r#"{"data":[["a","b","c"]]}"#.into()));
    // A load may have run: it is not sent again.
    assert!(answers[1..].iter().all(|(status, _)| *status == 500), "{answers:?}");
    assert!(from.elapsed() < Duration::from_secs(2), "{:?}", from.elapsed());
    wait_for_count(&program, "connections_spoilt 3\n");
}

#[test]
fn a_connection_that_has_idled_carries_nothing_more() {
    // The engine ends a connection when a request comes on it after a pause.
    let last = std::cell::Cell::new(None::<Instant>);
    let (address, _told) = engine(move |parts, to| {
        if last.replace(Some(Instant::now())).is_some_and(|at| at.elapsed() > Duration::from_millis(100)) {
            return drop(to.shutdown(std::net::Shutdown::Both));
        }
        say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
    });
    let program = start(&[address]);
    for id in 1..8 {
        assert_eq!(answer(&mut BufReader::new(post(program.listen, "load", id))).unwrap().0, 200, "{id}");
        thread::sleep(Duration::from_millis(if id % 2 == 0 { 10 } else { 130 }));
    }
}

/// Keys of a configuration with the fewest places, 32 of them for clients, and one customer.
const SMALL: &str = r#""limits":{"sockets":64,"memory_mb":32},"#;

#[test]
fn clients_that_ask_no_more_or_never_do_keep_no_place_from_those_that_ask() {
    let (address, _told) = engine(|parts, to| say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start_with(&[address], SMALL);
    let mute: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(program.listen).unwrap()).collect();
    let from = Instant::now();
    let stay: Vec<TcpStream> = (1..80)
        .map(|id| {
            let client = post(program.listen, "look", id);
            assert_eq!(answer(&mut BufReader::new(client.try_clone().unwrap())).unwrap().0, 200);
            client
        })
        .collect();
    assert!(from.elapsed() < Duration::from_millis(2500), "{:?}", from.elapsed());
    // Those that never asked are told so by a close, and one that sends by drops by an error.
    let mut drips = TcpStream::connect(program.listen).unwrap();
    drips.set_read_timeout(Some(WAIT)).unwrap();
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(3) && drips.write_all(b"POST /x").is_ok() {
        thread::sleep(Duration::from_millis(100));
    }
    for mut client in mute {
        client.set_read_timeout(Some(WAIT)).unwrap();
        assert!(!matches!(client.read(&mut [0]), Ok(1..)));
    }
    assert!(from.elapsed() < Duration::from_millis(3500), "{:?}", from.elapsed());
    assert!(answer(&mut BufReader::new(drips)).is_none_or(|(status, ..)| status == 408));
    drop(stay);
}

#[test]
fn what_no_engine_can_use_is_turned_away_and_nothing_behind_it_is_read() {
    let (address, told) = engine(|parts, to| say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start_with(&[address], SMALL);
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
        client.set_read_timeout(Some(WAIT)).unwrap();
        client.write_all(format!("{head}{rest}{behind}").as_bytes()).unwrap();
        let mut reader = BufReader::new(client);
        assert_eq!(answer(&mut reader).unwrap().0, status, "{rest}");
        assert!(answer(&mut reader).is_none(), "{rest}");
    }
    // The refusal of a statement without end reaches its client while that still sends.
    let mut client = TcpStream::connect(program.listen).unwrap();
    client.write_all(format!("{head}Content-Length: 60000000\r\n\r\n").as_bytes()).unwrap();
    (0..50).for_each(|_| drop(client.write_all(&[b'x'; 4096])));
    assert_eq!(answer(&mut BufReader::new(client)).unwrap().0, 413);
    assert_eq!(told.try_iter().count(), 0);
    assert_eq!(answer(&mut BufReader::new(post(program.listen, "look", 1))).unwrap().0, 200);
}

#[test]
fn clients_that_fill_the_room_for_what_is_unread_are_no_bar_to_small_requests() {
    let (address, _told) = engine(|parts, to| say(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]));
    let program = start_with(&[address], r#""limits":{"sockets":64,"memory_mb":16},"#);
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
        assert_eq!(answer(&mut BufReader::new(post(program.listen, "look", id))).unwrap().0, 200);
    }
    drop(hoards);
}
