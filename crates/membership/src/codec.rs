//! Layout of membership datagrams. Integers are big-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | kind of datagram: [`DATAGRAM_KIND`] |
//! | 1 | version: 1 |
//! | 1 | message: 0 ping, 1 ack, 2 ping request, 3 indirect ack, 4 join, 5 table sync, 6 user message |
//! | 8 | sender's [`MemberId`] |
//! | 4 | sequence number; 0 in a user message |
//! | 8 | messages 2 and 3 only: [`MemberId`] of the probe target |
//! | 64 | message 5 only: one 4-byte digest per bucket, for [`TABLE_BUCKETS`] buckets |
//! | n | message 6 only: the content, up to [`MAX_USER_MESSAGE_LEN`] bytes; no gossip follows |
//! | 19 each | gossip entries |
//! | 16 | seal, see [`crate::authenticator`]; absent without keys |
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
use tansymux_codec::{wire_enum, ByteReader, ByteWriter};

/// Maximum length of a datagram including its seal (bytes). The fleet's network contract allows datagrams of up to 256
/// bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;
/// First byte of every membership datagram.
pub const DATAGRAM_KIND: u8 = 4;
/// Version of the datagram layout.
const VERSION: u8 = 1;
/// Length of the header (bytes): kind, version, message code, sender and sequence number.
const HEADER_LEN: usize = 3 + 8 + 4;
/// Length of the probe target's identifier in a ping request or indirect ack (bytes).
const TARGET_LEN: usize = 8;
/// Length of one gossip entry (bytes).
const GOSSIP_LEN: usize = 8 + 4 + 2 + 1 + 4;
/// Number of buckets into which a table sync divides the member table; it compares one digest per bucket.
pub const TABLE_BUCKETS: usize = 16;
/// Length of the digests in a table sync (bytes).
const DIGESTS_LEN: usize = 4 * TABLE_BUCKETS;

wire_enum! {
    /// Code of a message on the wire.
    enum MessageKind {
        /// [`Message::Ping`].
        Ping = 0,
        /// [`Message::Ack`].
        Ack = 1,
        /// [`Message::PingRequest`].
        PingRequest = 2,
        /// [`Message::IndirectAck`].
        IndirectAck = 3,
        /// [`Message::Join`].
        Join = 4,
        /// [`Message::TableSync`].
        TableSync = 5,
        /// A message of another protocol.
        UserMessage = 6,
    }
}

/// Maximum length of a user message's content (bytes).
pub const MAX_USER_MESSAGE_LEN: usize = MAX_DATAGRAM_LEN - authenticator::SEAL_LEN - HEADER_LEN;

/// Identifier of a member, derived from its name and therefore stable across restarts.
pub type MemberId = u64;

/// Returns the identifier of the member with this name: its 64-bit FNV-1a hash.
pub fn member_id_of(name: &str) -> MemberId {
    tansymux_codec::fnv1a_64(name.as_bytes())
}

wire_enum! {
    /// State of a member, in order of precedence: of two claims with the same incarnation, the later state in this list
    /// wins.
    pub enum MemberState {
        /// The member answers probes.
        Alive = 0,
        /// The member did not answer probes and has not refuted the suspicion yet.
        Suspect = 1,
        /// The suspicion timed out without a refutation.
        Dead = 2,
        /// The member announced its departure.
        Left = 3,
    }
}

impl MemberState {
    /// Whether a member in this state counts as running (alive or suspect).
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// A claim about a member's state, piggybacked on other messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gossip {
    /// Identifier of the member.
    pub id: MemberId,
    /// The member's address.
    pub address: SocketAddr,
    /// The member's state.
    pub state: MemberState,
    /// The incarnation of the member that the state applies to.
    pub incarnation: u32,
}

/// The request or response in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// A direct probe.
    Ping,
    /// The response to a ping or a join, with the sequence number of the request.
    Ack,
    /// A request to probe the given member on behalf of the sender (indirect probe).
    PingRequest(MemberId),
    /// The response to a ping request: the given member acknowledged a ping.
    IndirectAck(MemberId),
    /// A request for a seed's member table.
    Join,
    /// The digests of the sender's member table, one per bucket. The receiver responds with its members in the buckets
    /// that differ.
    TableSync([u32; TABLE_BUCKETS]),
}

/// A datagram without its seal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The request or response.
    pub message: Message,
    /// The sender, as claimed by the datagram.
    pub sender: MemberId,
    /// Sequence number of the request; a response repeats it.
    pub sequence_number: u32,
    /// Claims about members.
    pub gossip: Vec<Gossip>,
}

