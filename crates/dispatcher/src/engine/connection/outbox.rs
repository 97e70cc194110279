//! Queue of the messages to write on one connection. A request is written only with a permit of the guard; the permit
//! carries the attempt's time limit.

use crate::engine::protocol::{Command, RequestFields};
use crate::guard::BeginPermit;
use crate::ids::AttemptId;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// Estimated size (bytes) of a request's head and line ends, before it is encoded.
const REQUEST_HEAD_BYTES: usize = 96;

/// An attempt's request.
#[derive(Debug)]
struct Request {
    id: Rc<str>,
    fields: RequestFields,
    statement: Rc<[u8]>,
    /// The bytes before the statement. They contain the attempt's time limit, so they are empty until the request has a
    /// permit.
    head: Vec<u8>,
}

impl Request {
    fn encode(&mut self, permit: &BeginPermit) {
        let statement_len = self.statement.len();
        self.fields
            .encode_head(&mut self.head, &self.id, permit.limit_ms(), statement_len);
    }

    fn has_permit(&self) -> bool {
        !self.head.is_empty()
    }
}

/// A message to the engine.
#[derive(Debug)]
enum Message {
    /// A health check.
    HealthCheck(Vec<u8>),
    /// A command about an attempt in flight.
    Command(AttemptId, Vec<u8>),
    /// The last command about an attempt.
    LastCommand(Vec<u8>),
    Request(Request),
}

impl Message {
    fn request(&self) -> Option<&Request> {
        match self {
            Message::Request(request) => Some(request),
            _ => None,
        }
    }

    /// Whether the message is a command about this attempt in flight.
    fn is_command_about(&self, attempt: AttemptId) -> bool {
        matches!(self, Message::Command(about, _) if *about == attempt)
    }

    /// Bytes to write; empty for a request without a permit.
    fn slices(&self) -> [&[u8]; 3] {
        match self {
            Message::HealthCheck(bytes)
            | Message::Command(_, bytes)
            | Message::LastCommand(bytes) => [bytes, b"", b""],
            Message::Request(request) if request.has_permit() => {
                [&request.head, &request.statement, b"\r\n"]
            }
            Message::Request(_) => [b"", b"", b""],
        }
    }

    fn len(&self) -> usize {
        self.slices().iter().map(|slice| slice.len()).sum()
    }

    fn waits_for_permit(&self) -> bool {
        self.request().is_some_and(|request| !request.has_permit())
    }

    /// Size (bytes) of the message in [`Outbox::bytes`]. For a request, an estimate that does not depend on its permit.
    fn held_bytes(&self) -> usize {
        match self {
            Message::HealthCheck(bytes)
            | Message::Command(_, bytes)
            | Message::LastCommand(bytes) => bytes.len(),
            Message::Request(request) => request.statement.len() + REQUEST_HEAD_BYTES,
        }
    }

    fn is_request_of(&self, id: &str) -> bool {
        self.request().is_some_and(|request| &*request.id == id)
    }
}

/// Write state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// No byte was written.
    NotStarted,
    /// Some bytes were written: the connection is unusable unless the rest is written.
    PartlyWritten,
    /// All bytes were written: the engine may have received them.
    Written,
}

/// Queued messages, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: VecDeque<Message>,
    /// Size (bytes) of all messages, including the written part of the first.
    bytes: usize,
    /// Number of written bytes of the first message.
    front_written_bytes: usize,
}

impl Outbox {
    /// Queues a request. It is not written before [`Outbox::begin`].
    pub fn push_request(&mut self, id: &Rc<str>, fields: RequestFields, statement: Rc<[u8]>) {
        self.push(Message::Request(Request {
            id: id.clone(),
            fields,
            statement,
            head: Vec::new(),
        }));
    }

    /// Queues a health check.
    pub fn push_health_check(&mut self, command: &Command) {
        self.push(Message::HealthCheck(command.encode()));
    }

    /// Queues a command about an attempt in flight.
    pub fn push_command(&mut self, attempt: AttemptId, command: &Command) {
        self.push(Message::Command(attempt, command.encode()));
    }

    /// Queues the last command about an attempt.
    pub fn push_last_command(&mut self, command: &Command) {
        self.push(Message::LastCommand(command.encode()));
    }

    fn push(&mut self, message: Message) {
        self.bytes += message.held_bytes();
        self.messages.push_back(message);
    }

