//! Read buffers of client connections. Their memory counts in full against the limit of [`ReadMemory`]: unused capacity
//! and the space of consumed bytes as well.

use super::admission_limits::AdmissionLimits;
use super::read_memory::ReadMemory;
use crate::clock::Clock;
use crate::net::{read_available, retry_interrupted};
use async_io::Async;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::TcpStream;
use std::rc::Rc;

/// Maximum size (bytes) of one read, so that other connections are served between two reads.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum size (bytes) of one connection's buffer. Further bytes stay in the kernel's receive buffer, because every
/// request that was read must be answered.
const MAX_BUFFER_BYTES: usize = 1 << 20;
/// Maximum number of arrival times per connection: a bound on memory.
const MAX_ARRIVALS: usize = 64;
/// Initial capacity of the arrival times of a connection; it doubles up to [`MAX_ARRIVALS`].
const MIN_ARRIVALS_CAPACITY: usize = 4;
/// A buffer whose capacity is this multiple of its content, or more, frees half of its memory or more.
const SHRINK_FACTOR: usize = 4;

/// Reads from all connections through one scratch buffer, within the memory that their buffers may hold. Copies share
/// both.
#[derive(Clone)]
pub struct Reader {
    scratch: Rc<RefCell<Vec<u8>>>,
    memory: Rc<ReadMemory>,
}

impl Reader {
    /// A reader with the limits on buffered bytes and connections from `limits`.
    pub fn new(limits: &AdmissionLimits) -> Self {
        Reader {
            scratch: Rc::new(RefCell::new(vec![0; MAX_READ_BYTES])),
            memory: Rc::new(ReadMemory::new(limits)),
        }
    }

    /// Creates an empty buffer for a connection.
    pub fn buffer(&self) -> ReadBuffer {
        ReadBuffer {
            reader: self.clone(),
            bytes: Vec::new(),
            start: 0,
            consumed: 0,
            arrivals: VecDeque::new(),
            held_bytes: 0,
        }
    }

    /// Waits for bytes and discards them. Returns their number: 0 at the end of the stream.
    pub async fn discard(&self, stream: &Async<TcpStream>) -> io::Result<usize> {
        read_available(stream, |mut stream| {
            stream.read(&mut self.scratch.borrow_mut()[..])
        })
        .await
    }
}

/// The result of a read into a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// At least one byte was appended.
    Received {
        /// Whether the read took as much as it could, so that more bytes may be unread.
        may_have_more: bool,
    },
    /// The client has closed its side.
    EndOfStream,
    /// Nothing was read, because the buffer may not grow now.
    NoSpace,
}

/// An arrival time: all bytes before `end`, counted from the connection's first byte, had arrived by `at_ms`.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    end: u64,
    at_ms: f64,
}

/// The bytes of one connection that are not consumed yet, with their arrival times.
pub struct ReadBuffer {
    reader: Reader,
    /// Received bytes. Those before `start` are consumed, but their space is not freed yet.
    bytes: Vec<u8>,
    start: usize,
    /// Number of bytes consumed since the connection's first byte.
    consumed: u64,
    /// Arrival times of the bytes that are not consumed yet, in order of arrival.
    arrivals: VecDeque<Arrival>,
    /// Memory (bytes) of the two collections, as recorded in the reader's [`ReadMemory`].
    held_bytes: usize,
}

impl ReadBuffer {
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

    /// Number of bytes that may be added now. 0 if the buffer has its maximum size, or if the memory of all buffers is
    /// used up and this one holds more than an even share of it; never 0 for an empty buffer.
    fn space(&self) -> usize {
        self.max_capacity().saturating_sub(self.len())
    }

    /// Capacity (bytes) up to which `bytes` may grow now, if `arrivals` grows as well.
    fn max_capacity(&self) -> usize {
        let max_size = self.reader.memory.max_buffer_size(self.held_bytes);
        let arrivals_size = self.next_arrivals_capacity() * size_of::<Arrival>();
        max_size.saturating_sub(arrivals_size).min(MAX_BUFFER_BYTES)
    }

