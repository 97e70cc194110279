//! What answers a probe on behalf of another member.

use crate::simulated_network::address;
use std::net::SocketAddr;
use tansymux_membership::codec::{self, Datagram, Gossip, MemberState, Message};
use tansymux_membership::{member_id_of, Config, Event, Keys, SwimDetector};

/// The requester's sequence number.
const REQUEST_NUMBER: u32 = 77;

/// Handles a datagram. Returns what is sent then, with the receivers.
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
        .map(|sent| {
            (
                sent.to,
                codec::decode(&sent.bytes).expect("a detector sends what decodes"),
            )
        })
        .collect()
}

fn alive(name: &str, address: SocketAddr) -> Gossip {
    Gossip {
        id: member_id_of(name),
        address,
        state: MemberState::Alive,
        incarnation: 1,
    }
}

fn ack(sequence_number: u32) -> Datagram {
    Datagram {
        message: Message::Ack,
        sender: member_id_of("n2"),
        sequence_number,
        gossip: Vec::new(),
    }
}

/// Lets member 1 request a probe of member 2. Returns the sequence number of the ping.
fn ping_on_request(detector: &mut SwimDetector) -> u32 {
    let request = Datagram {
        message: Message::PingRequest(member_id_of("n2")),
        sender: member_id_of("n1"),
        sequence_number: REQUEST_NUMBER,
        gossip: vec![alive("n1", address(1)), alive("n2", address(2))],
    };
    let sent = receive(detector, address(1), &request);
    let mut pings = sent
        .iter()
        .filter(|(to, ping)| *to == address(2) && ping.message == Message::Ping);
    pings
        .next()
        .expect("the target is pinged")
        .1
        .sequence_number
}

#[test]
fn restarted_member_does_not_number_its_pings_like_before() {
    let start = |seed| {
        let (config, keys) = (Config::default(), Keys::default());
        SwimDetector::new("n0", address(0), 0, config, keys, seed)
    };
    let numbers = [1000, 2000].map(|seed| ping_on_request(&mut start(seed)));
    assert!(numbers[0].abs_diff(numbers[1]) > 100, "{numbers:?}");
}

#[test]
fn late_ack_to_an_earlier_ping_does_not_answer_a_probe_for_another_member() {
    let keys = Keys::default();
    let mut detector = SwimDetector::new("n0", address(0), 0, Config::default(), keys, 1);
    let target = member_id_of("n2");
    let ping_number = ping_on_request(&mut detector);
    let answers = |sent: &[(SocketAddr, Datagram)]| {
        let mut sent = sent.iter();
        sent.any(|(_, datagram)| {
            datagram.message == Message::IndirectAck(target)
                && datagram.sequence_number == REQUEST_NUMBER
        })
    };
    let late = receive(&mut detector, address(2), &ack(ping_number.wrapping_sub(1)));
    assert!(!answers(&late), "{late:?}");
    let answered = receive(&mut detector, address(2), &ack(ping_number));
    assert!(answers(&answered), "{answered:?}");
}
