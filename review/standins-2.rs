//! Stand-ins and checks of the review's cases 6 to 10: engines, clients and the platform. Only the
//! standard library is used. `standins-2 CASE FOLDER` runs one case: 1 the rule was broken, 0 it held, 2 it couldn't run.
//!
//! The environment gives the commands: `RUN`, that of `run` in deploy/balancer.toml, and `TROUBLE`, 0 to leave the
//! disruption out. Every address is a loopback address, and every process that is started is ended.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---- Record ----

/// The record of a run: one line for each thing that was sent, answered or run, with its time.
#[derive(Clone)]
struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    fn line(&self, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The outcome of a case.
enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

// ---- The dispatcher ----

struct Dispatcher {
    child: Child,
    listen: SocketAddr,
    memory_mb: u64,
}

/// The processes that run, for [`end_after`].
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

impl Drop for Dispatcher {
    fn drop(&mut self) {
        PROCESSES
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends this program and the processes that it started, should a case take longer than `limit`.
fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
        eprintln!("not run: over {limit:?}");
        std::process::exit(2);
    });
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// The temporary folder of this run.
fn temporary() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a folder"))
}

impl Dispatcher {
    /// Starts a dispatcher by the deploy file's command and waits until it is healthy.
    fn start(
        record: &Record,
        config: &str,
        listen: SocketAddr,
        memory_mb: u64,
        operator: Option<&str>,
    ) -> Result<Self, String> {
        let folder = temporary();
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(|error| error.to_string())?;
        let mut run = std::env::var("RUN").map_err(|_| "RUN is not set".to_owned())?;
        if let Some(operator) = operator {
            let file = folder.join("operator.textproto");
            std::fs::write(&file, operator).map_err(|error| error.to_string())?;
            run = format!("{run} --operator {}", file.display());
            for line in operator.lines() {
                record.line(&format!("operators' file: {line}"));
            }
        }
        let log = File::create(folder.join("log.txt")).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_CONFIG", &path)
            .env("RELAY_LISTEN", listen.to_string())
            .env_remove("TANSYMUX_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("cannot start the dispatcher: {error}"))?;
        PROCESSES.lock().unwrap().push(child.id());
        let mut dispatcher = Dispatcher {
            child,
            listen,
            memory_mb,
        };
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if dispatcher.ended().is_some() {
                return Err("the dispatcher ended at its start".to_owned());
            }
            if dispatcher.health() == Some(200) {
                record.line(&format!(
                    "dispatcher {} is healthy, process {}",
                    listen,
                    dispatcher.child.id()
                ));
                return Ok(dispatcher);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the dispatcher is not healthy after 10 s".to_owned())
    }

    fn health(&self) -> Option<u16> {
        let mut stream = connect(self.listen, Duration::from_secs(2)).ok()?;
        stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n").ok()?;
        read_response(&mut BufReader::new(stream)).map(|response| response.status)
    }

    fn counters(&self) -> String {
        let Ok(mut stream) = connect(self.listen, Duration::from_secs(5)) else {
            return String::new();
        };
        let _ = stream.write_all(b"GET /_counters HTTP/1.1\r\n\r\n");
        read_response(&mut BufReader::new(stream))
            .map_or_else(String::new, |response| response.body)
    }

    fn record_counters(&self, record: &Record) {
        for line in self.counters().lines() {
            if !line.ends_with(" 0") {
                record.line(&format!("counter {line}"));
            }
        }
    }

    /// How the process ended, if it has.
    fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Resident memory (kB), as a platform measures it.
    fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(temporary().join("log.txt")).unwrap_or_default()
    }
}

fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A resource group of the settings.
struct Group {
    name: &'static str,
    effect: &'static str,
    aim_ms: u64,
    limit_ms: u64,
    threads: u32,
    is_load: bool,
    more: &'static str,
}

/// A configuration as a small deployment gets it, with the names of the operators' pages.
struct Deployment {
    listen: SocketAddr,
    engines: Vec<(String, SocketAddr)>,
    groups: Vec<Group>,
    memory_mb: u64,
    sockets: u64,
    resolver: Option<SocketAddr>,
    /// Whether attempts can be cancelled.
    cancelling: bool,
    rules: &'static str,
}

impl Deployment {
    fn config(&self) -> String {
        let list = |items: Vec<String>| items.join(",");
        let instances = list(
            self.engines
                .iter()
                .map(|(id, address)| {
                    format!(
                        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"hall-a\",\
                         \"machineType\":\"std-8\",\"cell\":0,\"lifecycle\":\"Ready\",\"weight\":1,\"startedAtMs\":0}}"
                    )
                })
                .collect(),
        );
        let services = list(
            self.groups
                .iter()
                .map(|group| {
                    format!(
                        "{{\"name\":\"{}\",\"effect\":\"{}\",\"aim-us\":{},\"aim-stretch\":2.0,\"hard-limit-us\":{},\
                         \"late-worth\":0.4,\"points\":1.0,\"stream\":false{}}}",
                        group.name,
                        group.effect,
                        group.aim_ms * 1000,
                        group.limit_ms * 1000,
                        group.more
                    )
                })
                .collect(),
        );
        let threads = list(self.groups.iter().map(|g| g.threads.to_string()).collect());
        let loads = list(self.groups.iter().map(|g| g.is_load.to_string()).collect());
        let resolver = self.resolver.map_or_else(String::new, |address| {
            format!("\"resolver\":\"{address}\",")
        });
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"seed\":\"8c1f30d27a5be964\",{resolver}\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{{\"cursor\":1,\"cmds\":[{{\"cursor\":1,\"nodes\":{{\"generation\":1,\"reset\":true,\
             \"instances\":[{instances}]}}}}]}},\
             \"settings\":{{\"areas\":[\"hall-a\"],\"balancers\":1,\"me\":0,\"zone\":\"hall-a\",\"kinds\":[\"std-8\"],\
             \"family\":\"queries\",\"membership-mode\":\"pushed\",\
             \"family-info\":{{\"cores-by-kind\":[8],\"kind-memory-mb\":[16384],\"dop\":[{threads}],\
             \"class-load\":[{loads}],\"grants\":true,\"lanes-count\":true,\"memory-short\":\"shrink\",\
             \"tells-every-us\":0}},\
             \"limits\":{{\"cancelling\":{},\"probes\":true,\"peers\":false,\"retry-after\":true,\"max-attempts\":4,\
             \"max-open\":20000,\"max-retry-after-us\":500000,\"connect-timeout-us\":250000,\"conn-idle-us\":30000000,\
             \"streams-per-conn\":32,\"parallel-tries\":false}},\
             \"rules\":{{\"answer-slack-us\":20000,{}\"drain-grace-us\":1000000,\"cold-from\":0.31,\
             \"fall-multiple\":3.0,\"overload-for-us\":3000000,\"warm-after-us\":13000000}},\
             \"projects\":[{{\"name\":\"mass\",\"share\":1.0,\"allowance-per-s\":500.0}}],\
             \"services\":[{services}]}}}}",
            self.listen, self.memory_mb, self.sockets, self.cancelling, self.rules
        )
    }

