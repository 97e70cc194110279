use super::*;

#[test]
fn only_short_messages_from_known_senders_are_received() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (known_peer, unknown_sender) = (
        UdpSocket::bind(any_port).unwrap(),
        UdpSocket::bind(any_port).unwrap(),
    );
    let registry = Rc::new(QueryRegistry::default());
    let addresses = vec![any_port, known_peer.local_addr().unwrap()];
    let socket = Async::<UdpSocket>::bind(any_port).unwrap();
    let peers = Peers::new(registry.clone(), socket, addresses, None);
    let peers_address = peers.socket.get_ref().local_addr().unwrap();
    unknown_sender.send_to(b"x", peers_address).unwrap();
    known_peer
        .send_to(&[7; MAX_MESSAGE_BYTES + 1], peers_address)
        .unwrap();
    known_peer
        .send_to(&[7; MAX_MESSAGE_BYTES], peers_address)
        .unwrap();
    let received = async {
        registry.notify.notified().await;
    };
    let timeout = async {
        Timer::after(Duration::from_secs(10)).await;
    };
    async_io::block_on(futures_lite::future::or(
        futures_lite::future::or(received, peers.clone().listen()),
        timeout,
    ));
    let events: Vec<Event> = std::iter::from_fn(|| registry.next_event()).collect();
    assert!(
        matches!(&events[..], [Event::PeerMessage { peer: 1, content }] if content.len() == MAX_MESSAGE_BYTES)
    );
    peers.send(Some(1), &[7; MAX_MESSAGE_BYTES + 1]);
    peers.send(None, b"x");
    peers.send(Some(9), b"x");
    assert_eq!(registry.counters.peer_messages_sent.get(), 0);
    peers.send(Some(1), b"hi");
    assert_eq!(registry.counters.peer_messages_sent.get(), 1);
}
