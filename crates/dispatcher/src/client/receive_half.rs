//! The receiving half of a client connection: its socket, and the bytes that are received and not consumed yet.
//!
//! The session reads requests from it. While a query of the connection is in flight, the query registry checks through
//! it whether the client is still connected: see [`ReceiveHalf::presence`].

use super::reader::{ReadBuffer, ReadResult, Reader};
use crate::client_presence::{ClientConnection, ClientHandle, ClientPresence};
use crate::clock::Clock;
use crate::net::{is_lack_of_buffers, poll_readiness, read_available, Readiness};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, Ref, RefCell};
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Time (ms) after a read that may have left bytes unread, after which the end of the connection would have arrived if
/// the client had closed it before that read: an upper bound on the round trip to the client, in which its system sends
/// what did not fit into the receive buffer before.
const SETTLE_MS: f64 = 100.0;
/// Maximum number of reads in one check of the client's presence. Bounds the work for a client that keeps sending.
const MAX_READS_PER_CHECK: usize = 64;

/// The receiving half of a client connection.
pub struct ReceiveHalf {
    stream: Async<TcpStream>,
    clock: Clock,
    buffer: RefCell<ReadBuffer>,
    /// Time (ms) at which the last byte arrived, or at which the connection became idle.
    last_byte_ms: Cell<f64>,
    /// Time (ms) of the last read that may have left bytes unread.
    full_read_ms: Cell<f64>,
    /// Length (bytes) of the request at the start of the buffer while it is being admitted; 0 at other times.
    request_len: Cell<usize>,
}

impl ReceiveHalf {
    /// The receiving half of a new connection.
    pub fn new(stream: Async<TcpStream>, reader: &Reader, clock: Clock) -> Rc<Self> {
        Rc::new(ReceiveHalf {
            stream,
            clock,
            buffer: RefCell::new(reader.buffer()),
            last_byte_ms: Cell::new(clock.now()),
            full_read_ms: Cell::new(f64::NEG_INFINITY),
            request_len: Cell::default(),
        })
    }

    /// The socket.
    pub fn stream(&self) -> &Async<TcpStream> {
        &self.stream
    }

    /// A handle through which the registry checks whether the client is connected.
    pub fn client(self: &Rc<Self>) -> ClientHandle {
        let connection: Weak<Self> = Rc::downgrade(self);
        ClientHandle::new(connection)
    }

    /// The bytes that are not consumed yet. They must not be borrowed while the session waits.
    pub fn buffer(&self) -> Ref<'_, ReadBuffer> {
        self.buffer.borrow()
    }

    /// Time (ms) at which the last byte arrived, or at which the connection became idle.
    pub fn last_byte_ms(&self) -> f64 {
        self.last_byte_ms.get()
    }

    /// Records that the connection became idle now.
    pub fn set_idle(&self) {
        self.last_byte_ms.set(self.clock.now());
    }

    /// Marks the first `request_len` bytes as the request that is being admitted: only bytes behind them can hide the
    /// end of the connection.
    pub fn set_request_len(&self, request_len: usize) {
        self.request_len.set(request_len);
    }

    /// Removes the first `count` bytes.
    pub fn consume(&self, count: usize) {
        self.request_len.set(0);
        self.buffer.borrow_mut().consume(count);
    }

    /// Removes all bytes.
    pub fn clear(&self) {
        let count = self.buffer().len();
        self.consume(count);
    }

    /// Waits for bytes, and appends them to the buffer.
    ///
    /// # Errors
    /// The connection cannot be read.
    pub async fn read(&self) -> io::Result<ReadResult> {
        let receive = |_: &TcpStream| self.receive(&mut self.buffer.borrow_mut());
        read_available(&self.stream, receive).await
    }

    /// Appends available bytes to the buffer, without waiting.
    fn receive(&self, buffer: &mut ReadBuffer) -> io::Result<ReadResult> {
        let result = buffer.read(self.stream.get_ref(), self.clock)?;
        if let ReadResult::Received { may_have_more } = result {
            self.last_byte_ms.set(self.clock.now());
            if may_have_more {
                self.record_full_read();
            }
        }
        Ok(result)
    }

    fn record_full_read(&self) {
        self.full_read_ms.set(self.clock.now());
    }

    /// Whether the system has received the end of the connection, while the buffer has no space for the bytes before it.
    pub fn is_closed_behind_unread(&self) -> bool {
        match poll_readiness(self.stream.get_ref()) {
            Ok(Readiness::Closed) => true,
            Ok(Readiness::Idle) => false,
            Ok(Readiness::Readable) | Err(_) => {
                self.record_full_read();
                false
            }
        }
    }

    /// Reads what the client sends until its presence is known, for at most [`SETTLE_MS`]. Returns whether it is known:
    /// it is not if the buffer has no space, or if the client keeps sending.
    pub async fn settle(&self) -> bool {
        let received = async {
            while !self.is_presence_known() {
                match self.read().await {
                    Ok(ReadResult::Received { .. }) => future::yield_now().await,
                    _ => break,
                }
            }
        };
        let settled = async {
            Timer::after(Duration::from_secs_f64(SETTLE_MS / 1000.0)).await;
        };
        future::or(received, settled).await;
        self.is_presence_known()
    }

    fn is_presence_known(&self) -> bool {
        self.presence() != ClientPresence::Unknown
    }

    /// Reads all available bytes, to find the end of the connection behind them.
    fn read_to_end(&self) -> ClientPresence {
        // While the session parses a request from the buffer, nothing is read.
        let Ok(mut buffer) = self.buffer.try_borrow_mut() else {
            return ClientPresence::Unknown;
        };
        for _ in 0..MAX_READS_PER_CHECK {
            match self.receive(&mut buffer) {
                Ok(ReadResult::Received { .. }) => {}
                Ok(ReadResult::EndOfStream) => return ClientPresence::Disconnected,
                Ok(ReadResult::NoSpace) => break,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return self.presence_after(&buffer);
                }
                Err(error) if is_lack_of_buffers(&error) => break,
                Err(_) => return ClientPresence::Disconnected,
            }
        }
        self.record_full_read();
        ClientPresence::Unknown
    }

    /// The client's presence if no bytes are unread now: unknown if bytes behind the request may still be on their way.
    fn presence_after(&self, buffer: &ReadBuffer) -> ClientPresence {
        let has_bytes_behind_request = buffer.len() > self.request_len.get();
        let is_settled = self.clock.now() >= self.full_read_ms.get() + SETTLE_MS;
        if has_bytes_behind_request && !is_settled {
            return ClientPresence::Unknown;
        }
        ClientPresence::Connected
    }
}

impl ClientConnection for ReceiveHalf {
    /// Checks whether the client is connected. The end of a connection can be seen only once all bytes before it are
    /// read: where they cannot be read, or may have filled the system's receive buffer until a moment ago, the presence
    /// is unknown.
    fn presence(&self) -> ClientPresence {
        match poll_readiness(self.stream.get_ref()) {
            Ok(Readiness::Closed) => ClientPresence::Disconnected,
            Ok(Readiness::Idle) => self.presence_after(&self.buffer()),
            Ok(Readiness::Readable) | Err(_) => self.read_to_end(),
        }
    }
}

#[cfg(test)]
mod tests;