    fn start(&self, record: &Record, operator: Option<&str>) -> Result<Dispatcher, String> {
        let config = self.config();
        record.line(&format!("configuration: {config}"));
        Dispatcher::start(record, &config, self.listen, self.memory_mb, operator)
    }
}

// ---- Clients ----

fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

struct Response {
    status: u16,
    body: String,
}

/// Reads a response; `None` if the connection ends, or the time passes, before it is whole.
fn read_response(from: &mut impl BufRead) -> Option<Response> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    })?;
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Response {
        status,
        body: String::from_utf8(body).ok()?,
    })
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0x5be9_6400_0000_0000);

fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request in the form of the protocol page.
fn request(path: &str, id: &str, wait_ms: u64, more: &str, statement: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Wait-Ms: {wait_ms}\r\nReq-Owner: mass\r\n\
         {more}Content-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}

// ---- Engines ----

/// A frame from a dispatcher: the command's words.
type Frame = Vec<String>;

fn read_frame(from: &mut impl BufRead) -> Option<Frame> {
    fn number(from: &mut impl BufRead, mark: char) -> Option<usize> {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    }
    let count = number(from, '*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number(from, '$')?;
        let mut word = vec![0; length + 2];
        from.read_exact(&mut word).ok()?;
        word.truncate(length);
        words.push(String::from_utf8(word).ok()?);
    }
    Some(words)
}

