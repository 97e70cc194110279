//! Queries from request to answer.

use super::support::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::engine::{start_scripted_engine as engine, write_result_of};
use tansymux_testbed::program::{free_address, get, TIMEOUT};
use tansymux_testbed::wire::read_response;

#[test]
fn result_pages_of_an_engine_are_returned_as_one_answer() {
    let (address, requests) = engine(|parts, to| match parts[0].as_str() {
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
    // Two requests on one connection, one after the other.
    let mut client = post_query(program.listen, "look", 1);
    let mut reader = BufReader::new(client.try_clone().unwrap());
    let served = r#"{"data":[["a","1","\""],["b","2","y"]]}"#;
    assert_eq!(
        read_response(&mut reader).map(|response| (response.status, response.body)),
        Some((200, served.into()))
    );
    client
        .write_all(b"GET /_counters HTTP/1.1\r\n\r\n")
        .unwrap();
    let counters = read_response(&mut reader).unwrap().body;
    for line in [
        "taken 1\n",
        "finished 1\n",
        "submissions_finished 1\n",
        "unanswered 0\n",
        "in_hand 0\n",
    ] {
        assert!(counters.contains(line), "{line} in {counters}");
    }
    let fetch = requests.recv_timeout(TIMEOUT).unwrap().0;
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
    assert!(program.wait_for_exit().contains("taken 1\n"));
}

#[test]
fn sigterm_keeps_accepting_during_the_accept_grace_and_answers_all_queries() {
    let (address, requests) = engine(|_, _| {});
    let mut program = start(&[address]);
    let mut clients = vec![
        post_query(program.listen, "look", 1),
        post_query(program.listen, "load", 2),
    ];
    (0..2).for_each(|_| drop(requests.recv_timeout(TIMEOUT).unwrap()));
    // Hundreds of silent clients and a reload in progress do not delay the shutdown.
    let _silent_clients: Vec<TcpStream> = (0..300)
        .map(|_| TcpStream::connect(program.listen).unwrap())
        .collect();
    let started = Instant::now();
    program.signal("-HUP");
    program.terminate();
    while get(program.listen, "/_health").is_some_and(|response| response.status == 200) {
        assert!(started.elapsed() < TIMEOUT);
    }
    clients.push(post_query(program.listen, "look", 3));
    let statuses: Vec<u16> = clients
        .iter()
        .map(|client| read_response(&mut BufReader::new(client)).unwrap().status)
        .collect();
    // The engine is silent: read-only queries are rejected, and the query that may have changed tables fails.
    assert_eq!(statuses, [429, 500, 429]);
    let report = program.wait_for_exit();
    assert!(
        started.elapsed() < Duration::from_millis(4200),
        "{:?}",
        started.elapsed()
    );
    assert!(
        report.contains("taken 3\n") && report.contains("unanswered 0\n"),
        "{report}"
    );
}

#[test]
fn query_wait_time_counts_from_its_last_byte() {
    let (address, _requests) = engine(|parts, to| write_result_of(to, &parts[1], ""));
    let program = start(&[address]);
    let slow = post_query_slowly(program.listen, "look", 1, 800, Duration::from_millis(1000));
    assert_eq!(answer_status(slow), 200);
}

#[test]
fn write_that_never_ran_is_rejected() {
    // No process listens at the engine's address.
    let program = start(&[free_address()]);
    let rejected =
        read_response(&mut BufReader::new(post_query(program.listen, "load", 1))).unwrap();
    assert_eq!(
        (rejected.status, rejected.body.as_str()),
        (429, r#"{"error":"TryLater"}"#)
    );
    assert!(
        rejected.head.contains("Srv-Wait-Ms: 500\r\n"),
        "{}",
        rejected.head
    );
}

#[test]
fn write_that_may_have_run_is_not_retried() {
    // The engine closes each connection on which a request arrives.
    let (address, requests) = engine(|_, to| drop(to.shutdown(std::net::Shutdown::Both)));
    let program = start(&[address]);
    assert_eq!(answer_status(post_query(program.listen, "load", 1)), 500);
    assert_eq!(
        requests
            .try_iter()
            .filter(|(parts, _)| parts[0] == "fetch")
            .count(),
        1
    );
}

#[test]
fn client_disconnect_cancels_its_query_and_others_are_served() {
    let (address, requests) = engine(|parts, to| {
        if parts[1].ends_with('2') {
            write_result_of(to, &parts[1], "");
        }
    });
    let program = start(&[address]);
    let leaving_client = post_query(program.listen, "look", 1);
    assert_eq!(requests.recv_timeout(TIMEOUT).unwrap().0[0], "fetch");
    drop(leaving_client);
    assert_eq!(
        requests.recv_timeout(TIMEOUT).unwrap().0[..2],
        ["abort", "0000000000000001"]
    );
    let served = read_response(&mut BufReader::new(post_query(program.listen, "look", 2))).unwrap();
    assert_eq!(
        (served.status, served.body.as_str()),
        (200, r#"{"data":[]}"#)
    );
}

#[test]
fn unknown_resource_group_is_rejected() {
    let (address, _requests) = instant_engine();
    let program = start(&[address]);
    let unknown = read_response(&mut BufReader::new(post_query(
        program.listen,
        "nothing",
        3,
    )))
    .unwrap();
    assert_eq!(unknown.status, 404);
}

#[test]
fn malformed_requests_get_an_error_and_the_program_keeps_serving() {
    let (address, _requests) = instant_engine();
    let program = start(&[address]);
    let head = "POST /invoke/look HTTP/1.1\r\nReq-Id: 00000000000000aa\r\nReq-Wait-Ms: 9000\r\n";
    let costs =
        ["1e300", "-1", "NaN", "inf", "x"].map(|cost| format!("{head}Req-Cost: {cost}\r\n\r\n"));
    for bytes in costs
        .iter()
        .map(String::as_bytes)
        .chain([b"\xff\xff\xff\xff\r\n\r\n".as_slice()])
    {
        let mut client = TcpStream::connect(program.listen).unwrap();
        client.write_all(bytes).unwrap();
        assert_eq!(answer_status(client), 400);
    }
    assert_eq!(get(program.listen, "/_health").unwrap().status, 200);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn keys_are_forwarded_unchanged_and_queries_of_one_ordering_key_run_in_order() {
    let (address, requests) = engine(|parts, to| {
        thread::sleep(Duration::from_millis(60));
        write_result_of(to, &parts[1], "");
    });
    let program = start_with(&[address], |config| {
        let load = json!({
            keys::group::NAME: "load",
            keys::group::OBJECTIVE_US: 300_000,
            keys::group::USUAL_TIMEOUT_US: 9_000_000,
            keys::group::EFFECT: keys::effect::IDEMPOTENCY_KEY,
            keys::group::DEDUP_SCOPE: keys::dedup_scope::ALL,
            keys::group::DEDUP_WINDOW_US: 5_000_000,
            keys::group::ORDERED_BY_KEY: true,
        });
        config.with_setting(&format!("{}.1", keys::GROUPS), load)
    });
    let (token, key) = ("0123456789abcdef0123456789ABCDEF", "00000000000000c7");
    let post_with_fields = |id: u64, fields: &str| {
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
    let key_fields = format!("Req-Token: {token}\r\nReq-Key: {key}\r\n");
    let clients = [
        post_with_fields(1, &key_fields),
        post_with_fields(2, &key_fields),
    ];
    let fetch = || {
        let (parts, at) = requests.recv_timeout(TIMEOUT).unwrap();
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
    // The second query of the key was not sent while the first ran.
    assert!(
        second - began >= Duration::from_millis(60),
        "{:?}",
        second - began
    );
    clients.iter().for_each(|client| {
        assert_eq!(
            read_response(&mut BufReader::new(client)).unwrap().status,
            200
        )
    });
    // A key that would corrupt the list of fields is rejected, and so is a repeated field.
    for malformed in [
        "Req-Token: a,mb=9\r\n",
        "Req-Key: \r\n",
        "Req-Key: 1\r\nReq-Key: 2\r\n",
    ] {
        assert_eq!(
            answer_status(post_with_fields(9, malformed)),
            400,
            "{malformed}"
        );
    }
}
