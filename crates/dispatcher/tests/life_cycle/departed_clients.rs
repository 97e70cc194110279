//! Clients that close their connections while the program has not read all that they sent: nothing may be sent to an
//! engine for them from then on.

use super::support::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::ClientQuery;
use tansymux_testbed::engine::{start_scripted_engine, ReceivedFrame};
use tansymux_testbed::program::{Config, TIMEOUT};
use tansymux_testbed::wire::read_response;

/// Time for which a client sends as much as the system takes.
const SENDING: Duration = Duration::from_millis(100);
/// Time after a client's departure within which an attempt may still begin, by the protocol: 0.1 s, and 50 ms that each
/// limit is longer on sockets.
const DEPARTURE_TOLERANCE: Duration = Duration::from_millis(150);
/// Run time of a query (ms): the clients have been gone for longer than the rule allows when a query ends.
const RUN_MS: u64 = 600;

/// What a client sends behind its first request: number of requests, and length of their statements (bytes).
const BEHIND: [(u64, usize); 3] = [(250, 40_000), (6000, 700), (160, 60_000)];

/// Returns the request of a load without an ordering key, with a statement of about `statement_len` bytes.
fn load_bytes(id: u64, statement_len: usize) -> Vec<u8> {
    let statement = format!(
        "INSERT INTO sales_17.orders VALUES ('{}')",
        "x".repeat(statement_len)
    );
    ClientQuery::new(id, "/invoke/load", "load", &statement, 9000.0).bytes()
}

/// Returns the requests of `count` loads with the ids from 1,000.
fn pipelined_loads(count: u64, statement_len: usize) -> Vec<u8> {
    let requests = (0..count).map(|nth| load_bytes(1000 + nth, statement_len));
    requests.collect::<Vec<_>>().concat()
}

/// Sends as many of `bytes` as the system takes within [`SENDING`], and closes the connection. Returns when it did.
fn send_and_leave(mut stream: TcpStream, bytes: &[u8]) -> Instant {
    let started = Instant::now();
    let mut sent = 0;
    stream.set_nonblocking(true).unwrap();
    while started.elapsed() < SENDING {
        match stream.write(&bytes[sent..]) {
            Ok(count @ 1..) => sent += count,
            _ => thread::sleep(Duration::from_millis(1)),
        }
    }
    // More than the program reads ahead, so that the end of the connection stays behind unread bytes.
    assert!(sent > 2 << 20, "{sent}");
    drop(stream);
    Instant::now()
}

/// Returns a configuration whose loads are sent in the order of their keys.
fn keyed_config(engines: &[SocketAddr]) -> Config {
    let load = json!({
        keys::group::NAME: "load",
        keys::group::OBJECTIVE_US: 300_000,
        keys::group::USUAL_TIMEOUT_US: 9_000_000,
        keys::group::EFFECT: keys::effect::NON_IDEMPOTENT,
        keys::group::ORDERED_BY_KEY: true,
    });
    two_group_config(engines).with_setting(&format!("{}.1", keys::GROUPS), load)
}

fn keyed_load_bytes(id: u64) -> Vec<u8> {
    let head = format!(
        "POST /invoke/load HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Wait-Ms: 9000\r\nReq-Owner: acme\r\n"
    );
    format!("{head}Req-Key: c7\r\nContent-Length: 8\r\n\r\nINSERT 1").into_bytes()
}

/// Waits, and returns the ids of the queries that an engine received after their client had left at `left_at`.
fn fetched_ids_after(
    requests: &Receiver<ReceivedFrame>,
    left_at: Instant,
    wait: Duration,
) -> Vec<String> {
    thread::sleep(wait);
    let late_frames = requests
        .try_iter()
        .filter(|(parts, at)| parts[0] == "fetch" && *at > left_at + DEPARTURE_TOLERANCE);
    late_frames.map(|(parts, _)| parts[1].clone()).collect()
}

/// Guards against a query that waits for its turn and is sent long after its client has gone.
#[test]
fn waiting_load_is_not_sent_once_its_client_has_left_behind_unread_requests() {
    for (count, statement_len) in BEHIND {
        let (address, requests) = start_delayed_engine(RUN_MS);
        let program = start(&keyed_config(&[address]));
        let pipelined = pipelined_loads(count, statement_len);
        let mut first = connect_client(&program);
        first.write_all(&keyed_load_bytes(1)).unwrap();
        assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
        let mut second = connect_client(&program);
        second.write_all(&keyed_load_bytes(2)).unwrap();
        let left_at = send_and_leave(second, &pipelined);
        assert_eq!(answer_status(&first), Some(200));
        let wait = Duration::from_millis(300);
        let sent = fetched_ids_after(&requests, left_at, wait);
        assert_eq!(sent, Vec::<String>::new(), "{count} of {statement_len}");
        // The next load of the key is served.
        let mut third = connect_client(&program);
        third.write_all(&keyed_load_bytes(3)).unwrap();
        assert_eq!(answer_status(&third), Some(200));
    }
}

