//! Layout of the messages that dispatchers exchange about zones; they may be lost or late. Integers are big-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | kind of message: [`MESSAGE_KIND`] |
//! | 1 | version: 1 |
//! | 1 | 1: the sender is isolated |
//! | 3 each | zone: hash of its name (2), reachability (1): 0 unknown, 1 reachable, 2 recovering, 3 unreachable |
//!
//! Up to [`MAX_ZONES`] zones are written and read; an incomplete one at the end is skipped, and an unknown
//! reachability is read as unknown.

use crate::model::Reachability;

/// First byte of a message about zones.
pub const MESSAGE_KIND: u8 = 3;
/// Version of the layout.
const VERSION: u8 = 1;
/// Length of kind, version and isolation (bytes).
const HEADER_LEN: usize = 3;
/// Length of a zone's entry (bytes).
const ENTRY_LEN: usize = 3;
/// Maximum number of zones in a message.
pub const MAX_ZONES: usize = 32;

/// A dispatcher's report about a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneReport {
    /// [`zone_hash`] of the zone's name.
    pub zone_hash: u16,
    /// Whether the dispatcher reaches the zone.
    pub reachability: Reachability,
}

/// A dispatcher's report about itself and all zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// The sender reaches no zone, so it is probably cut off itself.
    pub is_isolated: bool,
    /// The reports about zones.
    pub zones: Vec<ZoneReport>,
}

/// An error of decoding a message about zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are too short for the header, or of another kind or version.
    #[error("no message about zones of version {VERSION}")]
    NotZoneReport,
}

/// The hash of a zone's name in messages: 32-bit FNV-1a folded to 16 bits.
pub fn zone_hash(name: &str) -> u16 {
    tansymux_codec::fnv1a_16(name.as_bytes())
}

/// Encodes a message; zones beyond [`MAX_ZONES`] are left out.
pub fn encode(is_isolated: bool, zones: impl Iterator<Item = ZoneReport>) -> Vec<u8> {
    let mut bytes = vec![MESSAGE_KIND, VERSION, u8::from(is_isolated)];
    for zone in zones.take(MAX_ZONES) {
        bytes.extend_from_slice(&zone.zone_hash.to_be_bytes());
        bytes.push(match zone.reachability {
            Reachability::Unknown => 0,
            Reachability::Reachable => 1,
            Reachability::Recovering => 2,
            Reachability::Unreachable => 3,
        });
    }
    bytes
}

/// Decodes a message.
///
/// # Errors
/// The bytes are too short for the header, or of another kind or version.
pub fn decode(bytes: &[u8]) -> Result<PeerReport, DecodeError> {
    let [MESSAGE_KIND, VERSION, is_isolated, ..] = *bytes else {
        return Err(DecodeError::NotZoneReport);
    };
    let zones = bytes[HEADER_LEN..]
        .chunks_exact(ENTRY_LEN)
        .take(MAX_ZONES)
        .map(decode_zone)
        .collect();
    Ok(PeerReport {
        is_isolated: is_isolated != 0,
        zones,
    })
}

fn decode_zone(entry: &[u8]) -> ZoneReport {
    ZoneReport {
        zone_hash: u16::from_be_bytes([entry[0], entry[1]]),
        reachability: match entry[2] {
            1 => Reachability::Reachable,
            2 => Reachability::Recovering,
            3 => Reachability::Unreachable,
            _ => Reachability::Unknown,
        },
    }
}
