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
use super::request::ParsedRequest;
use super::request_error::RequestError;
use super::route::Route;
use super::ClientFrontend;
use crate::close_reason::ClientCloseReason;
use crate::guard::{AnswerPermit, ConnectionLedger, Violation};
use crate::query_registry::{AdmittedQuery, Answer};
use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::io;
use std::net::TcpStream;
use std::ops::ControlFlow;

/// How a connection ends.
enum ConnectionEnd {
    /// The client has disconnected: no answer is owed.
    Disconnected,
    /// This side half-closes the connection, and discards the bytes that the client still sends.
    HalfClose(ClientCloseReason),
}

/// The result of handling a complete request.
enum Handled {
    /// A query was admitted.
    Query(AdmittedQuery),
    /// A status page was sent.
    Answered,
    /// The request is refused; the error is not sent yet.
    Refused(RequestError),
}

/// A client connection.
pub struct Session<'a> {
    frontend: &'a ClientFrontend,
    stream: &'a Async<TcpStream>,
    entry: &'a Entry,
    inbound: Inbound<'a>,
    ledger: RefCell<ConnectionLedger>,
}

impl<'a> Session<'a> {
    /// The session of a new connection.
    pub fn new(
        frontend: &'a ClientFrontend,
        stream: &'a Async<TcpStream>,
        entry: &'a Entry,
    ) -> Self {
        Session {
            frontend,
            stream,
            entry,
            inbound: Inbound::new(frontend, stream, entry),
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
        let _ = self.stream.get_ref().set_nodelay(true);
        loop {
            let buffer = self.inbound.buffer();
            let step = match http::parse(buffer.bytes()) {
                Ok(Some(head)) if head.request_len() <= buffer.len() => {
                    let request_len = head.request_len();
                    let keep_alive = head.keep_alive;
                    let recorded = self.ledger.borrow_mut().on_request();
                    recorded.unwrap_or_else(|violation| self.report_violation(violation));
                    let handled = self.handle(&head).await?;
                    self.finish(handled, request_len, keep_alive).await?
                }
                Ok(_) => self.read_more().await?,
                Err(error) => self.refuse(error).await?,
            };
            if let ControlFlow::Break(end) = step {
                return Ok(end);
            }
        }
    }

    fn writer(&self) -> AnswerWriter<'_> {
        AnswerWriter {
            stream: self.stream,
            counters: &self.frontend.registry.counters,
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
        self.writer().error(permit, error, retry_after_ms).await?;
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

    /// Admits a request's query, or answers a request for a status page.
    async fn handle(&self, head: &Head<'_>) -> io::Result<Handled> {
        self.entry
            .set_state(ConnectionState::Active, self.inbound.last_byte_ms());
        let frontend = self.frontend;
        let pages = &frontend.pages;
        let is_statements_path = |path: &str| pages.classifier.is_path(path);
        let (status, body) = match Route::of(head.method, head.path, is_statements_path) {
            Route::Query => match self.admit(head) {
                Ok(query) => return Ok(Handled::Query(query)),
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

    /// Admits the query of a complete request.
    fn admit(&self, head: &Head<'_>) -> Result<AdmittedQuery, RequestError> {
        let frontend = self.frontend;
        let buffer = self.inbound.buffer();
        let body = &buffer.bytes()[head.head_len..head.request_len()];
        // Arrival of this request's last byte: bytes of the next request may have arrived since.
        let received_ms = buffer.arrived_ms(head.request_len());
        let received_ms = received_ms.unwrap_or(self.inbound.last_byte_ms());
        let parsed = ParsedRequest::parse(&frontend.limits, head, body, received_ms)?;
        let analysis = parsed.classify(&frontend.pages.classifier);
        let query = parsed.into_query(&frontend.limits, analysis.as_ref())?;
        Ok(frontend.registry.admit(&query)?)
    }

    /// Completes a request: waits for the answer of a query and writes it, and prepares for the next request if the
    /// connection stays open.
    async fn finish(
        &mut self,
        handled: Handled,
        request_len: usize,
        mut keep_alive: bool,
    ) -> io::Result<ControlFlow<ConnectionEnd>> {
        match handled {
            Handled::Query(query) => {
                self.inbound.consume(request_len);
                let Some(answer) = self.wait_for_answer(&query).await else {
                    self.ledger.borrow_mut().on_client_disconnected();
                    return Ok(ControlFlow::Break(ConnectionEnd::Disconnected));
                };
                let is_closing = self.frontend.phase.get().is_closing();
                let is_last = is_closing && self.inbound.buffer().is_empty();
                keep_alive &= !is_last;
                let permit = self.answer_permit()?;
                self.writer().answer(permit, answer, keep_alive).await?;
            }
            Handled::Answered => self.inbound.consume(request_len),
            Handled::Refused(error) => return self.refuse(error).await,
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

    /// Waits for the answer of a query. Returns `None` if the client disconnects first.
    async fn wait_for_answer(&mut self, query: &AdmittedQuery) -> Option<Answer> {
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
