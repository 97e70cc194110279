//! Stand-ins for the cases of the review: compute nodes, name service, clients and the platform.
//! Standard library only; built by `review/build.sh`. Usage: `standins CASE`, with the environment variables RUN (the
//! command of the deploy file), RECORD (path of the record) and TROUBLE (0: without the disruption).
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::{BinaryHeap, HashSet};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn spawn(work: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    let builder = thread::Builder::new().stack_size(128 * 1024);
    builder.spawn(work).unwrap_or_else(|error| cannot_run(&format!("no thread: {error}")))
}

// ---- Record ----

struct Record {
    file: Mutex<File>,
    started: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Writes a line with the time since the start to the record.
fn record(text: &str) {
    if let Some(record) = RECORD.get() {
        let time_ms = record.started.elapsed().as_secs_f64() * 1e3;
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{time_ms:10.1} {text}");
    }
}

fn conclude(text: &str) {
    record(text);
    println!("{text}");
}

fn cannot_run(reason: &str) -> ! {
    conclude(&format!("the case could not run: {reason}"));
    if let Some(pid) = DISPATCHER.get() {
        unsafe { kill(*pid, SIGKILL) };
    }
    exit(2)
}

/// A pseudo-random 16-digit id, new with every call.
fn new_id() -> String {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(SeqCst) == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        STATE.store(now.as_nanos() as u64 | 1, SeqCst);
    }
    let mut x = STATE.fetch_add(0x9E37_79B9_7F4A_7C15, SeqCst);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    format!("{:016x}", x ^ (x >> 31))
}

// ---- Compute node ----

struct Node {
    address: SocketAddr,
    /// Requests received whole, and those answered.
    runs: Arc<(AtomicUsize, AtomicUsize)>,
}

/// A reply that is due at a time; ordered so that a heap gives the earliest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due(std::cmp::Reverse<Instant>, String);

fn bulk_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn read_line(reader: &mut impl io::BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_array(reader: &mut impl io::BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count: usize = read_line(reader)?[1..].parse().map_err(|_| ErrorKind::InvalidData)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let length: usize = read_line(reader)?[1..].parse().map_err(|_| ErrorKind::InvalidData)?;
        let mut part = vec![0; length + 2];
        reader.read_exact(&mut part)?;
        part.truncate(length);
        parts.push(part);
    }
    Ok(parts)
}

impl Node {
    /// Starts a compute node that runs each request for `run_ms` of its class, all of them side by side.
    fn start(run_ms: fn(&str) -> u64) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs: Arc<(AtomicUsize, AtomicUsize)> = Arc::default();
        let shared = runs.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let runs = shared.clone();
                spawn(move || drop(serve_dispatcher(stream, run_ms, &runs)));
            }
        });
        Node { address, runs }
    }
}

/// Records what the compute nodes have run.
fn record_runs(nodes: &[Node]) {
    let sum = |total: fn(&Node) -> &AtomicUsize| nodes.iter().map(|node| total(node).load(SeqCst)).sum::<usize>();
    let (received, answered) = (sum(|node| &node.runs.0), sum(|node| &node.runs.1));
    record(&format!("compute nodes: {received} requests received, {answered} answered"));
}

