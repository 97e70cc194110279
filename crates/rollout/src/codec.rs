//! The datagrams of [`crate::message`]. All numbers are big-endian; records are those of
//! [`tansymux_coordination::codec`].
//!
//! | message | layout (bytes) |
//! | --- | --- |
//! | [`Message::Report`] | 16 (1), digest (4), round (4), zone (4), version (4), session (4), utilization (4, float), threads (4, float), succeeded (4), total (4), failing engine (8), echoed tick (4), grant id (8) |
//! | [`Message::Gossip`] | 17 (1), leader (8), tick (4), records |
//! | [`Message::RecordsRequest`] | 18 (1) |
//! | [`Message::Records`] | 19 (1), records |
//! | [`Message::Command`] | 20 (1), call (8), command |
//! | [`Message::Answer`] | 21 (1), call (8), answer |
//! | [`Message::Hello`] | 22 (1), call (8) |
//! | [`Message::Nonce`] | 23 (1), call (8), nonce (8) |
//! | [`Message::Call`] | 24 (1), call (8), nonce (8), command |
//! | [`Message::ZoneReport`] | 25 (1), as in crates/zone-evacuation |
//! | [`Message::ZonePlan`] | 26 (1), as in crates/zone-evacuation |
//!
//! The layouts of commands and answers are in `codec/command.rs` and `codec/answer.rs`.
//!
//! Bytes after a message of fixed length are passed over, as are those after
//! [`tansymux_coordination::codec::MAX_DATAGRAM_BYTES`].

mod answer;
mod command;

use crate::message::{Message, Report};
use answer::{decode_answer, encode_answer};
use command::{decode_command, encode_command};
use tansymux_codec::{ByteReader, ByteWriter, DecodeError};
use tansymux_coordination::codec::{
    decode_records, encode_record, MAX_DATAGRAM_BYTES, RECORD_BYTES,
};
use tansymux_coordination::LeasedRecord;
use tansymux_zone_evacuation::codec as zone_codec;
use tansymux_zone_evacuation::codec::LeaderReply;

/// The longest head in front of records: that of gossip.
const MAX_HEAD_BYTES: usize = 1 + 8 + 4;
/// Records that fit in any of these messages.
pub const MAX_RECORDS_PER_MESSAGE: usize = (MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES) / RECORD_BYTES;

/// The lowest code; those below are the voters'.
const FIRST_CODE: u8 = 16;
const REPORT: u8 = FIRST_CODE;
const GOSSIP: u8 = FIRST_CODE + 1;
const RECORDS_REQUEST: u8 = FIRST_CODE + 2;
const RECORDS: u8 = FIRST_CODE + 3;
const COMMAND: u8 = FIRST_CODE + 4;
const ANSWER: u8 = FIRST_CODE + 5;
const HELLO: u8 = FIRST_CODE + 6;
const NONCE: u8 = FIRST_CODE + 7;
const CALL: u8 = FIRST_CODE + 8;
const ZONE_REPORT: u8 = FIRST_CODE + 9;
const ZONE_PLAN: u8 = FIRST_CODE + 10;

/// Whether a datagram is one of these messages, and not a voter's.
pub fn is_rollout_message(datagram: &[u8]) -> bool {
    datagram.first().is_some_and(|code| *code >= FIRST_CODE)
}

