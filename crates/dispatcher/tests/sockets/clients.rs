//! Clients that are idle, send malformed requests, or never stop sending.

use super::support::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use tansymux_testbed::program::{Config, TIMEOUT};
use tansymux_testbed::wire::read_response;

/// Sets the smallest accepted limit of descriptors, which allows 25 client connections.
fn with_smallest_socket_limit(config: Config) -> Config {
    config.with("limits", json!({"sockets": 64, "memory_mb": 32}))
}

#[test]
fn idle_and_silent_clients_are_evicted_for_clients_with_queries() {
    let (address, _requests) = instant_engine();
    let program = start_with(&[address], with_smallest_socket_limit);
    let silent_clients: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(program.listen).unwrap())
        .collect();
    let started = Instant::now();
    let served_clients: Vec<TcpStream> = (1..80)
        .map(|id| {
            let client = post_query(program.listen, "look", id);
            assert_eq!(
                read_response(&mut BufReader::new(client.try_clone().unwrap()))
                    .unwrap()
                    .status,
                200
            );
            client
        })
        .collect();
    assert!(
        started.elapsed() < Duration::from_millis(2500),
        "{:?}",
        started.elapsed()
    );
    // Clients that never sent a request see their connection close. A client that sends its request too slowly gets
    // an error.
    let mut slow_client = TcpStream::connect(program.listen).unwrap();
    slow_client.set_read_timeout(Some(TIMEOUT)).unwrap();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) && slow_client.write_all(b"POST /x").is_ok() {
        thread::sleep(Duration::from_millis(100));
    }
    for mut client in silent_clients {
        client.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert!(!matches!(client.read(&mut [0]), Ok(1..)));
    }
    assert!(
        started.elapsed() < Duration::from_millis(3500),
        "{:?}",
        started.elapsed()
    );
    assert!(read_response(&mut BufReader::new(slow_client))
        .is_none_or(|response| response.status == 408));
    drop(served_clients);
}

#[test]
fn invalid_requests_are_rejected_and_bytes_after_them_are_never_parsed() {
    let (address, requests) = instant_engine();
    let program = start_with(&[address], with_smallest_socket_limit);
    let next_request =
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
            .write_all(format!("{head}{rest}{next_request}").as_bytes())
            .unwrap();
        let mut reader = BufReader::new(client);
        assert_eq!(read_response(&mut reader).unwrap().status, status, "{rest}");
        assert!(read_response(&mut reader).is_none(), "{rest}");
    }
    assert_eq!(requests.try_iter().count(), 0);
    assert_eq!(answer_status(post_query(program.listen, "look", 1)), 200);
}

#[test]
fn error_for_an_oversized_statement_reaches_its_client_while_it_still_sends() {
    let (address, requests) = instant_engine();
    let program = start_with(&[address], with_smallest_socket_limit);
    let head = "POST /invoke/look HTTP/1.1\r\nReq-Id: 00000000000000aa\r\n";
    let mut client = TcpStream::connect(program.listen).unwrap();
    client
        .write_all(format!("{head}Content-Length: 60000000\r\n\r\n").as_bytes())
        .unwrap();
    (0..50).for_each(|_| drop(client.write_all(&[b'x'; 4096])));
    assert_eq!(
        read_response(&mut BufReader::new(client)).unwrap().status,
        413
    );
    assert_eq!(requests.try_iter().count(), 0);
    assert_eq!(answer_status(post_query(program.listen, "look", 1)), 200);
}

#[test]
fn clients_that_fill_the_read_buffers_do_not_block_small_requests() {
    let (address, _requests) = instant_engine();
    let program = start_with(&[address], |config| {
        with_smallest_socket_limit(config).with("limits.memory_mb", 16)
    });
    // Incomplete requests fill all but a few bytes of the bound on read buffers, a tenth of 16 MB.
    let head = "POST /invoke/look HTTP/1.1\r\nContent-Length: 65000\r\n\r\n";
    let sent = [head.as_bytes(), &vec![b'x'; 59_915 - head.len()]].concat();
    let buffering_clients: Vec<TcpStream> = (0..28)
        .map(|_| {
            let mut client = TcpStream::connect(program.listen).unwrap();
            client.write_all(&sent).unwrap();
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    for id in 1..5 {
        assert_eq!(answer_status(post_query(program.listen, "look", id)), 200);
    }
    drop(buffering_clients);
}