fn serve_dispatcher(stream: TcpStream, run_ms: fn(&str) -> u64, runs: &Arc<(AtomicUsize, AtomicUsize)>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (sender, receiver) = mpsc::channel::<Result<Due, String>>();
    let mut writer = stream.try_clone()?;
    let shared = runs.clone();
    spawn(move || {
        // Replies wait here until they are due. `Err` names an aborted request.
        let mut heap: BinaryHeap<Due> = BinaryHeap::new();
        let mut aborted: HashSet<String> = HashSet::new();
        loop {
            let wait = heap.peek().map_or(ms(60_000), |due| due.0 .0.saturating_duration_since(Instant::now()));
            match receiver.recv_timeout(wait) {
                Ok(Ok(due)) => heap.push(due),
                Ok(Err(id)) => drop(aborted.insert(id)),
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            while heap.peek().is_some_and(|due| due.0 .0 <= Instant::now()) {
                let Some(Due(_, id)) = heap.pop() else { break };
                if aborted.remove(&id) {
                    continue;
                }
                let reply = bulk_array(&[id.as_bytes(), b"DONE", b"batches=1", b"day\t1\tx\n"]);
                if writer.write_all(&reply).is_err() {
                    return;
                }
                shared.1.fetch_add(1, SeqCst);
            }
        }
    });
    let mut reader = io::BufReader::new(stream.try_clone()?);
    let mut answers = stream;
    loop {
        let parts = read_array(&mut reader)?;
        let text = |index: usize| String::from_utf8_lossy(parts.get(index).map_or(b"", Vec::as_slice)).into_owned();
        let id = text(1);
        match text(0).as_str() {
            "fetch" => {
                let fields = text(2);
                let class = fields.split(',').find_map(|field| field.strip_prefix("cls=")).unwrap_or("").to_owned();
                let due = Instant::now() + ms(run_ms(&class));
                runs.0.fetch_add(1, SeqCst);
                let _ = sender.send(Ok(Due(std::cmp::Reverse(due), id)));
            }
            "abort" => drop(sender.send(Err(id))),
            "alive" | "stats" => answers.write_all(&bulk_array(&[id.as_bytes(), b"FIT", b"-"]))?,
            _ => {}
        }
    }
}

// ---- Name service ----

fn push_name(bytes: &mut Vec<u8>, name: &str) {
    for label in name.split('.') {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
}

fn push_record(bytes: &mut Vec<u8>, name: Option<&str>, kind: u16, data: &[u8]) {
    match name {
        Some(name) => push_name(bytes, name),
        None => bytes.extend_from_slice(&[0xC0, 12]),
    }
    bytes.extend_from_slice(&kind.to_be_bytes());
    bytes.extend_from_slice(&[0, 1, 0, 0, 0, 0]);
    bytes.extend_from_slice(&(data.len() as u16).to_be_bytes());
    bytes.extend_from_slice(data);
}

/// Answers every query with the whole list, in which all compute nodes are ready.
fn start_name_service(nodes: &[SocketAddr]) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let nodes = nodes.to_vec();
    spawn(move || {
        let mut buffer = [0; 512];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            let query = &buffer[..length];
            if length < 17 {
                continue;
            }
            let mut answer = query[..2].to_vec();
            answer.extend_from_slice(&[0x84, 0, 0, 1]);
            let count = nodes.len() as u16;
            answer.extend_from_slice(&count.to_be_bytes());
            answer.extend_from_slice(&[0, 1]);
            answer.extend_from_slice(&(2 * count).to_be_bytes());
            answer.extend_from_slice(&query[12..]);
            let host = |index: usize| format!("s-{index}.hall-a.hosts");
            for (index, node) in nodes.iter().enumerate() {
                let mut data = vec![0, 0, 0, 10];
                data.extend_from_slice(&node.port().to_be_bytes());
                push_name(&mut data, &host(index));
                push_record(&mut answer, None, 33, &data);
            }
            let mut data = Vec::new();
            push_name(&mut data, "ns.pool.lan");
            push_name(&mut data, "ops.pool.lan");
            for number in [1_u32, 1, 1, 1, 1] {
                data.extend_from_slice(&number.to_be_bytes());
            }
            push_record(&mut answer, None, 6, &data);
            for index in 0..nodes.len() {
                push_record(&mut answer, Some(&host(index)), 1, &[127, 0, 0, 1]);
                let mut data = Vec::new();
                for text in ["kind=std-8", "cell=0", "started=0"] {
                    data.push(text.len() as u8);
                    data.extend_from_slice(text.as_bytes());
                }
                push_record(&mut answer, Some(&host(index)), 16, &data);
            }
            let _ = socket.send_to(&answer, from);
        }
    });
    address
}

// ---- Dispatcher and platform ----

static DISPATCHER: OnceLock<i32> = OnceLock::new();

struct Dispatcher {
    child: Child,
    address: SocketAddr,
    folder: PathBuf,
}