/// An error in decoding a membership datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is too short for the header, or has another kind or version.
    #[error("not a membership datagram of version {VERSION}")]
    NotMembership,
    /// The message code is unknown, or is the code of a user message.
    #[error("unexpected message code {0}, expected 0 to 5")]
    UnknownMessage(u8),
    /// The datagram ends before the fields of its message are complete.
    #[error("membership datagram truncated inside its message")]
    Truncated,
}

/// Returns the number of gossip entries that fit in a datagram after this message.
pub fn gossip_capacity(message: Message) -> usize {
    let body_len = match message {
        Message::PingRequest(_) | Message::IndirectAck(_) => TARGET_LEN,
        Message::TableSync(_) => DIGESTS_LEN,
        Message::Ping | Message::Ack | Message::Join => 0,
    };
    (MAX_DATAGRAM_LEN - authenticator::SEAL_LEN - HEADER_LEN - body_len) / GOSSIP_LEN
}

/// Encodes a datagram without a seal. Omits gossip beyond [`gossip_capacity`] and gossip about members whose address is
/// not IPv4.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let kind = match datagram.message {
        Message::Ping => MessageKind::Ping,
        Message::Ack => MessageKind::Ack,
        Message::PingRequest(_) => MessageKind::PingRequest,
        Message::IndirectAck(_) => MessageKind::IndirectAck,
        Message::Join => MessageKind::Join,
        Message::TableSync(_) => MessageKind::TableSync,
    };
    let mut writer = encode_header(kind, datagram.sender, datagram.sequence_number);
    match datagram.message {
        Message::PingRequest(target) | Message::IndirectAck(target) => {
            writer.u64(target);
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

fn encode_header(kind: MessageKind, sender: MemberId, sequence_number: u32) -> ByteWriter {
    let mut writer = ByteWriter::with_capacity(MAX_DATAGRAM_LEN);
    writer
        .bytes(&[DATAGRAM_KIND, VERSION, kind.code()])
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
        .u8(gossip.state.code())
        .u32(gossip.incarnation);
}

/// The header fields that precede every message.
struct Header {
    message_code: u8,
    sender: MemberId,
    sequence_number: u32,
}

/// Decodes the header. Returns `None` if it is incomplete or has another kind or version.
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

/// Returns the sender claimed by a datagram, without verifying it. Returns `None` if the header is incomplete or has
/// another kind or version.
pub fn peek_sender(bytes: &[u8]) -> Option<MemberId> {
    decode_header(&mut ByteReader::new(bytes)).map(|header| header.sender)
}

/// Decodes a datagram whose seal has been removed. Skips gossip entries with an unknown state and an incomplete last
/// entry, and reads at most as many entries as fit in a ping.
///
/// # Errors
/// Returns a [`DecodeError`] for malformed bytes and for user messages.
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
    let kind = MessageKind::from_code(code).ok_or(DecodeError::UnknownMessage(code))?;
    match kind {
        MessageKind::Ping => Ok(Message::Ping),
        MessageKind::Ack => Ok(Message::Ack),
        MessageKind::PingRequest => Ok(Message::PingRequest(decode_target(reader)?)),
        MessageKind::IndirectAck => Ok(Message::IndirectAck(decode_target(reader)?)),
        MessageKind::Join => Ok(Message::Join),
        MessageKind::TableSync => Ok(Message::TableSync(decode_digests(reader)?)),
        MessageKind::UserMessage => Err(DecodeError::UnknownMessage(code)),
    }
}

fn decode_target(reader: &mut ByteReader) -> Result<MemberId, DecodeError> {
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
        state: reader.code("state", MemberState::from_code)?,
        incarnation: reader.u32()?,
    })
}

/// Encodes a user message without a seal. Returns `None` if the content is longer than [`MAX_USER_MESSAGE_LEN`].
pub fn encode_user_message(sender: MemberId, content: &[u8]) -> Option<Vec<u8>> {
    if content.len() > MAX_USER_MESSAGE_LEN {
        return None;
    }
    let mut writer = encode_header(MessageKind::UserMessage, sender, 0);
    writer.bytes(content);
    Some(writer.into_bytes())
}

/// Returns the content of a user message whose seal has been removed. Returns `None` for other datagrams.
pub fn decode_user_message(bytes: &[u8]) -> Option<&[u8]> {
    let mut reader = ByteReader::new(bytes);
    let header = decode_header(&mut reader)?;
    (header.message_code == MessageKind::UserMessage.code()).then(|| reader.take_remaining())
}
