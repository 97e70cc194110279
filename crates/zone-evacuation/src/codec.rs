//! Layout of a member's report and of the leader's reply. Integers are big-endian, `f32` by its bits.
//!
//! A report ([`MemberReport`]):
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | session |
//! | 4 | sequence number |
//! | 1 | 1: the member is isolated |
//! | 13 each | evidence: zone (4), reachability (1), threads (4, `f32`), successes (2), failures (2) |
//!
//! A reply ([`LeaderReply`]):
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | sequence number of the report |
//! | 15 each | zone (4), stage (1), step (1), decision number (4), reason (1), quota (4, `f32`) |
//!
//! Up to [`MAX_ZONES`] entries are written and read. An incomplete entry at the end, or one with an unknown number or
//! a float that is not finite, is skipped.

use crate::{Evidence, MemberReport, Reachability, Reason, Stage, ZoneId, ZoneStatus, MAX_ZONES};

const REPORT_HEADER_LEN: usize = 4 + 4 + 1;
const EVIDENCE_LEN: usize = 4 + 1 + 4 + 2 + 2;
const REPLY_HEADER_LEN: usize = 4;
const REPLY_ENTRY_LEN: usize = 4 + 1 + 1 + 4 + 1 + 4;

/// A zone that is not in full use, and the quota of the member that asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneEntry {
    /// The zone.
    pub zone: ZoneId,
    /// Its agreed status.
    pub status: ZoneStatus,
    /// Fraction of the zone's full use that the member may take.
    pub quota: f32,
}

/// The leader's reply to a report.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LeaderReply {
    /// The report's sequence number.
    pub sequence_number: u32,
    /// All zones that are not in full use.
    pub zones: Vec<ZoneEntry>,
}

/// Why bytes are not a report or reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end inside the fields before the entries.
    #[error("{len} bytes: expected {min_len} or more")]
    Truncated {
        /// Bytes that there are.
        len: usize,
        /// Bytes needed for the fields before the entries.
        min_len: usize,
    },
}

/// Encodes a report.
pub fn encode_report(report: &MemberReport) -> Vec<u8> {
    let mut bytes = report.session.to_be_bytes().to_vec();
    bytes.extend_from_slice(&report.sequence_number.to_be_bytes());
    bytes.push(u8::from(report.is_isolated));
    for evidence in report.zones.iter().take(MAX_ZONES) {
        bytes.extend_from_slice(&evidence.zone.to_be_bytes());
        bytes.push(evidence.reachability as u8);
        bytes.extend_from_slice(&evidence.threads.to_bits().to_be_bytes());
        bytes.extend_from_slice(&evidence.successes.to_be_bytes());
        bytes.extend_from_slice(&evidence.failures.to_be_bytes());
    }
    bytes
}

/// Decodes a report.
///
/// # Errors
/// Where the bytes end inside the fields before the entries.
pub fn decode_report(bytes: &[u8]) -> Result<MemberReport, DecodeError> {
    let truncated = DecodeError::Truncated {
        len: bytes.len(),
        min_len: REPORT_HEADER_LEN,
    };
    let entries = bytes.get(REPORT_HEADER_LEN..).ok_or(truncated)?;
    Ok(MemberReport {
        session: u32_at(bytes, 0).ok_or(truncated)?,
        sequence_number: u32_at(bytes, 4).ok_or(truncated)?,
        is_isolated: bytes[8] != 0,
        zones: entries
            .chunks_exact(EVIDENCE_LEN)
            .take(MAX_ZONES)
            .filter_map(decode_evidence)
            .collect(),
    })
}

fn decode_evidence(entry: &[u8]) -> Option<Evidence> {
    Some(Evidence {
        zone: u32_at(entry, 0)?,
        reachability: Reachability::from_number(entry[4])?,
        threads: finite_f32_at(entry, 5)?,
        successes: u16_at(entry, 9)?,
        failures: u16_at(entry, 11)?,
    })
}

/// Encodes a reply.
pub fn encode_reply(reply: &LeaderReply) -> Vec<u8> {
    let mut bytes = reply.sequence_number.to_be_bytes().to_vec();
    for entry in reply.zones.iter().take(MAX_ZONES) {
        let status = &entry.status;
        bytes.extend_from_slice(&entry.zone.to_be_bytes());
        bytes.extend_from_slice(&[status.stage as u8, status.step]);
        bytes.extend_from_slice(&status.decision_number.to_be_bytes());
        bytes.push(status.reason as u8);
        bytes.extend_from_slice(&entry.quota.to_bits().to_be_bytes());
    }
    bytes
}

/// Decodes a reply.
///
/// # Errors
/// Where the bytes end inside the sequence number.
pub fn decode_reply(bytes: &[u8]) -> Result<LeaderReply, DecodeError> {
    let truncated = DecodeError::Truncated {
        len: bytes.len(),
        min_len: REPLY_HEADER_LEN,
    };
    let entries = bytes.get(REPLY_HEADER_LEN..).ok_or(truncated)?;
    Ok(LeaderReply {
        sequence_number: u32_at(bytes, 0).ok_or(truncated)?,
        zones: entries
            .chunks_exact(REPLY_ENTRY_LEN)
            .take(MAX_ZONES)
            .filter_map(decode_reply_entry)
            .collect(),
    })
}

fn decode_reply_entry(entry: &[u8]) -> Option<ZoneEntry> {
    let status = ZoneStatus {
        stage: Stage::from_number(entry[4])?,
        step: entry[5],
        decision_number: u32_at(entry, 6)?,
        reason: Reason::from_number(entry[10])?,
    };
    Some(ZoneEntry {
        zone: u32_at(entry, 0)?,
        status,
        quota: finite_f32_at(entry, 11)?,
    })
}

fn u16_at(bytes: &[u8], offset: usize) -> Option<u16> {
    let field = bytes.get(offset..offset + 2)?;
    Some(u16::from_be_bytes(field.try_into().ok()?))
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_be_bytes(field.try_into().ok()?))
}

fn finite_f32_at(bytes: &[u8], offset: usize) -> Option<f32> {
    u32_at(bytes, offset)
        .map(f32::from_bits)
        .filter(|number| number.is_finite())
}
