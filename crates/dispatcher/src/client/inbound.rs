//! The receiving half of a client connection: reads requests within their time limits, and detects that the client has
//! disconnected.

use super::connection_table::{ConnectionState, Entry};
use super::reader::ReadResult;
use super::receive_half::ReceiveHalf;
use super::request_error::RequestError;
use super::ClientFrontend;
use crate::close_reason::ClientCloseReason;
use crate::guard::ClosePermit;
use async_io::Timer;
use futures_lite::future;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

/// An idle connection is closed after this time (ms). Clients usually close idle connections after 4 s, so by then the
/// client has failed or sends no more requests.
const IDLE_TIMEOUT_MS: f64 = 20_000.0;
/// Maximum time (ms) from a request's first byte to its last. For a connection's first request, the time counts from
/// the accept; for a request that began to arrive before the previous answer, from that answer. This bounds slow
/// clients. Deadlines of queries are not affected, since they count from the last byte.
const REQUEST_TIMEOUT_MS: f64 = 2400.0;
/// During shutdown, how long (ms) after its accept a connection stays open for the first byte of its first request.
const FIRST_REQUEST_TIMEOUT_MS: f64 = 500.0;
/// How long (ms) a half-closed connection is still read, so that a reset does not destroy the last answer.
const LINGER_MS: f64 = 500.0;
/// Maximum number of bytes that are read and discarded after a half-close.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Interval between checks whether the client has disconnected, while its bytes are not read.
const HANGUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The event that ended a wait for bytes.
enum WaitOutcome {
    Received,
    /// The read buffer may not grow now.
    NoSpace,
    TimedOut,
    /// The client closed its side. A reset is returned as an error instead.
    Disconnected,
    /// The connection should close: its table entry is needed, or the program is shutting down.
    CloseRequested,
}

/// The result of reading more of a request.
pub enum ReadOutcome {
    /// Parse again: more bytes have arrived, or the time limits have changed.
    Continue,
    /// The client closed its side. A reset is returned as an error instead.
    Disconnected,
    /// No byte of a request has arrived, and the connection should close.
    Close(ClientCloseReason),
    /// The request that is being received is refused.
    Refuse(RequestError),
}

/// The time limits for receiving requests from a client.
pub struct Inbound<'a> {
    frontend: &'a ClientFrontend,
    receive_half: Rc<ReceiveHalf>,
    entry: &'a Entry,
    connected_ms: f64,
    /// Time (ms) by which the next request must have arrived completely.
    request_deadline_ms: f64,
}

impl<'a> Inbound<'a> {
    /// The time limits of a new connection.
    pub fn new(
        frontend: &'a ClientFrontend,
        receive_half: Rc<ReceiveHalf>,
        entry: &'a Entry,
    ) -> Self {
        let connected_ms = frontend.clock.now();
        Inbound {
            frontend,
            receive_half,
            entry,
            connected_ms,
            request_deadline_ms: connected_ms + REQUEST_TIMEOUT_MS,
        }
    }

    /// Sets the time limits of the next request, after a request was answered.
    pub fn begin_next_request(&mut self) {
        if self.receive_half.buffer().is_empty() {
            self.receive_half.set_idle();
        }
        self.request_deadline_ms = self.now_ms() + REQUEST_TIMEOUT_MS;
    }

    fn now_ms(&self) -> f64 {
        self.frontend.clock.now()
    }

    // ---- Reading a request ----

    /// Waits for more bytes of a request.
    ///
    /// # Errors
    /// The connection cannot be read.
    pub async fn read_more(&mut self) -> io::Result<ReadOutcome> {
        let is_empty = self.receive_half.buffer().is_empty();
        let is_idle = is_empty && self.entry.is_idle();
        let until_ms = self.read_deadline_ms(is_empty, is_idle);
        let outcome = match self.wait_for_bytes(until_ms).await? {
            WaitOutcome::Received => {
                self.on_received(is_idle);
                ReadOutcome::Continue
            }
            WaitOutcome::NoSpace => ReadOutcome::Refuse(RequestError::Overloaded),
            WaitOutcome::TimedOut if is_empty => ReadOutcome::Close(ClientCloseReason::Idle),
            WaitOutcome::TimedOut => ReadOutcome::Refuse(RequestError::Incomplete),
            WaitOutcome::Disconnected => ReadOutcome::Disconnected,
            // During shutdown, a partly received request may continue, and a new connection may send its first request.
            WaitOutcome::CloseRequested if !self.entry.is_evicted() => ReadOutcome::Continue,
            WaitOutcome::CloseRequested if is_empty => {
                ReadOutcome::Close(ClientCloseReason::Evicted)
            }
            WaitOutcome::CloseRequested => ReadOutcome::Refuse(RequestError::Overloaded),
        };
        Ok(outcome)
    }