fn frame(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

/// What an engine does after a frame.
enum Then {
    GoOn,
    /// Resets the connection.
    Reset,
}

/// A connection of an engine, for replies.
#[derive(Clone)]
struct Peer(Arc<Mutex<TcpStream>>);

impl Peer {
    fn reply(&self, words: &[&str]) {
        let _ = self.0.lock().unwrap().write_all(&frame(words));
    }
}

/// Starts an engine, which calls `handle` with each frame. Health checks are answered with FIT.
fn start_engine(handle: impl Fn(&Frame, &Peer) -> Then + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let builder = thread::Builder::new().stack_size(128 * 1024);
            let _ = builder.spawn(move || serve_engine_connection(stream, &*handle));
        }
    });
    address
}

fn serve_engine_connection(stream: TcpStream, handle: &(impl Fn(&Frame, &Peer) -> Then + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let peer = Peer(Arc::new(Mutex::new(writer)));
    let mut reader = BufReader::new(stream);
    while let Some(words) = read_frame(&mut reader) {
        if words.first().map(String::as_str) == Some("alive") && words.len() > 1 {
            peer.reply(&[&words[1], "FIT", "-", ""]);
            continue;
        }
        if let Then::Reset = handle(&words, &peer) {
            reset_at_close(reader.get_ref());
            return;
        }
    }
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Makes the close of a connection a reset (SO_LINGER with a time of 0).
fn reset_at_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value has the type and size of the option.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

// ---- Settings of the cases ----

/// Look-ups, as the operators' pages have them.
fn lookups(limit_ms: u64) -> Group {
    Group {
        name: "lookup",
        effect: "read_like",
        aim_ms: 500,
        limit_ms,
        threads: 1,
        is_load: false,
        more: "",
    }
}

/// Loads with an ordering key and a mark against repeats.
fn keyed_loads() -> Group {
    Group {
        name: "load",
        effect: "idempotency_key",
        aim_ms: 4000,
        threads: 2,
        is_load: true,
        more: ",\"in-order\":true,\"dedup-scope\":\"all\",\"repeat-window-us\":12000000",
        ..lookups(20_000)
    }
}

/// A deployment with the default limits of a dispatcher.
fn deployment(engines: &[(&str, SocketAddr)], groups: Vec<Group>) -> Deployment {
    let engines = engines
        .iter()
        .map(|(id, address)| ((*id).to_owned(), *address));
    Deployment {
        listen: free_address(),
        engines: engines.collect(),
        groups,
        memory_mb: 192,
        sockets: 1024,
        resolver: None,
        cancelling: true,
        rules: "",
    }
}

/// Says that a dispatcher's process must not have ended.
fn check_running(dispatcher: &mut Dispatcher) -> Result<(), String> {
    match dispatcher.ended() {
        Some(status) => Err(format!("the dispatcher has ended: {status}")),
        None => Ok(()),
    }
}

// ---- Case 6: a statement with nested comments ----

/// The statements of a text, without comments, as an engine reads it whose comments nest (SQL:1999, feature T351).
fn statements_of(text: &str) -> Vec<String> {
    let mut statements = vec![String::new()];
    let mut rest = text;
    let mut depth = 0;
    while let Some(first) = rest.chars().next() {
        let mut length = first.len_utf8();
        let statement = statements.last_mut().expect("one at least");
        if rest.starts_with("/*") {
            depth += 1;
            length = 2;
        } else if depth > 0 {
            if rest.starts_with("*/") {
                depth -= 1;
                length = 2;
            }
        } else if rest.starts_with("--") {
            length = rest.find('\n').unwrap_or(rest.len());
        } else if first == '\'' {
            length = rest[1..].find('\'').map_or(rest.len(), |end| end + 2);
            statement.push_str(&rest[..length]);
        } else if first == ';' {
            statements.push(String::new());
        } else {
            statement.push(first);
        }
        rest = &rest[length..];
    }
    let trimmed = statements
        .iter()
        .map(|statement| statement.trim().to_owned());
    trimmed.filter(|statement| !statement.is_empty()).collect()
}

/// A bare statement whose comments nest inserts a row. The connection is reset after the engine has run the statement.
fn nested_comment(record: &Record) -> Result<Verdict, String> {
    const STATEMENT: &str =
        "/* was, from /data/lanes/*/ SELECT price FROM rates_17.lane WHERE id = 7 -- old */ */ \
         INSERT INTO rates_17.surcharge VALUES (7, 1)";
    let inserts = Arc::new(AtomicUsize::new(0));
    let resets = Arc::new(AtomicUsize::new(usize::from(trouble())));
    let engine = |name: &'static str| {
        let (record, inserts, resets) = (record.clone(), inserts.clone(), resets.clone());
        start_engine(move |words, peer| {
            if words[0] != "fetch" {
                return Then::GoOn;
            }
            record.line(&format!("{name} receives {}", words.join(" ")));
            for statement in statements_of(&words[3]) {
                record.line(&format!("{name} runs for {}: {statement}", words[1]));
                if statement.to_ascii_uppercase().starts_with("INSERT") {
                    inserts.fetch_add(1, Ordering::SeqCst);
                }
            }
            if resets.swap(0, Ordering::SeqCst) > 0 {
                record.line(&format!(
                    "the connection to {name} is reset under {}",
                    words[1]
                ));
                return Then::Reset;
            }
            peer.reply(&[&words[1], "DONE", "batches=1", ""]);
            Then::GoOn
        })
    };
    let reports = Group {
        name: "report",
        threads: 2,
        ..lookups(20_000)
    };
    let loads = Group {
        name: "tariff-load",
        effect: "non_idempotent",
        threads: 2,
        is_load: true,
        ..lookups(25_000)
    };
    let engines = [("s-1", engine("s-1")), ("s-2", engine("s-2"))];
    let deployment = deployment(&engines, vec![lookups(2500), reports, loads]);
    let operator =
        "statements {\n  path: \"/statement\"\n  groups { look_up: \"lookup\" report: \"report\" \
                    load: \"tariff-load\" }\n  dialect: POSTGRESQL\n}\n";
    let mut dispatcher = deployment.start(record, Some(operator))?;
    let id = new_id();
    record.line(&format!("client sends {id} to /statement: {STATEMENT}"));
    let text = request("/statement", &id, 2500, "", STATEMENT);
    let mut stream =
        connect(dispatcher.listen, Duration::from_secs(5)).map_err(|error| error.to_string())?;
    stream
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())?;
    let response = read_response(&mut BufReader::new(stream));
    let Some(response) = response else {
        return Ok(Verdict::NotRun("the client got no answer".to_owned()));
    };
    record.line(&format!(
        "client is answered {} {}",
        response.status, response.body
    ));
    thread::sleep(Duration::from_millis(300));
    check_running(&mut dispatcher)?;
    dispatcher.record_counters(record);
    let summary = format!("the client's one INSERT ran {inserts:?} times");
    Ok(match inserts.load(Ordering::SeqCst) {
        0 => Verdict::NotRun(summary),
        1 => Verdict::Held(summary),
        _ => Verdict::Broken(summary),
    })
}

