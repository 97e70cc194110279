use super::*;
use crate::dns::tests::answer;
use async_executor::LocalExecutor;
use std::time::Duration;

/// Runs discovery against a name service that sends what `react` returns for a query's id, number and sender, until
/// `is_done`; fails after ten seconds.
fn run_discovery(
    react: impl Fn(u16, usize, SocketAddr) -> Vec<Vec<u8>> + 'static,
    mut is_done: impl FnMut(&QueryRegistry) -> bool,
) -> Rc<QueryRegistry> {
    let executor = LocalExecutor::new();
    let service = Async::<UdpSocket>::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let at = service.get_ref().local_addr().unwrap();
    let registry = Rc::new(QueryRegistry::default());
    let follow = follow(
        registry.clone(),
        Rc::new(Cell::new(Some(at))),
        EndpointDirectory::default(),
        65_530,
    );
    executor.spawn(follow).detach();
    let answers = async {
        let mut bytes = [0; 512];
        for nth in 0.. {
            let (_, from) = service.recv_from(&mut bytes).await.unwrap();
            for answer in react(u16::from_be_bytes([bytes[0], bytes[1]]), nth, from) {
                service.send_to(&answer, from).await.unwrap();
            }
        }
    };
    let done = async {
        while !is_done(&registry) {
            Timer::after(Duration::from_millis(5)).await;
        }
        true
    };
    let timeout = async {
        Timer::after(Duration::from_secs(10)).await;
        false
    };
    let all = future::or(future::or(done, timeout), async {
        answers.await;
        false
    });
    assert!(async_io::block_on(executor.run(all)), "not in time");
    registry
}

#[test]
fn a_silent_name_service_is_queried_from_another_socket() {
    // After two answers, those to the first socket no longer arrive.
    let first = Cell::new(None);
    let react = move |id: u16, nth: usize, from: SocketAddr| {
        let same = *first.get().get_or_insert(from) == from;
        first.set(first.get().or(Some(from)));
        let serial = if same { 1 } else { 2 };
        if same && nth > 1 {
            vec![]
        } else {
            vec![answer(id, serial, u8::from(!same))]
        }
    };
    let registry = run_discovery(react, |registry| {
        registry.counters.endpoint_updates.get() == 2
    });
    assert!(registry.counters.dns_queries.get() <= 2 + u64::from(MAX_UNANSWERED_QUERIES) + 2);
}

#[test]
fn duplicate_late_and_malformed_answers_change_nothing() {
    let kept = RefCell::new(Vec::new());
    let react = move |id: u16, nth: usize, _| {
        let now = answer(id, 1 + nth as u32 / 2, 0);
        let mut kept = kept.borrow_mut();
        kept.push(now.clone());
        // Each answer twice, the one before it again, half of one, noise, and one to a query that was never sent.
        let before = kept[nth.saturating_sub(1)].clone();
        let never = answer(id.wrapping_add(9), 900, 1);
        vec![
            now.clone(),
            now.clone(),
            before,
            now[..now.len() / 2].to_vec(),
            b"noise".to_vec(),
            never,
        ]
    };
    let registry = run_discovery(react, |registry| registry.counters.dns_queries.get() > 5);
    let lists = registry.counters.endpoint_updates.get();
    assert!((2..=3).contains(&lists), "{lists}");
    assert!(registry.counters.endpoint_updates_rejected.get() >= 3 * 4);
}