struct Limits {
    memory_mb: u64,
    sockets: u64,
    /// Longest wait of a client for a look-up.
    lookup_ms: u64,
}

fn configuration(listen: SocketAddr, resolver: SocketAddr, nodes: &[SocketAddr], limits: &Limits) -> String {
    let mut instances = String::new();
    for (index, node) in nodes.iter().enumerate() {
        let comma = if index > 0 { "," } else { "" };
        let _ = write!(
            instances,
            r#"{comma}{{"instanceId":"s-{index}","hostPort":"{node}","zone":"hall-a","machineType":"std-8","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}}"#
        );
    }
    let Limits { memory_mb, sockets, lookup_ms } = limits;
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"resolver":"{resolver}",
"known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"generation":1,"reset":true,"instances":[{instances}]}}}}]}},
"settings":{{"areas":["hall-a"],"balancers":1,"me":0,"zone":"hall-a","family":"queries","kinds":["std-8"],"layer":0,
"stages":["rate-engines"],"weights":"off","counted-by":"request","period-us":5000,"membership-mode":"pushed",
"clients":{{"marks-retry":true}},"report":{{"columns":[],"how":"off"}},
"family-info":{{"class-load":[false,false,true],"class-waits":[false,false,false],"cores-by-kind":[8],
"kind-memory-mb":[16384.0],"dop":[1,2,2],"grants":true,"lanes-count":true,"max-grant-share":0.4,
"memory-short":"shrink","tells-every-us":1000000,"cost-in-answers":false}},
"limits":{{"cancelling":true,"conn-idle-us":30000000,"connect-timeout-us":250000,"max-attempts":4,"max-open":20000,
"max-retry-after-us":500000,"parallel-tries":false,"peers":false,"probes":true,"retry-after":true,"streams-per-conn":32}},
"projects":[{{"name":"mass","share":0.8,"allowance-per-s":79.0}},{{"name":"conn","share":0.2,"allowance-per-s":20.0}}],
"rules":{{"answer-slack-us":20000,"ask-every-us":10000000,"cold-from":0.31,"drain-grace-us":1000000,"extra-free":5.0,
"fall-multiple":3.0,"overload-for-us":3000000,"ratio-span-us":10000000,"repeat-ratio":0.2,"warm-after-us":13000000}},
"services":[
{{"name":"lookup","effect":"read_like","aim-us":500000,"aim-stretch":1.5,"hard-limit-us":{lookup_ms}000,"dedup-scope":"all","repeat-window-us":5000000,"points":1.0,"late-worth":0.0,"stream":false}},
{{"name":"report","effect":"read_like","aim-us":2000000,"aim-stretch":2.5,"hard-limit-us":20000000,"dedup-scope":"all","repeat-window-us":5000000,"points":15.0,"late-worth":0.4,"stream":false}},
{{"name":"tariff-load","effect":"non_idempotent","aim-us":4000000,"aim-stretch":2.5,"hard-limit-us":25000000,"dedup-scope":"all","repeat-window-us":5000000,"points":15.0,"late-worth":0.5,"stream":false}}]}}}}
"#
    )
}

