//! Wire compatibility with datagrams written by commit 7790f50: each is decoded, and encoding the same values gives the
//! same bytes.

use std::net::SocketAddr;
use tansymux_codec::test_support::from_hex;
use tansymux_membership::codec::{self, Datagram, DecodeError, Gossip, Message, TABLE_BUCKETS};
use tansymux_membership::{member_id_of, DatagramAuthenticator, Keys, MemberState};

const GOSSIP_OF_ALL_STATES: &str =
    "08b37b07b558d4c00a0000011f0a000000010108b37e07b558d9d90a0000021f0a0100000202\
    08b37d07b558d8260a0000031f0a020000030308b38007b558dd3f0a0000041f0a0300000404";

fn gossip(number: u8, state: MemberState) -> Gossip {
    Gossip {
        id: member_id_of(&format!("n{number}")),
        address: SocketAddr::from(([10, 0, 0, number], 7946)),
        state,
        incarnation: u32::from(number) * 0x0101,
    }
}

fn gossip_of_all_states() -> Vec<Gossip> {
    vec![
        gossip(1, MemberState::Alive),
        gossip(2, MemberState::Suspect),
        gossip(3, MemberState::Dead),
        gossip(4, MemberState::Left),
    ]
}

#[test]
fn datagrams_of_commit_7790f50_are_decoded_and_encoded_to_the_same_bytes() {
    let digests: [u32; TABLE_BUCKETS] =
        std::array::from_fn(|bucket| 0x0102_0304_u32.wrapping_mul(bucket as u32 + 1));
    let table_sync_header = "04010508b37b07b558d4c0a1b2c3d401020304020406080306090c04080c10050a0f14060c1218070e151c08101820\
        09121b240a141e280b16212c0c1824300d1a27340e1c2a380f1e2d3c10203040";
    let target = member_id_of("n7");
    for (message, header) in [
        (Message::Ping, "04010008b37b07b558d4c0a1b2c3d4"),
        (Message::Ack, "04010108b37b07b558d4c0a1b2c3d4"),
        (
            Message::PingRequest(target),
            "04010208b37b07b558d4c0a1b2c3d408b38107b558def2",
        ),
        (
            Message::IndirectAck(target),
            "04010308b37b07b558d4c0a1b2c3d408b38107b558def2",
        ),
        (Message::Join, "04010408b37b07b558d4c0a1b2c3d4"),
        (Message::TableSync(digests), table_sync_header),
    ] {
        let datagram = Datagram {
            message,
            sender: member_id_of("n1"),
            sequence_number: 0xA1B2_C3D4,
            gossip: gossip_of_all_states(),
        };
        let bytes = from_hex(&[header, GOSSIP_OF_ALL_STATES].concat());
        assert_eq!(codec::encode(&datagram), bytes, "{message:?}");
        assert_eq!(codec::decode(&bytes), Ok(datagram), "{message:?}");
        assert_eq!(codec::peek_sender(&bytes), Some(member_id_of("n1")));
    }
}

#[test]
fn user_message_of_commit_7790f50_is_decoded_and_encoded_to_the_same_bytes() {
    let bytes = from_hex("04010608b37b07b558d4c0000000007061796c6f6164");
    let sender = member_id_of("n1");
    assert_eq!(
        codec::encode_user_message(sender, b"payload"),
        Some(bytes.clone())
    );
    assert_eq!(
        codec::decode_user_message(&bytes),
        Some(b"payload".as_slice())
    );
    assert_eq!(codec::decode(&bytes), Err(DecodeError::UnknownMessage(6)));
}

#[test]
fn seal_of_commit_7790f50_is_accepted_and_reproduced() {
    let content = "04010008b37b07b558d4c00000000108b37b07b558d4c00a0000011f0a0000000101";
    let sealed = from_hex(&[content, "01020304000000018a6da2cf3f04ec48"].concat());
    let keys = Keys {
        signing: Some([7; 16]),
        also_accepted: None,
    };
    let mut datagram = from_hex(content);
    DatagramAuthenticator::new(keys.clone(), 0x0102_0304).seal(&mut datagram);
    assert_eq!(datagram, sealed);
    let mut receiver = DatagramAuthenticator::new(keys, 1);
    let opened = receiver.open(member_id_of("n1"), &sealed);
    assert_eq!(opened, Some(from_hex(content).as_slice()));
}

#[test]
fn truncated_datagrams_are_rejected_with_a_decode_error() {
    assert_eq!(codec::decode(b"\x04"), Err(DecodeError::NotMembership));
    let request = from_hex("04010208b37b07b558d4c0a1b2c3d408b381");
    assert_eq!(codec::decode(&request), Err(DecodeError::Truncated));
}
