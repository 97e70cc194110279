//! Read buffers of client connections, and the limit on their total size.

use super::admission_limits::AdmissionLimits;
use crate::clock::Clock;
use crate::net::read_available;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::TcpStream;

/// Maximum size (bytes) of one read, so that other connections are served between two reads.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum number of arrival times per connection: a bound on memory.
const MAX_ARRIVALS: usize = 64;

/// Reads from all connections through one scratch buffer, and tracks the total size of their buffers.
pub struct Reader {
    scratch: RefCell<Vec<u8>>,
    buffered_bytes: Cell<usize>,
    max_buffered_bytes: usize,
    max_connections: usize,
}

impl Reader {
    /// A reader with the limits on buffered bytes and connections from `limits`.
    pub fn new(limits: &AdmissionLimits) -> Self {
        Reader {
            scratch: RefCell::new(vec![0; MAX_READ_BYTES]),
            buffered_bytes: Cell::default(),
            max_buffered_bytes: limits.max_buffered_bytes,
            max_connections: limits.max_connections,
        }
    }

    /// Creates an empty buffer for a connection.
    pub fn buffer(&self) -> ReadBuffer<'_> {
        ReadBuffer {
            reader: self,
            bytes: Vec::new(),
            start: 0,
            consumed: 0,
            arrivals: VecDeque::new(),
        }
    }
}

/// An arrival time: all bytes before `end`, counted from the connection's first byte, had arrived by `at_ms`.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    end: u64,
    at_ms: f64,
}

/// The bytes of one connection that are not consumed yet, with their arrival times.
pub struct ReadBuffer<'a> {
    reader: &'a Reader,
    /// Received bytes. Those before `start` are consumed, but their space is not freed yet.
    bytes: Vec<u8>,
    start: usize,
    /// Number of bytes consumed since the connection's first byte.
    consumed: u64,
    /// Arrival times of the bytes that are not consumed yet, in order of arrival.
    arrivals: VecDeque<Arrival>,
}

impl ReadBuffer<'_> {
    /// The bytes that are not consumed yet.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Number of bytes that are not consumed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits for bytes and appends them. Returns their number: 0 at the end of the stream.
    pub async fn read(&mut self, stream: &Async<TcpStream>, clock: Clock) -> io::Result<usize> {
        let count = read_available(stream, |stream| self.take_available(stream)).await?;
        if count > 0 {
            self.record_arrival(clock.now());
        }
        Ok(count)
    }

    fn take_available(&mut self, mut stream: &TcpStream) -> io::Result<usize> {
        let mut scratch = self.reader.scratch.borrow_mut();
        let count = stream.read(&mut scratch[..])?;
        self.bytes.extend_from_slice(&scratch[..count]);
        let buffered_bytes = &self.reader.buffered_bytes;
        buffered_bytes.set(buffered_bytes.get() + count);
        Ok(count)
    }

    /// Records that all bytes in the buffer had arrived by `at_ms`. Beyond [`MAX_ARRIVALS`] records, the last one is
    /// extended: the new bytes then count as having arrived earlier than they did, never later.
    fn record_arrival(&mut self, at_ms: f64) {
        let end = self.consumed + self.len() as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|_| is_full) {
            Some(last) => last.end = end,
            None => self.arrivals.push_back(Arrival { end, at_ms }),
        }
    }

    /// Arrival time (ms) of the last of the first `count` bytes; `None` if it has not arrived.
    pub fn arrived_ms(&self, count: usize) -> Option<f64> {
        let end = self.consumed + count as u64;
        let arrival = self.arrivals.iter().find(|arrival| arrival.end >= end)?;
        Some(arrival.at_ms)
    }

    /// Consumes the first `count` bytes. An empty buffer frees its memory.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len());
        self.start += count;
        self.consumed += count as u64;
        let buffered_bytes = &self.reader.buffered_bytes;
        buffered_bytes.set(buffered_bytes.get().saturating_sub(count));
        while self
            .arrivals
            .front()
            .is_some_and(|first| first.end <= self.consumed)
        {
            self.arrivals.pop_front();
        }
        if self.is_empty() {
            self.bytes = Vec::new();
            self.start = 0;
            self.arrivals = VecDeque::new();
        } else if self.start >= self.bytes.len() / 2 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }

    /// Consumes all bytes.
    pub fn clear(&mut self) {
        self.consume(self.len());
    }

    /// Whether the total size of all buffers exceeds its limit, and this buffer is larger than an even share of that
    /// limit. Connections that buffer less than an even share are not affected.
    pub fn is_over_quota(&self) -> bool {
        let reader = self.reader;
        let even_share = reader.max_buffered_bytes / reader.max_connections.max(1);
        let is_over_limit = reader.buffered_bytes.get() > reader.max_buffered_bytes;
        is_over_limit && self.len() > even_share
    }
}

impl Drop for ReadBuffer<'_> {
    fn drop(&mut self) {
        self.clear();
    }
}

#[cfg(test)]
mod tests;
