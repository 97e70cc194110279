//! Encoding of the messages of [`crate::message`] as datagrams. All numbers are big-endian; records are encoded by
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
//! Bytes after a message of fixed length are ignored, and so are bytes beyond
//! [`tansymux_coordination::codec::MAX_DATAGRAM_BYTES`].

mod answer;
mod command;

use crate::message::{Message, Report};
use answer::{decode_answer, encode_answer};
use command::{decode_command, encode_command};
use tansymux_codec::{wire_enum, ByteReader, ByteWriter, DecodeError};
use tansymux_coordination::codec::{
    decode_records, encode_record, MAX_DATAGRAM_BYTES, RECORD_BYTES,
};
use tansymux_coordination::LeasedRecord;
use tansymux_zone_evacuation::codec as zone_codec;
use tansymux_zone_evacuation::codec::LeaderReply;

/// Length of the longest header before records (bytes): the header of a gossip message.
const MAX_HEADER_BYTES: usize = 1 + 8 + 4;
/// Maximum number of records in one message.
pub const MAX_RECORDS_PER_MESSAGE: usize = (MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES) / RECORD_BYTES;

wire_enum! {
    /// The first byte of a message. Lower codes belong to the voters' messages.
    enum MessageKind {
        /// [`Message::Report`].
        Report = 16,
        /// [`Message::Gossip`].
        Gossip = 17,
        /// [`Message::RecordsRequest`].
        RecordsRequest = 18,
        /// [`Message::Records`].
        Records = 19,
        /// [`Message::Command`].
        Command = 20,
        /// [`Message::Answer`].
        Answer = 21,
        /// [`Message::Hello`].
        Hello = 22,
        /// [`Message::Nonce`].
        Nonce = 23,
        /// [`Message::Call`].
        Call = 24,
        /// [`Message::ZoneReport`].
        ZoneReport = 25,
        /// [`Message::ZonePlan`].
        ZonePlan = 26,
    }
}

impl MessageKind {
    fn of(message: &Message) -> Self {
        match message {
            Message::Report(_) => MessageKind::Report,
            Message::Gossip { .. } => MessageKind::Gossip,
            Message::RecordsRequest => MessageKind::RecordsRequest,
            Message::Records { .. } => MessageKind::Records,
            Message::Command { .. } => MessageKind::Command,
            Message::Answer { .. } => MessageKind::Answer,
            Message::Hello { .. } => MessageKind::Hello,
            Message::Nonce { .. } => MessageKind::Nonce,
            Message::Call { .. } => MessageKind::Call,
            Message::ZoneReport(_) => MessageKind::ZoneReport,
            Message::ZonePlan(_) => MessageKind::ZonePlan,
        }
    }
}

/// The lowest code of [`MessageKind`].
const FIRST_CODE: u8 = MessageKind::Report.code();

/// Whether a datagram contains one of these messages, as opposed to a voter's.
pub fn is_rollout_message(datagram: &[u8]) -> bool {
    datagram.first().is_some_and(|code| *code >= FIRST_CODE)
}

/// Encodes a message. Records beyond [`MAX_RECORDS_PER_MESSAGE`] are left out.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut writer = ByteWriter::with_capacity(MAX_DATAGRAM_BYTES);
    writer.u8(MessageKind::of(message).code());
    encode_fields(&mut writer, message);
    writer.into_bytes()
}

fn encode_fields(writer: &mut ByteWriter, message: &Message) {
    match message {
        Message::Report(report) => encode_report(writer, report),
        Message::Gossip {
            leader,
            tick,
            records,
        } => {
            writer.u64(*leader).u32(*tick);
            encode_records(writer, records);
        }
        Message::RecordsRequest => {}
        Message::Records { records } => encode_records(writer, records),
        Message::Command { call, command } => encode_command(writer.u64(*call), command),
        Message::Answer { call, answer } => encode_answer(writer.u64(*call), answer),
        Message::Hello { call } => {
            writer.u64(*call);
        }
        Message::Nonce { call, nonce } => {
            writer.u64(*call).u64(*nonce);
        }
        Message::Call {
            call,
            nonce,
            command,
        } => encode_command(writer.u64(*call).u64(*nonce), command),
        Message::ZoneReport(report) => {
            writer.bytes(&zone_codec::encode_report(report));
        }
        Message::ZonePlan(plan) => {
            writer.bytes(&zone_codec::encode_reply(plan));
        }
    }
}

fn encode_report(writer: &mut ByteWriter, report: &Report) {
    writer
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

/// Decodes a message.
///
/// # Errors
/// A [`DecodeError`] for malformed bytes, which the receiver drops.
pub fn decode(datagram: &[u8]) -> Result<Message, DecodeError> {
    let length = datagram.len().min(MAX_DATAGRAM_BYTES);
    let mut reader = ByteReader::new(&datagram[..length]);
    match reader.code("message", MessageKind::from_code)? {
        MessageKind::Report => Ok(Message::Report(decode_report(&mut reader)?)),
        MessageKind::Gossip => Ok(Message::Gossip {
            leader: reader.u64()?,
            tick: reader.u32()?,
            records: decode_records(&mut reader)?,
        }),
        MessageKind::RecordsRequest => Ok(Message::RecordsRequest),
        MessageKind::Records => Ok(Message::Records {
            records: decode_records(&mut reader)?,
        }),
        MessageKind::Command => Ok(Message::Command {
            call: reader.u64()?,
            command: decode_command(&mut reader)?,
        }),
        MessageKind::Answer => Ok(Message::Answer {
            call: reader.u64()?,
            answer: decode_answer(&mut reader)?,
        }),
        MessageKind::Hello => Ok(Message::Hello {
            call: reader.u64()?,
        }),
        MessageKind::Nonce => Ok(Message::Nonce {
            call: reader.u64()?,
            nonce: reader.u64()?,
        }),
        MessageKind::Call => Ok(Message::Call {
            call: reader.u64()?,
            nonce: reader.u64()?,
            command: decode_command(&mut reader)?,
        }),
        MessageKind::ZoneReport => zone_codec::decode_report(reader.take_remaining())
            .map(Message::ZoneReport)
            .map_err(|_| DecodeError::Embedded("zone report")),
        MessageKind::ZonePlan => decode_zone_plan(&mut reader).map(Message::ZonePlan),
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
