//! Writes the fields of a datagram.

/// Appends fields to a datagram.
#[derive(Debug, Clone, Default)]
pub struct ByteWriter {
    bytes: Vec<u8>,
}

impl ByteWriter {
    /// An empty datagram with preallocated capacity (bytes).
    pub fn with_capacity(capacity: usize) -> Self {
        ByteWriter {
            bytes: Vec::with_capacity(capacity),
        }
    }

    /// The datagram's bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Number of written bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Pads the datagram with zeros to `length` bytes. Drops bytes beyond that length.
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

    /// Appends an integer of two bytes.
    pub fn u16(&mut self, number: u16) -> &mut Self {
        self.bytes(&number.to_be_bytes())
    }

    /// Appends an integer of four bytes.
    pub fn u32(&mut self, number: u32) -> &mut Self {
        self.bytes(&number.to_be_bytes())
    }

    /// Appends an integer of eight bytes.
    pub fn u64(&mut self, number: u64) -> &mut Self {
        self.bytes(&number.to_be_bytes())
    }

    /// Appends a floating-point number of four bytes.
    pub fn f32(&mut self, number: f32) -> &mut Self {
        self.u32(number.to_bits())
    }
}
