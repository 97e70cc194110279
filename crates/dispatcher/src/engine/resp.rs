//! Reads and writes RESP arrays of bulk strings. Pure functions over bytes.

use super::protocol_error::ProtocolError;

/// Maximum number of elements of an array; the protocol's longest reply has 4.
pub const MAX_ELEMENTS: usize = 8;
/// Maximum size (bytes) of an element; the protocol's longest is a page of 6,000 bytes.
pub const MAX_ELEMENT_BYTES: usize = 8 * 1024;
/// Maximum number of digits of a count or a length; all values within the two limits above have fewer.
const MAX_LENGTH_DIGITS: usize = 8;
/// Line end after each length and each element.
const CRLF: &[u8] = b"\r\n";

/// An array, borrowed from the received bytes.
#[derive(Debug, PartialEq)]
pub struct Frame<'a> {
    elements: [&'a [u8]; MAX_ELEMENTS],
    count: usize,
    /// Size of the array in the input (bytes).
    pub size: usize,
}

impl<'a> Frame<'a> {
    /// The array's elements.
    pub fn elements(&self) -> &[&'a [u8]] {
        &self.elements[..self.count]
    }

    /// The element at `index`, empty if there is none.
    pub fn element(&self, index: usize) -> &'a [u8] {
        self.elements().get(index).copied().unwrap_or(b"")
    }
}

/// A parsed count or length, and the position after its line.
struct Length {
    value: usize,
    next: usize,
}

/// Parses the line at position `at`: `type_byte`, a decimal number, CRLF. Returns `None` while it is incomplete.
fn parse_length(bytes: &[u8], at: usize, type_byte: u8) -> Result<Option<Length>, ProtocolError> {
    let line = &bytes[at.min(bytes.len())..];
    let Some(&first) = line.first() else {
        return Ok(None);
    };
    if first != type_byte {
        return Err(ProtocolError::UnexpectedType {
            expected: char::from(type_byte),
            found: char::from(first),
        });
    }
    let digits = line[1..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    if digits > MAX_LENGTH_DIGITS {
        return Err(ProtocolError::LengthTooLong { digits });
    }
    match line.get(1 + digits..) {
        Some([b'\r', b'\n', ..]) if digits > 0 => {
            let text = std::str::from_utf8(&line[1..=digits]).ok();
            let value = text.and_then(|text| text.parse().ok());
            let value = value.ok_or(ProtocolError::MalformedLength)?;
            let next = at + 1 + digits + CRLF.len();
            Ok(Some(Length { value, next }))
        }
        Some([] | [b'\r']) => Ok(None),
        _ => Err(ProtocolError::MalformedLength),
    }
}

/// Parses the array at the start of `bytes`. Returns `None` while it is incomplete.
///
/// # Errors
/// The bytes cannot be the beginning of an array within the limits.
pub fn parse(bytes: &[u8]) -> Result<Option<Frame<'_>>, ProtocolError> {
    let Some(header) = parse_length(bytes, 0, b'*')? else {
        return Ok(None);
    };
    let count = header.value;
    if count > MAX_ELEMENTS {
        return Err(ProtocolError::TooManyElements { count });
    }
    let mut elements: [&[u8]; MAX_ELEMENTS] = [b""; MAX_ELEMENTS];
    let mut at = header.next;
    for element in &mut elements[..count] {
        let Some(header) = parse_length(bytes, at, b'$')? else {
            return Ok(None);
        };
        let length = header.value;
        if length > MAX_ELEMENT_BYTES {
            return Err(ProtocolError::ElementTooLong { length });
        }
        let end = header.next + length;
        match bytes.get(end..) {
            Some([b'\r', b'\n', ..]) => {}
            None | Some([] | [b'\r']) => return Ok(None),
            Some(_) => return Err(ProtocolError::MissingTerminator),
        }
        *element = &bytes[header.next..end];
        at = end + CRLF.len();
    }
    Ok(Some(Frame {
        elements,
        count,
        size: at,
    }))
}

/// Appends an array of `elements` to `out`. If `last_length` is given, the array has one more element of this length
/// (bytes). Only the length line of that element is written; the caller appends its bytes and CRLF.
pub fn write(out: &mut Vec<u8>, elements: &[&[u8]], last_length: Option<usize>) {
    let count = elements.len() + usize::from(last_length.is_some());
    out.extend_from_slice(format!("*{count}\r\n").as_bytes());
    for element in elements {
        out.extend_from_slice(format!("${}\r\n", element.len()).as_bytes());
        out.extend_from_slice(element);
        out.extend_from_slice(CRLF);
    }
    if let Some(length) = last_length {
        out.extend_from_slice(format!("${length}\r\n").as_bytes());
    }
}

/// Returns the value of `name` in a list of fields `name=value,name=value`.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let text = std::str::from_utf8(fields).ok()?;
    for pair in text.split(',') {
        match pair.split_once('=') {
            Some((key, value)) if key == name => return Some(value),
            _ => {}
        }
    }
    None
}

#[cfg(test)]
mod tests;