// ---- Case 7: clients that send many commands at once ----

/// Clients that load the dispatcher's read buffers: each sends 40 requests of 40 KB, which take 300 ms each.
const LONG_CLIENTS: usize = 12;
/// Clients that send 20 requests, of which one is long, and each of which takes 50 ms.
const MIXED_CLIENTS: usize = 20;
/// Size of a long statement: below the limit of 64 KB.
const LONG_BYTES: usize = 40_000;
const SHORT_BYTES: usize = 60;
/// A request that crosses the end of a connection by less than this is sent again, and isn't counted.
const CROSSING: Duration = Duration::from_millis(50);

/// What became of one client's requests.
struct ClientResult {
    written: usize,
    answers: usize,
    /// Written whole more than [`CROSSING`] before the connection's end was seen, and never answered.
    lost: usize,
    statuses: HashMap<u16, usize>,
}

/// Sends a request with each of these statements on one connection, all at once or each after the answer to the one
/// before, and reads the answers until the last one or the end of the connection.
fn send_commands(
    listen: SocketAddr,
    statements: Vec<String>,
    at_once: bool,
) -> Result<ClientResult, String> {
    let stream = connect(listen, Duration::from_secs(25)).map_err(|error| error.to_string())?;
    let written: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (allow, allowed) = std::sync::mpsc::channel();
    let count = statements.len();
    let allowed_first = if at_once { count } else { 1 };
    (0..allowed_first).for_each(|_| allow.send(()).expect("the writer waits"));
    let writer = {
        let (written, stream) = (written.clone(), stream.try_clone());
        let mut stream = stream.map_err(|error| error.to_string())?;
        thread::spawn(move || {
            for (statement, ()) in statements.iter().zip(allowed) {
                let text = request("/invoke/lookup", &new_id(), 24_000, "", statement);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                written.lock().unwrap().push(Instant::now());
            }
        })
    };
    let mut reader = BufReader::new(stream);
    let mut statuses = HashMap::new();
    let mut answers = 0;
    let mut refused_at = None;
    while answers < count {
        let Some(response) = read_response(&mut reader) else {
            break;
        };
        answers += 1;
        *statuses.entry(response.status).or_default() += 1;
        if response.status == 503 {
            refused_at.get_or_insert(Instant::now());
        }
        if !at_once {
            let _ = allow.send(());
        }
    }
    let ended_at = refused_at.unwrap_or_else(Instant::now);
    let _ = reader.get_ref().shutdown(Shutdown::Both);
    drop(allow);
    let _ = writer.join();
    let written = written.lock().unwrap();
    let in_time = written
        .iter()
        .filter(|at| **at + CROSSING < ended_at)
        .count();
    Ok(ClientResult {
        written: written.len(),
        answers,
        lost: in_time.saturating_sub(answers),
        statuses,
    })
}

