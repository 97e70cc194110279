//! The program's memory under clients that send much at once.

use crate::support::{config, EXE};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::start_delayed_engine;
use tansymux_testbed::program::{anonymous_memory_kb, Program, TIMEOUT};
use tansymux_testbed::wire::read_response;

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
/// that ends the connection for lack of memory.
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
        let status = answer.map(|answer| answer.status);
        assert!(matches!(status, Some(200 | 503)), "{nth}: {status:?}");
        if status == Some(503) {
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
