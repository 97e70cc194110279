//! Big-endian reader and writer that the fleet's datagram codecs share.

use thiserror::Error;

/// Why bytes could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end within a field.
    #[error("the datagram ends within a field")]
    Truncated,
    /// A code that has no meaning in this version.
    #[error("{field} has no code {code}")]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// What it held.
        code: u8,
    },
    /// A floating point field holds a NaN or an infinity.
    #[error("a number is not finite")]
    NotFinite,
    /// An embedded message of another package is malformed.
    #[error("the embedded {0} is malformed")]
    Embedded(&'static str),
}

/// Reads fields from the front of a datagram. Never panics.
#[derive(Debug, Clone)]
pub struct ByteReader<'a> {
    bytes: &'a [u8],
}

impl<'a> ByteReader<'a> {
    /// A reader at the front of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        ByteReader { bytes }
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes all that is left.
    pub fn take_remaining(&mut self) -> &'a [u8] {
        std::mem::take(&mut self.bytes)
    }

    /// Takes the next `length` bytes as a reader of their own.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] where fewer are left.
    pub fn split(&mut self, length: usize) -> Result<ByteReader<'a>, DecodeError> {
        let (first, remaining) = self
            .bytes
            .split_at_checked(length)
            .ok_or(DecodeError::Truncated)?;
        self.bytes = remaining;
        Ok(ByteReader { bytes: first })
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (first, remaining) = self
            .bytes
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Truncated)?;
        self.bytes = remaining;
        Ok(*first)
    }

    /// One byte.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] where none is left.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array::<1>().map(|[byte]| byte)
    }

    /// Two bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] where fewer are left.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    /// Four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] where fewer are left.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    /// Eight bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] where fewer are left.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    /// A finite floating point number of four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] where fewer are left, [`DecodeError::NotFinite`] for a NaN or an infinity.
    pub fn finite_f32(&mut self) -> Result<f32, DecodeError> {
        let number = f32::from_bits(self.u32()?);
        if !number.is_finite() {
            return Err(DecodeError::NotFinite);
        }
        Ok(number)
    }

    /// A byte that `from_code` knows.
    ///
    /// # Errors
    /// [`DecodeError::UnknownCode`] where it does not, [`DecodeError::Truncated`] where no byte is left.
    pub fn code<T>(
        &mut self,
        field: &'static str,
        from_code: impl Fn(u8) -> Option<T>,
    ) -> Result<T, DecodeError> {
        let code = self.u8()?;
        from_code(code).ok_or(DecodeError::UnknownCode { field, code })
    }
}

/// Appends fields to a datagram.
#[derive(Debug, Clone, Default)]
pub struct ByteWriter {
    bytes: Vec<u8>,
}

impl ByteWriter {
    /// An empty datagram with room for `capacity` bytes.
    pub fn with_capacity(capacity: usize) -> Self {
        ByteWriter {
            bytes: Vec::with_capacity(capacity),
        }
    }

    /// What was written.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Bytes written so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends zeros up to `length` bytes in all.
    pub fn pad_to(&mut self, length: usize) -> &mut Self {
        self.bytes.resize(length, 0);
        self
    }

    /// Appends bytes as they are.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(bytes);
        self
    }

    /// Appends one byte.
    pub fn u8(&mut self, number: u8) -> &mut Self {
        self.bytes(&[number])
    }

    /// Appends two bytes.
    pub fn u16(&mut self, number: u16) -> &mut Self {
        self.bytes(&number.to_be_bytes())
    }

    /// Appends four bytes.
    pub fn u32(&mut self, number: u32) -> &mut Self {
        self.bytes(&number.to_be_bytes())
    }

    /// Appends eight bytes.
    pub fn u64(&mut self, number: u64) -> &mut Self {
        self.bytes(&number.to_be_bytes())
    }

    /// Appends a floating point number of four bytes.
    pub fn f32(&mut self, number: f32) -> &mut Self {
        self.u32(number.to_bits())
    }
}