/// Clients send many requests at once on their connections, some with long statements.
fn pipeline(record: &Record) -> Result<Verdict, String> {
    let engine = start_engine(|words, peer| {
        if words[0] == "fetch" {
            let (id, peer) = (words[1].clone(), peer.clone());
            let run_ms = if words[3].contains("history") {
                300
            } else {
                50
            };
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(run_ms));
                peer.reply(&[&id, "DONE", "batches=1", "a\t1\tx\n"]);
            });
        }
        Then::GoOn
    });
    let deployment = deployment(&[("s-1", engine)], vec![lookups(25_000)]);
    let mut dispatcher = deployment.start(record, None)?;
    let listen = dispatcher.listen;
    let statement = |table: &str, bytes: usize| {
        let numbers = vec!["17"; bytes / 3].join(",");
        format!("SELECT a FROM t_1.{table} WHERE b IN ({numbers})")
    };
    let clients = (0..LONG_CLIENTS + MIXED_CLIENTS).map(|client| {
        let is_long = client < LONG_CLIENTS;
        let statements = if is_long {
            vec![statement("history", LONG_BYTES); 40]
        } else {
            let sizes = (0..20).map(|number| if number == 5 { LONG_BYTES } else { SHORT_BYTES });
            sizes.map(|bytes| statement("lane", bytes)).collect()
        };
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(if is_long { 0 } else { 1000 }));
            let result = send_commands(listen, statements, trouble())?;
            record.line(&format!(
                "client {client}: {} requests written whole, {} answers by status {:?}, {} never answered",
                result.written, result.answers, result.statuses, result.lost
            ));
            Ok::<_, String>(result)
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut answers = 0;
    let mut lost = 0;
    for client in clients {
        let result = client
            .join()
            .map_err(|_| "a client panicked".to_owned())??;
        answers += result.answers;
        lost += result.lost;
    }
    check_running(&mut dispatcher)?;
    dispatcher.record_counters(record);
    let summary = format!("{answers} answers; {lost} requests written whole and never answered");
    Ok(if lost > 0 {
        Verdict::Broken(summary)
    } else {
        Verdict::Held(summary)
    })
}

// ---- Case 8: results that are never whole ----

/// A third of the 1,024 descriptors.
const MOST_CONNECTIONS: usize = 340;
const REQUESTS: u64 = 1500;
const REQUESTS_A_SECOND: u64 = 500;
const RESULT_PAGES: usize = 8;

/// An engine that answers after 100 ms with the longest result. If it hangs, the last page never comes.
fn start_result_engine(hangs: bool) -> SocketAddr {
    // 6,000 bytes, the most that a page holds; eight pages are the longest result.
    let page = "a\t1\tx\n".repeat(1000);
    let last_page = (RESULT_PAGES - 1).to_string();
    start_engine(move |words, peer| {
        match words[0].as_str() {
            "fetch" => {
                let (id, peer, page) = (words[1].clone(), peer.clone(), page.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(100));
                    peer.reply(&[&id, "DONE", &format!("batches={RESULT_PAGES}"), &page]);
                });
            }
            "more" if hangs && words[2] == last_page => {}
            "more" => peer.reply(&[&words[1], "MORE", &format!("batch={}", words[2]), &page]),
            _ => {}
        }
        Then::GoOn
    })
}

