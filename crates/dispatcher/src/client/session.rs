//! One client's connection, from its first byte to its end: one request at a time, each answered before the next is
//! parsed.
//!
//! Its state is in its [`Entry`] of the connection table: `New` until a request is complete, `Active` while it is
//! answered, `Idle` until the next one begins, `Closing` once it is half-closed. Start reading at [`Session::run`].

use super::answer_writer::AnswerWriter;
use super::connection_table::{ConnectionState, Entry};
use super::http::{self, Head};
use super::protocol::Status;
use super::reader::ReadBuffer;
use super::request::ParsedRequest;
use super::request_error::RequestError;
use super::route::Route;
use super::ClientFrontend;
use crate::close_reason::ClientClose;
use crate::guard::{AnswerPermit, ClosePermit, ConnectionLedger, Violation};
use crate::net::has_hung_up;
use crate::query_registry::{Answer, AnswerSlot};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::RefCell;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// An idle connection is closed after this time (ms): clients close theirs after 4 s, so that its client is dead or
/// asks no more.
const IDLE_TIMEOUT_MS: f64 = 20_000.0;
/// A request is complete within this time (ms) of its first byte, or of connecting for the first one, or it is refused:
/// a bound on slow clients. A query's time counts from its last byte, so that no deadline is touched.
const REQUEST_TIMEOUT_MS: f64 = 2400.0;
/// Once the program ends, a connection on which nothing came is kept for its first request for this time (ms).
const FIRST_REQUEST_TIMEOUT_MS: f64 = 500.0;
/// How long (ms) a half-closed connection is read, so that the last answer is not lost to a reset.
const LINGER_MS: f64 = 500.0;
/// Bytes that are read and discarded at most behind a half-close.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Bytes that are read ahead at most of a client that sends on while its query is in flight. What it sends beyond waits in
/// the system's buffers: a request that was read is answered.
const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// How often a client whose bytes are not read is looked at, whether it has left.
const HANGUP_POLL: Duration = Duration::from_millis(50);

/// How a connection ends.
enum Closing {
    /// Its client has gone: nothing is owed to it.
    Disconnected,
    /// From this side: half-closed, and what its client still sends is discarded.
    HalfClose(ClientClose),
}

/// What ended a wait for bytes.
enum Waited {
    Received,
    TimedOut,
    /// The client closed or reset its side.
    Disconnected,
    /// The connection is asked to end: its entry is needed, or the program ends.
    CloseRequested,
}

/// What became of a complete request.
enum Handled {
    /// A query was admitted.
    Query {
        query_id: u64,
        slot: Rc<AnswerSlot>,
    },
    Answered,
    Refused(RequestError),
}

/// A client's connection.
pub struct Session<'a> {
    frontend: &'a ClientFrontend,
    stream: &'a Async<TcpStream>,
    entry: &'a Entry,
    buffer: ReadBuffer<'a>,
    connected_ms: f64,
    /// When the last byte of what is buffered came: a query's time counts from its last byte.
    last_byte_ms: f64,
    /// By when the request under way must be complete.
    request_deadline_ms: f64,
    ledger: RefCell<ConnectionLedger>,
}

impl<'a> Session<'a> {
    /// The session of a new connection.
    pub fn new(
        frontend: &'a ClientFrontend,
        stream: &'a Async<TcpStream>,
        entry: &'a Entry,
    ) -> Self {
        let connected_ms = frontend.clock.now();
        Session {
            frontend,
            stream,
            entry,
            buffer: frontend.reader.buffer(),
            connected_ms,
            last_byte_ms: connected_ms,
            request_deadline_ms: connected_ms + REQUEST_TIMEOUT_MS,
            ledger: RefCell::default(),
        }
    }

    /// Serves the connection up to its end.
    pub async fn run(mut self) {
        let number = self.entry.number();
        let reason = match self.serve().await {
            Ok(Closing::HalfClose(reason)) => {
                let permit = self.ledger.borrow().may_close();
                match permit {
                    Ok(permit) => self.linger(permit).await,
                    Err(violation) => self.report(violation),
                }
                reason
            }
            Ok(Closing::Disconnected) => ClientClose::ByClient,
            Err(error) => {
                tracing::info!(connection = number, %error, "client connection failed");
                ClientClose::Failed
            }
        };
        let counters = &self.frontend.registry.counters;
        counters.count_client_close(reason);
        tracing::debug!(connection = number, %reason, "client connection closed");
    }

