//! The task of one connection: connect, read and write until it closes, then report the attempts lost with it.
//!
//! [`Connection`] holds the state and does no I/O; this module owns the socket.

use super::connect::LocalFault;
use super::connection::{Attempt, CloseReason, Connection, ConnectionState, FrameEvent};
use super::keep_alive::{ReuseOutcome, MIN_IDLE_MS};
use super::pool::EnginePool;
use super::protocol_error::ProtocolError;
use super::reports::AttemptReport;
use super::resp::{self, Frame};
use crate::close_reason::EngineClose;
use crate::net::{
    is_lack_of_buffers, limit_unsent_bytes, poll_gathered, read_available, MAX_SLICES,
    RESOURCE_RETRY_DELAY,
};
use crate::notify::Notify;
use crate::query_registry::{Event, Pages};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll};
use tansymux::events::Outcome;
use thiserror::Error;

/// The process that a connection leads to, as the list had it when the connection was opened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EngineProcess {
    pub address: Option<SocketAddr>,
    pub started_ms: Option<f64>,
}

/// A connection and the wake-up of its writer.
pub(super) struct Channel {
    /// Its id in the log.
    pub number: u64,
    pub engine_id: u64,
    pub process: EngineProcess,
    pub connection: RefCell<Connection>,
    /// Notified when there may be something to write or a reason to close.
    pub notify: Notify,
    /// It may hold a descriptor.
    has_descriptor: Cell<bool>,
    descriptor_granted: Notify,
    /// Why it can't connect at the moment, where the reason is on this machine.
    pub local_fault: Cell<Option<LocalFault>>,
}

impl Channel {
    /// A connection whose connect is about to begin.
    pub fn new(number: u64, engine_id: u64, process: EngineProcess, now_ms: f64) -> Self {
        Channel {
            number,
            engine_id,
            process,
            connection: RefCell::new(Connection::new(now_ms)),
            notify: Notify::default(),
            has_descriptor: Cell::new(false),
            descriptor_granted: Notify::default(),
            local_fault: Cell::new(Some(LocalFault::DescriptorLimit)),
        }
    }

    /// From now on it may hold a descriptor.
    pub fn grant_descriptor(&self) {
        self.has_descriptor.set(true);
        self.local_fault.set(None);
        self.descriptor_granted.notify();
    }

    /// Whether it holds a descriptor, or may open one.
    pub fn has_descriptor(&self) -> bool {
        self.has_descriptor.get()
    }

    /// Returns once it may hold a descriptor.
    pub async fn wait_for_descriptor(&self) {
        while !self.has_descriptor() {
            self.descriptor_granted.notified().await;
        }
    }

    /// Takes no new attempts; closes when nothing is in flight.
    pub fn retire(&self) {
        self.connection.borrow_mut().retired = true;
        self.notify.notify();
    }
}