/// Half of the engines hang in the middle of their results, while many clients ask. The platform would kill a dispatcher
/// that needs more memory than its limit.
fn half_results(record: &Record) -> Result<Verdict, String> {
    let engines = ["s-1", "s-2", "s-3", "s-4"].map(|name| {
        let hangs = trouble() && matches!(name, "s-1" | "s-2");
        (name, start_result_engine(hangs))
    });
    let deployment = Deployment {
        memory_mb: 32,
        cancelling: false,
        ..deployment(&engines, vec![lookups(2500)])
    };
    let mut dispatcher = deployment.start(record, None)?;
    let listen = dispatcher.listen;
    record.line(&format!(
        "resident memory after the start: {} kB",
        dispatcher.resident_kb()
    ));
    let answers: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let connections = Arc::new(AtomicUsize::new(0));
    let clients = (0..REQUESTS).map(|number| {
        let (answers, connections) = (answers.clone(), connections.clone());
        let builder = thread::Builder::new().stack_size(256 * 1024);
        let client = builder.spawn(move || {
            thread::sleep(Duration::from_millis(1000 * number / REQUESTS_A_SECOND));
            let request_once = || {
                let mut stream = connect(listen, Duration::from_secs(4)).ok()?;
                let text = request(
                    "/invoke/lookup",
                    &new_id(),
                    2500,
                    "",
                    "SELECT a, b, c FROM t_1.x",
                );
                stream.write_all(text.as_bytes()).ok()?;
                read_response(&mut BufReader::new(stream))
            };
            let answer = if connections.fetch_add(1, Ordering::SeqCst) < MOST_CONNECTIONS {
                request_once().map_or("no answer".to_owned(), |response| {
                    response.status.to_string()
                })
            } else {
                "not sent".to_owned()
            };
            connections.fetch_sub(1, Ordering::SeqCst);
            *answers.lock().unwrap().entry(answer).or_default() += 1;
        });
        client.map_err(|error| error.to_string())
    });
    let clients = clients.collect::<Result<Vec<_>, _>>()?;
    let limit_kb = dispatcher.memory_mb * 1024;
    let mut most_kb = 0;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(7) {
        let resident_kb = dispatcher.resident_kb();
        if resident_kb > most_kb + 1024 {
            record.line(&format!("resident memory {resident_kb} kB"));
        }
        if resident_kb > limit_kb && most_kb <= limit_kb {
            record.line(
                "over the limit: here the platform kills the dispatcher; the case measures on",
            );
        }
        most_kb = most_kb.max(resident_kb);
        thread::sleep(Duration::from_millis(5));
    }
    check_running(&mut dispatcher)?;
    for client in clients {
        let _ = client.join();
    }
    dispatcher.record_counters(record);
    let answers = answers.lock().unwrap();
    let summary =
        format!("most resident memory {most_kb} kB of {limit_kb} kB allowed; answers {answers:?}");
    Ok(if most_kb > limit_kb {
        Verdict::Broken(summary)
    } else {
        Verdict::Held(summary)
    })
}

// ---- Case 9: clients that leave while their queries wait for a key ----

const KEYS: usize = 40;
const WAITING_EACH: usize = 4;

/// Sends a load with an ordering key. Returns its id and its connection.
fn send_load(
    record: &Record,
    listen: SocketAddr,
    key: usize,
    table: &str,
    wait_ms: u64,
) -> Result<(String, TcpStream), String> {
    let id = new_id();
    record.line(&format!("key {key}: a client sends {id}, into {table}"));
    let more = format!(
        "Req-Key: {:016x}\r\nReq-Token: {id}\r\nReq-Cost: 200.0\r\n",
        0xa000 + key
    );
    let statement = format!("INSERT INTO rates_{key}.{table} VALUES ({key})");
    let text = request("/invoke/load", &id, wait_ms, &more, &statement);
    let mut stream =
        connect(listen, Duration::from_millis(wait_ms + 600)).map_err(|error| error.to_string())?;
    stream
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())?;
    Ok((id, stream))
}

