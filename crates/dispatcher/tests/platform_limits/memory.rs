//! The program's memory under clients that send much at once, and over many requests.

use crate::support::{config, EXE};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::{start_delayed_engine, start_scripted_engine, write_result};
use tansymux_testbed::program::{anonymous_memory_kb, Program, TempFile, TIMEOUT};
use tansymux_testbed::wire::{read_response, write_frame, HttpResponse};

/// `limits.memory_mb` of the program under test.
const MEMORY_MB: u64 = 16;

/// Samples the anonymous memory of a process until stopped.
struct MemorySampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl MemorySampler {
    fn start(pid: u32) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = is_stopped.clone();
        let thread = thread::spawn(move || {
            let mut peak_kb = 0;
            while !stop.load(Ordering::Relaxed) {
                peak_kb = peak_kb.max(anonymous_memory_kb(pid).unwrap_or(0));
                thread::sleep(Duration::from_millis(5));
            }
            peak_kb
        });
        MemorySampler { is_stopped, thread }
    }

    /// Stops, and returns the highest sample (kB).
    fn stop(self) -> u64 {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// The request of a look-up, which the engine answers late.
fn lookup(id: u64) -> Vec<u8> {
    let statement = "SELECT a FROM sales_17.orders";
    ClientQuery::new(id, "/invoke/look", "look", statement, 9000.0).bytes()
}

/// Sends a look-up, 250 large health checks and 60 further look-ups at once, and reads an answer to each, or up to a 503
/// that ends the connection for lack of memory. A 503 to a look-up with too much behind it does not end the connection.
fn send_much_at_once(mut stream: TcpStream, first_id: u64) {
    let health_checks = 250;
    let lookups = 60;
    let padding = "x".repeat(4000);
    let health_check = format!("GET /_health HTTP/1.1\r\nUser-Agent: {padding}\r\n\r\n");
    let mut bytes = lookup(first_id);
    bytes.extend(health_check.repeat(health_checks).into_bytes());
    (1..=lookups).for_each(|id| bytes.extend(lookup(first_id + id)));
    let mut writer = stream.try_clone().unwrap();
    let write_thread = thread::spawn(move || writer.write_all(&bytes));
    stream.flush().unwrap();
    let mut reader = BufReader::new(stream);
    for nth in 0..=health_checks as u64 + lookups {
        let answer = read_response(&mut reader);
        let status = answer.as_ref().map(|answer| answer.status);
        assert!(matches!(status, Some(200 | 503)), "{nth}: {status:?}");
        let ends_connection = |answer: HttpResponse| answer.head.contains("Connection: close\r\n");
        if answer.is_some_and(ends_connection) {
            assert_eq!(status, Some(503), "{nth}");
            break;
        }
    }
    drop(reader);
    let _ = write_thread.join();
}

/// Guards against read buffers that keep the memory of consumed bytes beyond the limit on all of them: once the quick
/// requests of one connection were answered, the next connection could hold as much again.
#[test]
fn clients_that_send_much_at_once_keep_the_program_within_its_memory_limit() {
    let (engine, _requests) = start_delayed_engine(Duration::from_millis(50));
    let limits = json!({"sockets": 256, "memory_mb": MEMORY_MB});
    let config = config(&[engine]).with("limits", limits);
    let program = Program::start(Path::new(EXE), &config, &[]);
    let sampler = MemorySampler::start(program.child.id());
    let mut clients = Vec::new();
    for client in 0..40 {
        let stream = TcpStream::connect(program.listen).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        clients.push(thread::spawn(move || {
            send_much_at_once(stream, 1000 * (client + 1))
        }));
        // The previous client's health checks are answered by now.
        thread::sleep(Duration::from_millis(70));
    }
    for client in clients {
        client.join().unwrap();
    }
    let peak_kb = sampler.stop();
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
}

/// Rows of three short columns on each page of a large result: as JSON they take more than twice their size.
const ROWS_PER_PAGE: usize = 1000;
/// Number of pages of a large result.
const PAGES: usize = 8;
/// Clients that do not read their answers: more than the memory of the program has room for.
const CLIENTS_THAT_DO_NOT_READ: u64 = 110;

/// Starts an engine whose look-ups have large results, but for the query with this id.
fn start_large_result_engine(id_of_small_result: &str) -> SocketAddr {
    let id_of_small_result = id_of_small_result.to_owned();
    let (engine, _requests) = start_scripted_engine(move |parts, to| {
        let rows = "a\tb\tc\n".repeat(ROWS_PER_PAGE);
        let id = &parts[1];
        match parts[0].as_str() {
            "fetch" if *id == id_of_small_result => write_result(to, id),
            "fetch" => drop(write_frame(
                to,
                &[id, "DONE", &format!("batches={PAGES}"), &rows],
            )),
            "more" => drop(write_frame(
                to,
                &[id, "MORE", &format!("batch={}", parts[2]), &rows],
            )),
            _ => {}
        }
    });
    engine
}

/// Sends look-ups on a connection on which the system accepts few bytes of answers, and reads none of them.
fn send_without_reading(listen: SocketAddr, first_id: u64) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.connect(&listen.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    for id in first_id..first_id + 5 {
        stream.write_all(&lookup(id)).unwrap();
    }
    stream
}

/// Guards against answers that their clients do not read, whose memory no limit counts.
#[test]
fn clients_that_do_not_read_their_answers_keep_the_program_within_its_memory_limit() {
    let usual_id = 1;
    let engine = start_large_result_engine(&format!("{usual_id:016x}"));
    let limits = json!({"sockets": 256, "memory_mb": MEMORY_MB});
    let config = config(&[engine]).with("limits", limits);
    let program = Program::start(Path::new(EXE), &config, &[]);
    let sampler = MemorySampler::start(program.child.id());
    let clients = (1..=CLIENTS_THAT_DO_NOT_READ)
        .map(|client| send_without_reading(program.listen, 1000 * client))
        .collect::<Vec<_>>();
    thread::sleep(Duration::from_secs(3));
    // Another client is served.
    assert_eq!(exchange(&program, &lookup(usual_id), 1), [200]);
    drop(clients);
    let peak_kb = sampler.stop();
    assert!(peak_kb < MEMORY_MB << 10, "{peak_kb} kB");
}

/// Queries of each kind by default; `TANSYMUX_QUERIES` sets another number for a run by hand.
const DEFAULT_QUERIES: u64 = 2000;
/// Requests of each kind in one batch.
const BATCH: u64 = 50;
/// Batches before the memory is first measured: more served queries than the program remembers ids of.
const WARM_UP_BATCHES: u64 = 200;
/// Allowed growth of the program (kB) after the warm-up.
const MAX_GROWTH_KB: u64 = 1024;

/// Sends requests on a new connection, and reads `answers` answers.
fn exchange(program: &Program, bytes: &[u8], answers: u64) -> Vec<u16> {
    let mut stream = TcpStream::connect(program.listen).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut reader = BufReader::new(stream);
    let read = |_| read_response(&mut reader).unwrap().status;
    (0..answers).map(read).collect()
}

/// The request of a query of a class, with its own statement shape.
fn query(class: &str, id: u64, max_wait_ms: f64) -> ClientQuery {
    let path = format!("/invoke/{class}");
    let statement = format!("SELECT a{id} FROM sales_{id}.orders{id}");
    ClientQuery::new(id, &path, class, &statement, max_wait_ms)
}

/// Sends a batch of queries that are served, of loads and of queries without time, and one request each of an unknown
/// class, an unknown owner and a repeated id, each of which ends its connection.
fn send_batch(program: &Program, batch: u64) {
    let first_id = 1 + batch * 10 * BATCH;
    let ids = |kind: u64| first_id + kind * BATCH..first_id + (kind + 1) * BATCH;
    let mut bytes = Vec::new();
    ids(0).for_each(|id| bytes.extend(query("look", id, 9000.0).bytes()));
    ids(1).for_each(|id| bytes.extend(query("load", id, 9000.0).bytes()));
    ids(2).for_each(|id| bytes.extend(query("look", id, 1.0).bytes()));
    let statuses = exchange(program, &bytes, 3 * BATCH);
    assert!(statuses.iter().all(|status| [200, 429].contains(status)));
    let unknown_class = query(&format!("class-{batch}"), first_id + 3 * BATCH, 9000.0);
    let mut unknown_owner = query("look", first_id + 4 * BATCH, 9000.0);
    unknown_owner.tenant = format!("owner-{batch}");
    let repeated_id = query("look", first_id, 9000.0);
    for (refused, status) in [
        (unknown_class, 404),
        (unknown_owner, 403),
        (repeated_id, 409),
    ] {
        assert_eq!(exchange(program, &refused.bytes(), 1), [status]);
    }
}

/// Guards against collections of the whole program that grow with each request, whatever becomes of it.
#[test]
fn memory_is_constant_while_requests_of_each_kind_come_and_go() {
    let queries = std::env::var("TANSYMUX_QUERIES").ok();
    let queries = queries.map_or(DEFAULT_QUERIES, |queries| queries.parse().unwrap());
    let (engine, _requests) = start_delayed_engine(Duration::ZERO);
    let limits = json!({"sockets": 256, "memory_mb": 32});
    let config = config(&[engine]).with("limits", limits);
    let operator = TempFile::new("operator.textproto", "statements { check: LOG }");
    let path = operator.0.display().to_string();
    let arguments = ["--operator", path.as_str(), "--log-level", "error"];
    let program = Program::start(Path::new(EXE), &config, &arguments);
    (0..WARM_UP_BATCHES).for_each(|batch| send_batch(&program, batch));
    let before_kb = anonymous_memory_kb(program.child.id()).unwrap();
    let batches = WARM_UP_BATCHES..WARM_UP_BATCHES + queries / BATCH;
    batches.for_each(|batch| send_batch(&program, batch));
    let after_kb = anonymous_memory_kb(program.child.id()).unwrap();
    println!("{before_kb} kB before, {after_kb} kB after {queries} queries of each kind");
    assert!(
        after_kb < before_kb + MAX_GROWTH_KB,
        "{before_kb} kB, {after_kb} kB"
    );
}