impl Dispatcher {
    /// Starts the dispatcher by the deploy file's command, and waits until it is ready.
    fn start(nodes: &[Node], limits: &Limits) -> Dispatcher {
        let command = std::env::var("RUN").unwrap_or_default();
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), new_id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&format!("no folder: {error}")));
        // A free port; it stays free because nothing else binds in between.
        let address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = address.unwrap_or_else(|error| cannot_run(&format!("no address: {error}")));
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let resolver = start_name_service(&addresses);
        let file = folder.join("config.json");
        let written = fs::write(&file, configuration(address, resolver, &addresses, limits));
        written.unwrap_or_else(|error| cannot_run(&format!("no file: {error}")));
        let log = File::create(folder.join("log")).unwrap_or_else(|error| cannot_run(&format!("no log: {error}")));
        let mut start = Command::new("/bin/sh");
        start.arg("-c").arg(&command);
        start.env("RELAY_NAME", "n0").env("RELAY_LISTEN", address.to_string()).env("RELAY_CONFIG", &file);
        start.env("TMPDIR", &folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // The dispatcher ends with this program (PR_SET_PDEATHSIG), however that ends.
        unsafe {
            start.pre_exec(|| {
                prctl(1, SIGKILL);
                Ok(())
            });
        }
        let child = start.spawn().unwrap_or_else(|error| cannot_run(&format!("{command}: {error}")));
        let _ = DISPATCHER.set(child.id() as i32);
        record(&format!("dispatcher started: {command}; limits {} MB, {} descriptors", limits.memory_mb, limits.sockets));
        let mut dispatcher = Dispatcher { child, address, folder };
        for _ in 0..600 {
            if dispatcher.is_ready() {
                record("dispatcher ready");
                return dispatcher;
            }
            if dispatcher.has_ended() {
                break;
            }
            thread::sleep(ms(50));
        }
        cannot_run("the dispatcher did not become ready")
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\n\r\n");
        let answer = read_answer(&mut stream, &mut Vec::new(), Instant::now() + ms(1000));
        matches!(answer, Ok(200))
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The memory that only this process holds (anonymous pages, in kB). Mapped program files are left out.
    fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let value = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        Some(value("RssAnon:")? + value("RssShmem:").unwrap_or(0))
    }

    fn end(mut self) {
        unsafe { kill(self.child.id() as i32, SIGTERM) };
        for _ in 0..400 {
            if self.has_ended() {
                break;
            }
            thread::sleep(ms(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

// ---- Clients ----

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum NoAnswer {
    Closed,
    Late,
}

fn request(class: &str, id: &str, wait_ms: u64, cost_ms: f64, statement: &str) -> Vec<u8> {
    format!(
        "POST /invoke/{class} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Wait-Ms: {wait_ms}\r\n\
         Req-Owner: mass\r\nReq-Cost: {cost_ms:.1}\r\nX-Need-Mb: 96\r\nContent-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
    .into_bytes()
}

/// Reads one whole answer until `until`, and returns its status. `buffer` keeps the bytes after it.
fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Instant) -> Result<u16, NoAnswer> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                buffer.drain(..end + 4 + length);
                let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
                return status.ok_or(NoAnswer::Closed);
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(NoAnswer::Late);
        }
        let _ = stream.set_read_timeout(Some(left.max(ms(1))));
        let mut bytes = [0; 16 * 1024];
        match stream.read(&mut bytes) {
            Ok(0) => return Err(NoAnswer::Closed),
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
            Err(_) => return Err(NoAnswer::Closed),
        }
    }
}

#[derive(Default)]
struct Totals {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    closed: AtomicUsize,
    lost: AtomicUsize,
    skipped: AtomicUsize,
}

impl Totals {
    fn count(&self, answer: Result<u16, NoAnswer>) {
        let total = match answer {
            Ok(200) => &self.served,
            Ok(429 | 503) => &self.refused,
            Ok(_) => &self.failed,
            Err(NoAnswer::Closed) => &self.closed,
            Err(NoAnswer::Late) => &self.lost,
        };
        total.fetch_add(1, SeqCst);
    }

    fn text(&self) -> String {
        let get = |total: &AtomicUsize| total.load(SeqCst);
        format!(
            "sent {}, served {}, refused {}, failed {}, connection closed without an answer {}, no answer in time {}, not judged {}",
            get(&self.sent),
            get(&self.served),
            get(&self.refused),
            get(&self.failed),
            get(&self.closed),
            get(&self.lost),
            get(&self.skipped)
        )
    }
}

// ---- Case 1: memory ----

/// Runs five usual clients and, with the disruption, what `start_bad_clients` starts after 2 s. The platform's stand-in
/// kills the dispatcher once it holds more memory than its limit. Returns whether the rule was broken.
fn memory_case(limits: &Limits, run_ms: u64, start_bad_clients: impl FnOnce(SocketAddr, &BadClients)) -> bool {
    let nodes: Vec<Node> = (0..6).map(|_| Node::start(|class| if class == "lookup" { 50 } else { 400 })).collect();
    let mut dispatcher = Dispatcher::start(&nodes, limits);
    let address = dispatcher.address;
    let bad = BadClients::default();
    let ends = bad.ends.clone();
    let totals: Arc<Totals> = Arc::default();
    let mut clients = Vec::new();
    for _ in 0..5 {
        let (ends, totals) = (ends.clone(), totals.clone());
        clients.push(spawn(move || sound_client(address, &ends, &totals)));
    }
    thread::sleep(ms(2000));
    start_bad_clients(address, &bad);
    let limit_kb = limits.memory_mb * 1024;
    let started = Instant::now();
    let mut peak_kb = 0;
    let mut killed = false;
    let mut ended = false;
    let mut next_line = Instant::now();
    while started.elapsed() < ms(run_ms) {
        let Some(memory_kb) = dispatcher.memory_kb() else {
            ended = true;
            break;
        };
        peak_kb = peak_kb.max(memory_kb);
        if Instant::now() >= next_line {
            next_line += ms(1000);
            let (open, sent) = (bad.open.load(SeqCst), bad.totals.sent.load(SeqCst));
            record(&format!("memory {memory_kb} kB; bad clients: {open} connections open, {sent} requests sent; usual clients: {}", totals.text()));
        }
        if memory_kb > limit_kb {
            record(&format!("platform: memory {memory_kb} kB is over the limit of {limit_kb} kB, dispatcher killed"));
            killed = true;
            let _ = dispatcher.child.kill();
            break;
        }
        ended = dispatcher.has_ended();
        if ended {
            break;
        }
        thread::sleep(ms(20));
    }
    if killed || ended {
        thread::sleep(ms(300));
    }
    ends.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    record(&format!("usual clients: {}", totals.text()));
    record(&format!("bad clients: {}", bad.totals.text()));
    record_runs(&nodes);
    dispatcher.end();
    let lost = totals.closed.load(SeqCst) + totals.lost.load(SeqCst);
    conclude(&format!(
        "peak memory {:.1} MB of {} MB; killed for memory: {killed}; ended by itself: {ended}; requests of usual clients without an answer: {lost}",
        peak_kb as f64 / 1024.0,
        limits.memory_mb
    ));
    killed || ended || lost > 0
}

/// What the bad clients share.
#[derive(Default)]
struct BadClients {
    open: Arc<AtomicUsize>,
    totals: Arc<Totals>,
    ends: Arc<AtomicBool>,
}

fn case_1(trouble: bool) -> bool {
    const BAD_CLIENTS: usize = 320;
    let limits = Limits { memory_mb: 192, sockets: 1024, lookup_ms: 2500 };
    memory_case(&limits, 25_000, |address, clients| {
        let (bad, open, ends) = (clients.totals.clone(), clients.open.clone(), clients.ends.clone());
        if !trouble {
            return;
        }
        spawn(move || {
            for _ in 0..BAD_CLIENTS {
                if ends.load(SeqCst) {
                    return;
                }
                let (bad, open, ends) = (bad.clone(), open.clone(), ends.clone());
                spawn(move || bad_client(address, &bad, &open, &ends));
                thread::sleep(ms(25));
            }
        });
    })
}

// ---- Case 2: arrivals that are kept ----

fn case_2(trouble: bool) -> bool {
    const BAD_CLIENTS: usize = 6;
    let limits = Limits { memory_mb: 32, sockets: 256, lookup_ms: 2500 };
    memory_case(&limits, if trouble { 104_000 } else { 30_000 }, |address, clients| {
        for _ in 0..if trouble { BAD_CLIENTS } else { 0 } {
            let (totals, open, ends) = (clients.totals.clone(), clients.open.clone(), clients.ends.clone());
            spawn(move || {
                open.fetch_add(1, SeqCst);
                let _ = turned_away_client(address, &totals, &ends);
                open.fetch_sub(1, SeqCst);
            });
        }
    })
}

/// Sends hundreds of look-ups at once with very little time left, and new ones as soon as they are turned away.
fn turned_away_client(address: SocketAddr, totals: &Totals, ends: &AtomicBool) -> io::Result<()> {
    const AT_ONCE: usize = 400;
    const START: &[u8] = b"HTTP/1.1 ";
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ms(5000)))?;
    let mut bytes = vec![0; 256 * 1024];
    while !ends.load(SeqCst) {
        let mut requests = Vec::with_capacity(AT_ONCE * 256);
        for _ in 0..AT_ONCE {
            requests.extend(request("lookup", &new_id(), 1, 5000.0, "SELECT day FROM sales_17.orders"));
        }
        stream.write_all(&requests)?;
        totals.sent.fetch_add(AT_ONCE, SeqCst);
        // Counts the heads of the answers; a head may lie across two reads.
        let mut answers = 0;
        let mut kept = 0;
        while answers < AT_ONCE {
            let count = stream.read(&mut bytes[kept..])?;
            if count == 0 {
                return Ok(());
            }
            let end = kept + count;
            let mut position = 0;
            let mut next = 0;
            while position + START.len() <= end {
                if &bytes[position..position + START.len()] == START {
                    answers += 1;
                    let served = bytes[..end].get(position + START.len()) == Some(&b'2');
                    if served { &totals.served } else { &totals.refused }.fetch_add(1, SeqCst);
                    position += START.len();
                    next = position;
                } else {
                    position += 1;
                }
            }
            let tail = next.max(end.saturating_sub(START.len() - 1));
            bytes.copy_within(tail..end, 0);
            kept = end - tail;
        }
    }
    Ok(())
}

