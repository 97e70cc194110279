//! A client connection from its accept to its close. Requests are handled one at a time: each is answered before the
//! next is parsed.
//!
//! The state of the connection is in its [`Entry`] of the connection table: `New` until a request is complete, `Active`
//! while it is answered, `Idle` until the next one is complete, `Closing` once the connection is half-closed. Start
//! reading at [`Session::run`].

use super::answer_writer::AnswerWriter;
use super::connection_table::{ConnectionState, Entry};
use super::http::{self, Head};
use super::inbound::{Inbound, ReadOutcome};
use super::protocol::Status;
use super::reader::ReadBuffer;
use super::receive_half::ReceiveHalf;
use super::request::ParsedRequest;
use super::request_error::RequestError;
use super::route::Route;
use super::ClientFrontend;
use crate::close_reason::ClientCloseReason;
use crate::guard::{AnswerPermit, ConnectionLedger, Violation};
use crate::query_registry::{AdmissionError, AdmittedQuery, Answer};
use futures_lite::future;
use std::cell::RefCell;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;

/// How a connection ends.
enum ConnectionEnd {
    /// The client has disconnected: no answer is owed.
    Disconnected,
    /// This side half-closes the connection, and discards the bytes that the client still sends.
    HalfClose(ClientCloseReason),
}

/// The result of handling the bytes at the start of the buffer.
enum Next {
    /// They are not a complete request yet.
    Incomplete,
    /// They cannot become a request.
    Malformed(RequestError),
    /// They begin with a complete request.
    Request(HandledRequest),
}

impl Next {
    /// Whether a query was not admitted because its client's presence is unknown.
    fn is_client_unknown(&self) -> bool {
        matches!(self, Next::Request(request) if matches!(request.handled, Handled::ClientUnknown))
    }
}

/// A complete request that was handled. It is still at the start of the buffer, and not answered.
struct HandledRequest {
    handled: Handled,
    request_len: usize,
    keep_alive: bool,
}

/// The result of handling a complete request.
enum Handled {
    /// A query was admitted.
    Query(AdmittedQuery),
    /// A status page is requested.
    Page { status: Status, body: String },
    /// The service levels are requested.
    LevelsPage {
        /// The version that the client has: it waits for a different one.
        after: Option<String>,
    },
    /// The request is refused, and the connection closes.
    Refused(RequestError),
    /// A query was not admitted, because its client may have disconnected behind bytes that are not read.
    ClientUnknown,
    /// A query was not admitted, because its client has disconnected.
    ClientDisconnected,
}

impl Handled {
    /// How a request is handled whose query the registry does not admit.
    fn not_admitted(error: AdmissionError) -> Self {
        match error {
            AdmissionError::ClientUnknown => Handled::ClientUnknown,
            AdmissionError::ClientDisconnected => Handled::ClientDisconnected,
            AdmissionError::InFlight => Handled::Refused(RequestError::InFlight),
            AdmissionError::AlreadySubmitted => Handled::Refused(RequestError::AlreadySubmitted),
            AdmissionError::Overloaded => Handled::Refused(RequestError::Overloaded),
        }
    }
}

/// A client connection.
pub struct Session<'a> {
    frontend: &'a ClientFrontend,
    receive_half: Rc<ReceiveHalf>,
    entry: &'a Entry,
    inbound: Inbound<'a>,
    ledger: RefCell<ConnectionLedger>,
}

impl<'a> Session<'a> {
    /// The session of a new connection. It owns the connection, which is closed when the session ends.
    pub fn new(
        frontend: &'a ClientFrontend,
        receive_half: Rc<ReceiveHalf>,
        entry: &'a Entry,
    ) -> Self {
        Session {
            frontend,
            inbound: Inbound::new(frontend, receive_half.clone(), entry),
            receive_half,
            entry,
            ledger: RefCell::default(),
        }
    }

    /// Serves the connection until it ends.
    pub async fn run(mut self) {
        let number = self.entry.number();
        let reason = match self.serve().await {
            Ok(ConnectionEnd::HalfClose(reason)) => {
                let permit = self.ledger.borrow().may_close();
                match permit {
                    Ok(permit) => self.inbound.linger(permit).await,
                    Err(violation) => self.report_violation(violation),
                }
                reason
            }
            Ok(ConnectionEnd::Disconnected) => ClientCloseReason::ByClient,
            Err(error) => {
                tracing::info!(connection = number, %error, "client connection failed");
                ClientCloseReason::Failed
            }
        };
        let counters = &self.frontend.registry.counters;
        counters.count_client_close(reason);
        tracing::debug!(connection = number, %reason, "client connection closed");
    }