    /// Capacity of `arrivals` after one more arrival.
    fn next_arrivals_capacity(&self) -> usize {
        let capacity = self.arrivals.capacity();
        if self.arrivals.len() < capacity {
            return capacity;
        }
        (2 * capacity).clamp(MIN_ARRIVALS_CAPACITY, MAX_ARRIVALS)
    }

    /// Appends as many of the available bytes as there is space for, in one read.
    ///
    /// # Errors
    /// The errors of the read, except interruptions: `WouldBlock` if no bytes are available.
    pub fn read(&mut self, stream: &TcpStream, clock: Clock) -> io::Result<ReadResult> {
        let result = self.take_available(stream)?;
        if matches!(result, ReadResult::Received { .. }) {
            self.record_arrival(clock.now());
        }
        Ok(result)
    }

    fn take_available(&mut self, mut stream: &TcpStream) -> io::Result<ReadResult> {
        let scratch = self.reader.scratch.clone();
        let mut scratch = scratch.borrow_mut();
        let max_count = self.space().min(scratch.len());
        if max_count == 0 {
            return Ok(ReadResult::NoSpace);
        }
        let count = retry_interrupted(|| stream.read(&mut scratch[..max_count]))?;
        if count == 0 {
            return Ok(ReadResult::EndOfStream);
        }
        self.append(&scratch[..count]);
        Ok(ReadResult::Received {
            may_have_more: count == max_count,
        })
    }

    /// Appends received bytes, for which the caller has checked that there is space.
    fn append(&mut self, received: &[u8]) {
        if self.bytes.len() + received.len() > self.bytes.capacity() {
            self.remove_consumed();
        }
        let needed = self.bytes.len() + received.len();
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).min(self.max_capacity());
            let additional = doubled.max(needed) - self.bytes.len();
            self.bytes.reserve_exact(additional);
        }
        self.bytes.extend_from_slice(received);
        self.record_held_bytes();
    }

    /// Frees the space of consumed bytes.
    fn remove_consumed(&mut self) {
        self.bytes.drain(..self.start);
        self.start = 0;
    }

    /// Records the memory that the buffer holds now.
    fn record_held_bytes(&mut self) {
        let arrivals_size = self.arrivals.capacity() * size_of::<Arrival>();
        let held_bytes = self.bytes.capacity() + arrivals_size;
        let memory = &self.reader.memory;
        memory.record_resize(self.held_bytes, held_bytes);
        self.held_bytes = held_bytes;
    }

    /// Records that all bytes in the buffer had arrived by `at_ms`. Beyond [`MAX_ARRIVALS`] records, the last one is
    /// extended: the new bytes then count as having arrived earlier than they did, never later.
    fn record_arrival(&mut self, at_ms: f64) {
        let end = self.consumed + self.len() as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|_| is_full) {
            Some(last) => last.end = end,
            None => {
                let additional = self.next_arrivals_capacity() - self.arrivals.len();
                self.arrivals.reserve_exact(additional);
                self.arrivals.push_back(Arrival { end, at_ms });
            }
        }
        self.record_held_bytes();
    }

    /// Arrival time (ms) of the last of the first `count` bytes; `None` if it has not arrived.
    pub fn arrived_ms(&self, count: usize) -> Option<f64> {
        let end = self.consumed + count as u64;
        let arrival = self.arrivals.iter().find(|arrival| arrival.end >= end)?;
        Some(arrival.at_ms)
    }

    /// Consumes the first `count` bytes. Frees the memory of an empty buffer, and most of that of a nearly empty one.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len());
        self.start += count;
        self.consumed += count as u64;
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
            self.remove_consumed();
            if self.bytes.capacity() >= SHRINK_FACTOR * self.bytes.len() {
                self.bytes.shrink_to(self.bytes.len());
            }
        }
        self.record_held_bytes();
    }

    /// Consumes all bytes.
    pub fn clear(&mut self) {
        self.consume(self.len());
    }
}

impl Drop for ReadBuffer {
    fn drop(&mut self) {
        self.clear();
    }
}

#[cfg(test)]
mod tests;
