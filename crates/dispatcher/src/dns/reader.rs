//! Reads the fields of a DNS message (RFC 1035, section 4.1).

use super::error::DnsError;

/// Maximum length of a name (bytes, RFC 1035).
const MAX_NAME_BYTES: usize = 255;
/// Maximum number of compression pointers followed per name: a loop of pointers would never end otherwise.
const MAX_POINTERS: usize = 32;
/// Shift that leaves the two highest bits of a label's first byte, the label's type.
const LABEL_TYPE_SHIFT: u32 = 6;
/// Label type: the remaining bits are the label's length (bytes).
const PLAIN_LABEL: usize = 0;
/// Label type: the remaining bits and the next byte are the position at which the name continues.
const COMPRESSION_POINTER: usize = 3;
/// The bits of a pointer's first byte that belong to the position.
const POINTER_HIGH_BITS: usize = 0x3f;

/// Reads a message from start to end.
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
    /// Position of the next byte.
    position: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of a message.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { bytes, position: 0 }
    }

    /// Returns the position of the next byte.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Continues at `position`.
    pub fn set_position(&mut self, position: usize) {
        self.position = position;
    }

    /// Returns the length of the message (bytes).
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], DnsError> {
        let end = self
            .position
            .checked_add(count)
            .ok_or(DnsError::UnexpectedEnd)?;
        let taken = self
            .bytes
            .get(self.position..end)
            .ok_or(DnsError::UnexpectedEnd)?;
        self.position = end;
        Ok(taken)
    }

    /// Reads the next `N` bytes.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], DnsError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Reads the next 16-bit number.
    pub fn u16(&mut self) -> Result<u16, DnsError> {
        self.array().map(u16::from_be_bytes)
    }

    /// Reads the next 32-bit number.
    pub fn u32(&mut self) -> Result<u32, DnsError> {
        self.array().map(u32::from_be_bytes)
    }

    fn byte_at(&self, position: usize) -> Result<usize, DnsError> {
        self.bytes
            .get(position)
            .map(|byte| usize::from(*byte))
            .ok_or(DnsError::UnexpectedEnd)
    }

    /// Reads the next name, compressed or not, and returns it in lower case.
    pub fn name(&mut self) -> Result<String, DnsError> {
        let mut name = String::new();
        let mut position = self.position;
        // Position after the first pointer: the rest of the message follows there.
        let mut after_pointer = None;
        let mut pointers = 0;
        loop {
            let length = self.byte_at(position)?;
            match length >> LABEL_TYPE_SHIFT {
                PLAIN_LABEL if length == 0 => {
                    self.position = after_pointer.unwrap_or(position + 1);
                    return Ok(name);
                }
                PLAIN_LABEL => {
                    self.push_label(&mut name, position + 1, length)?;
                    position += 1 + length;
                }
                COMPRESSION_POINTER => {
                    let low_bits = self.byte_at(position + 1)?;
                    after_pointer = after_pointer.or(Some(position + 2));
                    position = (length & POINTER_HIGH_BITS) << 8 | low_bits;
                    pointers += 1;
                    if pointers > MAX_POINTERS {
                        return Err(DnsError::TooManyPointers);
                    }
                }
                _ => return Err(DnsError::ReservedLabelType),
            }
        }
    }

    fn push_label(
        &self,
        name: &mut String,
        position: usize,
        length: usize,
    ) -> Result<(), DnsError> {
        let label = self
            .bytes
            .get(position..position + length)
            .ok_or(DnsError::UnexpectedEnd)?;
        if name.len() + length + 1 > MAX_NAME_BYTES {
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

    /// Reads the strings of a TXT record that ends at `end`.
    pub fn strings(&mut self, end: usize) -> Result<Vec<String>, DnsError> {
        let mut strings = Vec::new();
        while self.position < end {
            let [length] = self.array()?;
            let bytes = self.take(usize::from(length))?;
            strings.push(String::from_utf8_lossy(bytes).into_owned());
        }
        Ok(strings)
    }
}
