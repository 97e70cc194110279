//! The messages queued on one connection, and how much of them is written.

use crate::engine::resp;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// A message to the engine: its head, and for a request the statement behind it.
#[derive(Debug)]
struct Message {
    head: Vec<u8>,
    body: Option<Rc<[u8]>>,
    /// The attempt's id if this is its request; `None` for commands about an attempt and for health checks.
    request_id: Option<Rc<str>>,
}

impl Message {
    fn slices(&self) -> [&[u8]; 3] {
        match &self.body {
            Some(body) => [&self.head, body, b"\r\n"],
            None => [&self.head, b"", b""],
        }
    }

    fn len(&self) -> usize {
        self.slices().iter().map(|slice| slice.len()).sum()
    }

    fn is_request_of(&self, id: &str) -> bool {
        self.request_id.as_deref() == Some(id)
    }
}

/// How much of a request was written when it was withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// Nothing, and nothing will be.
    NotStarted,
    /// Some of it: the connection cannot be used any more.
    PartlyWritten,
    /// All of it: the engine may have it.
    Written,
}

/// Queued messages, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    messages: VecDeque<Message>,
    /// Bytes of all messages, including the written part of the first.
    bytes: usize,
    /// Bytes of the first message that were written.
    written: usize,
}

impl Outbox {
    /// Queues a request: `elements` and the statement as the last element.
    pub fn push_request(&mut self, id: &Rc<str>, elements: &[&[u8]], statement: Rc<[u8]>) {
        self.push(elements, Some(statement), Some(id.clone()));
    }

    /// Queues a message without a statement.
    pub fn push_command(&mut self, elements: &[&[u8]]) {
        self.push(elements, None, None);
    }

    fn push(&mut self, elements: &[&[u8]], body: Option<Rc<[u8]>>, request_id: Option<Rc<str>>) {
        let mut head = Vec::with_capacity(128);
        resp::write(&mut head, elements, body.as_ref().map(|body| body.len()));
        let message = Message {
            head,
            body,
            request_id,
        };
        self.bytes += message.len();
        self.messages.push_back(message);
    }

    /// Removes the request of an attempt if no byte of it was written.
    pub fn withdraw(&mut self, id: &str) -> Withdrawal {
        let position = self
            .messages
            .iter()
            .position(|message| message.is_request_of(id));
        let Some(position) = position else {
            return Withdrawal::Written;
        };
        if position == 0 && self.written > 0 {
            return Withdrawal::PartlyWritten;
        }
        if let Some(message) = self.messages.remove(position) {
            self.bytes -= message.len();
        }
        Withdrawal::NotStarted
    }

    /// The attempts of whose requests no byte was written.
    pub fn unstarted_requests(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        let unstarted = self.messages.iter().skip(usize::from(self.written > 0));
        unstarted.filter_map(|message| message.request_id.clone())
    }

    /// Whether any part of the attempt's request is unwritten.
    pub fn holds_request(&self, id: &str) -> bool {
        self.messages
            .iter()
            .any(|message| message.is_request_of(id))
    }

    /// Drops everything but requests and a message that is partly written.
    pub fn discard_commands(&mut self) {
        let started = usize::from(self.written > 0);
        let mut kept = VecDeque::new();
        for (position, message) in std::mem::take(&mut self.messages).into_iter().enumerate() {
            if position < started || message.request_id.is_some() {
                kept.push_back(message);
            }
        }
        self.bytes = kept.iter().map(Message::len).sum();
        self.messages = kept;
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.messages.clear();
        self.bytes = 0;
        self.written = 0;
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Bytes held. A message counts until all of it is written.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends the bytes to write next, as `max` slices at most.
    pub fn slices<'a>(&'a self, out: &mut Vec<IoSlice<'a>>, max: usize) {
        let mut skip = self.written;
        for slice in self.messages.iter().flat_map(Message::slices) {
            let unwritten = &slice[skip.min(slice.len())..];
            skip -= slice.len() - unwritten.len();
            if !unwritten.is_empty() && out.len() < max {
                out.push(IoSlice::new(unwritten));
            }
        }
    }

    /// Records that `count` more bytes were written.
    pub fn advance(&mut self, count: usize) {
        self.written += count;
        while let Some(length) = self.messages.front().map(Message::len) {
            if length > self.written {
                break;
            }
            self.written -= length;
            self.bytes -= length;
            self.messages.pop_front();
        }
    }
}
