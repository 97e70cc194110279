//! Writes and reads DNS messages (RFC 1035). Pure functions over bytes.

use std::net::Ipv4Addr;

pub const SRV: u16 = 33;
const A: u16 = 1;
const SOA: u16 = 6;
const TXT: u16 = 16;
const INTERNET: u16 = 1;
const HEADER: usize = 12;
const MAX_NAME: usize = 255;
const MAX_JUMPS: usize = 32;
const MAX_RECORDS: usize = 2048;

#[derive(Debug, Clone, PartialEq)]
pub struct Srv {
    pub priority: u16,
    pub port: u16,
    pub target: String,
}

/// What an answer holds of use here; names are in small letters.
#[derive(Debug, Default, PartialEq)]
pub struct Answer {
    pub id: u16,
    /// The serial of the SOA record.
    pub serial: Option<u32>,
    pub srv: Vec<Srv>,
    pub addresses: Vec<(String, Ipv4Addr)>,
    pub texts: Vec<(String, Vec<String>)>,
}

/// The query for records of one type under `name`.
pub fn query(id: u16, name: &str, kind: u16) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + name.len() + 6);
    for number in [id, 0x0100, 1, 0, 0, 0] {
        bytes.extend_from_slice(&number.to_be_bytes());
    }
    for label in name.split('.').filter(|label| !label.is_empty()) {
        let label = &label.as_bytes()[..label.len().min(63)];
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label);
    }
    bytes.push(0);
    bytes.extend_from_slice(&kind.to_be_bytes());
    bytes.extend_from_slice(&INTERNET.to_be_bytes());
    bytes
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let taken = self.bytes.get(self.at..self.at.checked_add(count)?)?;
        self.at += count;
        Some(taken)
    }

    fn u16(&mut self) -> Option<u16> {
        self.take(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }

    fn u32(&mut self) -> Option<u32> {
        self.take(4)
            .map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }

    /// A name, compressed or not. Jumps are bounded, so that none runs in a ring.
    fn name(&mut self) -> Option<String> {
        let mut name = String::new();
        let (mut at, mut after, mut jumps) = (self.at, None, 0);
        loop {
            let length = usize::from(*self.bytes.get(at)?);
            match length >> 6 {
                0 if length == 0 => {
                    self.at = after.unwrap_or(at + 1);
                    return Some(name);
                }
                0 => {
                    let label = self.bytes.get(at + 1..at + 1 + length)?;
                    if name.len() + length + 1 > MAX_NAME {
                        return None;
                    }
                    if !name.is_empty() {
                        name.push('.');
                    }
                    name.extend(label.iter().map(|b| char::from(b.to_ascii_lowercase())));
                    at += 1 + length;
                }
                3 => {
                    let low = usize::from(*self.bytes.get(at + 1)?);
                    after = after.or(Some(at + 2));
                    at = (length & 0x3f) << 8 | low;
                    jumps += 1;
                    if jumps > MAX_JUMPS {
                        return None;
                    }
                }
                _ => return None,
            }
        }
    }
}

/// Reads an answer; none if it is cut off, an error, or no answer at all.
pub fn parse(bytes: &[u8]) -> Option<Answer> {
    let mut r = Reader { bytes, at: 0 };
    let (id, flags) = (r.u16()?, r.u16()?);
    // An answer (QR), not cut off (TC), without an error (RCODE).
    if flags & 0x8000 == 0 || flags & 0x0200 != 0 || flags & 0x000f != 0 {
        return None;
    }
    let questions = usize::from(r.u16()?);
    let records = usize::from(r.u16()?) + usize::from(r.u16()?) + usize::from(r.u16()?);
    if questions > MAX_RECORDS || records > MAX_RECORDS {
        return None;
    }
    for _ in 0..questions {
        r.name()?;
        r.take(4)?;
    }
    let mut answer = Answer {
        id,
        ..Answer::default()
    };
    for _ in 0..records {
        let name = r.name()?;
        let (kind, class) = (r.u16()?, r.u16()?);
        r.u32()?;
        let size = usize::from(r.u16()?);
        let end = r.at.checked_add(size).filter(|&end| end <= bytes.len())?;
        match kind {
            _ if class != INTERNET => {}
            SRV => {
                let (priority, _weight, port) = (r.u16()?, r.u16()?, r.u16()?);
                answer.srv.push(Srv {
                    priority,
                    port,
                    target: r.name()?,
                });
            }
            A if size == 4 => {
                let b = r.take(4)?;
                answer
                    .addresses
                    .push((name, Ipv4Addr::new(b[0], b[1], b[2], b[3])));
            }
            TXT => {
                let mut texts = Vec::new();
                while r.at < end {
                    let length = usize::from(r.take(1)?[0]);
                    texts.push(String::from_utf8_lossy(r.take(length)?).into_owned());
                }
                answer.texts.push((name, texts));
            }
            SOA => {
                r.name()?;
                r.name()?;
                answer.serial = Some(r.u32()?);
            }
            _ => {}
        }
        if r.at > end {
            return None;
        }
        r.at = end;
    }
    Some(answer)
}

#[cfg(test)]
pub mod tests;