/// Why a connection ended, other than retired or closed by the engine.
#[derive(Debug, Error)]
pub(super) enum ChannelError {
    #[error(transparent)]
    Closed(#[from] CloseReason),
    #[error("connect timeout")]
    ConnectTimeout,
    #[error("{0}")]
    Local(LocalFault),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<ProtocolError> for ChannelError {
    fn from(error: ProtocolError) -> Self {
        ChannelError::Closed(CloseReason::Protocol(error))
    }
}

impl ChannelError {
    fn is_protocol_error(&self) -> bool {
        matches!(self, ChannelError::Closed(CloseReason::Protocol(_)))
    }

    fn close(&self) -> EngineClose {
        match self {
            ChannelError::Closed(CloseReason::Protocol(_)) => EngineClose::Protocol,
            ChannelError::Closed(CloseReason::RequestPartlyWritten) => EngineClose::HalfWritten,
            ChannelError::Closed(CloseReason::EngineUnreachable) => EngineClose::Unreachable,
            ChannelError::Closed(CloseReason::ForgottenByEngine) => EngineClose::Forgotten,
            ChannelError::ConnectTimeout => EngineClose::ConnectTimeout,
            ChannelError::Local(_) => EngineClose::LocalFault,
            ChannelError::Io(_) => EngineClose::Failed,
        }
    }

    /// Closed by this side: its attempts count as abandoned.
    fn is_local(&self) -> bool {
        match self {
            ChannelError::Closed(_) => true,
            ChannelError::ConnectTimeout | ChannelError::Local(_) => false,
            ChannelError::Io(error) => error.kind() == io::ErrorKind::NotConnected,
        }
    }
}

/// Result of one step of the writer.
enum WriteStep {
    /// The connection is retired and nothing is left to write: close it.
    Done,
    /// This many bytes were written.
    Wrote(usize),
}

/// What the end of a connection means for its attempts in flight.
struct Loss {
    was_up: bool,
    /// This side closed it: its attempts are abandoned, and their reports are delayed.
    is_abandoned: bool,
    /// The outcome of the next attempt that may have run.
    next_outcome: Outcome,
    /// The outcome of attempts that cannot have run.
    unsent_outcome: Outcome,
}

impl Loss {
    /// The outcome of the next attempt. Only the first one that may have run counts against the engine: one lost
    /// connection is one failure, however many attempts were in flight.
    fn outcome(&mut self, was_sent: bool) -> Outcome {
        if self.was_up && was_sent {
            std::mem::replace(&mut self.next_outcome, Outcome::Cancelled)
        } else {
            self.unsent_outcome
        }
    }
}

impl EnginePool {
    /// Runs a connection from its connect to its end.
    pub(super) async fn run_channel(self: Rc<Self>, channel: Rc<Channel>, address: SocketAddr) {
        let result = self.serve_channel(&channel, address).await;
        self.close_channel(&channel, result.as_ref().err());
    }

    async fn serve_channel(
        self: &Rc<Self>,
        channel: &Rc<Channel>,
        address: SocketAddr,
    ) -> Result<(), ChannelError> {
        let stream = self.connect(channel, address).await?;
        self.on_connected(channel);
        // A failure only costs latency: small requests would wait for the acknowledgement of the one before.
        let _ = stream.get_ref().set_nodelay(true);
        limit_unsent_bytes(stream.get_ref());
        future::or(self.read(channel, &stream), self.write(channel, &stream)).await
    }

    // ---- Writing ----

    /// Writes the outbox until the connection is retired and nothing is in flight.
    async fn write(
        &self,
        channel: &Channel,
        stream: &Async<TcpStream>,
    ) -> Result<(), ChannelError> {
        loop {
            match future::poll_fn(|context| self.poll_write(channel, stream, context)).await {
                Ok(WriteStep::Done) => return Ok(()),
                Ok(WriteStep::Wrote(0)) => {
                    return Err(io::Error::from(io::ErrorKind::WriteZero).into());
                }
                Ok(WriteStep::Wrote(count)) => channel.connection.borrow_mut().advance(count),
                Err(ChannelError::Io(error)) if is_lack_of_buffers(&error) => {
                    tracing::debug!(%error, "write failed for now");
                    Timer::after(RESOURCE_RETRY_DELAY).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn poll_write(
        &self,
        channel: &Channel,
        stream: &Async<TcpStream>,
        context: &mut Context,
    ) -> Poll<Result<WriteStep, ChannelError>> {
        while channel.notify.poll_notified(context).is_ready() {}
        // Last check before a request's first byte: none is started after its `start_by_ms`.
        let too_late: Vec<Rc<str>> = channel
            .connection
            .borrow()
            .too_late_to_begin(self.clock.now())
            .collect();
        for id in &too_late {
            self.abandon(channel, id, Outcome::Timeout);
        }
        let begins = self.begin_next(channel);
        let connection = channel.connection.borrow();
        if let Some(reason) = connection.close_reason {
            return Poll::Ready(Err(reason.into()));
        }
        if !connection.has_unwritten() {
            let is_done = connection.retired && connection.in_flight() == 0;
            return if is_done {
                Poll::Ready(Ok(WriteStep::Done))
            } else {
                Poll::Pending
            };
        }
        let mut slices: Vec<IoSlice> = Vec::with_capacity(MAX_SLICES);
        connection.slices(&mut slices, MAX_SLICES);
        let written = poll_gathered(stream, context, &slices);
        if let (Poll::Ready(Ok(1..)), Some(begun)) = (&written, begins) {
            self.registry.on_attempt_begun(&begun, self.clock.now());
        }
        written.map_ok(WriteStep::Wrote).map_err(ChannelError::Io)
    }

    // ---- Reading ----

    async fn read(&self, channel: &Channel, stream: &Async<TcpStream>) -> Result<(), ChannelError> {
        let mut inbox = Vec::new();
        loop {
            let count = self.receive(stream, &mut inbox).await?;
            if count == 0 {
                return Ok(());
            }
            // Keeps an engine that sends without pause from starving other tasks.
            future::yield_now().await;
            self.handle_frames(channel, &mut inbox)?;
            let now_ms = self.clock.now();
            let mut connection = channel.connection.borrow_mut();
            connection.partial_frame_since_ms = (!inbox.is_empty()).then_some(now_ms);
            if connection.has_unwritten() || connection.retired {
                channel.notify.notify();
            }
        }
    }

    /// Appends received bytes to `inbox` and returns their number, 0 at the end of the stream.
    async fn receive(&self, stream: &Async<TcpStream>, inbox: &mut Vec<u8>) -> io::Result<usize> {
        let mut read = |mut stream: &TcpStream| {
            let mut buffer = self.read_buffer.borrow_mut();
            let count = stream.read(&mut buffer[..])?;
            inbox.extend_from_slice(&buffer[..count]);
            Ok(count)
        };
        read_available(stream, |stream| read(stream)).await
    }

    /// Handles and removes the complete frames at the start of `inbox`.
    fn handle_frames(&self, channel: &Channel, inbox: &mut Vec<u8>) -> Result<(), ProtocolError> {
        let mut handled = 0;
        while let Some(frame) = resp::parse(&inbox[handled..])? {
            handled += frame.size;
            self.handle_frame(channel, &frame)?;
        }
        inbox.drain(..handled);
        if inbox.is_empty() {
            // Frees the buffer: idle connections hold no memory.
            *inbox = Vec::new();
        }
        Ok(())
    }

    fn handle_frame(&self, channel: &Channel, frame: &Frame) -> Result<(), ProtocolError> {
        let now_ms = self.clock.now();
        let mut connection = channel.connection.borrow_mut();
        if let Some(reuse) = connection.idle_reuse.take() {
            let mut keep_alive = self.keep_alive.borrow_mut();
            keep_alive.record(now_ms, reuse.idle_ms, ReuseOutcome::Answered);
        }
        let event = connection.receive(frame, now_ms)?;
        drop(connection);
        self.on_frame(channel.engine_id, now_ms);
        match event {
            FrameEvent::AttemptEnded {
                query_id,
                attempt,
                outcome,
                sent_ms,
                pages,
            } => self.report_ended(AttemptReport {
                query_id,
                attempt,
                outcome,
                engine_id: channel.engine_id,
                latency_ms: now_ms - sent_ms,
                pages,
            }),
            FrameEvent::Progress {
                query_id,
                attempt,
                note,
            } => self.registry.push_event(Event::ProgressReported {
                query_id,
                attempt,
                kind: note.kind,
                amount: note.amount,
            }),
            FrameEvent::HealthChecked(outcome) => self.report_health(channel.engine_id, outcome, 1),
            FrameEvent::Ignored => {}
        }
        Ok(())
    }

    // ---- The end ----

    /// Reports the attempts lost with the connection: one whose request was written whole may have run, any other
    /// cannot have.
    fn close_channel(&self, channel: &Rc<Channel>, error: Option<&ChannelError>) {
        let now_ms = self.clock.now();
        self.remove_channel(channel);
        let mut connection = channel.connection.borrow_mut();
        let was_up = connection.state == ConnectionState::Up;
        connection.state = ConnectionState::Closed;
        let mut attempts: Vec<(Rc<str>, Attempt)> = connection.attempts.drain().collect();
        attempts.sort_by_key(|(_, attempt)| attempt.query_id);
        let health_checks = std::mem::take(&mut connection.health_checks).len();
        self.note_close(channel, &connection, error, attempts.len());
        let is_protocol_error = error.is_some_and(ChannelError::is_protocol_error);
        let is_local = error.is_some_and(ChannelError::is_local);
        let is_local_fault = matches!(error, Some(ChannelError::Local(_)));
        let mut loss = Loss {
            was_up,
            is_abandoned: is_protocol_error || was_up && is_local,
            next_outcome: Outcome::Reset,
            unsent_outcome: if is_local_fault {
                Outcome::Withdrawn
            } else {
                Outcome::NoConnection
            },
        };
        let side_effect_free_reuse = was_up && !loss.is_abandoned && !attempts.is_empty();
        if side_effect_free_reuse && self.note_lost_reuse(&connection, now_ms) {
            loss.next_outcome = Outcome::Cancelled;
        }
        for (id, attempt) in attempts {
            let was_sent = connection.is_fully_written(&id);
            let outcome = loss.outcome(was_sent);
            self.report_lost(channel.engine_id, &attempt, now_ms, outcome, &loss);
        }
        let outcome = if was_up {
            Outcome::Reset
        } else {
            Outcome::NoConnection
        };
        // A health check that never reached its engine tells nothing of it.
        if !is_local_fault {
            self.report_health(channel.engine_id, outcome, health_checks);
        }
    }

    fn report_lost(
        &self,
        engine_id: u64,
        attempt: &Attempt,
        now_ms: f64,
        outcome: Outcome,
        loss: &Loss,
    ) {
        let report = AttemptReport {
            query_id: attempt.query_id,
            attempt: attempt.number,
            outcome,
            engine_id,
            latency_ms: now_ms - attempt.sent_ms,
            pages: Pages::new(),
        };
        if loss.is_abandoned {
            self.report_abandoned(report);
        } else {
            self.report_ended(report);
        }
    }

    fn note_close(
        &self,
        channel: &Channel,
        connection: &Connection,
        error: Option<&ChannelError>,
        lost_attempts: usize,
    ) {
        let reason = match error {
            Some(error) => error.close(),
            None if connection.retired => EngineClose::Retired,
            None => EngineClose::ByEngine,
        };
        let engine_id = format_args!("{:08x}", channel.engine_id);
        let connection = channel.number;
        self.registry.counters.count_engine_close(reason);
        tracing::debug!(connection, %engine_id, %reason, lost_attempts, "engine connection closed");
        let Some(error) = error else {
            return;
        };
        if error.is_protocol_error() {
            self.registry.counters.protocol_errors.increment();
        }
        if lost_attempts > 0 {
            tracing::warn!(connection, %engine_id, lost_attempts, %error, "engine connection lost");
        }
    }

    /// Records a connection that ended as soon as it was reused after idling. The other end or a middlebox had closed
    /// it already, which says nothing about the engine's health. Returns whether that is the case here.
    fn note_lost_reuse(&self, connection: &Connection, now_ms: f64) -> bool {
        let Some(reuse) = connection.idle_reuse else {
            return false;
        };
        if now_ms - reuse.sent_ms >= MIN_IDLE_MS {
            return false;
        }
        let mut keep_alive = self.keep_alive.borrow_mut();
        keep_alive.record(now_ms, reuse.idle_ms, ReuseOutcome::Lost);
        self.registry.counters.idle_connections_lost.increment();
        true
    }
}