/// The bytes of a message. Records that do not fit ([`MAX_RECORDS_PER_MESSAGE`]) are left out.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut writer = ByteWriter::with_capacity(MAX_DATAGRAM_BYTES);
    match message {
        Message::Report(report) => encode_report(&mut writer, report),
        Message::Gossip {
            leader,
            tick,
            records,
        } => {
            writer.u8(GOSSIP).u64(*leader).u32(*tick);
            encode_records(&mut writer, records);
        }
        Message::RecordsRequest => {
            writer.u8(RECORDS_REQUEST);
        }
        Message::Records { records } => {
            writer.u8(RECORDS);
            encode_records(&mut writer, records);
        }
        Message::Command { call, command } => {
            writer.u8(COMMAND).u64(*call);
            encode_command(&mut writer, command);
        }
        Message::Answer { call, answer } => {
            writer.u8(ANSWER).u64(*call);
            encode_answer(&mut writer, answer);
        }
        Message::Hello { call } => {
            writer.u8(HELLO).u64(*call);
        }
        Message::Nonce { call, nonce } => {
            writer.u8(NONCE).u64(*call).u64(*nonce);
        }
        Message::Call {
            call,
            nonce,
            command,
        } => {
            writer.u8(CALL).u64(*call).u64(*nonce);
            encode_command(&mut writer, command);
        }
        Message::ZoneReport(report) => {
            writer
                .u8(ZONE_REPORT)
                .bytes(&zone_codec::encode_report(report));
        }
        Message::ZonePlan(plan) => {
            writer.u8(ZONE_PLAN).bytes(&zone_codec::encode_reply(plan));
        }
    }
    writer.into_bytes()
}

fn encode_report(writer: &mut ByteWriter, report: &Report) {
    writer
        .u8(REPORT)
        .u32(report.digest)
        .u32(report.round)
        .u32(report.zone)
        .u32(report.version)
        .u32(report.session)
        .f32(report.utilization)
        .f32(report.threads)
        .u32(report.succeeded)
        .u32(report.total)
        .u64(report.failing_engine)
        .u32(report.echoed_tick)
        .u64(report.grant_id);
}

fn encode_records(writer: &mut ByteWriter, records: &[LeasedRecord]) {
    for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
        encode_record(writer, record);
    }
}

/// Reads a message.
///
/// # Errors
/// A [`DecodeError`] for bytes that are no such message. The receiver drops those.
pub fn decode(datagram: &[u8]) -> Result<Message, DecodeError> {
    let length = datagram.len().min(MAX_DATAGRAM_BYTES);
    let mut reader = ByteReader::new(&datagram[..length]);
    match reader.u8()? {
        REPORT => Ok(Message::Report(decode_report(&mut reader)?)),
        GOSSIP => Ok(Message::Gossip {
            leader: reader.u64()?,
            tick: reader.u32()?,
            records: decode_records(&mut reader)?,
        }),
        RECORDS_REQUEST => Ok(Message::RecordsRequest),
        RECORDS => Ok(Message::Records {
            records: decode_records(&mut reader)?,
        }),
        COMMAND => Ok(Message::Command {
            call: reader.u64()?,
            command: decode_command(&mut reader)?,
        }),
        ANSWER => Ok(Message::Answer {
            call: reader.u64()?,
            answer: decode_answer(&mut reader)?,
        }),
        HELLO => Ok(Message::Hello {
            call: reader.u64()?,
        }),
        NONCE => Ok(Message::Nonce {
            call: reader.u64()?,
            nonce: reader.u64()?,
        }),
        CALL => Ok(Message::Call {
            call: reader.u64()?,
            nonce: reader.u64()?,
            command: decode_command(&mut reader)?,
        }),
        ZONE_REPORT => zone_codec::decode_report(reader.take_remaining())
            .map(Message::ZoneReport)
            .map_err(|_| DecodeError::Embedded("zone report")),
        ZONE_PLAN => decode_zone_plan(&mut reader).map(Message::ZonePlan),
        code => Err(DecodeError::UnknownCode {
            field: "message",
            code,
        }),
    }
}

fn decode_zone_plan(reader: &mut ByteReader) -> Result<LeaderReply, DecodeError> {
    zone_codec::decode_reply(reader.take_remaining())
        .map_err(|_| DecodeError::Embedded("zone plan"))
}

fn decode_report(reader: &mut ByteReader) -> Result<Report, DecodeError> {
    Ok(Report {
        digest: reader.u32()?,
        round: reader.u32()?,
        zone: reader.u32()?,
        version: reader.u32()?,
        session: reader.u32()?,
        utilization: reader.finite_f32()?,
        threads: reader.finite_f32()?,
        succeeded: reader.u32()?,
        total: reader.u32()?,
        failing_engine: reader.u64()?,
        echoed_tick: reader.u32()?,
        grant_id: reader.u64()?,
    })
}
