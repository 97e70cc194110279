use super::*;
use crate::dns::tests::answer;
use async_executor::LocalExecutor;
use std::time::Duration;

/// Runs discovery until `is_done` returns true, or fails after ten seconds. The name service sends the datagrams that
/// `respond` returns for a query's id, index and sender.
fn run_discovery(
    respond: impl Fn(u16, usize, SocketAddr) -> Vec<Vec<u8>> + 'static,
    mut is_done: impl FnMut(&QueryRegistry) -> bool,
) -> Rc<QueryRegistry> {
    let executor = LocalExecutor::new();
    let name_service =
        Async::<UdpSocket>::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let resolver = name_service.get_ref().local_addr().unwrap();
    let registry = Rc::new(QueryRegistry::default());
    let discovery = run(
        registry.clone(),
        Rc::new(Cell::new(Some(resolver))),
        EndpointDirectory::default(),
        65_530,
    );
    executor.spawn(discovery).detach();
    let answers = async {
        let mut bytes = [0; 512];
        for index in 0.. {
            let (_, from) = name_service.recv_from(&mut bytes).await.unwrap();
            for answer in respond(u16::from_be_bytes([bytes[0], bytes[1]]), index, from) {
                name_service.send_to(&answer, from).await.unwrap();
            }
        }
    };
    let until_done = async {
        while !is_done(&registry) {
            Timer::after(Duration::from_millis(5)).await;
        }
        true
    };
    let timeout = async {
        Timer::after(Duration::from_secs(10)).await;
        false
    };
    let all = future::or(future::or(until_done, timeout), async {
        answers.await;
        false
    });
    assert!(
        async_io::block_on(executor.run(all)),
        "discovery did not finish within 10 s"
    );
    registry
}

#[test]
fn a_silent_name_service_is_queried_from_a_new_socket() {
    // After two answers, no answer reaches the first socket any more.
    let first_socket = Cell::new(None);
    let respond = move |id: u16, index: usize, from: SocketAddr| {
        let is_first_socket = *first_socket.get().get_or_insert(from) == from;
        first_socket.set(first_socket.get().or(Some(from)));
        let serial = if is_first_socket { 1 } else { 2 };
        if is_first_socket && index > 1 {
            vec![]
        } else {
            vec![answer(id, serial, u8::from(!is_first_socket))]
        }
    };
    let registry = run_discovery(respond, |registry| {
        registry.counters.endpoint_updates.get() == 2
    });
    assert!(registry.counters.dns_queries.get() <= 2 + u64::from(MAX_UNANSWERED_QUERIES) + 2);
}

#[test]
fn duplicate_late_and_malformed_answers_change_nothing() {
    let sent = RefCell::new(Vec::new());
    let respond = move |id: u16, index: usize, _| {
        let current = answer(id, 1 + index as u32 / 2, 0);
        let mut sent = sent.borrow_mut();
        sent.push(current.clone());
        // Two copies of the answer, the previous answer, a truncated copy, a malformed datagram, and an answer to a
        // query that was never sent.
        let previous = sent[index.saturating_sub(1)].clone();
        let unknown_query = answer(id.wrapping_add(9), 900, 1);
        vec![
            current.clone(),
            current.clone(),
            previous,
            current[..current.len() / 2].to_vec(),
            b"noise".to_vec(),
            unknown_query,
        ]
    };
    let registry = run_discovery(respond, |registry| registry.counters.dns_queries.get() > 5);
    let updates = registry.counters.endpoint_updates.get();
    assert!((2..=3).contains(&updates), "{updates}");
    assert!(registry.counters.endpoint_updates_rejected.get() >= 3 * 4);
}
