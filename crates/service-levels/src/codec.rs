//! Encoding of the messages in which dispatchers report their levels to each other. The transport may lose, delay and
//! reorder messages. Integers are big-endian.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | kind of message: [`MESSAGE_KIND`] |
//! | 1 | version: 1 |
//! | 2 | fingerprint of the sender's configuration |
//! | 1 | depth in force at the sender; [`DEPTH_UNKNOWN`] at a new instance |
//! | 1 | depth that the sender's own signals require |
//! | 2 | sequence number |
//!
//! Bytes after these fields are ignored.

/// First byte of a level report.
pub const MESSAGE_KIND: u8 = 2;
/// Version of the encoding.
const VERSION: u8 = 1;
/// Length of a message (bytes).
pub const MESSAGE_LEN: usize = 8;
/// Depth in the messages of an instance that has not chosen its initial depth. Such a message requests the depths of
/// the peers.
pub const DEPTH_UNKNOWN: u8 = 255;

/// A dispatcher's report of its level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// [`crate::Config::fingerprint`] of the sender's configuration.
    pub config_fingerprint: u16,
    /// The depth in force, or [`DEPTH_UNKNOWN`].
    pub depth: u8,
    /// The depth that the sender's own signals require.
    pub wanted_depth: u8,
    /// Sequence number of the sender's message; a delayed message does not replace a newer one.
    pub sequence_number: u16,
}

/// An error of decoding a level report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are too short, or of another kind or version.
    #[error("not a level report of version {VERSION}, or truncated")]
    NotLevelReport,
}

/// Encodes a level report.
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

/// Decodes a level report.
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
