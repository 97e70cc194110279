//! Encodes DNS queries and parses answers (RFC 1035). Pure functions over bytes.

use std::net::Ipv4Addr;
use thiserror::Error;

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
/// Flag: recursion desired.
const RECURSION_DESIRED: u16 = 0x0100;
/// Flag QR: this is an answer.
const IS_ANSWER: u16 = 0x8000;
/// Flag TC: the answer is cut off.
const IS_CUT_OFF: u16 = 0x0200;
/// Mask of RCODE, 0 where there is no error.
const ERROR_CODE: u16 = 0x000f;
/// Bytes of a message's header.
const HEADER: usize = 12;
/// Bytes of a label at most (RFC 1035).
const MAX_LABEL: usize = 63;
/// Bytes of a name at most (RFC 1035).
const MAX_NAME: usize = 255;
/// Compression pointers followed for one name at most: a bound of ours that keeps a ring from being followed forever.
const MAX_POINTERS: usize = 32;
/// Records of one message at most: a bound of ours, above what a datagram holds of the smallest records.
const MAX_RECORDS: usize = 8192;

/// Why a message can't be used as an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DnsError {
    /// The message ends within a field.
    #[error("the message ends early")]
    UnexpectedEnd,
    /// The message is a query.
    #[error("the message is not an answer")]
    NotAnAnswer,
    /// The sender cut the answer off, as it didn't fit.
    #[error("the answer is marked as cut off")]
    CutOff,
    /// The name service reports an error.
    #[error("the answer has error code {0}")]
    ErrorCode(u16),
    /// More questions or records than any answer of use has.
    #[error("{count} records are too many")]
    TooManyRecords {
        /// Records announced.
        count: usize,
    },
    /// A name is longer than the protocol allows.
    #[error("a name is too long")]
    NameTooLong,
    /// A name has more compression pointers than would make sense, perhaps in a ring.
    #[error("a name has too many compression pointers")]
    TooManyPointers,
    /// The first bits of a label's length have no meaning.
    #[error("a label has a reserved type")]
    ReservedLabelType,
    /// The data of a record is longer than the record.
    #[error("a record is longer than it says")]
    RecordOverrun,
}

/// An SRV record.
#[derive(Debug, Clone, PartialEq)]
pub struct Srv {
    /// 0 is the preferred one.
    pub priority: u16,
    /// The service's port.
    pub port: u16,
    /// The host's name, in small letters.
    pub target: String,
}

/// The records of an answer that are of use here. Names are in small letters.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    /// The id of the query that this answers.
    pub id: u16,
    /// The serial of the SOA record.
    pub serial: Option<u32>,
    /// SRV records.
    pub srv: Vec<Srv>,
    /// A records: names and addresses.
    pub addresses: Vec<(String, Ipv4Addr)>,
    /// TXT records: names and strings.
    pub texts: Vec<(String, Vec<String>)>,
}

/// The query for records of one type under `name`.
pub fn encode_query(id: u16, name: &str, record_type: u16) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + name.len() + 6);
    // One question, and no answers, authorities or additionals.
    for number in [id, RECURSION_DESIRED, 1, 0, 0, 0] {
        bytes.extend_from_slice(&number.to_be_bytes());
    }
    for label in name.split('.').filter(|label| !label.is_empty()) {
        let label = &label.as_bytes()[..label.len().min(MAX_LABEL)];
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label);
    }
    bytes.push(0);
    bytes.extend_from_slice(&record_type.to_be_bytes());
    bytes.extend_from_slice(&INTERNET.to_be_bytes());
    bytes
}

