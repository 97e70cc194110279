//! The replies of an engine on one connection, with injected faults, and the results held for that connection.

use super::protocol::{Reply, NO_FIELDS};
use super::reply_faults::{LateReply, ReplyFault};
use super::{Engine, Fault};
use crate::wire::write_frame;
use rand::RngExt;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// The beginning of a frame, with an id that belongs to no query.
const NOISE: &[u8] = b"*4\r\n$16\r\n00000000000000ff\r\n$4\r\nDO";

/// A connection on which an engine replies.
#[derive(Clone)]
pub(super) struct ReplyChannel {
    engine: Engine,
    stream: Arc<Mutex<TcpStream>>,
    /// Pages of the results that have not been released, by query id.
    results: Arc<Mutex<HashMap<String, Vec<String>>>>,
}

impl ReplyChannel {
    /// Creates the channel of a connection.
    pub fn new(engine: Engine, stream: TcpStream) -> Self {
        ReplyChannel {
            engine,
            stream: Arc::new(Mutex::new(stream)),
            results: Arc::default(),
        }
    }

    fn stream(&self) -> MutexGuard<'_, TcpStream> {
        self.stream.lock().expect("the lock is not poisoned")
    }

    fn reply_fault(&self) -> Option<ReplyFault> {
        match self.engine.state().fault {
            Fault::Replies(fault) => Some(fault),
            _ => None,
        }
    }

    fn is_triggered(&self, fraction: f64) -> bool {
        ReplyFault::is_triggered(fraction, &mut self.engine.state().rng)
    }

    /// Returns whether the injected fault makes this request expire.
    pub fn injects_expiry(&self) -> bool {
        matches!(self.reply_fault(), Some(ReplyFault::Expires(fraction)) if self.is_triggered(fraction))
    }

    /// Half-closes the connection if the injected fault requires it.
    pub fn half_close_on_fault(&self) {
        if let Some(ReplyFault::HalfCloses(fraction)) = self.reply_fault() {
            if self.is_triggered(fraction) {
                let _ = self.stream().shutdown(Shutdown::Write);
            }
        }
    }

    /// Delays the next read if the injected fault requires it.
    pub fn pause_before_read(&self) {
        if self.reply_fault() == Some(ReplyFault::ReadsLate) {
            let delay = ReplyFault::read_delay(&mut self.engine.state().rng);
            thread::sleep(delay);
        }
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        let _ = self.stream().shutdown(Shutdown::Both);
    }

    /// Writes bytes that do not form a frame.
    pub fn write_malformed(&self, bytes: &[u8]) {
        let _ = self.stream().write_all(bytes);
    }

    /// Sends a reply, subject to the injected fault. Returns whether the connection stays open.
    pub fn send(&self, id: &str, reply: Reply, fields: &str, body: &str) -> bool {
        let fault = self.reply_fault();
        if let Some(ReplyFault::BreaksOff(fraction)) = fault {
            if self.is_triggered(fraction) {
                self.send_truncated(id, reply, fields, body);
                return false;
            }
        }
        let is_sent = self.write(id, reply, fields, body);
        let is_final = !matches!(reply, Reply::Progress | Reply::Healthy);
        match fault {
            Some(ReplyFault::Repeats) => {
                let delay = ReplyFault::late_reply_delay(&mut self.engine.state().rng);
                let (fields, body) = (fields.to_owned(), body.to_owned());
                let late = LateReply {
                    delay,
                    reply,
                    fields,
                    body,
                };
                self.send_late(id, late);
            }
            Some(ReplyFault::RepliesAfterFinal) if is_final => {
                let late = LateReply::draw(&mut self.engine.state().rng);
                self.send_late(id, late);
            }
            Some(ReplyFault::Noise(fraction)) if is_final && self.is_triggered(fraction) => {
                self.write_malformed(NOISE);
            }
            _ => {}
        }
        is_sent
    }

    fn write(&self, id: &str, reply: Reply, fields: &str, body: &str) -> bool {
        write_frame(&mut *self.stream(), &[id, reply.as_str(), fields, body])
    }

    /// Writes a random prefix of a reply and closes the connection.
    fn send_truncated(&self, id: &str, reply: Reply, fields: &str, body: &str) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, &[id, reply.as_str(), fields, body]);
        let prefix_len = self.engine.state().rng.random_range(0..bytes.len());
        self.write_malformed(&bytes[..prefix_len]);
        self.close();
    }

    fn send_late(&self, id: &str, late: LateReply) {
        let (channel, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(late.delay);
            channel.write(&id, late.reply, &late.fields, &late.body);
        });
    }

    // ---- Results ----

    fn results(&self) -> MutexGuard<'_, HashMap<String, Vec<String>>> {
        self.results.lock().expect("the lock is not poisoned")
    }

    /// Sends the first page of a result. A result of several pages is held until it is released.
    pub fn send_result(&self, id: &str, pages: Vec<String>) -> bool {
        let fields = format!("batches={}", pages.len());
        let first = pages[0].clone();
        if pages.len() > 1 {
            self.results().insert(id.to_owned(), pages);
        }
        self.send(id, Reply::Done, &fields, &first)
    }

    /// Sends a page other than the first, or a failure if the page is unknown or the injected fault loses it.
    pub fn send_page(&self, id: &str, page: usize) -> bool {
        let rows = self
            .results()
            .get(id)
            .and_then(|pages| pages.get(page).cloned());
        let fault = self.reply_fault();
        let is_lost =
            matches!(fault, Some(ReplyFault::PagesLost(fraction)) if self.is_triggered(fraction));
        if is_lost {
            let delay = ReplyFault::page_delay(&mut self.engine.state().rng);
            let lost = LateReply {
                delay,
                reply: Reply::Failed,
                fields: NO_FIELDS.to_owned(),
                body: String::new(),
            };
            self.send_late(id, lost);
            return true;
        }
        let Some(rows) = rows else {
            return self.send(id, Reply::Failed, NO_FIELDS, "");
        };
        let fields = format!("batch={page}");
        if fault != Some(ReplyFault::PagesOutOfOrder) {
            return self.send(id, Reply::Page, &fields, &rows);
        }
        let copies = self.engine.state().rng.random_range(1..=2);
        for _ in 0..copies {
            let delay = ReplyFault::page_delay(&mut self.engine.state().rng);
            let late = LateReply {
                delay,
                reply: Reply::Page,
                fields: fields.clone(),
                body: rows.clone(),
            };
            self.send_late(id, late);
        }
        true
    }

    /// Discards a result.
    pub fn release_result(&self, id: &str) {
        self.results().remove(id);
    }
}