/// Guards against the next request of a connection, which is read already, being sent after its client has gone.
#[test]
fn buffered_request_is_not_sent_once_its_client_has_left_behind_unread_requests() {
    for (count, statement_len) in BEHIND {
        let (address, requests) = start_delayed_engine(RUN_MS);
        let program = start(&two_group_config(&[address]));
        let pipelined = pipelined_loads(count, statement_len);
        let client = send_query(&program, "load", 1);
        assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
        let left_at = send_and_leave(client, &pipelined);
        let wait = Duration::from_millis(RUN_MS + 600);
        let sent = fetched_ids_after(&requests, left_at, wait);
        assert_eq!(sent, Vec::<String>::new(), "{count} of {statement_len}");
    }
}

/// Delay of a link in each direction.
const LINK_DELAY: Duration = Duration::from_millis(20);

/// Starts a link with a delay between one client and the program, and returns the address for the client. The link
/// reads all that the client sends, and forwards it as far as the program accepts it, so that the end of the client's
/// stream arrives at least [`LINK_DELAY`] after the bytes before it. Answers are discarded.
fn start_delayed_link(program: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut from_client, _) = listener.accept().unwrap();
        let mut to_program = TcpStream::connect(program).unwrap();
        let mut from_program = to_program.try_clone().unwrap();
        let (sender, blocks) = channel::<(Instant, Vec<u8>)>();
        thread::spawn(move || while matches!(from_program.read(&mut [0; 4096]), Ok(1..)) {});
        thread::spawn(move || {
            for (due, block) in blocks {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if to_program.write_all(&block).is_err() {
                    return;
                }
            }
            thread::sleep(LINK_DELAY);
            let _ = to_program.shutdown(Shutdown::Write);
        });
        let mut block = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = from_client.read(&mut block) {
            let due = Instant::now() + LINK_DELAY;
            let _ = sender.send((due, block[..count].to_vec()));
        }
    });
    address
}

/// Guards against the next request of a connection being sent while the end of the stream is still on its way.
#[test]
fn buffered_request_is_not_sent_once_its_client_has_left_over_a_link_with_a_delay() {
    for (count, statement_len) in BEHIND {
        let (address, requests) = start_delayed_engine(RUN_MS);
        let program = start(&two_group_config(&[address]));
        let pipelined = pipelined_loads(count, statement_len);
        let mut client = TcpStream::connect(start_delayed_link(program.listen)).unwrap();
        client.write_all(&query_bytes("load", 1)).unwrap();
        assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
        let left_at = send_and_leave(client, &pipelined);
        let wait = Duration::from_millis(RUN_MS + 600);
        let sent = fetched_ids_after(&requests, left_at + LINK_DELAY, wait);
        assert_eq!(sent, Vec::<String>::new(), "{count} of {statement_len}");
    }
}

/// Guards against a retry for a client that has gone.
#[test]
fn look_up_is_not_retried_once_its_client_has_left_behind_unread_requests() {
    for (count, statement_len) in BEHIND {
        let (address, requests) = start_scripted_engine(|_, to| {
            let to = to.try_clone().unwrap();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(RUN_MS));
                let _ = to.shutdown(Shutdown::Both);
            });
        });
        let program = start(&two_group_config(&[address]));
        let pipelined = pipelined_loads(count, statement_len);
        let client = send_query(&program, "look", 1);
        assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
        let left_at = send_and_leave(client, &pipelined);
        let wait = Duration::from_millis(RUN_MS + 600);
        let sent = fetched_ids_after(&requests, left_at, wait);
        assert_eq!(sent, Vec::<String>::new(), "{count} of {statement_len}");
    }
}

/// Guards against refusing, or not answering, a client that sends more ahead than the program reads, and stays.
#[test]
fn client_that_stays_gets_an_answer_to_each_of_many_large_requests() {
    for (count, statement_len) in BEHIND {
        let (address, _requests) = start_delayed_engine(0);
        let program = start(&two_group_config(&[address]));
        let client = connect_client(&program);
        let mut writer = client.try_clone().unwrap();
        let bytes = pipelined_loads(count, statement_len);
        let write_thread = thread::spawn(move || writer.write_all(&bytes).unwrap());
        let mut reader = BufReader::new(client);
        let mut statuses = Vec::new();
        for _ in 0..count {
            statuses.push(read_response(&mut reader).map(|response| response.status));
        }
        write_thread.join().unwrap();
        let is_answer = |status: &Option<u16>| matches!(status, Some(200 | 429 | 503));
        assert!(statuses.iter().all(is_answer), "{statuses:?}");
        // The requests that fit into the program's buffer with all that follows them are served.
        assert_eq!(statuses.last(), Some(&Some(200)));
        let served = statuses.iter().filter(|status| **status == Some(200));
        assert!(served.count() >= 8, "{statuses:?}");
    }
}
