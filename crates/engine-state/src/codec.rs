//! The encoding of observations. All numbers are big-endian.
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 1 | message type, [`MESSAGE_TYPE`] |
//! | 1 | 1 | version, [`VERSION`] |
//! | 2 | | entries, to the end of the message |
//!
//! | offset | bytes | field of an entry |
//! | --- | --- | --- |
//! | 0 | 1 | length of the rest of the entry (bytes) |
//! | 1 | 1 | kind: its position in [`ObservationKind::ALL`] |
//! | 2 | 8 | engine id |
//! | 10 | 4 | incarnation |
//! | 14 | 8 | origin id |
//! | 22 | 4 | sequence number |
//! | 26 | 4 | age (ms), rounded up |
//! | 30 | 4 | value, IEEE 754 single precision |
//!
//! Dispatchers of different versions can exchange messages: an entry of an unknown kind is skipped by its length, and
//! bytes after the known fields of an entry are ignored.

use crate::observation::{Observation, ObservationKind};
use tansymux_codec::{ByteReader, ByteWriter, DecodeError};

/// First byte of a message; distinguishes it from the other messages between dispatchers.
pub const MESSAGE_TYPE: u8 = 5;
/// Version of the encoding. Messages of other versions are not decoded.
pub const VERSION: u8 = 1;
/// Length of the header of a message (bytes).
const HEADER_BYTES: usize = 2;
/// Length of an entry of this version without its length byte (bytes).
const ENTRY_BYTES: usize = 1 + 8 + 4 + 8 + 4 + 4 + 4;

/// An error of decoding a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The message is shorter than its header.
    #[error("the message is shorter than its header of {HEADER_BYTES} bytes")]
    Truncated,
    /// The message is of another type.
    #[error("message type {0}: expected {MESSAGE_TYPE}")]
    WrongMessageType(u8),
    /// The message is of another version.
    #[error("version {0}: expected {VERSION}")]
    UnsupportedVersion(u8),
}

/// An encoded message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// The message.
    pub bytes: Vec<u8>,
    /// Number of observations that fit in the message, from the first on; the caller sends the rest in further
    /// messages.
    pub count: usize,
}

/// Encodes observations, in order, until the message would exceed `max_bytes`.
pub fn encode(observations: &[Observation], max_bytes: usize) -> Encoded {
    let mut writer = ByteWriter::default();
    writer.u8(MESSAGE_TYPE).u8(VERSION);
    let mut count = 0;
    for observation in observations {
        if writer.len() + 1 + ENTRY_BYTES > max_bytes {
            break;
        }
        encode_entry(observation, &mut writer);
        count += 1;
    }
    Encoded {
        bytes: writer.into_bytes(),
        count,
    }
}

fn encode_entry(observation: &Observation, writer: &mut ByteWriter) {
    // Rounds up: an observation must not become younger in transit.
    let age_ms = observation.age_ms.ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
    writer
        .u8(ENTRY_BYTES as u8)
        .u8(observation.kind as u8)
        .u64(observation.engine_id)
        .u32(observation.incarnation)
        .u64(observation.origin_id)
        .u32(observation.sequence)
        .u32(age_ms)
        .f32(observation.value as f32);
}

/// Decodes a message. Entries that have an unknown kind, are too short, or contain a value that is not finite are
/// skipped; decoding ends at a truncated entry.
///
/// # Errors
/// The message has no valid header. No input causes a panic.
pub fn decode(bytes: &[u8]) -> Result<Vec<Observation>, CodecError> {
    let mut reader = ByteReader::new(bytes);
    let (Ok(message_type), Ok(version)) = (reader.u8(), reader.u8()) else {
        return Err(CodecError::Truncated);
    };
    if message_type != MESSAGE_TYPE {
        return Err(CodecError::WrongMessageType(message_type));
    }
    if version != VERSION {
        return Err(CodecError::UnsupportedVersion(version));
    }
    let mut observations = Vec::new();
    while let Ok(length) = reader.u8() {
        let Ok(entry) = reader.split(usize::from(length)) else {
            break;
        };
        observations.extend(decode_entry(entry).ok());
    }
    Ok(observations)
}

fn decode_entry(mut reader: ByteReader) -> Result<Observation, DecodeError> {
    Ok(Observation {
        kind: reader.code("kind", kind_from_code)?,
        engine_id: reader.u64()?,
        incarnation: reader.u32()?,
        origin_id: reader.u64()?,
        sequence: reader.u32()?,
        age_ms: f64::from(reader.u32()?),
        value: f64::from(reader.finite_f32()?),
    })
}

fn kind_from_code(code: u8) -> Option<ObservationKind> {
    ObservationKind::ALL.get(usize::from(code)).copied()
}
