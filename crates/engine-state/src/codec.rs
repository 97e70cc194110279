//! The encoding of observations. All numbers are big-endian.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 1 | message type, [`MESSAGE_TYPE`] |
//! | 1 | 1 | version, [`VERSION`] |
//! | 2 | | entries up to the end |
//!
//! | offset | bytes | field of an entry |
//! | --- | --- | --- |
//! | 0 | 1 | length of the entry without this byte |
//! | 1 | 1 | kind: its position in [`ObservationKind::ALL`] |
//! | 2 | 8 | engine id |
//! | 10 | 4 | incarnation |
//! | 14 | 8 | origin id |
//! | 22 | 4 | sequence number |
//! | 26 | 4 | age (ms), rounded up |
//! | 30 | 4 | value, IEEE 754 single precision |
//!
//! An entry of an unknown kind is skipped by its length, and bytes after the known fields are ignored, so that versions
//! can be mixed.

use crate::observation::{Observation, ObservationKind};

/// The first byte of a message, which distinguishes it from other messages between dispatchers.
pub const MESSAGE_TYPE: u8 = 5;
/// The version that is encoded, and the only one that is decoded.
pub const VERSION: u8 = 1;
const HEADER_BYTES: usize = 2;
/// Bytes of an entry of this version, without its length byte.
const ENTRY_BYTES: usize = 1 + 8 + 4 + 8 + 4 + 4 + 4;

/// Why a message can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// It is shorter than its header.
    #[error("the message is shorter than its header of {HEADER_BYTES} bytes")]
    Truncated,
    /// It is another message.
    #[error("message type {0}: expected {MESSAGE_TYPE}")]
    WrongMessageType(u8),
    /// It is of another version.
    #[error("version {0}: expected {VERSION}")]
    UnsupportedVersion(u8),
}

/// A message and how many of the observations it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// The message.
    pub bytes: Vec<u8>,
    /// How many observations fit; the rest is left for the next message.
    pub count: usize,
}

/// Encodes as many observations, in their order, as fit in `max_bytes`.
pub fn encode(observations: &[Observation], max_bytes: usize) -> Encoded {
    let mut encoded = Encoded {
        bytes: vec![MESSAGE_TYPE, VERSION],
        count: 0,
    };
    for observation in observations {
        if encoded.bytes.len() + 1 + ENTRY_BYTES > max_bytes {
            break;
        }
        encode_entry(observation, &mut encoded.bytes);
        encoded.count += 1;
    }
    encoded
}

fn encode_entry(observation: &Observation, bytes: &mut Vec<u8>) {
    // Rounded up: an observation must not become younger in transit.
    let age_ms = observation.age_ms.ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
    bytes.push(ENTRY_BYTES as u8);
    bytes.push(observation.kind as u8);
    bytes.extend_from_slice(&observation.engine_id.to_be_bytes());
    bytes.extend_from_slice(&observation.incarnation.to_be_bytes());
    bytes.extend_from_slice(&observation.origin_id.to_be_bytes());
    bytes.extend_from_slice(&observation.sequence.to_be_bytes());
    bytes.extend_from_slice(&age_ms.to_be_bytes());
    bytes.extend_from_slice(&(observation.value as f32).to_be_bytes());
}

/// Decodes a message. Entries that are unknown, too short, or not finite are skipped; decoding ends at one that is cut.
///
/// # Errors
/// The message has no valid header. Any bytes are accepted without a panic.
pub fn decode(bytes: &[u8]) -> Result<Vec<Observation>, CodecError> {
    let (header, mut remaining) = bytes
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or(CodecError::Truncated)?;
    let [message_type, version] = *header;
    if message_type != MESSAGE_TYPE {
        return Err(CodecError::WrongMessageType(message_type));
    }
    if version != VERSION {
        return Err(CodecError::UnsupportedVersion(version));
    }
    let mut observations = Vec::new();
    while let Some((length, after_length)) = remaining.split_first() {
        let Some((entry, after_entry)) = after_length.split_at_checked(usize::from(*length)) else {
            break;
        };
        observations.extend(decode_entry(entry));
        remaining = after_entry;
    }
    Ok(observations)
}

fn decode_entry(entry: &[u8]) -> Option<Observation> {
    let mut fields = FieldReader { bytes: entry };
    let kind = ObservationKind::ALL
        .get(usize::from(fields.take::<1>()?[0]))
        .copied()?;
    let observation = Observation {
        kind,
        engine_id: u64::from_be_bytes(fields.take()?),
        incarnation: u32::from_be_bytes(fields.take()?),
        origin_id: u64::from_be_bytes(fields.take()?),
        sequence: u32::from_be_bytes(fields.take()?),
        age_ms: f64::from(u32::from_be_bytes(fields.take()?)),
        value: f64::from(f32::from_be_bytes(fields.take()?)),
    };
    observation.value.is_finite().then_some(observation)
}

/// Reads fields of fixed size one after the other.
struct FieldReader<'a> {
    bytes: &'a [u8],
}

impl FieldReader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (field, remaining) = self.bytes.split_first_chunk::<N>()?;
        self.bytes = remaining;
        Some(*field)
    }
}