/// Reads a message from its start on.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], DnsError> {
        let end = self.at.checked_add(count).ok_or(DnsError::UnexpectedEnd)?;
        let taken = self
            .bytes
            .get(self.at..end)
            .ok_or(DnsError::UnexpectedEnd)?;
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DnsError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u16(&mut self) -> Result<u16, DnsError> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, DnsError> {
        self.array().map(u32::from_be_bytes)
    }

    fn byte_at(&self, at: usize) -> Result<usize, DnsError> {
        self.bytes
            .get(at)
            .map(|byte| usize::from(*byte))
            .ok_or(DnsError::UnexpectedEnd)
    }

    /// A name, compressed or not.
    fn name(&mut self) -> Result<String, DnsError> {
        let mut name = String::new();
        let mut at = self.at;
        // Behind the first pointer the message goes on, wherever the name goes on.
        let mut behind_pointer = None;
        let mut pointers = 0;
        loop {
            let length = self.byte_at(at)?;
            match length >> 6 {
                0 if length == 0 => {
                    self.at = behind_pointer.unwrap_or(at + 1);
                    return Ok(name);
                }
                0 => {
                    self.push_label(&mut name, at + 1, length)?;
                    at += 1 + length;
                }
                3 => {
                    let low = self.byte_at(at + 1)?;
                    behind_pointer = behind_pointer.or(Some(at + 2));
                    at = (length & 0x3f) << 8 | low;
                    pointers += 1;
                    if pointers > MAX_POINTERS {
                        return Err(DnsError::TooManyPointers);
                    }
                }
                _ => return Err(DnsError::ReservedLabelType),
            }
        }
    }

    fn push_label(&self, name: &mut String, at: usize, length: usize) -> Result<(), DnsError> {
        let label = self
            .bytes
            .get(at..at + length)
            .ok_or(DnsError::UnexpectedEnd)?;
        if name.len() + length + 1 > MAX_NAME {
            return Err(DnsError::NameTooLong);
        }
        if !name.is_empty() {
            name.push('.');
        }
        name.extend(
            label
                .iter()
                .map(|byte| char::from(byte.to_ascii_lowercase())),
        );
        Ok(())
    }

    /// The strings of a TXT record that ends at `end`.
    fn strings(&mut self, end: usize) -> Result<Vec<String>, DnsError> {
        let mut strings = Vec::new();
        while self.at < end {
            let [length] = self.array()?;
            let bytes = self.take(usize::from(length))?;
            strings.push(String::from_utf8_lossy(bytes).into_owned());
        }
        Ok(strings)
    }
}

/// Parses an answer. Records of other types are skipped.
///
/// # Errors
/// It is cut off, malformed, reports an error or is no answer at all.
pub fn parse_answer(bytes: &[u8]) -> Result<Answer, DnsError> {
    let mut reader = Reader { bytes, at: 0 };
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
    if flags & IS_CUT_OFF != 0 {
        return Err(DnsError::CutOff);
    }
    match flags & ERROR_CODE {
        0 => Ok(()),
        code => Err(DnsError::ErrorCode(code)),
    }
}

/// Parses the next record and adds it to `answer`, where it is of use.
fn parse_record(reader: &mut Reader, answer: &mut Answer) -> Result<(), DnsError> {
    let name = reader.name()?;
    let record_type = reader.u16()?;
    let class = reader.u16()?;
    let _time_to_live = reader.u32()?;
    let size = usize::from(reader.u16()?);
    let end = reader.at + size;
    if end > reader.bytes.len() {
        return Err(DnsError::UnexpectedEnd);
    }
    match record_type {
        _ if class != INTERNET => {}
        SRV => answer.srv.push(parse_srv(reader)?),
        A if size == 4 => {
            let address = Ipv4Addr::from(reader.array::<4>()?);
            answer.addresses.push((name, address));
        }
        TXT => answer.texts.push((name, reader.strings(end)?)),
        SOA => {
            let _primary_server = reader.name()?;
            let _mailbox = reader.name()?;
            answer.serial = Some(reader.u32()?);
        }
        _ => {}
    }
    if reader.at > end {
        return Err(DnsError::RecordOverrun);
    }
    reader.at = end;
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
