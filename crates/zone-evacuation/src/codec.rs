//! Wire format of a member's report and of the leader's reply. Integers are big-endian. An `f32` is written as the
//! integer of its IEEE 754 bits.
//!
//! A report ([`MemberReport`]):
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | session |
//! | 4 | sequence number |
//! | 1 | 1 if the member is isolated, else 0 |
//! | 13 per entry | evidence: zone (4), reachability (1), threads (4, `f32`), successes (2), failures (2) |
//!
//! A reply ([`LeaderReply`]):
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | sequence number of the report |
//! | 15 per entry | zone (4), stage (1), step (1), decision number (4), reason (1), quota (4, `f32`) |
//!
//! At most [`MAX_ZONES`] entries are encoded and decoded. The decoder skips an incomplete entry at the end, and entries
//! with an unknown code or a float that is not finite.

use crate::{Evidence, MemberReport, Reachability, Reason, Stage, ZoneId, ZoneStatus, MAX_ZONES};
use tansymux_codec::{ByteReader, ByteWriter};

/// Length of a report's fields before the entries (bytes).
const REPORT_HEADER_LEN: usize = 4 + 4 + 1;
/// Length of one entry of a report (bytes).
const EVIDENCE_LEN: usize = 4 + 1 + 4 + 2 + 2;
/// Length of a reply's fields before the entries (bytes).
const REPLY_HEADER_LEN: usize = 4;
/// Length of one entry of a reply (bytes).
const REPLY_ENTRY_LEN: usize = 4 + 1 + 1 + 4 + 1 + 4;

/// A zone that is not in full use, with the quota of the reporting member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneEntry {
    /// The zone.
    pub zone: ZoneId,
    /// The agreed status of the zone.
    pub status: ZoneStatus,
    /// The member's quota, as a fraction of the zone's full use.
    pub quota: f32,
}

/// The leader's reply to a report.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LeaderReply {
    /// The report's sequence number.
    pub sequence_number: u32,
    /// The zones that are not in full use.
    pub zones: Vec<ZoneEntry>,
}

/// The reason why bytes could not be decoded as a report or reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end within the fields before the entries.
    #[error("message truncated: got {len} bytes, expected at least {min_len}")]
    Truncated {
        /// Number of bytes.
        len: usize,
        /// Length of the fields before the entries (bytes).
        min_len: usize,
    },
}

/// Encodes a report.
pub fn encode_report(report: &MemberReport) -> Vec<u8> {
    let mut writer = ByteWriter::default();
    writer
        .u32(report.session)
        .u32(report.sequence_number)
        .u8(u8::from(report.is_isolated));
    for evidence in report.zones.iter().take(MAX_ZONES) {
        writer
            .u32(evidence.zone)
            .u8(evidence.reachability.code())
            .f32(evidence.threads)
            .u16(evidence.successes)
            .u16(evidence.failures);
    }
    writer.into_bytes()
}

/// Decodes a report.
///
/// # Errors
/// Returns [`DecodeError::Truncated`] if the bytes end within the fields before the entries.
pub fn decode_report(bytes: &[u8]) -> Result<MemberReport, DecodeError> {
    let truncated = |_| truncated(bytes, REPORT_HEADER_LEN);
    let mut reader = ByteReader::new(bytes);
    Ok(MemberReport {
        session: reader.u32().map_err(truncated)?,
        sequence_number: reader.u32().map_err(truncated)?,
        is_isolated: reader.u8().map_err(truncated)? != 0,
        zones: reader
            .take_remaining()
            .chunks_exact(EVIDENCE_LEN)
            .take(MAX_ZONES)
            .filter_map(|entry| decode_evidence(entry).ok())
            .collect(),
    })
}

fn decode_evidence(entry: &[u8]) -> Result<Evidence, tansymux_codec::DecodeError> {
    let mut reader = ByteReader::new(entry);
    Ok(Evidence {
        zone: reader.u32()?,
        reachability: reader.code("reachability", Reachability::from_code)?,
        threads: reader.finite_f32()?,
        successes: reader.u16()?,
        failures: reader.u16()?,
    })
}

/// Encodes a reply.
pub fn encode_reply(reply: &LeaderReply) -> Vec<u8> {
    let mut writer = ByteWriter::default();
    writer.u32(reply.sequence_number);
    for entry in reply.zones.iter().take(MAX_ZONES) {
        let status = &entry.status;
        writer
            .u32(entry.zone)
            .u8(status.stage.code())
            .u8(status.step)
            .u32(status.decision_number)
            .u8(status.reason.code())
            .f32(entry.quota);
    }
    writer.into_bytes()
}

/// Decodes a reply.
///
/// # Errors
/// Returns [`DecodeError::Truncated`] if the bytes end within the sequence number.
pub fn decode_reply(bytes: &[u8]) -> Result<LeaderReply, DecodeError> {
    let truncated = |_| truncated(bytes, REPLY_HEADER_LEN);
    let mut reader = ByteReader::new(bytes);
    Ok(LeaderReply {
        sequence_number: reader.u32().map_err(truncated)?,
        zones: reader
            .take_remaining()
            .chunks_exact(REPLY_ENTRY_LEN)
            .take(MAX_ZONES)
            .filter_map(|entry| decode_reply_entry(entry).ok())
            .collect(),
    })
}

fn decode_reply_entry(entry: &[u8]) -> Result<ZoneEntry, tansymux_codec::DecodeError> {
    let mut reader = ByteReader::new(entry);
    Ok(ZoneEntry {
        zone: reader.u32()?,
        status: ZoneStatus {
            stage: reader.code("stage", Stage::from_code)?,
            step: reader.u8()?,
            decision_number: reader.u32()?,
            reason: reader.code("reason", Reason::from_code)?,
        },
        quota: reader.finite_f32()?,
    })
}

fn truncated(bytes: &[u8], min_len: usize) -> DecodeError {
    DecodeError::Truncated {
        len: bytes.len(),
        min_len,
    }
}
