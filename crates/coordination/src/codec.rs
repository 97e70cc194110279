//! Wire format of the messages between voters. All numbers are big-endian.
//!
//! | message | layout (bytes) |
//! | --- | --- |
//! | [`Message::Prepare`] | 1 (1), ballot (12), nonce (8) |
//! | [`Message::Promise`] | 2 (1), ballot (12), nonce (8), fragment (2), fragment count (2), records |
//! | [`Message::Accept`] | 3 (1), ballot (12), number (4), records |
//! | [`Message::Accepted`] | 4 (1), ballot (12), number (4), digest (4) |
//! | [`Message::Reject`] | 5 (1), ballot (12) |
//!
//! | element | layout (bytes) |
//! | --- | --- |
//! | ballot | round (4), leader (8) |
//! | record | key (8), ballot (12), stamp number (4), value (19, padded with zeros), remaining ms (4, all ones: no expiry) |
//! | value: tombstone | 0 (1) |
//! | value: disruption | 1 (1), kind (1), reason (1), zone (4), session (4), grant id (8) |
//! | value: halt | 2 (1), reason (1), number (4), by (8) |
//! | value: release | 3 (1), stage (1), number (4), to (4), from (4) |
//! | value: zone | 4 (1), stage (1), step (1), reason (1), zone (4), number (4) |
//!
//! Records extend to the end of the datagram. The decoder ignores bytes after a message of fixed length, and bytes
//! beyond [`MAX_DATAGRAM_BYTES`].

use crate::message::{LeasedRecord, Message};
use crate::record::{Ballot, DisruptionReason, Record, RecordValue, ReleaseStage, Stamp, UnitKind};
use tansymux_codec::{wire_enum, ByteReader, ByteWriter, DecodeError};

/// Maximum length of a message (bytes): the largest payload that membership carries in one datagram.
pub const MAX_DATAGRAM_BYTES: usize = 225;
/// Length of a ballot (bytes).
const BALLOT_BYTES: usize = 12;
/// Length of a stamp (bytes).
const STAMP_BYTES: usize = BALLOT_BYTES + 4;
/// Length of a record's value (bytes), padding included.
const VALUE_BYTES: usize = 19;
/// Length of a record's remaining time (bytes).
const REMAINING_BYTES: usize = 4;
/// Length of one record (bytes).
pub const RECORD_BYTES: usize = 8 + STAMP_BYTES + VALUE_BYTES + REMAINING_BYTES;
/// Length of the longest header before records (bytes): the header of a promise.
const MAX_HEADER_BYTES: usize = 1 + BALLOT_BYTES + 8 + 4;
/// Maximum number of records in one message.
pub const MAX_RECORDS_PER_MESSAGE: usize = (MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES) / RECORD_BYTES;

/// Encoded remaining time of a record that does not expire.
const NO_EXPIRY: u32 = u32::MAX;

wire_enum! {
    /// The first byte of a message.
    enum MessageKind {
        /// [`Message::Prepare`].
        Prepare = 1,
        /// [`Message::Promise`].
        Promise = 2,
        /// [`Message::Accept`].
        Accept = 3,
        /// [`Message::Accepted`].
        Accepted = 4,
        /// [`Message::Reject`].
        Reject = 5,
    }
}

wire_enum! {
    /// The first byte of a record's value.
    enum ValueKind {
        /// [`RecordValue::Tombstone`].
        Tombstone = 0,
        /// [`RecordValue::Disruption`].
        Disruption = 1,
        /// [`RecordValue::Halt`].
        Halt = 2,
        /// [`RecordValue::Release`].
        Release = 3,
        /// [`RecordValue::Zone`].
        Zone = 4,
    }
}

impl ValueKind {
    fn of(value: RecordValue) -> Self {
        match value {
            RecordValue::Tombstone => ValueKind::Tombstone,
            RecordValue::Disruption { .. } => ValueKind::Disruption,
            RecordValue::Halt { .. } => ValueKind::Halt,
            RecordValue::Release { .. } => ValueKind::Release,
            RecordValue::Zone { .. } => ValueKind::Zone,
        }
    }
}

/// Encodes a message. Records beyond [`MAX_RECORDS_PER_MESSAGE`] are omitted.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut writer = ByteWriter::with_capacity(MAX_DATAGRAM_BYTES);
    match message {
        Message::Prepare { ballot, nonce } => {
            encode_header(&mut writer, MessageKind::Prepare, *ballot);
            writer.u64(*nonce);
        }
        Message::Promise {
            ballot,
            nonce,
            fragment,
            fragment_count,
            records,
        } => {
            encode_header(&mut writer, MessageKind::Promise, *ballot);
            writer.u64(*nonce).u16(*fragment).u16(*fragment_count);
            encode_records(&mut writer, records);
        }
        Message::Accept {
            ballot,
            number,
            records,
        } => {
            encode_header(&mut writer, MessageKind::Accept, *ballot);
            writer.u32(*number);
            encode_records(&mut writer, records);
        }
        Message::Accepted {
            ballot,
            number,
            digest,
        } => {
            encode_header(&mut writer, MessageKind::Accepted, *ballot);
            writer.u32(*number).u32(*digest);
        }
        Message::Reject { ballot } => encode_header(&mut writer, MessageKind::Reject, *ballot),
    }
    writer.into_bytes()
}

fn encode_header(writer: &mut ByteWriter, kind: MessageKind, ballot: Ballot) {
    writer.u8(kind.code());
    encode_ballot(writer, ballot);
}

