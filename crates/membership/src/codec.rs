//! Layout of membership datagrams. Integers are big-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | kind of datagram: [`DATAGRAM_KIND`] |
//! | 1 | version: 1 |
//! | 1 | message: 0 ping, 1 ack, 2 ping request, 3 indirect ack, 4 join, 5 table sync, 6 user message |
//! | 8 | sender's [`MemberId`] |
//! | 4 | sequence number; 0 in a user message |
//! | 8 | messages 2 and 3 only: the [`MemberId`] they are about |
//! | 64 | message 5 only: one digest of 4 bytes for each of [`TABLE_BUCKETS`] buckets |
//! | n | message 6 only: the content, up to [`MAX_USER_MESSAGE_LEN`] bytes; no gossip follows |
//! | 19 each | gossip entries |
//! | 16 | seal of [`crate::authenticator`], where keys are set |
//!
//! A gossip entry:
//!
//! | bytes | field |
//! | --- | --- |
//! | 8 | [`MemberId`] |
//! | 4 + 2 | IPv4 address and port |
//! | 1 | state: 0 alive, 1 suspect, 2 dead, 3 left |
//! | 4 | incarnation |

use crate::authenticator;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use tansymux_codec::{ByteReader, ByteWriter};

/// Longest datagram with its seal (bytes). The fleet's network contract allows datagrams of up to 256 bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;
/// First byte of every membership datagram.
pub const DATAGRAM_KIND: u8 = 4;
const VERSION: u8 = 1;
/// Kind, version, message, sender, sequence number.
const HEADER_LEN: usize = 3 + 8 + 4;
const SUBJECT_LEN: usize = 8;
const GOSSIP_LEN: usize = 8 + 4 + 2 + 1 + 4;
/// Buckets of the member table whose digests are compared in a table sync.
pub const TABLE_BUCKETS: usize = 16;
const DIGESTS_LEN: usize = 4 * TABLE_BUCKETS;

const PING: u8 = 0;
const ACK: u8 = 1;
const PING_REQUEST: u8 = 2;
const INDIRECT_ACK: u8 = 3;
const JOIN: u8 = 4;
const TABLE_SYNC: u8 = 5;
const USER_MESSAGE: u8 = 6;

/// Longest content of a user message (bytes).
pub const MAX_USER_MESSAGE_LEN: usize = MAX_DATAGRAM_LEN - authenticator::SEAL_LEN - HEADER_LEN;

/// A member's identifier, derived from its name: the same after a restart.
pub type MemberId = u64;

/// The identifier of a member's name: 64-bit FNV-1a.
pub fn member_id_of(name: &str) -> MemberId {
    tansymux_codec::fnv1a_64(name.as_bytes())
}

/// State of a member, from best to worst: at equal incarnation the worse state wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer and has not refuted the suspicion yet.
    Suspect,
    /// The suspicion timed out.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as running: alive or suspected.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    fn from_byte(byte: u8) -> Option<MemberState> {
        match byte {
            0 => Some(MemberState::Alive),
            1 => Some(MemberState::Suspect),
            2 => Some(MemberState::Dead),
            3 => Some(MemberState::Left),
            _ => None,
        }
    }
}

/// A claim about a member, piggybacked on other messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gossip {
    /// The member that the claim is about.
    pub id: MemberId,
    /// Its address.
    pub address: SocketAddr,
    /// Its state.
    pub state: MemberState,
    /// The incarnation that the state belongs to.
    pub incarnation: u32,
}

/// What a datagram asks for or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// A direct probe.
    Ping,
    /// The answer to a ping or a join, under its sequence number.
    Ack,
    /// Asks the receiver to probe this member for the sender (indirect probe).
    PingRequest(MemberId),
    /// The answer to a ping request: this member acknowledged.
    IndirectAck(MemberId),
    /// Asks a seed for its member table.
    Join,
    /// Digests of the sender's table by bucket; the receiver answers with its members of buckets that differ.
    TableSync([u32; TABLE_BUCKETS]),
}

/// A datagram without its seal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// What it asks for or answers.
    pub message: Message,
    /// The member that sent it, as it says itself.
    pub sender: MemberId,
    /// Pairs an answer with its request.
    pub sequence_number: u32,
    /// Claims about members.
    pub gossip: Vec<Gossip>,
}

/// Why bytes are not a membership datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short for the header, or another kind or version.
    #[error("no membership datagram of version {VERSION}")]
    NotMembership,
    /// The message code is not known, or not one that carries gossip.
    #[error("message code {0}: expected 0 to 5")]
    UnknownMessage(u8),
    /// The datagram ends inside a field of its message.
    #[error("datagram ends inside its message")]
    Truncated,
}

/// How many gossip entries fit behind this message.
pub fn gossip_capacity(message: Message) -> usize {
    let body_len = match message {
        Message::PingRequest(_) | Message::IndirectAck(_) => SUBJECT_LEN,
        Message::TableSync(_) => DIGESTS_LEN,
        Message::Ping | Message::Ack | Message::Join => 0,
    };
    (MAX_DATAGRAM_LEN - authenticator::SEAL_LEN - HEADER_LEN - body_len) / GOSSIP_LEN
}

