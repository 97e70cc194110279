//! The receiving half of a client's connection: reads requests within their time limits, and watches for the client's
//! end.

use super::connection_table::{ConnectionState, Entry};
use super::reader::ReadBuffer;
use super::request_error::RequestError;
use super::ClientFrontend;
use crate::close_reason::ClientClose;
use crate::guard::ClosePermit;
use crate::net::has_hung_up;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// An idle connection is closed after this time (ms). Clients close theirs after 4 s, so the client of such a connection
/// is dead or sends no more requests.
const IDLE_TIMEOUT_MS: f64 = 20_000.0;
/// A request is refused unless it is complete within this time (ms) of its first byte, or of connecting for the first
/// one: a bound on slow clients. A query's time counts from its last byte, so that no deadline is affected.
const REQUEST_TIMEOUT_MS: f64 = 2400.0;
/// During shutdown, a connection that has sent no byte stays open for its first request for this time (ms).
const FIRST_REQUEST_TIMEOUT_MS: f64 = 500.0;
/// How long (ms) a half-closed connection is read, so that the last answer is not lost to a reset.
const LINGER_MS: f64 = 500.0;
/// Maximum number of bytes that are read and discarded after a half-close.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Maximum number of bytes that are read ahead while a query is in flight. Further bytes stay in the system's buffers:
/// every request that was read must be answered.
const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// How often it is checked whether a client whose bytes are not read has left.
const HANGUP_POLL: Duration = Duration::from_millis(50);

/// The event that ended a wait for bytes.
enum Waited {
    Received,
    TimedOut,
    /// The client closed or reset its side.
    Disconnected,
    /// The connection is to close: its entry is needed, or the program is shutting down.
    CloseRequested,
}

/// The result of reading more of a request.
pub enum ReadOutcome {
    /// Parse again: more bytes arrived, or the deadlines changed.
    Continue,
    /// The client closed or reset its side.
    Disconnected,
    /// No request is under way, and the connection is to close.
    Close(ClientClose),
    /// The request under way is refused.
    Refuse(RequestError),
}

/// The bytes that a client has sent, and the time limits of the next ones.
pub struct Inbound<'a> {
    frontend: &'a ClientFrontend,
    stream: &'a Async<TcpStream>,
    entry: &'a Entry,
    buffer: ReadBuffer<'a>,
    connected_ms: f64,
    /// When the last buffered byte arrived: a query's time counts from its last byte.
    last_byte_ms: f64,
    /// By when the request under way must be complete.
    request_deadline_ms: f64,
}

impl<'a> Inbound<'a> {
    /// The receiving half of a new connection.
    pub fn new(
        frontend: &'a ClientFrontend,
        stream: &'a Async<TcpStream>,
        entry: &'a Entry,
    ) -> Self {
        let connected_ms = frontend.clock.now();
        Inbound {
            frontend,
            stream,
            entry,
            buffer: frontend.reader.buffer(),
            connected_ms,
            last_byte_ms: connected_ms,
            request_deadline_ms: connected_ms + REQUEST_TIMEOUT_MS,
        }
    }

