//! Endpoint lists of the size of a datagram.

use super::support::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::record::{Record, Status};

/// Engines of the list. The testbed's name service does not compress names, so that the list has about 62 KB.
const ENGINES: usize = 520;

#[test]
fn list_that_fills_a_datagram_is_accepted_and_served_from() {
    let engine = instant_engine();
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let endpoint = |nth: usize| Endpoint {
        id: format!("s-{nth}"),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address: if nth == 0 { engine } else { nobody },
        status: if nth == 0 {
            Status::Ready
        } else {
            Status::Draining
        },
        started: 0.0,
    };
    let names = NameService::start(
        (0..ENGINES).map(endpoint).collect(),
        Arc::new(Record::default()),
    );
    // A change that follows the list of the configuration.
    names.set("s-1", Status::Gone);
    // The configuration names another engine, at whose address nobody listens.
    let config = two_group_config(&[nobody]).with("resolver", names.address.to_string());
    let program = start(&config);
    let from = Instant::now();
    while program.counter("lists") == Some(0) {
        assert!(from.elapsed() < Duration::from_secs(5), "no list accepted");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(ask(program.listen, &query("look", 1, 9000.0)), Some(200));
}