    /// Returns the query id of the next request to write; `None` if there is none, or while a request is partly
    /// written. Revokes an earlier permit of the returned request, because its time limit is out of date.
    pub fn next_to_begin(&mut self) -> Option<Rc<str>> {
        let is_front_started = self.front_written_bytes > 0;
        let mut messages = self.messages.iter_mut().enumerate();
        let (position, next) = messages.find_map(|(position, message)| match message {
            Message::Request(request) => Some((position, request)),
            _ => None,
        })?;
        if position == 0 && is_front_started {
            return None;
        }
        next.head.clear();
        Some(next.id.clone())
    }

    /// Number of unwritten bytes before the first byte of the next request.
    pub fn bytes_before_next_request(&self) -> usize {
        let mut bytes = 0;
        for (position, message) in self.messages.iter().enumerate() {
            let is_started = position == 0 && self.front_written_bytes > 0;
            if message.request().is_some() && !is_started {
                break;
            }
            bytes += message.len();
        }
        bytes.saturating_sub(self.front_written_bytes)
    }

    /// Releases a request for writing, with the time limit of its permit.
    pub fn begin(&mut self, id: &str, permit: &BeginPermit) {
        for message in &mut self.messages {
            match message {
                Message::Request(request) if &*request.id == id && !request.has_permit() => {
                    request.encode(permit);
                }
                _ => {}
            }
        }
    }

    /// Removes the request of an attempt if no byte of it was written. Returns its write state.
    pub fn withdraw(&mut self, id: &str) -> RequestState {
        let state = self.request_state(id);
        if state != RequestState::NotStarted {
            return state;
        }
        let position = self.position_of_request(id);
        if let Some(message) = position.and_then(|position| self.messages.remove(position)) {
            self.bytes -= message.held_bytes();
        }
        state
    }

    /// Write state of an attempt's request.
    pub fn request_state(&self, id: &str) -> RequestState {
        match self.position_of_request(id) {
            None => RequestState::Written,
            Some(0) if self.front_written_bytes > 0 => RequestState::PartlyWritten,
            Some(_) => RequestState::NotStarted,
        }
    }

    fn position_of_request(&self, id: &str) -> Option<usize> {
        self.messages
            .iter()
            .position(|message| message.is_request_of(id))
    }

    /// Query ids of the attempts whose requests have no byte written.
    pub fn unstarted_requests(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        let unstarted = self
            .messages
            .iter()
            .skip(usize::from(self.front_written_bytes > 0));
        unstarted.filter_map(|message| Some(message.request()?.id.clone()))
    }

    /// Drops the commands about an attempt in flight that have no byte written.
    pub fn discard_commands_about(&mut self, attempt: AttemptId) {
        let mut position = 0;
        let started_count = usize::from(self.front_written_bytes > 0);
        let bytes = &mut self.bytes;
        self.messages.retain(|message| {
            let is_dropped = position >= started_count && message.is_command_about(attempt);
            position += 1;
            if is_dropped {
                *bytes -= message.held_bytes();
            }
            !is_dropped
        });
    }

    /// Drops all messages except requests and a partly written message.
    pub fn discard_commands(&mut self) {
        let started_count = usize::from(self.front_written_bytes > 0);
        let mut kept = VecDeque::new();
        for (position, message) in std::mem::take(&mut self.messages).into_iter().enumerate() {
            if position < started_count || message.request().is_some() {
                kept.push_back(message);
            }
        }
        self.bytes = kept.iter().map(Message::held_bytes).sum();
        self.messages = kept;
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        self.messages.clear();
        self.bytes = 0;
        self.front_written_bytes = 0;
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Size (bytes) of the queued messages. A message counts in full until it is written completely.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends the bytes to write next, up to the first request without a permit, as `max` slices at most.
    pub fn slices<'a>(&'a self, out: &mut Vec<IoSlice<'a>>, max: usize) {
        let mut skip = self.front_written_bytes;
        let messages = self.messages.iter();
        let permitted = messages.take_while(|message| !message.waits_for_permit());
        for slice in permitted.flat_map(Message::slices) {
            let unwritten = &slice[skip.min(slice.len())..];
            skip -= slice.len() - unwritten.len();
            if !unwritten.is_empty() && out.len() < max {
                out.push(IoSlice::new(unwritten));
            }
        }
    }

    /// Records that `count` more bytes were written. Returns the number of last commands that these bytes complete.
    pub fn advance(&mut self, count: usize) -> usize {
        let mut last_command_count = 0;
        self.front_written_bytes += count;
        while let Some(front) = self.messages.front() {
            let length = front.len();
            if front.waits_for_permit() || length > self.front_written_bytes {
                break;
            }
            self.front_written_bytes -= length;
            self.bytes -= front.held_bytes();
            last_command_count += usize::from(matches!(front, Message::LastCommand(_)));
            self.messages.pop_front();
        }
        last_command_count
    }
}