    /// The bytes that are not consumed yet.
    pub fn buffer(&self) -> &ReadBuffer<'a> {
        &self.buffer
    }

    /// When the last buffered byte arrived (ms).
    pub fn last_byte_ms(&self) -> f64 {
        self.last_byte_ms
    }

    /// Drops a request of `request_len` bytes.
    pub fn consume(&mut self, request_len: usize) {
        self.buffer.consume(request_len);
    }

    /// The connection's request was answered: its next one begins.
    pub fn begin_next_request(&mut self) {
        let now_ms = self.now_ms();
        if self.buffer.is_empty() {
            self.last_byte_ms = now_ms;
        }
        self.request_deadline_ms = now_ms + REQUEST_TIMEOUT_MS;
    }

    fn now_ms(&self) -> f64 {
        self.frontend.clock.now()
    }

    // ---- Reading a request ----

    /// Waits for more of a request.
    ///
    /// # Errors
    /// The connection cannot be read.
    pub async fn read_more(&mut self) -> io::Result<ReadOutcome> {
        let is_empty = self.buffer.is_empty();
        let is_idle = is_empty && self.entry.is_idle();
        let until_ms = self.read_deadline_ms(is_empty, is_idle);
        let outcome = match self.wait_for_bytes(until_ms).await? {
            Waited::Received if self.buffer.is_over_quota() => {
                ReadOutcome::Refuse(RequestError::Overloaded)
            }
            Waited::Received => {
                self.on_received(is_idle);
                ReadOutcome::Continue
            }
            Waited::TimedOut if is_empty => ReadOutcome::Close(ClientClose::Idle),
            Waited::TimedOut => ReadOutcome::Refuse(RequestError::Incomplete),
            Waited::Disconnected => ReadOutcome::Disconnected,
            // During shutdown, a request that has begun continues, and a first one is waited for.
            Waited::CloseRequested if !self.entry.is_evicted() => ReadOutcome::Continue,
            Waited::CloseRequested if is_empty => ReadOutcome::Close(ClientClose::Evicted),
            Waited::CloseRequested => ReadOutcome::Refuse(RequestError::Overloaded),
        };
        Ok(outcome)
    }

    fn on_received(&mut self, was_idle: bool) {
        self.last_byte_ms = self.now_ms();
        if was_idle {
            self.request_deadline_ms = self.last_byte_ms + REQUEST_TIMEOUT_MS;
        }
    }

    /// Until when to wait for more bytes (ms).
    fn read_deadline_ms(&self, is_empty: bool, is_idle: bool) -> f64 {
        let is_last_call = self.frontend.phase.get().is_last_call();
        if is_idle && is_last_call {
            // This time is in the past: bytes that have arrived by now are still read.
            self.last_byte_ms
        } else if is_idle {
            self.last_byte_ms + IDLE_TIMEOUT_MS
        } else if is_empty && is_last_call {
            let first_request_ms = self.connected_ms + FIRST_REQUEST_TIMEOUT_MS;
            self.request_deadline_ms.min(first_request_ms)
        } else {
            self.request_deadline_ms
        }
    }

    /// Waits for bytes, for a request to close and for a time. Bytes are polled first, so they win over the other two.
    async fn wait_for_bytes(&mut self, until_ms: f64) -> io::Result<Waited> {
        let deadline = self.frontend.clock.instant(until_ms);
        let entry = self.entry;
        let buffer = &mut self.buffer;
        let stream = self.stream;
        let clock = self.frontend.clock;
        let received = async {
            match buffer.read(stream, clock).await? {
                0 => Ok(Waited::Disconnected),
                _ => Ok(Waited::Received),
            }
        };
        let close_requested = async {
            entry.close.notified().await;
            Ok(Waited::CloseRequested)
        };
        let timed_out = async {
            Timer::at(deadline).await;
            Ok(Waited::TimedOut)
        };
        future::or(received, future::or(close_requested, timed_out)).await
    }

    // ---- While a query is in flight ----

    /// Returns once the client has left. Bytes that it sends meanwhile are kept for the next requests, up to a limit;
    /// beyond it nothing is read, and the client's end is seen only if the system has received it already.
    pub async fn wait_for_disconnect(&mut self) {
        loop {
            if self.buffer.len() >= MAX_READ_AHEAD_BYTES || self.buffer.is_over_quota() {
                if has_hung_up(self.stream.get_ref()) {
                    return;
                }
                Timer::after(HANGUP_POLL).await;
                continue;
            }
            let read = self.buffer.read(self.stream, self.frontend.clock).await;
            if !matches!(read, Ok(1..)) {
                return;
            }
            self.last_byte_ms = self.now_ms();
            future::yield_now().await;
        }
    }

    // ---- Closing ----

    /// Half-closes, and discards what the client still sends: a close over unread bytes would be a reset, and could lose
    /// the last answer.
    pub async fn linger(&mut self, _permit: ClosePermit) {
        self.buffer.clear();
        let now_ms = self.now_ms();
        self.entry.set_state(ConnectionState::Closing, now_ms);
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_DISCARDED_BYTES {
            match self.wait_for_bytes(now_ms + LINGER_MS).await {
                Ok(Waited::Received) => discarded_bytes += self.buffer.len(),
                Ok(Waited::CloseRequested) if !self.entry.is_evicted() => {}
                _ => return,
            }
            self.buffer.clear();
            future::yield_now().await;
        }
    }
}