    async fn serve(&mut self) -> io::Result<ConnectionEnd> {
        // The error is ignored: without TCP_NODELAY only latency increases, and a broken connection is detected at the
        // next read.
        let _ = self.receive_half.stream().get_ref().set_nodelay(true);
        loop {
            let step = match self.next_request().await {
                Next::Request(request) => {
                    let recorded = self.ledger.borrow_mut().on_request();
                    recorded.unwrap_or_else(|violation| self.report_violation(violation));
                    self.finish(request).await?
                }
                Next::Incomplete => self.read_more().await?,
                Next::Malformed(error) => self.refuse(error).await?,
            };
            if let ControlFlow::Break(end) = step {
                return Ok(end);
            }
        }
    }

    /// Handles the next request, once its client's presence is known or cannot become known.
    async fn next_request(&self) -> Next {
        loop {
            let next = self.handle_received();
            if !next.is_client_unknown() || !self.receive_half.settle().await {
                return next;
            }
            // More bytes may have arrived since the presence was known. They fill the buffer in the end.
            future::yield_now().await;
        }
    }

    /// Handles the bytes that are received.
    fn handle_received(&self) -> Next {
        let buffer = self.receive_half.buffer();
        match http::parse(buffer.bytes()) {
            Ok(Some(head)) if head.request_len() <= buffer.len() => Next::Request(HandledRequest {
                handled: self.handle(&head, &buffer),
                request_len: head.request_len(),
                keep_alive: head.keep_alive,
            }),
            Ok(_) => Next::Incomplete,
            Err(error) => Next::Malformed(error),
        }
    }

