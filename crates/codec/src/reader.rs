//! Reads the fields of a datagram.

use crate::DecodeError;

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

    /// Whether no bytes remain.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes all remaining bytes.
    pub fn take_remaining(&mut self) -> &'a [u8] {
        std::mem::take(&mut self.bytes)
    }

    /// Takes the next `length` bytes as a separate reader.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] if fewer bytes remain.
    pub fn split(&mut self, length: usize) -> Result<ByteReader<'a>, DecodeError> {
        let (first, remaining) = self
            .bytes
            .split_at_checked(length)
            .ok_or(DecodeError::Truncated)?;
        self.bytes = remaining;
        Ok(ByteReader { bytes: first })
    }

    fn take_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (first, remaining) = self
            .bytes
            .split_first_chunk::<N>()
            .ok_or(DecodeError::Truncated)?;
        self.bytes = remaining;
        Ok(*first)
    }

    /// Takes one byte.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] if no byte remains.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.take_array::<1>().map(|[byte]| byte)
    }

    /// Takes an integer of two bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] if fewer bytes remain.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.take_array().map(u16::from_be_bytes)
    }

    /// Takes an integer of four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] if fewer bytes remain.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.take_array().map(u32::from_be_bytes)
    }

    /// Takes an integer of eight bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] if fewer bytes remain.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.take_array().map(u64::from_be_bytes)
    }

    /// Takes a finite floating-point number of four bytes.
    ///
    /// # Errors
    /// [`DecodeError::Truncated`] if fewer bytes remain, [`DecodeError::NotFinite`] for NaN or an infinity.
    pub fn finite_f32(&mut self) -> Result<f32, DecodeError> {
        let number = f32::from_bits(self.u32()?);
        if !number.is_finite() {
            return Err(DecodeError::NotFinite);
        }
        Ok(number)
    }

    /// Takes one byte and converts it with `from_code`. `field` names the field in errors.
    ///
    /// # Errors
    /// [`DecodeError::UnknownCode`] if `from_code` returns `None`, [`DecodeError::Truncated`] if no byte remains.
    pub fn code<T>(
        &mut self,
        field: &'static str,
        from_code: impl Fn(u8) -> Option<T>,
    ) -> Result<T, DecodeError> {
        let code = self.u8()?;
        from_code(code).ok_or(DecodeError::UnknownCode { field, code })
    }
}