    fn on_received(&mut self, was_idle: bool) {
        if was_idle {
            self.request_deadline_ms = self.receive_half.last_byte_ms() + REQUEST_TIMEOUT_MS;
        }
    }

    /// Time (ms) until which to wait for more bytes.
    fn read_deadline_ms(&self, is_empty: bool, is_idle: bool) -> f64 {
        let is_closing = self.frontend.phase.get().is_closing();
        if is_idle && is_closing {
            // This time is in the past: only bytes that have already arrived are still read.
            self.receive_half.last_byte_ms()
        } else if is_idle {
            self.receive_half.last_byte_ms() + IDLE_TIMEOUT_MS
        } else if is_empty && is_closing {
            let first_request_ms = self.connected_ms + FIRST_REQUEST_TIMEOUT_MS;
            self.request_deadline_ms.min(first_request_ms)
        } else {
            self.request_deadline_ms
        }
    }

    /// Waits until bytes arrive, the entry's `close` is notified, or `until_ms` has passed. Bytes are polled first, so
    /// they take precedence over the other two.
    async fn wait_for_bytes(&self, until_ms: f64) -> io::Result<WaitOutcome> {
        let deadline = self.frontend.clock.instant(until_ms);
        let entry = self.entry;
        let received = async {
            Ok(match self.receive_half.read().await? {
                ReadResult::Received { .. } => WaitOutcome::Received,
                ReadResult::EndOfStream => WaitOutcome::Disconnected,
                ReadResult::NoSpace => WaitOutcome::NoSpace,
            })
        };
        let close_requested = async {
            entry.close.notified().await;
            Ok(WaitOutcome::CloseRequested)
        };
        let timed_out = async {
            Timer::at(deadline).await;
            Ok(WaitOutcome::TimedOut)
        };
        future::or(received, future::or(close_requested, timed_out)).await
    }

    // ---- While a query is in flight ----

    /// Waits until the client has closed or reset the connection. Bytes that arrive meanwhile are buffered for the next
    /// requests, up to a limit. Beyond the limit nothing is read, and a disconnect is detected only once the kernel has
    /// received all bytes before it: until then [`ReceiveHalf`] reports the client's presence as unknown.
    pub async fn wait_for_disconnect(&self) {
        loop {
            match self.receive_half.read().await {
                Ok(ReadResult::Received { .. }) => {}
                Ok(ReadResult::NoSpace) if !self.receive_half.is_closed_behind_unread() => {
                    Timer::after(HANGUP_POLL_INTERVAL).await;
                }
                _ => return,
            }
            future::yield_now().await;
        }
    }

    // ---- Closing ----

    /// Half-closes the connection, and discards the bytes that the client still sends: closing a socket with unread
    /// bytes would send a reset, which could destroy the last answer.
    pub async fn linger(&mut self, _permit: ClosePermit) {
        self.receive_half.clear();
        let now_ms = self.now_ms();
        self.entry.set_state(ConnectionState::Closing, now_ms);
        let stream = self.receive_half.stream().get_ref();
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let end = self.frontend.clock.instant(now_ms + LINGER_MS);
        let evicted = async {
            while !self.entry.is_evicted() {
                self.entry.close.notified().await;
            }
        };
        let timed_out = async {
            Timer::at(end).await;
        };
        future::or(self.discard_received(), future::or(evicted, timed_out)).await;
    }

    /// Reads and discards up to [`MAX_DISCARDED_BYTES`], or until the connection ends.
    async fn discard_received(&self) {
        let reader = &self.frontend.reader;
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_DISCARDED_BYTES {
            match reader.discard(self.receive_half.stream()).await {
                Ok(count @ 1..) => discarded_bytes += count,
                _ => return,
            }
            future::yield_now().await;
        }
    }
}