fn encode_ballot(writer: &mut ByteWriter, ballot: Ballot) {
    writer.u32(ballot.round).u64(ballot.leader);
}

fn encode_records(writer: &mut ByteWriter, records: &[LeasedRecord]) {
    for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
        encode_record(writer, record);
    }
}

/// Appends one record, which takes [`RECORD_BYTES`].
pub fn encode_record(writer: &mut ByteWriter, leased: &LeasedRecord) {
    let record = &leased.record;
    writer.u64(record.key);
    encode_ballot(writer, record.stamp.ballot);
    writer.u32(record.stamp.number);
    let value_start = writer.len();
    encode_value(writer, record.value);
    writer.pad_to(value_start + VALUE_BYTES);
    writer.u32(leased.remaining_ms.unwrap_or(NO_EXPIRY));
}

fn encode_value(writer: &mut ByteWriter, value: RecordValue) {
    writer.u8(ValueKind::of(value).code());
    match value {
        RecordValue::Tombstone => writer,
        RecordValue::Disruption {
            kind,
            reason,
            zone,
            session,
            grant_id,
        } => writer
            .u8(kind.code())
            .u8(reason.code())
            .u32(zone)
            .u32(session)
            .u64(grant_id),
        RecordValue::Halt { number, by, reason } => writer.u8(reason).u32(number).u64(by),
        RecordValue::Release {
            number,
            to,
            from,
            stage,
        } => writer.u8(stage.code()).u32(number).u32(to).u32(from),
        RecordValue::Zone {
            zone,
            stage,
            step,
            reason,
            number,
        } => writer.u8(stage).u8(step).u8(reason).u32(zone).u32(number),
    };
}

/// Decodes a message.
///
/// # Errors
/// Returns a [`DecodeError`] if the datagram is malformed. The receiver drops such datagrams.
pub fn decode(datagram: &[u8]) -> Result<Message, DecodeError> {
    let length = datagram.len().min(MAX_DATAGRAM_BYTES);
    let mut reader = ByteReader::new(&datagram[..length]);
    let code = reader.u8()?;
    let ballot = decode_ballot(&mut reader)?;
    // The ballot is read first: a datagram that ends within it is reported as truncated even if its code is unknown.
    let kind = MessageKind::from_code(code).ok_or(DecodeError::UnknownCode {
        field: "message",
        code,
    })?;
    match kind {
        MessageKind::Prepare => Ok(Message::Prepare {
            ballot,
            nonce: reader.u64()?,
        }),
        MessageKind::Promise => Ok(Message::Promise {
            ballot,
            nonce: reader.u64()?,
            fragment: reader.u16()?,
            fragment_count: reader.u16()?,
            records: decode_records(&mut reader)?,
        }),
        MessageKind::Accept => Ok(Message::Accept {
            ballot,
            number: reader.u32()?,
            records: decode_records(&mut reader)?,
        }),
        MessageKind::Accepted => Ok(Message::Accepted {
            ballot,
            number: reader.u32()?,
            digest: reader.u32()?,
        }),
        MessageKind::Reject => Ok(Message::Reject { ballot }),
    }
}

fn decode_ballot(reader: &mut ByteReader) -> Result<Ballot, DecodeError> {
    Ok(Ballot {
        round: reader.u32()?,
        leader: reader.u64()?,
    })
}

/// Decodes records up to the end of the datagram.
///
/// # Errors
/// Returns a [`DecodeError`] if a record is malformed.
pub fn decode_records(reader: &mut ByteReader) -> Result<Vec<LeasedRecord>, DecodeError> {
    let mut records = Vec::new();
    while !reader.is_empty() {
        records.push(decode_record(reader)?);
    }
    Ok(records)
}

fn decode_record(reader: &mut ByteReader) -> Result<LeasedRecord, DecodeError> {
    let key = reader.u64()?;
    let stamp = Stamp {
        ballot: decode_ballot(reader)?,
        number: reader.u32()?,
    };
    let value = decode_value(&mut reader.split(VALUE_BYTES)?)?;
    let remaining_ms = reader.u32()?;
    Ok(LeasedRecord {
        record: Record { key, stamp, value },
        remaining_ms: (remaining_ms != NO_EXPIRY).then_some(remaining_ms),
    })
}

/// Decodes a value. The struct expressions list their fields in wire order, because Rust evaluates them as written.
fn decode_value(reader: &mut ByteReader) -> Result<RecordValue, DecodeError> {
    match reader.code("record value", ValueKind::from_code)? {
        ValueKind::Tombstone => Ok(RecordValue::Tombstone),
        ValueKind::Disruption => Ok(RecordValue::Disruption {
            kind: reader.code("unit kind", UnitKind::from_code)?,
            reason: reader.code("disruption reason", DisruptionReason::from_code)?,
            zone: reader.u32()?,
            session: reader.u32()?,
            grant_id: reader.u64()?,
        }),
        ValueKind::Halt => Ok(RecordValue::Halt {
            reason: reader.u8()?,
            number: reader.u32()?,
            by: reader.u64()?,
        }),
        ValueKind::Release => Ok(RecordValue::Release {
            stage: reader.code("release stage", ReleaseStage::from_code)?,
            number: reader.u32()?,
            to: reader.u32()?,
            from: reader.u32()?,
        }),
        ValueKind::Zone => Ok(RecordValue::Zone {
            stage: reader.u8()?,
            step: reader.u8()?,
            reason: reader.u8()?,
            zone: reader.u32()?,
            number: reader.u32()?,
        }),
    }
}
