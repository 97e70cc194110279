//! What clients have sent and nobody has parsed yet: one buffer a connection, and their bound in sum.

use super::admission_limits::AdmissionLimits;
use crate::net::read_available;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::TcpStream;

/// Bytes of one read at most: a turn for others between two.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Reads from all connections through one scratch buffer, and counts what waits in their buffers.
pub struct Reader {
    scratch: RefCell<Vec<u8>>,
    buffered_bytes: Cell<usize>,
    max_buffered_bytes: usize,
    max_connections: usize,
}

impl Reader {
    /// A reader with the bounds of `limits`.
    pub fn new(limits: &AdmissionLimits) -> Self {
        Reader {
            scratch: RefCell::new(vec![0; MAX_READ_BYTES]),
            buffered_bytes: Cell::default(),
            max_buffered_bytes: limits.max_buffered_bytes,
            max_connections: limits.max_connections,
        }
    }

    /// An empty buffer for a connection.
    pub fn buffer(&self) -> ReadBuffer<'_> {
        ReadBuffer {
            reader: self,
            bytes: Vec::new(),
        }
    }
}

/// What one connection has sent and nobody has parsed yet.
pub struct ReadBuffer<'a> {
    reader: &'a Reader,
    bytes: Vec<u8>,
}

impl ReadBuffer<'_> {
    /// The bytes that wait.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Waits for bytes and appends them. Returns how many came: 0 at the end of the stream.
    pub async fn read(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        read_available(stream, |stream| self.take_available(stream)).await
    }

    fn take_available(&mut self, mut stream: &TcpStream) -> io::Result<usize> {
        let mut scratch = self.reader.scratch.borrow_mut();
        let count = stream.read(&mut scratch[..])?;
        self.bytes.extend_from_slice(&scratch[..count]);
        let buffered_bytes = &self.reader.buffered_bytes;
        buffered_bytes.set(buffered_bytes.get() + count);
        Ok(count)
    }

    /// Drops the first `count` bytes; an empty buffer gives its memory back.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        let buffered_bytes = &self.reader.buffered_bytes;
        buffered_bytes.set(buffered_bytes.get().saturating_sub(count));
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.consume(self.bytes.len());
    }

    /// Whether the buffers are full in sum and this one holds more than its even share: small requests always pass.
    pub fn is_over_quota(&self) -> bool {
        let reader = self.reader;
        let even_share = reader.max_buffered_bytes / reader.max_connections.max(1);
        let is_full = reader.buffered_bytes.get() > reader.max_buffered_bytes;
        is_full && self.bytes.len() > even_share
    }
}

impl Drop for ReadBuffer<'_> {
    fn drop(&mut self) {
        self.clear();
    }
}
