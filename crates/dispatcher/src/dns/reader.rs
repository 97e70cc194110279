//! Reads the fields of a DNS message (RFC 1035, section 4.1).

use super::error::DnsError;

/// Maximum length of a name in bytes (RFC 1035).
const MAX_NAME: usize = 255;
/// Compression pointers followed for one name at most: keeps a loop of pointers from being followed forever.
const MAX_POINTERS: usize = 32;
/// The two highest bits of a label's first byte are its type.
const LABEL_TYPE_SHIFT: u32 = 6;
/// Label type: the remaining bits are the label's length.
const PLAIN_LABEL: usize = 0;
/// Label type: the remaining bits and the next byte are the position where the name continues.
const COMPRESSION_POINTER: usize = 3;
/// The bits of a pointer's first byte that belong to the position.
const POINTER_HIGH_BITS: usize = 0x3f;

/// Reads a message from start to end.
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
    /// Position of the next byte.
    at: usize,
}

impl<'a> Reader<'a> {
    /// A reader at the start of a message.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, at: 0 }
    }

    /// Position of the next byte.
    pub fn position(&self) -> usize {
        self.at
    }

    /// Continues at a position.
    pub fn set_position(&mut self, at: usize) {
        self.at = at;
    }

    /// Length of the message in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], DnsError> {
        let end = self.at.checked_add(count).ok_or(DnsError::UnexpectedEnd)?;
        let taken = self
            .bytes
            .get(self.at..end)
            .ok_or(DnsError::UnexpectedEnd)?;
        self.at = end;
        Ok(taken)
    }

    /// The next bytes.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], DnsError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// The next 16-bit number.
    pub fn u16(&mut self) -> Result<u16, DnsError> {
        self.array().map(u16::from_be_bytes)
    }

    /// The next 32-bit number.
    pub fn u32(&mut self) -> Result<u32, DnsError> {
        self.array().map(u32::from_be_bytes)
    }

    fn byte_at(&self, at: usize) -> Result<usize, DnsError> {
        self.bytes
            .get(at)
            .map(|byte| usize::from(*byte))
            .ok_or(DnsError::UnexpectedEnd)
    }

    /// The next name, compressed or not, in lower case.
    pub fn name(&mut self) -> Result<String, DnsError> {
        let mut name = String::new();
        let mut at = self.at;
        // The message continues after the first pointer, wherever that leads.
        let mut after_pointer = None;
        let mut pointers = 0;
        loop {
            let length = self.byte_at(at)?;
            match length >> LABEL_TYPE_SHIFT {
                PLAIN_LABEL if length == 0 => {
                    self.at = after_pointer.unwrap_or(at + 1);
                    return Ok(name);
                }
                PLAIN_LABEL => {
                    self.push_label(&mut name, at + 1, length)?;
                    at += 1 + length;
                }
                COMPRESSION_POINTER => {
                    let low = self.byte_at(at + 1)?;
                    after_pointer = after_pointer.or(Some(at + 2));
                    at = (length & POINTER_HIGH_BITS) << 8 | low;
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
    pub fn strings(&mut self, end: usize) -> Result<Vec<String>, DnsError> {
        let mut strings = Vec::new();
        while self.at < end {
            let [length] = self.array()?;
            let bytes = self.take(usize::from(length))?;
            strings.push(String::from_utf8_lossy(bytes).into_owned());
        }
        Ok(strings)
    }
}