/// An engine that runs loads into `big` for 3 s and others for 30 ms, and stops what is aborted.
fn start_load_engine(record: &Record, name: &'static str) -> SocketAddr {
    let record = record.clone();
    let aborted: Arc<Mutex<Vec<String>>> = Arc::default();
    start_engine(move |words, peer| {
        match words[0].as_str() {
            "fetch" => {
                record.line(&format!(
                    "{name} receives {} {} {}",
                    words[1], words[2], words[3]
                ));
                let (id, peer) = (words[1].clone(), peer.clone());
                let (record, aborted) = (record.clone(), aborted.clone());
                let run_ms = if words[3].contains(".big") { 3000 } else { 30 };
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(run_ms));
                    if !aborted.lock().unwrap().contains(&id) {
                        record.line(&format!("{name} has run {id}"));
                        peer.reply(&[&id, "DONE", "batches=1", ""]);
                    }
                });
            }
            "abort" => {
                record.line(&format!("{name} stops {}", words[1]));
                aborted.lock().unwrap().push(words[1].clone());
            }
            _ => {}
        }
        Then::GoOn
    })
}

/// For each key, a client gives up its running load, and the key rests. Another client, whose loads wait for the key,
/// leaves at about the end of that rest. Later each key is asked for again, one query at a time.
fn left_in_line(record: &Record) -> Result<Verdict, String> {
    let engines = ["s-1", "s-2", "s-3"].map(|name| (name, start_load_engine(record, name)));
    let deployment = Deployment {
        rules: "\"settle-after-doubt-us\":500000,",
        ..deployment(&engines, vec![keyed_loads()])
    };
    let mut dispatcher = deployment.start(record, None)?;
    let listen = dispatcher.listen;
    for key in 0..KEYS {
        let started = Instant::now();
        let sleep_until =
            |ms| thread::sleep(Duration::from_millis(ms).saturating_sub(started.elapsed()));
        let first = send_load(record, listen, key, "big", 18_000)?;
        sleep_until(50);
        let waiting = (0..WAITING_EACH).map(|_| send_load(record, listen, key, "small", 18_000));
        let waiting = waiting.collect::<Result<Vec<_>, _>>()?;
        sleep_until(100);
        drop(first);
        record.line(&format!("key {key}: the first client gives up"));
        sleep_until(643 + key as u64 % 20);
        if trouble() {
            drop(waiting);
            record.line(&format!(
                "key {key}: the client of the waiting loads leaves"
            ));
            continue;
        }
        for (id, stream) in waiting {
            let status = read_response(&mut BufReader::new(stream)).map(|response| response.status);
            record.line(&format!("key {key}: {id} is answered {status:?}"));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut held = 0;
    let mut served = 0;
    let mut deferred = 0;
    for key in 0..KEYS {
        let sent = Instant::now();
        let (id, stream) = send_load(record, listen, key, "small", 1500)?;
        let status = read_response(&mut BufReader::new(stream)).map(|response| response.status);
        let after_ms = sent.elapsed().as_millis();
        record.line(&format!(
            "key {key}: {id} is answered {status:?} after {after_ms} ms"
        ));
        match status {
            Some(200) => served += 1,
            _ if after_ms > 1000 => held += 1,
            _ => deferred += 1,
        }
    }
    check_running(&mut dispatcher)?;
    dispatcher.record_counters(record);
    for line in dispatcher
        .log()
        .lines()
        .filter(|line| line.contains(" ERROR "))
        .take(5)
    {
        record.line(&format!("log: {line}"));
    }
    let summary = format!(
        "{KEYS} queries, each alone on its key, on idle engines: {served} served, {deferred} deferred at once, {held} \
         held until their time was up and never run"
    );
    Ok(match (held, served) {
        (1.., _) => Verdict::Broken(summary),
        (0, 0) => Verdict::NotRun(summary),
        _ => Verdict::Held(summary),
    })
}

// ---- Case 10: a client that sends much at once and goes ----

const GONE_KEYS: usize = 3;
/// Requests that a client sends behind its first one, of 40 KB each.
const REQUESTS_BEHIND: usize = 250;
/// How long it sends before it goes.
const SENDING: Duration = Duration::from_millis(100);
/// A client that has closed its connection has gone, and an attempt may begin 0.1 s later at the latest; a time limit is
/// 50 ms longer on sockets.
const GONE_MS: f64 = 100.0 + 50.0;

/// An engine that runs loads into `first` for 1.5 s and others for 50 ms, and notes those that come too long after their
/// client has gone.
fn start_noting_engine(
    record: &Record,
    name: &'static str,
    gone_ms: &Arc<Mutex<HashMap<String, f64>>>,
    late: &Arc<AtomicUsize>,
) -> SocketAddr {
    let (record, gone_ms, late) = (record.clone(), gone_ms.clone(), late.clone());
    start_engine(move |words, peer| {
        if words[0] != "fetch" {
            record.line(&format!("{name} receives {} {}", words[0], words[1]));
            return Then::GoOn;
        }
        let since_ms = gone_ms
            .lock()
            .unwrap()
            .get(&words[1])
            .map(|at_ms| record.now_ms() - at_ms);
        let since = since_ms.map_or(String::new(), |ms| {
            format!(", {ms:.0} ms after its client has gone")
        });
        record.line(&format!(
            "{name} receives fetch {} {}{since}",
            words[1], words[2]
        ));
        late.fetch_add(
            usize::from(since_ms.is_some_and(|ms| ms > GONE_MS)),
            Ordering::SeqCst,
        );
        let (id, peer) = (words[1].clone(), peer.clone());
        let run_ms = if words[3].contains(".first") {
            1500
        } else {
            50
        };
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(run_ms));
            peer.reply(&[&id, "DONE", "batches=1", ""]);
        });
        Then::GoOn
    })
}

