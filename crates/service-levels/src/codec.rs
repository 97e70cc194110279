//! Layout of the messages that dispatchers exchange about levels; they may be lost or late. Integers are big-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | kind of message: [`MESSAGE_KIND`] |
//! | 1 | version: 1 |
//! | 2 | fingerprint of the sender's configuration |
//! | 1 | depth in force at the sender, or [`DEPTH_UNKNOWN`] |
//! | 1 | depth that the sender's own signals call for |
//! | 2 | sequence number |
//!
//! Of a longer message of the same version, the bytes beyond these are ignored.

/// First byte of a message about levels.
pub const MESSAGE_KIND: u8 = 2;
/// Version of the layout.
const VERSION: u8 = 1;
/// Length of a message (bytes).
pub const MESSAGE_LEN: usize = 8;
/// Depth in the messages of a new instance, which request the depths of the others.
pub const DEPTH_UNKNOWN: u8 = 255;

/// A dispatcher's report about its level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// [`crate::Config::fingerprint`] of the sender's configuration.
    pub config_fingerprint: u16,
    /// The depth in force, or [`DEPTH_UNKNOWN`].
    pub depth: u8,
    /// The depth that the sender's own signals call for.
    pub wanted_depth: u8,
    /// Number of the sender's message, so that a late message does not replace a newer one.
    pub sequence_number: u16,
}

/// An error of decoding a message about levels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are too short, or of another kind or version.
    #[error("no message about levels of version {VERSION}")]
    NotLevelReport,
}

/// Encodes a message.
pub fn encode(report: PeerReport) -> [u8; MESSAGE_LEN] {
    let fingerprint = report.config_fingerprint.to_be_bytes();
    let sequence_number = report.sequence_number.to_be_bytes();
    [
        MESSAGE_KIND,
        VERSION,
        fingerprint[0],
        fingerprint[1],
        report.depth,
        report.wanted_depth,
        sequence_number[0],
        sequence_number[1],
    ]
}

/// Decodes a message.
///
/// # Errors
/// The bytes are too short, or of another kind or version.
pub fn decode(bytes: &[u8]) -> Result<PeerReport, DecodeError> {
    let message = bytes
        .get(..MESSAGE_LEN)
        .ok_or(DecodeError::NotLevelReport)?;
    if message[0] != MESSAGE_KIND || message[1] != VERSION {
        return Err(DecodeError::NotLevelReport);
    }
    Ok(PeerReport {
        config_fingerprint: u16::from_be_bytes([message[2], message[3]]),
        depth: message[4],
        wanted_depth: message[5],
        sequence_number: u16::from_be_bytes([message[6], message[7]]),
    })
}