/// Encodes a datagram without a seal. Gossip beyond [`gossip_capacity`] and gossip of addresses other than IPv4 is
/// left out.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let code = match datagram.message {
        Message::Ping => PING,
        Message::Ack => ACK,
        Message::PingRequest(_) => PING_REQUEST,
        Message::IndirectAck(_) => INDIRECT_ACK,
        Message::Join => JOIN,
        Message::TableSync(_) => TABLE_SYNC,
    };
    let mut writer = encode_header(code, datagram.sender, datagram.sequence_number);
    match datagram.message {
        Message::PingRequest(subject) | Message::IndirectAck(subject) => {
            writer.u64(subject);
        }
        Message::TableSync(digests) => {
            for digest in digests {
                writer.u32(digest);
            }
        }
        Message::Ping | Message::Ack | Message::Join => {}
    }
    let capacity = gossip_capacity(datagram.message);
    for gossip in datagram.gossip.iter().take(capacity) {
        encode_gossip(gossip, &mut writer);
    }
    writer.into_bytes()
}

fn encode_header(code: u8, sender: MemberId, sequence_number: u32) -> ByteWriter {
    let mut writer = ByteWriter::with_capacity(MAX_DATAGRAM_LEN);
    writer
        .bytes(&[DATAGRAM_KIND, VERSION, code])
        .u64(sender)
        .u32(sequence_number);
    writer
}

fn encode_gossip(gossip: &Gossip, writer: &mut ByteWriter) {
    let IpAddr::V4(ip) = gossip.address.ip() else {
        return;
    };
    writer
        .u64(gossip.id)
        .bytes(&ip.octets())
        .u16(gossip.address.port())
        .u8(gossip.state as u8)
        .u32(gossip.incarnation);
}

/// The fields in front of every message.
struct Header {
    message_code: u8,
    sender: MemberId,
    sequence_number: u32,
}

/// Reads the header; `None` for what is no membership datagram.
fn decode_header(reader: &mut ByteReader) -> Option<Header> {
    let kind = reader.u8().ok()?;
    let version = reader.u8().ok()?;
    if kind != DATAGRAM_KIND || version != VERSION {
        return None;
    }
    Some(Header {
        message_code: reader.u8().ok()?,
        sender: reader.u64().ok()?,
        sequence_number: reader.u32().ok()?,
    })
}

/// The sender that a datagram names, before any of it is verified; `None` for what is no membership datagram.
pub fn peek_sender(bytes: &[u8]) -> Option<MemberId> {
    decode_header(&mut ByteReader::new(bytes)).map(|header| header.sender)
}

/// Decodes a datagram whose seal was removed. Gossip with an unknown state is skipped, as is an incomplete entry at
/// the end; at most as many entries are read as fit behind a ping.
///
/// # Errors
/// Where the bytes are no membership datagram, or a user message.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let mut reader = ByteReader::new(bytes);
    let header = decode_header(&mut reader).ok_or(DecodeError::NotMembership)?;
    let message = decode_message(header.message_code, &mut reader)?;
    let gossip = reader
        .take_remaining()
        .chunks_exact(GOSSIP_LEN)
        .filter_map(|entry| decode_gossip(entry).ok())
        .take(gossip_capacity(Message::Ping))
        .collect();
    Ok(Datagram {
        message,
        sender: header.sender,
        sequence_number: header.sequence_number,
        gossip,
    })
}

fn decode_message(code: u8, reader: &mut ByteReader) -> Result<Message, DecodeError> {
    match code {
        PING => Ok(Message::Ping),
        ACK => Ok(Message::Ack),
        PING_REQUEST => Ok(Message::PingRequest(decode_subject(reader)?)),
        INDIRECT_ACK => Ok(Message::IndirectAck(decode_subject(reader)?)),
        JOIN => Ok(Message::Join),
        TABLE_SYNC => Ok(Message::TableSync(decode_digests(reader)?)),
        code => Err(DecodeError::UnknownMessage(code)),
    }
}

fn decode_subject(reader: &mut ByteReader) -> Result<MemberId, DecodeError> {
    reader.u64().map_err(|_| DecodeError::Truncated)
}

fn decode_digests(reader: &mut ByteReader) -> Result<[u32; TABLE_BUCKETS], DecodeError> {
    let mut digests = [0; TABLE_BUCKETS];
    for digest in &mut digests {
        *digest = reader.u32().map_err(|_| DecodeError::Truncated)?;
    }
    Ok(digests)
}

fn decode_gossip(entry: &[u8]) -> Result<Gossip, tansymux_codec::DecodeError> {
    let mut reader = ByteReader::new(entry);
    let id = reader.u64()?;
    let ip = Ipv4Addr::from_bits(reader.u32()?);
    let port = reader.u16()?;
    Ok(Gossip {
        id,
        address: SocketAddr::V4(SocketAddrV4::new(ip, port)),
        state: reader.code("state", MemberState::from_byte)?,
        incarnation: reader.u32()?,
    })
}

/// Encodes a user message without a seal; `None` where the content is longer than [`MAX_USER_MESSAGE_LEN`].
pub fn encode_user_message(sender: MemberId, content: &[u8]) -> Option<Vec<u8>> {
    if content.len() > MAX_USER_MESSAGE_LEN {
        return None;
    }
    let mut writer = encode_header(USER_MESSAGE, sender, 0);
    writer.bytes(content);
    Some(writer.into_bytes())
}

/// The content of a user message whose seal was removed; `None` for other datagrams.
pub fn decode_user_message(bytes: &[u8]) -> Option<&[u8]> {
    let mut reader = ByteReader::new(bytes);
    let header = decode_header(&mut reader)?;
    (header.message_code == USER_MESSAGE).then(|| reader.take_remaining())
}
