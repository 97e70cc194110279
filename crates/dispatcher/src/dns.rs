//! Encodes DNS queries and parses answers (RFC 1035). Pure functions over bytes.

mod error;
mod reader;

pub use error::DnsError;

use reader::Reader;
use std::net::Ipv4Addr;

/// Record type SRV (RFC 2782).
pub const SRV: u16 = 33;
/// Record type A.
const A: u16 = 1;
/// Record type SOA.
const SOA: u16 = 6;
/// Record type TXT.
const TXT: u16 = 16;
/// Class IN.
const INTERNET: u16 = 1;
/// Flag RD: recursion desired.
const RECURSION_DESIRED: u16 = 0x0100;
/// Flag QR: the message is an answer.
const IS_ANSWER: u16 = 0x8000;
/// Flag TC: the answer is truncated.
const IS_TRUNCATED: u16 = 0x0200;
/// Mask of RCODE, which is 0 unless there is an error.
const ERROR_CODE: u16 = 0x000f;
/// Length of a message header (bytes).
const HEADER_BYTES: usize = 12;
/// Maximum length of a label (bytes, RFC 1035).
const MAX_LABEL_BYTES: usize = 63;
/// Maximum number of records in a message, and of questions. A datagram has no room for that many records, even of
/// the smallest size.
const MAX_RECORDS: usize = 8192;

/// An SRV record.
#[derive(Debug, Clone, PartialEq)]
pub struct Srv {
    /// Lower values are preferred.
    pub priority: u16,
    /// The port of the service.
    pub port: u16,
    /// The host's name, in lower case.
    pub target: String,
}

/// An A record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Address {
    /// The host's name, in lower case.
    pub name: String,
    /// The host's address.
    pub ip: Ipv4Addr,
}

/// A TXT record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Text {
    /// The host's name, in lower case.
    pub name: String,
    /// The strings of the record.
    pub strings: Vec<String>,
}

/// The records of an answer that discovery uses. Names are in lower case.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    /// The id of the answered query.
    pub id: u16,
    /// The serial of the SOA record; `None` without such a record.
    pub serial: Option<u32>,
    /// SRV records.
    pub srv: Vec<Srv>,
    /// A records.
    pub addresses: Vec<Address>,
    /// TXT records.
    pub texts: Vec<Text>,
}

/// Encodes a query for the records of one type under `name`.
pub fn encode_query(id: u16, name: &str, record_type: u16) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + name.len() + 6);
    // Id, flags, one question, and no answers, authorities or additionals.
    for number in [id, RECURSION_DESIRED, 1, 0, 0, 0] {
        bytes.extend_from_slice(&number.to_be_bytes());
    }
    for label in name.split('.').filter(|label| !label.is_empty()) {
        let label = &label.as_bytes()[..label.len().min(MAX_LABEL_BYTES)];
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label);
    }
    bytes.push(0);
    bytes.extend_from_slice(&record_type.to_be_bytes());
    bytes.extend_from_slice(&INTERNET.to_be_bytes());
    bytes
}

/// Parses an answer. Records of other types are skipped.
///
/// # Errors
/// The message is truncated, malformed, has an error code or is not an answer.
pub fn parse_answer(bytes: &[u8]) -> Result<Answer, DnsError> {
    let mut reader = Reader::new(bytes);
    let id = reader.u16()?;
    check_flags(reader.u16()?)?;
    let questions = usize::from(reader.u16()?);
    let mut records = 0;
    // Answers, authorities, additionals.
    for _ in 0..3 {
        records += usize::from(reader.u16()?);
    }
    if questions > MAX_RECORDS || records > MAX_RECORDS {
        let count = questions.max(records);
        return Err(DnsError::TooManyRecords { count });
    }
    for _ in 0..questions {
        reader.name()?;
        let _type_and_class = reader.u32()?;
    }
    let mut answer = Answer {
        id,
        ..Answer::default()
    };
    for _ in 0..records {
        parse_record(&mut reader, &mut answer)?;
    }
    Ok(answer)
}

fn check_flags(flags: u16) -> Result<(), DnsError> {
    if flags & IS_ANSWER == 0 {
        return Err(DnsError::NotAnAnswer);
    }
    if flags & IS_TRUNCATED != 0 {
        return Err(DnsError::Truncated);
    }
    match flags & ERROR_CODE {
        0 => Ok(()),
        code => Err(DnsError::ErrorCode(code)),
    }
}

/// Parses the next record and adds it to `answer` if its type is used.
fn parse_record(reader: &mut Reader, answer: &mut Answer) -> Result<(), DnsError> {
    let name = reader.name()?;
    let record_type = reader.u16()?;
    let class = reader.u16()?;
    let _time_to_live = reader.u32()?;
    let size = usize::from(reader.u16()?);
    let end = reader.position() + size;
    if end > reader.len() {
        return Err(DnsError::UnexpectedEnd);
    }
    match record_type {
        _ if class != INTERNET => {}
        SRV => answer.srv.push(parse_srv(reader)?),
        A if size == 4 => {
            let ip = Ipv4Addr::from(reader.array::<4>()?);
            answer.addresses.push(Address { name, ip });
        }
        TXT => {
            let strings = reader.strings(end)?;
            answer.texts.push(Text { name, strings });
        }
        SOA => {
            let _primary_server = reader.name()?;
            let _mailbox = reader.name()?;
            answer.serial = Some(reader.u32()?);
        }
        _ => {}
    }
    if reader.position() > end {
        return Err(DnsError::RecordOverrun);
    }
    reader.set_position(end);
    Ok(())
}

fn parse_srv(reader: &mut Reader) -> Result<Srv, DnsError> {
    let priority = reader.u16()?;
    let _weight = reader.u16()?;
    let port = reader.u16()?;
    let target = reader.name()?;
    Ok(Srv {
        priority,
        port,
        target,
    })
}

#[cfg(test)]
pub mod tests;