    fn writer(&self) -> AnswerWriter<'_> {
        AnswerWriter {
            stream: self.receive_half.stream(),
            counters: &self.frontend.registry.counters,
            answer_memory: &self.frontend.registry.answer_memory,
        }
    }

    fn report_violation(&self, violation: Violation) {
        self.frontend.registry.report_violation(violation, None);
    }

    /// The permit to answer the request that is being handled.
    fn answer_permit(&self) -> io::Result<AnswerPermit> {
        let permit = self.ledger.borrow_mut().may_answer();
        permit.map_err(|violation| {
            self.report_violation(violation);
            io::Error::other(violation.description)
        })
    }

    fn now_ms(&self) -> f64 {
        self.frontend.clock.now()
    }

    /// Answers a request with an error, and ends the connection: no further bytes are parsed as a request.
    async fn refuse(&self, error: RequestError) -> io::Result<ControlFlow<ConnectionEnd>> {
        let retry_after_ms = self.frontend.limits.retry_after_ms;
        let permit = self.ledger.borrow_mut().may_refuse();
        self.writer()
            .error(permit, error, retry_after_ms, false)
            .await?;
        let end = ConnectionEnd::HalfClose(ClientCloseReason::Refused);
        Ok(ControlFlow::Break(end))
    }

    /// Waits for more bytes of a request.
    async fn read_more(&mut self) -> io::Result<ControlFlow<ConnectionEnd>> {
        match self.inbound.read_more().await? {
            ReadOutcome::Continue => Ok(ControlFlow::Continue(())),
            ReadOutcome::Disconnected => Ok(ControlFlow::Break(ConnectionEnd::Disconnected)),
            ReadOutcome::Close(reason) => Ok(ControlFlow::Break(ConnectionEnd::HalfClose(reason))),
            ReadOutcome::Refuse(error) => self.refuse(error).await,
        }
    }

    // ---- Answering a request ----

    /// Admits a request's query, or prepares the answer of a request for a status page.
    fn handle(&self, head: &Head<'_>, buffer: &ReadBuffer) -> Handled {
        self.entry
            .set_state(ConnectionState::Active, self.receive_half.last_byte_ms());
        let frontend = self.frontend;
        let pages = &frontend.pages;
        let is_statements_path = |path: &str| pages.classifier.is_path(path);
        let (status, body) = match Route::of(head.method, head.path, is_statements_path) {
            Route::Query => return self.admit(head, buffer),
            Route::Unknown => return Handled::Refused(RequestError::Unknown),
            Route::Levels { after } => {
                let after = after.map(str::to_owned);
                return Handled::LevelsPage { after };
            }
            Route::Health if frontend.phase.get().is_healthy() => (Status::Ok, "{}".to_owned()),
            Route::Health => (Status::ServiceUnavailable, "{}".to_owned()),
            Route::Counters => (Status::Ok, pages.counters()),
            Route::Zones => (Status::Ok, pages.zones()),
            Route::MethodNotAllowed => (Status::MethodNotAllowed, "{}".to_owned()),
        };
        Handled::Page { status, body }
    }

    /// Admits the query of a complete request.
    fn admit(&self, head: &Head<'_>, buffer: &ReadBuffer) -> Handled {
        self.receive_half.set_request_len(head.request_len());
        match self.try_admit(head, buffer) {
            Ok(query) => Handled::Query(query),
            Err(not_admitted) => not_admitted,
        }
    }

    /// Parses the query of a complete request, and passes it to the registry.
    ///
    /// # Errors
    /// The query is not admitted; the error says how the request is handled.
    fn try_admit(&self, head: &Head<'_>, buffer: &ReadBuffer) -> Result<AdmittedQuery, Handled> {
        let frontend = self.frontend;
        let body = &buffer.bytes()[head.head_len..head.request_len()];
        // Arrival of this request's last byte: bytes of the next request may have arrived since.
        let received_ms = buffer.arrived_ms(head.request_len());
        let received_ms = received_ms.unwrap_or(self.receive_half.last_byte_ms());
        let parsed = ParsedRequest::parse(&frontend.limits, head, body, received_ms);
        let parsed = parsed.map_err(Handled::Refused)?;
        let analysis = parsed.classify(&frontend.pages.classifier);
        let query = parsed.into_query(&frontend.limits, analysis.as_ref());
        let query = query.map_err(Handled::Refused)?;
        let client = self.receive_half.client();
        let admitted = frontend.registry.admit(&query, client);
        admitted.map_err(Handled::not_admitted)
    }

    /// Completes a request: waits for the answer of a query and writes it, and prepares for the next request if the
    /// connection stays open.
    async fn finish(&mut self, request: HandledRequest) -> io::Result<ControlFlow<ConnectionEnd>> {
        let HandledRequest {
            handled,
            request_len,
            mut keep_alive,
        } = request;
        match handled {
            Handled::Refused(error) => return self.refuse(error).await,
            Handled::ClientDisconnected => return Ok(self.end_disconnected()),
            Handled::Query(query) => {
                self.receive_half.consume(request_len);
                let Some(answer) = self.wait_for_answer(&query).await else {
                    return Ok(self.end_disconnected());
                };
                keep_alive &= !self.is_last_answer();
                let permit = self.answer_permit()?;
                self.writer().answer(permit, answer, keep_alive).await?;
            }
            Handled::ClientUnknown => {
                self.receive_half.consume(request_len);
                keep_alive &= !self.is_last_answer();
                self.reject_unread(keep_alive).await?;
            }
            Handled::Page { status, body } => {
                self.receive_half.consume(request_len);
                let permit = self.answer_permit()?;
                self.writer()
                    .json(permit, status, &body, keep_alive)
                    .await?;
            }
            Handled::LevelsPage { after } => {
                self.receive_half.consume(request_len);
                let frontend = self.frontend;
                let pages = &frontend.pages;
                let body = pages.levels(after.as_deref(), &frontend.phase).await;
                let permit = self.answer_permit()?;
                self.writer()
                    .json(permit, Status::Ok, &body, keep_alive)
                    .await?;
            }
        }
        if !keep_alive {
            return Ok(ControlFlow::Break(ConnectionEnd::HalfClose(
                ClientCloseReason::AfterAnswer,
            )));
        }
        // Keeps a client that sends many requests at once from starving others.
        future::yield_now().await;
        self.inbound.begin_next_request();
        self.entry.set_state(ConnectionState::Idle, self.now_ms());
        Ok(ControlFlow::Continue(()))
    }

    /// Ends the connection of a client that has disconnected.
    fn end_disconnected(&self) -> ControlFlow<ConnectionEnd> {
        self.ledger.borrow_mut().on_client_disconnected();
        ControlFlow::Break(ConnectionEnd::Disconnected)
    }

    /// Whether the connection closes after the answer that is about to be written, because the program is shutting down
    /// and no further request has begun to arrive.
    fn is_last_answer(&self) -> bool {
        self.frontend.phase.get().is_closing() && self.receive_half.buffer().is_empty()
    }

    /// Rejects a query that was not admitted because its client's presence is unknown. The client may retry. The requests
    /// behind it are handled next.
    async fn reject_unread(&self, keep_alive: bool) -> io::Result<()> {
        let counters = &self.frontend.registry.counters;
        counters.rejected_behind_unread.increment();
        tracing::debug!(
            connection = self.entry.number(),
            "query rejected: the client may have closed the connection behind unread bytes"
        );
        let retry_after_ms = self.frontend.limits.retry_after_ms;
        let permit = self.answer_permit()?;
        self.writer()
            .error(permit, RequestError::Overloaded, retry_after_ms, keep_alive)
            .await
    }

    /// Waits for the answer of a query. Returns `None` if the client disconnects first.
    async fn wait_for_answer(&self, query: &AdmittedQuery) -> Option<Answer> {
        let answered = async { Some(query.slot.answered().await) };
        let client_disconnected = async {
            self.inbound.wait_for_disconnect().await;
            None
        };
        let answer = future::or(answered, client_disconnected).await;
        if answer.is_none() {
            self.frontend.registry.client_disconnected(query.query_id);
        }
        answer
    }
}
