//! Authentication and replay protection of datagrams: a keyed hash (SipHash-2-4) over each datagram, and a sliding
//! window over sequence numbers. Two keys can be valid at a time, which allows key rotation.
//!
//! The seal is appended to the datagram; integers are big-endian:
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | session of the sender, drawn at random when the process starts |
//! | 4 | sequence number within the session |
//! | 8 | SipHash-2-4 over the datagram, session and sequence number |

use siphasher::sip::SipHasher24;
use std::collections::HashMap;
use std::hash::Hasher;

/// Length of a seal (bytes).
pub const SEAL_LEN: usize = 16;
/// Length of the part of the seal that the hash covers (bytes): session and sequence number.
const SEAL_HEADER_LEN: usize = 8;
/// Maximum number of sessions recorded per sender. The least recently used session is evicted first.
const MAX_SESSIONS: usize = 8;
/// Size of the replay window: the number of sequence numbers below the highest received one that are still accepted,
/// each once.
const REPLAY_WINDOW: u32 = 64;
/// Maximum number of senders whose sequence numbers are recorded. The least recently used sender is evicted first.
const MAX_SENDERS: usize = 2048;

/// The keys in use. Without keys, datagrams are neither sealed nor verified.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    /// Key that seals outgoing datagrams and is accepted on incoming datagrams.
    pub signing: Option<[u8; 16]>,
    /// Second key that is accepted on incoming datagrams during a rotation.
    pub also_accepted: Option<[u8; 16]>,
}

impl Keys {
    fn is_empty(&self) -> bool {
        self.signing.is_none() && self.also_accepted.is_none()
    }
}

/// Replay window of one session of a sender.
#[derive(Debug, Clone)]
struct Session {
    id: u32,
    highest: u32,
    /// Bit n is set if sequence number `highest - 1 - n` has been received.
    received: u64,
}

/// The sessions of a sender, ordered from least to most recently used. Old sessions stay valid: a receiver that has
/// just started cannot tell which of two sessions is newer, and a delayed datagram of the old session must not block
/// the new session.
#[derive(Debug, Clone, Default)]
struct Sender {
    sessions: Vec<Session>,
    /// Value of `accepted_count` when the sender's last datagram was accepted.
    last_accepted: u64,
}

/// Seals outgoing datagrams and verifies incoming ones.
#[derive(Debug, Clone)]
pub struct DatagramAuthenticator {
    keys: Keys,
    session: u32,
    sequence_number: u32,
    senders: HashMap<u64, Sender>,
    /// Number of accepted datagrams of all senders; serves as the clock for the eviction of senders.
    accepted_count: u64,
}

impl DatagramAuthenticator {
    /// Creates an authenticator. `session` must be drawn at random each time the process starts.
    pub fn new(keys: Keys, session: u32) -> Self {
        DatagramAuthenticator {
            keys,
            session,
            sequence_number: 0,
            senders: HashMap::new(),
            accepted_count: 0,
        }
    }

    /// Replaces the keys. The replay windows are kept.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Appends a seal to a datagram. Does nothing without a signing key.
    pub fn seal(&mut self, datagram: &mut Vec<u8>) {
        let Some(key) = &self.keys.signing else {
            return;
        };
        self.sequence_number = self.sequence_number.wrapping_add(1);
        let mut header = [0; SEAL_HEADER_LEN];
        header[..4].copy_from_slice(&self.session.to_be_bytes());
        header[4..].copy_from_slice(&self.sequence_number.to_be_bytes());
        let hash = hash(key, datagram, &header);
        datagram.extend_from_slice(&header);
        datagram.extend_from_slice(&hash);
    }

    /// Verifies a datagram of the given sender and returns its content without the seal. Returns `None` if the seal is
    /// missing or wrong, or if the datagram is a replay. Without keys, returns every datagram unchanged.
    pub fn open<'a>(&mut self, sender: u64, datagram: &'a [u8]) -> Option<&'a [u8]> {
        if self.keys.is_empty() {
            return Some(datagram);
        }
        let content_len = datagram.len().checked_sub(SEAL_LEN)?;
        let (content, seal) = datagram.split_at(content_len);
        let (header, received_hash) = seal.split_at(SEAL_HEADER_LEN);
        let is_authentic = [&self.keys.signing, &self.keys.also_accepted]
            .into_iter()
            .flatten()
            .any(|key| equal_in_constant_time(&hash(key, content, header), received_hash));
        if !is_authentic {
            return None;
        }
        let session = u32::from_be_bytes([header[0], header[1], header[2], header[3]]);
        let sequence_number = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
        self.accept_once(sender, session, sequence_number)
            .then_some(content)
    }

    /// Records a sequence number of a session. Returns false for a replay.
    fn accept_once(&mut self, sender: u64, session: u32, sequence_number: u32) -> bool {
        // The seal has been verified here, so only holders of a key can cause an eviction. Evicting a sender discards
        // its replay window. Fleet commands also contain a nonce of their receiver, so their replays are still
        // rejected.
        if !self.senders.contains_key(&sender) && self.senders.len() >= MAX_SENDERS {
            self.evict_least_recently_used_sender();
        }
        self.accepted_count += 1;
        let record = self.senders.entry(sender).or_default();
        record.last_accepted = self.accepted_count;
        record.accept_once(session, sequence_number)
    }

    fn evict_least_recently_used_sender(&mut self) {
        let least_recently_used = self
            .senders
            .iter()
            .min_by_key(|(id, sender)| (sender.last_accepted, **id))
            .map(|(id, _)| *id);
        if let Some(id) = least_recently_used {
            self.senders.remove(&id);
        }
    }
}

fn hash(key: &[u8; 16], content: &[u8], seal_header: &[u8]) -> [u8; 8] {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(content);
    hasher.write(seal_header);
    hasher.finish().to_be_bytes()
}

/// Compares two hashes in constant time, so that the duration reveals nothing about the expected hash.
fn equal_in_constant_time(expected: &[u8; 8], received: &[u8]) -> bool {
    let differing_bits = expected
        .iter()
        .zip(received)
        .fold(0, |bits, (left, right)| bits | (left ^ right));
    differing_bits == 0
}

impl Sender {
    fn accept_once(&mut self, session_id: u32, sequence_number: u32) -> bool {
        let position = self
            .sessions
            .iter()
            .position(|session| session.id == session_id);
        let Some(position) = position else {
            if self.sessions.len() >= MAX_SESSIONS {
                self.sessions.remove(0);
            }
            self.sessions.push(Session {
                id: session_id,
                highest: sequence_number,
                received: 0,
            });
            return true;
        };
        // The most recently used session moves to the end.
        let mut session = self.sessions.remove(position);
        let is_new = session.accept_once(sequence_number);
        self.sessions.push(session);
        is_new
    }
}

impl Session {
    fn accept_once(&mut self, sequence_number: u32) -> bool {
        if sequence_number > self.highest {
            let advance = sequence_number - self.highest;
            self.received = if advance < REPLAY_WINDOW {
                self.received << advance | 1 << (advance - 1)
            } else {
                0
            };
            self.highest = sequence_number;
            return true;
        }
        let behind = self.highest - sequence_number;
        if behind == 0 || behind > REPLAY_WINDOW {
            return false;
        }
        let bit = 1_u64 << (behind - 1);
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}

#[cfg(test)]
mod tests;