    async fn serve(&mut self) -> io::Result<Closing> {
        // A failure only costs latency; a connection that is broken shows it at the next read.
        let _ = self.stream.get_ref().set_nodelay(true);
        loop {
            let step = match http::parse(self.buffer.bytes()) {
                Ok(Some(head)) if head.request_len() <= self.buffer.len() => {
                    let request_len = head.request_len();
                    let keep_alive = head.keep_alive;
                    let entered = self.ledger.borrow_mut().on_request();
                    entered.unwrap_or_else(|violation| self.report(violation));
                    let handled = self.handle(&head).await?;
                    self.finish(handled, request_len, keep_alive).await?
                }
                Ok(_) => self.read_more().await?,
                Err(error) => self.refuse(error).await?,
            };
            if let ControlFlow::Break(closing) = step {
                return Ok(closing);
            }
        }
    }

    fn writer(&self) -> AnswerWriter<'_> {
        AnswerWriter {
            stream: self.stream,
            counters: &self.frontend.registry.counters,
        }
    }

    fn report(&self, violation: Violation) {
        self.frontend.registry.report_violation(violation, None);
    }

    /// The permit to answer the request that is handled.
    fn answer_permit(&self) -> io::Result<AnswerPermit> {
        let permit = self.ledger.borrow_mut().may_answer();
        permit.map_err(|violation| {
            self.report(violation);
            io::Error::other(violation.what)
        })
    }

    fn now_ms(&self) -> f64 {
        self.frontend.clock.now()
    }

    /// Answers what can't be parsed or used. The connection ends with that: nothing behind it is taken for a request.
    async fn refuse(&self, error: RequestError) -> io::Result<ControlFlow<Closing>> {
        let retry_after_ms = self.frontend.limits.retry_after_ms;
        let permit = self.ledger.borrow_mut().may_refuse();
        self.writer().error(permit, error, retry_after_ms).await?;
        let closing = Closing::HalfClose(ClientClose::Refused);
        Ok(ControlFlow::Break(closing))
    }

    // ---- Reading a request ----

    /// Waits for more of a request.
    async fn read_more(&mut self) -> io::Result<ControlFlow<Closing>> {
        let is_empty = self.buffer.is_empty();
        let is_idle = is_empty && self.entry.is_idle();
        let until_ms = self.read_deadline_ms(is_empty, is_idle);
        match self.wait_for_bytes(until_ms).await? {
            Waited::Received if self.buffer.is_over_quota() => {
                return self.refuse(RequestError::Overloaded).await;
            }
            Waited::Received => {}
            Waited::TimedOut if is_empty => {
                let closing = Closing::HalfClose(ClientClose::Idle);
                return Ok(ControlFlow::Break(closing));
            }
            Waited::TimedOut => return self.refuse(RequestError::Incomplete).await,
            Waited::Disconnected => return Ok(ControlFlow::Break(Closing::Disconnected)),
            // While the program ends, a request that has begun goes on, and a first one has its time to come.
            Waited::CloseRequested if !self.entry.is_evicted() => {
                return Ok(ControlFlow::Continue(()));
            }
            Waited::CloseRequested if is_empty => {
                let closing = Closing::HalfClose(ClientClose::Evicted);
                return Ok(ControlFlow::Break(closing));
            }
            Waited::CloseRequested => return self.refuse(RequestError::Overloaded).await,
        }
        self.last_byte_ms = self.now_ms();
        if is_idle {
            self.request_deadline_ms = self.last_byte_ms + REQUEST_TIMEOUT_MS;
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Up to when to wait for more bytes.
    fn read_deadline_ms(&self, is_empty: bool, is_idle: bool) -> f64 {
        let is_last_call = self.frontend.phase.get().is_last_call();
        if is_idle && is_last_call {
            // A time that is over: what has come by now is still read.
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

    /// Waits for bytes, for a request to close and for a time. What has come goes before the others: it is looked for
    /// first.
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

    // ---- Answering a request ----

    /// Answers a request, or admits its query.
    async fn handle(&self, head: &Head<'_>) -> io::Result<Handled> {
        self.entry
            .set_state(ConnectionState::Active, self.last_byte_ms);
        let frontend = self.frontend;
        let pages = &frontend.pages;
        let is_bare_path = |path: &str| pages.classifier.is_path(path);
        let (status, body) = match Route::of(head.method, head.path, is_bare_path) {
            Route::Query => match self.admit(head) {
                Ok((query_id, slot)) => return Ok(Handled::Query { query_id, slot }),
                Err(error) => return Ok(Handled::Refused(error)),
            },
            Route::Unknown => return Ok(Handled::Refused(RequestError::Unknown)),
            Route::Health if frontend.phase.get().is_healthy() => (Status::Ok, "{}".to_owned()),
            Route::Health => (Status::ServiceUnavailable, "{}".to_owned()),
            Route::Counters => (Status::Ok, pages.counters()),
            Route::Levels { after } => (Status::Ok, pages.levels(after, &frontend.phase).await),
            Route::Zones => (Status::Ok, pages.zones()),
            Route::MethodNotAllowed => (Status::MethodNotAllowed, "{}".to_owned()),
        };
        let permit = self.answer_permit()?;
        let writer = self.writer();
        writer.json(permit, status, &body, head.keep_alive).await?;
        Ok(Handled::Answered)
    }

    /// Admits the query of a complete request. Returns its query id, and where its answer will come.
    fn admit(&self, head: &Head<'_>) -> Result<(u64, Rc<AnswerSlot>), RequestError> {
        let frontend = self.frontend;
        let body = &self.buffer.bytes()[head.head_len..head.request_len()];
        // Its own last byte: others may have come behind it.
        let received_ms = self.buffer.arrived_ms(head.request_len());
        let received_ms = received_ms.unwrap_or(self.last_byte_ms);
        let parsed = ParsedRequest::parse(&frontend.limits, head, body, received_ms)?;
        let analysis = parsed.classify(&frontend.pages.classifier);
        let query = parsed.into_query(&frontend.limits, analysis.as_ref())?;
        Ok(frontend.registry.admit(&query)?)
    }

    /// Brings a request to its end: waits for the answer of a query and writes it, and makes ready for the next
    /// request where the connection goes on.
    async fn finish(
        &mut self,
        handled: Handled,
        request_len: usize,
        mut keep_alive: bool,
    ) -> io::Result<ControlFlow<Closing>> {
        match handled {
            Handled::Query { query_id, slot } => {
                self.buffer.consume(request_len);
                let Some(answer) = self.wait_for_answer(query_id, &slot).await else {
                    self.ledger.borrow_mut().on_client_left();
                    return Ok(ControlFlow::Break(Closing::Disconnected));
                };
                let is_last = self.frontend.phase.get().is_last_call() && self.buffer.is_empty();
                keep_alive &= !is_last;
                let permit = self.answer_permit()?;
                self.writer().answer(permit, answer, keep_alive).await?;
            }
            Handled::Answered => self.buffer.consume(request_len),
            Handled::Refused(error) => return self.refuse(error).await,
        }
        if !keep_alive {
            return Ok(ControlFlow::Break(Closing::HalfClose(
                ClientClose::AfterAnswer,
            )));
        }
        // A client that sends many requests at once has no more of the program's time than others.
        future::yield_now().await;
        if self.buffer.is_empty() {
            self.last_byte_ms = self.now_ms();
        }
        self.request_deadline_ms = self.now_ms() + REQUEST_TIMEOUT_MS;
        self.entry.set_state(ConnectionState::Idle, self.now_ms());
        Ok(ControlFlow::Continue(()))
    }

    /// Waits for the answer of a query; `None` if its client left first.
    async fn wait_for_answer(&mut self, query_id: u64, slot: &AnswerSlot) -> Option<Answer> {
        let answered = async { Some(slot.answered().await) };
        let client_left = async {
            self.watch_client().await;
            None
        };
        let answer = future::or(answered, client_left).await;
        if answer.is_none() {
            self.frontend.registry.client_left(query_id);
        }
        answer
    }

    /// Returns once the client has left. What it sends meanwhile is kept for the requests to come, up to a bound; beyond it
    /// nothing is read, and its end is seen only where the system has it already.
    async fn watch_client(&mut self) {
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

    /// Half-closes, and discards what its client still sends: a close over unread bytes would be a reset, and take the
    /// last answer with it.
    async fn linger(&mut self, _permit: ClosePermit) {
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