/// A load of a key runs, and a load of another client waits for its turn. That client sends much more behind it and
/// closes its connection.
fn gone_client(record: &Record) -> Result<Verdict, String> {
    let gone_ms: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let late = Arc::new(AtomicUsize::new(0));
    let engines = ["s-1", "s-2", "s-3"]
        .map(|name| (name, start_noting_engine(record, name, &gone_ms, &late)));
    let deployment = Deployment {
        rules: "\"settle-after-doubt-us\":500000,",
        ..deployment(&engines, vec![keyed_loads()])
    };
    let mut dispatcher = deployment.start(record, None)?;
    let listen = dispatcher.listen;
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for key in 0..GONE_KEYS {
        running.push(send_load(record, listen, key, "first", 18_000)?);
    }
    thread::sleep(Duration::from_millis(100));
    for key in 0..GONE_KEYS {
        waiting.push(send_load(record, listen, key, "second", 18_000)?);
    }
    let numbers = vec!["17"; 13_000].join(",");
    let mut clients = Vec::new();
    for (id, mut stream) in waiting {
        let (record, gone_ms, numbers) = (record.clone(), gone_ms.clone(), numbers.clone());
        clients.push(thread::spawn(move || {
            let started = Instant::now();
            let mut bytes = 0;
            if trouble() {
                let statement = format!("INSERT INTO rates_9.more VALUES ({numbers})");
                let requests = (0..REQUESTS_BEHIND)
                    .map(|_| request("/invoke/load", &new_id(), 18_000, "", &statement));
                let text: String = requests.collect();
                let _ = stream.set_nonblocking(true);
                // As much as the system takes in 0.1 s.
                while bytes < text.len() && started.elapsed() < SENDING {
                    match stream.write(&text.as_bytes()[bytes..]) {
                        Ok(count) => bytes += count,
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
            }
            thread::sleep(SENDING.saturating_sub(started.elapsed()));
            drop(stream);
            gone_ms.lock().unwrap().insert(id.clone(), record.now_ms());
            record.line(&format!(
                "the client of {id} has sent {bytes} bytes behind it, and closes its connection"
            ));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    for (id, stream) in running {
        let status = read_response(&mut BufReader::new(stream)).map(|response| response.status);
        record.line(&format!("{id} is answered {status:?}"));
        if status != Some(200) {
            return Ok(Verdict::NotRun(format!(
                "a running load was answered {status:?}"
            )));
        }
    }
    thread::sleep(Duration::from_secs(2));
    check_running(&mut dispatcher)?;
    dispatcher.record_counters(record);
    let summary = format!(
        "{late:?} of {GONE_KEYS} loads were sent to an engine long after their clients had gone"
    );
    Ok(if late.load(Ordering::SeqCst) > 0 {
        Verdict::Broken(summary)
    } else {
        Verdict::Held(summary)
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    end_after(Duration::from_secs(105));
    let record = match Record::new(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "nested-comment" => nested_comment(&record),
        "pipeline" => pipeline(&record),
        "half-results" => half_results(&record),
        "left-in-line" => left_in_line(&record),
        "gone-client" => gone_client(&record),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match result {
        Ok(Verdict::Held(text)) => (0, format!("held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("broken: {text}")),
        Ok(Verdict::NotRun(text)) | Err(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
