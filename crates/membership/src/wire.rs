//! Datagrams: a head, and news of members behind it.

use crate::seal;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};

/// The longest datagram, with its seal.
pub const MOST: usize = 256;
/// The first byte of a datagram of membership.
pub const KIND: u8 = 4;
const VERSION: u8 = 1;
const HEAD: usize = 3 + 8 + 4;
const ABOUT: usize = 8;
const ENTRY: usize = 8 + 4 + 2 + 1 + 4;
/// Parts of the table whose digests are compared, each told in 4 bytes.
pub const BUCKETS: usize = 16;
const DIGEST: usize = 4 * BUCKETS;
const SYNC: u8 = 5;
const CARRY: u8 = 6;
/// What a datagram carries for others than membership, at most.
pub const MAX_CARRIED: usize = MOST - seal::LENGTH - HEAD;

/// A member's number, drawn from its name: the same after a restart.
pub type Id = u64;

/// Of a name: FNV-1a, as the same on all machines.
pub fn id_of(name: &str) -> Id {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    /// It said that it goes.
    Left,
}

/// Gossip of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gossip {
    pub id: Id,
    pub address: SocketAddr,
    pub state: State,
    pub incarnation: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum What {
    /// Are you there?
    Ping,
    /// I am.
    Ack,
    /// Ask this member for me.
    Ask(Id),
    /// That member has answered.
    Heard(Id),
    /// Who is there? To a seed.
    Join,
    /// What differs from this of what you know? A digest of each part of the table.
    Sync([u32; BUCKETS]),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    pub what: What,
    pub from: Id,
    pub number: u32,
    pub news: Vec<Gossip>,
}

/// Gossip that fit behind a head of this kind.
pub fn room(what: What) -> usize {
    let about = match what {
        What::Ask(_) | What::Heard(_) => ABOUT,
        What::Sync(_) => DIGEST,
        What::Ping | What::Ack | What::Join => 0,
    };
    (MOST - seal::LENGTH - HEAD - about) / ENTRY
}

/// The bytes, without a seal. Gossip beyond what fits is left out, as is that of addresses that are not IPv4.
pub fn write(datagram: &Datagram) -> Vec<u8> {
    let (code, about) = match datagram.what {
        What::Ping => (0, None),
        What::Ack => (1, None),
        What::Ask(id) => (2, Some(id)),
        What::Heard(id) => (3, Some(id)),
        What::Join => (4, None),
        What::Sync(_) => (SYNC, None),
    };
    let mut bytes = vec![KIND, VERSION, code];
    bytes.extend_from_slice(&datagram.from.to_be_bytes());
    bytes.extend_from_slice(&datagram.number.to_be_bytes());
    bytes.extend(about.map(u64::to_be_bytes).into_iter().flatten());
    if let What::Sync(digests) = datagram.what {
        bytes.extend(digests.iter().flat_map(|digest| digest.to_be_bytes()));
    }
    for news in datagram.news.iter().take(room(datagram.what)) {
        let IpAddr::V4(ip) = news.address.ip() else {
            continue;
        };
        bytes.extend_from_slice(&news.id.to_be_bytes());
        bytes.extend_from_slice(&ip.octets());
        bytes.extend_from_slice(&news.address.port().to_be_bytes());
        bytes.push(news.state as u8);
        bytes.extend_from_slice(&news.incarnation.to_be_bytes());
    }
    bytes
}

/// Who a datagram says it is from, before anything of it is believed.
pub fn sender(bytes: &[u8]) -> Option<Id> {
    let head = bytes
        .get(..HEAD)
        .filter(|head| head[0] == KIND && head[1] == VERSION)?;
    Some(u64::from_be_bytes(head[3..11].try_into().ok()?))
}

/// None for what is no such datagram. Gossip with an unknown state is passed over, as is a piece at the end.
pub fn read(bytes: &[u8]) -> Option<Datagram> {
    let from = sender(bytes)?;
    let number = u32::from_be_bytes(bytes[11..15].try_into().ok()?);
    let about = || {
        Some(u64::from_be_bytes(
            bytes.get(HEAD..HEAD + ABOUT)?.try_into().ok()?,
        ))
    };
    let (what, at) = match bytes[2] {
        0 => (What::Ping, HEAD),
        1 => (What::Ack, HEAD),
        2 => (What::Ask(about()?), HEAD + ABOUT),
        3 => (What::Heard(about()?), HEAD + ABOUT),
        4 => (What::Join, HEAD),
        SYNC => {
            let digests = bytes.get(HEAD..HEAD + DIGEST)?;
            let one = |n: usize| u32::from_be_bytes(std::array::from_fn(|at| digests[4 * n + at]));
            (What::Sync(std::array::from_fn(one)), HEAD + DIGEST)
        }
        _ => return None,
    };
    let entry = |entry: &[u8]| {
        let state = match entry[14] {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Dead,
            3 => State::Left,
            _ => return None,
        };
        let ip = Ipv4Addr::new(entry[8], entry[9], entry[10], entry[11]);
        let port = u16::from_be_bytes([entry[12], entry[13]]);
        Some(Gossip {
            id: u64::from_be_bytes(entry[..8].try_into().ok()?),
            address: SocketAddr::V4(SocketAddrV4::new(ip, port)),
            state,
            incarnation: u32::from_be_bytes(entry[15..19].try_into().ok()?),
        })
    };
    let news = bytes[at..]
        .chunks_exact(ENTRY)
        .filter_map(entry)
        .take(room(What::Ping))
        .collect();
    Some(Datagram {
        what,
        from,
        number,
        news,
    })
}

/// A datagram that carries what is not membership's; none where it is too long.
pub fn write_carried(from: Id, content: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = vec![KIND, VERSION, CARRY];
    bytes.extend_from_slice(&from.to_be_bytes());
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(content);
    (content.len() <= MAX_CARRIED).then_some(bytes)
}

/// What a datagram carries, if it is of that kind.
pub fn carried(bytes: &[u8]) -> Option<&[u8]> {
    sender(bytes)?;
    (bytes[2] == CARRY).then(|| &bytes[HEAD..])
}