/// Sends a look-up every 100 ms on a connection that it keeps.
fn sound_client(address: SocketAddr, ends: &AtomicBool, totals: &Totals) {
    let mut connection: Option<(TcpStream, Vec<u8>)> = None;
    while !ends.load(SeqCst) {
        thread::sleep(ms(100));
        let (mut stream, mut buffer) = match connection.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(address) {
                Ok(stream) => (stream, Vec::new()),
                Err(_) => continue,
            },
        };
        let bytes = request("lookup", &new_id(), 2500, 20.0, "SELECT day, note FROM sales_17.orders WHERE tag = '3f9c'");
        if stream.write_all(&bytes).is_err() {
            continue;
        }
        totals.sent.fetch_add(1, SeqCst);
        let answer = read_answer(&mut stream, &mut buffer, Instant::now() + ms(2500 + 500 + 50));
        totals.count(answer);
        if answer.is_ok() {
            connection = Some((stream, buffer));
        }
    }
}


/// What a bad client sends at once: one look-up, health calls of 4 KB, and small look-ups with much time left.
const HEALTH_CALLS: usize = 275;
const LOOKUPS: usize = 250;

/// Sends hundreds of requests at once, reads every answer, and keeps nothing open afterwards.
fn bad_client(address: SocketAddr, totals: &Totals, open: &AtomicUsize, ends: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    open.fetch_add(1, SeqCst);
    let lookup = || request("lookup", &new_id(), 20_000, 10.0, "SELECT day FROM sales_17.orders WHERE tag = '3f9c'");
    let mut bytes = lookup();
    let mut count = 1;
    for _ in 0..HEALTH_CALLS {
        bytes.extend(format!("GET /_health HTTP/1.1\r\nHost: backend.local\r\nUser-Agent: {}\r\n\r\n", "x".repeat(4000)).into_bytes());
        count += 1;
    }
    for _ in 0..LOOKUPS {
        bytes.extend(lookup());
        count += 1;
    }
    if let Ok(mut writer) = stream.try_clone() {
        spawn(move || drop(writer.write_all(&bytes)));
    }
    totals.sent.fetch_add(count, SeqCst);
    let mut buffer = Vec::new();
    for _ in 0..count {
        let answer = read_answer(&mut stream, &mut buffer, Instant::now() + ms(10_000));
        totals.count(answer);
        if answer.is_err() || ends.load(SeqCst) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    open.fetch_sub(1, SeqCst);
}

// ---- Case 3: idle clients ----

fn case_3(trouble: bool) -> bool {
    const DEADLINE_MS: u64 = 1500;
    // A try is given up after 80% of the deadline.
    const WAIT_MS: u64 = 1200;
    const IDLE_CLIENTS: usize = 500;
    let nodes: Vec<Node> = (0..3).map(|_| Node::start(|class| if class == "lookup" { 30 } else { 400 })).collect();
    let limits = Limits { memory_mb: 64, sockets: 256, lookup_ms: DEADLINE_MS };
    let mut dispatcher = Dispatcher::start(&nodes, &limits);
    let address = dispatcher.address;
    let ends = Arc::new(AtomicBool::new(false));
    if trouble {
        for _ in 0..IDLE_CLIENTS {
            let ends = ends.clone();
            spawn(move || {
                // Connects, says nothing, closes its idle connection after 4 s, and connects again.
                while !ends.load(SeqCst) {
                    if let Ok(stream) = TcpStream::connect_timeout(&address, ms(3000)) {
                        let connected = Instant::now();
                        while connected.elapsed() < ms(4000) && !ends.load(SeqCst) {
                            thread::sleep(ms(50));
                        }
                        drop(stream);
                    }
                }
            });
        }
        record(&format!("{IDLE_CLIENTS} idle clients connect"));
    }
    let totals: Arc<Totals> = Arc::default();
    let mut clients = Vec::new();
    let started = Instant::now();
    while started.elapsed() < ms(20_000) {
        let totals = totals.clone();
        clients.push(spawn(move || single_lookup(address, WAIT_MS, &totals)));
        thread::sleep(ms(50));
    }
    let ended = dispatcher.has_ended();
    clients.into_iter().for_each(|client| drop(client.join()));
    ends.store(true, SeqCst);
    record_runs(&nodes);
    dispatcher.end();
    let lost = totals.lost.load(SeqCst);
    conclude(&format!("look-ups of usual clients: {}; dispatcher ended: {ended}", totals.text()));
    lost > 0 || ended
}

/// Whether the dispatcher's system holds the other end of `stream` as an established connection.
fn is_accepted(stream: &TcpStream) -> bool {
    let (Ok(SocketAddr::V4(client)), Ok(SocketAddr::V4(server))) = (stream.local_addr(), stream.peer_addr()) else {
        return false;
    };
    let entry = |ip: &Ipv4Addr, port: u16| format!("{:08X}:{port:04X}", u32::from_le_bytes(ip.octets()));
    let (local, remote) = (entry(server.ip(), server.port()), entry(client.ip(), client.port()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().take(4).collect();
        words.len() == 4 && words[1] == local && words[2] == remote && words[3] == "01"
    })
}

/// One look-up of a sound client on a new connection. It is lost if nothing answers or ends it by the end of the
/// client's time, half a second and the 50 ms of the protocol page.
fn single_lookup(address: SocketAddr, wait_ms: u64, totals: &Totals) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(3000)) else { return };
    let id = new_id();
    let bytes = request("lookup", &id, wait_ms, 20.0, "SELECT day, note FROM sales_17.orders WHERE tag = '3f9c'");
    if stream.write_all(&bytes).is_err() {
        return;
    }
    let written = Instant::now();
    totals.sent.fetch_add(1, SeqCst);
    if !is_accepted(&stream) {
        // The system has not accepted this connection yet: not judged.
        totals.skipped.fetch_add(1, SeqCst);
        return;
    }
    let answer = read_answer(&mut stream, &mut Vec::new(), written + ms(wait_ms + 500 + 50));
    let took_ms = written.elapsed().as_secs_f64() * 1e3;
    record(&format!("look-up {id}: {answer:?} after {took_ms:.0} ms"));
    totals.count(answer);
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = File::create(&path).unwrap_or_else(|error| {
        eprintln!("{path}: {error}");
        exit(2)
    });
    let _ = RECORD.set(Record { file: Mutex::new(file), started: Instant::now() });
    spawn(|| {
        thread::sleep(ms(110_000));
        cannot_run("110 s have passed")
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record(&format!("case {case}, disruption: {trouble}"));
    let is_broken = match case.as_str() {
        "1" => case_1(trouble),
        "2" => case_2(trouble),
        "3" => case_3(trouble),
        _ => cannot_run("unknown case"),
    };
    conclude(if is_broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(is_broken))
}
