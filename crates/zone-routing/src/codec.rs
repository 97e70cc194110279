//! Layout of the zone reports that dispatchers exchange. Delivery is best-effort: a report may be lost or delayed.
//! Integers are big-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | kind of message: [`MESSAGE_KIND`] |
//! | 1 | version: 1 |
//! | 1 | isolation: 1 if the sender is isolated, else 0 |
//! | 3 each | zones: hash of the name (2), reachability (1): 0 unknown, 1 reachable, 2 recovering, 3 unreachable |
//!
//! Up to [`MAX_ZONES`] zones are encoded and decoded. Decoding skips an incomplete last entry, and maps undefined codes
//! of reachability to unknown.

use crate::model::Reachability;

/// First byte of every zone report.
pub const MESSAGE_KIND: u8 = 3;
/// Version of the message layout.
const VERSION: u8 = 1;
/// Length of the header (bytes): kind, version and isolation.
const HEADER_LEN: usize = 3;
/// Length of a zone's entry (bytes).
const ENTRY_LEN: usize = 3;
/// Maximum number of zones in a message.
pub const MAX_ZONES: usize = 32;

/// A dispatcher's report about one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneReport {
    /// [`zone_hash`] of the zone's name.
    pub zone_hash: u16,
    /// The reachability of the zone, as seen by the dispatcher.
    pub reachability: Reachability,
}

/// A dispatcher's report about itself and all zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Whether all zones fail for the sender, so that it is probably isolated from the network.
    pub is_isolated: bool,
    /// The reports about the zones.
    pub zones: Vec<ZoneReport>,
}

/// An error in decoding a zone report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is too short for the header, or has another kind or version.
    #[error("not a zone report of version {VERSION}")]
    NotZoneReport,
}

/// Returns the hash that identifies a zone in messages: the 32-bit FNV-1a hash of its name, folded to 16 bits.
pub fn zone_hash(name: &str) -> u16 {
    tansymux_codec::fnv1a_16(name.as_bytes())
}

/// Encodes a report. Omits zones beyond [`MAX_ZONES`].
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

/// Decodes a report.
///
/// # Errors
/// Returns [`DecodeError::NotZoneReport`] if the message is too short for the header, or has another kind or version.
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
