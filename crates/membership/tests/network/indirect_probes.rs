//! Indirect probes, seen from the member that pings the target on behalf of the requester.

use crate::simulated_network::address;
use std::net::SocketAddr;
use tansymux_membership::codec::{self, Datagram, Gossip, MemberState, Message};
use tansymux_membership::{member_id_of, Config, Event, Keys, SwimDetector};

/// Sequence number of the ping request.
const REQUEST_SEQUENCE_NUMBER: u32 = 77;

/// Delivers a datagram to a detector. Returns the datagrams that the detector sends in response, with their
/// destinations.
fn receive(
    detector: &mut SwimDetector,
    from: SocketAddr,
    datagram: &Datagram,
) -> Vec<(SocketAddr, Datagram)> {
    let bytes = codec::encode(datagram);
    let event = Event::DatagramReceived {
        from,
        bytes: &bytes,
    };
    detector.handle(event, 1000.0);
    let sent = detector.poll(1000.0).datagrams;
    sent.iter()
        .map(|outgoing| {
            (
                outgoing.to,
                codec::decode(&outgoing.bytes).expect("datagrams of a detector can be decoded"),
            )
        })
        .collect()
}

fn alive_gossip(name: &str, address: SocketAddr) -> Gossip {
    Gossip {
        id: member_id_of(name),
        address,
        state: MemberState::Alive,
        incarnation: 1,
    }
}

fn ack_of_member_2(sequence_number: u32) -> Datagram {
    Datagram {
        message: Message::Ack,
        sender: member_id_of("n2"),
        sequence_number,
        gossip: Vec::new(),
    }
}

/// Delivers a ping request of member 1 for member 2. Returns the sequence number of the resulting ping.
fn request_indirect_probe(detector: &mut SwimDetector) -> u32 {
    let request = Datagram {
        message: Message::PingRequest(member_id_of("n2")),
        sender: member_id_of("n1"),
        sequence_number: REQUEST_SEQUENCE_NUMBER,
        gossip: vec![
            alive_gossip("n1", address(1)),
            alive_gossip("n2", address(2)),
        ],
    };
    let sent = receive(detector, address(1), &request);
    let mut pings = sent
        .iter()
        .filter(|(to, ping)| *to == address(2) && ping.message == Message::Ping);
    pings
        .next()
        .expect("the detector pings the target")
        .1
        .sequence_number
}

#[test]
fn restarted_member_does_not_reuse_ping_sequence_numbers() {
    let start = |seed| {
        let (config, keys) = (Config::default(), Keys::default());
        SwimDetector::new("n0", address(0), 0, config, keys, seed)
    };
    let sequence_numbers = [1000, 2000].map(|seed| request_indirect_probe(&mut start(seed)));
    assert!(
        sequence_numbers[0].abs_diff(sequence_numbers[1]) > 100,
        "{sequence_numbers:?}"
    );
}

#[test]
fn delayed_ack_of_an_earlier_ping_does_not_answer_an_indirect_probe() {
    let keys = Keys::default();
    let mut detector = SwimDetector::new("n0", address(0), 0, Config::default(), keys, 1);
    let target = member_id_of("n2");
    let ping_number = request_indirect_probe(&mut detector);
    let contains_indirect_ack = |sent: &[(SocketAddr, Datagram)]| {
        let mut datagrams = sent.iter();
        datagrams.any(|(_, datagram)| {
            datagram.message == Message::IndirectAck(target)
                && datagram.sequence_number == REQUEST_SEQUENCE_NUMBER
        })
    };
    let after_delayed_ack = receive(
        &mut detector,
        address(2),
        &ack_of_member_2(ping_number.wrapping_sub(1)),
    );
    assert!(
        !contains_indirect_ack(&after_delayed_ack),
        "{after_delayed_ack:?}"
    );
    let after_ack = receive(&mut detector, address(2), &ack_of_member_2(ping_number));
    assert!(contains_indirect_ack(&after_ack), "{after_ack:?}");
}
