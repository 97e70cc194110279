//! Endpoint lists that fill a UDP datagram.

use super::support::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::record::{Record, Status};

/// Number of engines in the list. The testbed's name service does not compress names, so the list has about 62 KB.
const ENGINES: usize = 520;

#[test]
fn endpoint_list_that_fills_a_datagram_is_accepted_and_used() {
    let engine = instant_engine();
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let endpoint = |nth: usize| Endpoint {
        id: format!("s-{nth}"),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: if nth == 0 { engine } else { unused_address },
        status: if nth == 0 {
            Status::Ready
        } else {
            Status::Draining
        },
        started_ms: 0.0,
    };
    let names = NameService::start(
        (0..ENGINES).map(endpoint).collect(),
        Arc::new(Record::default()),
    );
    // A change, so that the list supersedes the list of the configuration.
    names.set_status("s-1", Status::Gone);
    // The configuration names another engine, at whose address no process listens.
    let config = two_group_config(&[unused_address]).with("resolver", names.address.to_string());
    let program = start(&config);
    let started = Instant::now();
    while program.counter("lists") == Some(0) {
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "no list accepted"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        query_status(program.listen, &query("look", 1, 9000.0)),
        Some(200)
    );
}
