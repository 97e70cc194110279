//! What one connection to an engine carries: attempts, probes and what is still to be written. No I/O.

use super::resp::{self, Frame};
use super::rows::json_rows;
use crate::query_registry::Pages;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice};
use std::rc::Rc;
use tansymux::events::{AttemptLimits, NoteKind, Outcome};

/// Pages of a result at most, and bytes of them.
const MAX_PAGES: usize = 64;
const MAX_RESULT: usize = 128 * 1024;
/// Bytes that wait to be written at most.
pub const MAX_WAITING: usize = 4 << 20;
/// Attempts that are given up on one connection before another takes its place.
const MAX_LEFT: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    Connecting,
    /// It did not come up in its time: nothing waits for it, and it may still come.
    Late,
    Up,
    Down,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// Nothing is out, and it did not idle for longer than is trusted.
    Proven,
    /// Nothing went out here yet.
    Fresh,
    /// Others are out.
    Shared,
    /// Idle for longer than is trusted: its other end may be closing.
    Stale,
}

/// A attempt that is out on this connection.
#[derive(Debug)]
pub struct Attempt {
    pub query: u64,
    pub number: usize,
    pub sent: f64,
    pub until: f64,
    /// What has not begun to go out by then does not any more.
    pub start_by_ms: f64,
    /// Pages so far, and how many there are once that is known.
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl Attempt {
    pub fn new(query: u64, number: usize, sent: f64, bounds: AttemptLimits) -> Self {
        let AttemptLimits {
            deadline_ms: until,
            start_by_ms,
            ..
        } = bounds;
        Attempt {
            query,
            number,
            sent,
            until,
            start_by_ms,
            pages: Vec::new(),
            missing: 0,
        }
    }
}

/// Bytes to be written: a head, and a statement behind it.
#[derive(Debug)]
struct Piece {
    head: Vec<u8>,
    body: Option<Rc<[u8]>>,
    /// The attempt whose request this is.
    of: Option<Rc<str>>,
}

impl Piece {
    fn slices(&self) -> [&[u8]; 3] {
        let body = self.body.as_deref();
        [
            &self.head,
            body.unwrap_or(b""),
            if body.is_some() { b"\r\n" } else { b"" },
        ]
    }

    fn len(&self) -> usize {
        self.slices().iter().map(|slice| slice.len()).sum()
    }
}

/// What a frame from the engine means.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Closed {
        query: u64,
        attempt: usize,
        outcome: Outcome,
        sent: f64,
        pages: Pages,
    },
    Noted {
        query: u64,
        attempt: usize,
        note: NoteKind,
        amount: f64,
    },
    Probed(Outcome),
    /// No engine says this: nothing behind it on this connection is of use.
    Spoilt(&'static str),
    Nothing,
}

#[derive(Debug)]
pub struct Connection {
    pub state: State,
    /// When a frame last came (a connection that came up has told nothing yet), and when it last had something out.
    pub heard: f64,
    pub used: f64,
    /// Nothing has gone out here yet.
    pub fresh: bool,
    /// How long it had idled when the last attempt went out, and when that was; none once anything was heard.
    pub idled: Option<(f64, f64)>,
    /// Since when a frame has begun to come and is not whole.
    pub partial: Option<f64>,
    /// When it is asked whether the engine is there, if nothing was heard since a attempt went out after a pause.
    pub check_at: f64,
    /// Why it is closed at once, whatever is out on it: what came can't be used, or (not connected) nothing comes.
    pub broken: Option<(ErrorKind, &'static str)>,
    /// Nothing new goes here: it is closed once nothing is out.
    pub retired: bool,
    pub attempts: FxHashMap<Rc<str>, Attempt>,
    /// Ids that were given up here after they had gone out: an answer to one may still come, and would be taken for that
    /// of a later attempt with the same id.
    left: FxHashSet<Rc<str>>,
    /// Probes that are out: tag, when sent, until when they are waited for.
    pub probes: Vec<(Rc<str>, f64, f64)>,
    waiting: VecDeque<Piece>,
    waiting_bytes: usize,
    /// Bytes of the first piece that are written.
    written: usize,
}

impl Connection {
    pub fn new(now: f64) -> Self {
        Connection {
            state: State::Connecting,
            heard: f64::NEG_INFINITY,
            used: now,
            fresh: true,
            idled: None,
            partial: None,
            check_at: f64::INFINITY,
            broken: None,
            retired: false,
            attempts: FxHashMap::default(),
            left: FxHashSet::default(),
            probes: Vec::new(),
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            written: 0,
        }
    }

    /// It idles, if nothing waits for it, from now on; one on which nothing waits any more is as good as new.
    pub fn comes_up(&mut self, now: f64) {
        (self.state, self.used) = (State::Up, now);
        if self.out() == 0 {
            (self.fresh, self.idled) = (true, None);
        }
    }

    pub fn out(&self) -> usize {
        self.attempts.len() + self.probes.len()
    }

    /// When it was last used or opened, if nothing is out; else long ago.
    pub fn idles_since(&self) -> f64 {
        if self.out() == 0 && !self.retired && self.state == State::Up {
            self.used
        } else {
            f64::NEG_INFINITY
        }
    }

    /// How a connection stands to one more attempt: the first are taken first.
    pub fn use_for(&self, now: f64, trusted: f64) -> Use {
        match self.out() {
            0 if self.fresh => Use::Fresh,
            0 if now - self.used < trusted => Use::Proven,
            0 => Use::Stale,
            _ => Use::Shared,
        }
    }

    /// Whether a attempt with this id may go here.
    pub fn takes(&self, id: &str, most: usize) -> bool {
        let fits = self.out() < most && self.waiting_bytes < MAX_WAITING;
        let fresh = !self.attempts.contains_key(id) && !self.left.contains(id);
        matches!(self.state, State::Connecting | State::Up) && !self.retired && fits && fresh
    }

    fn write(&mut self, parts: &[&[u8]], body: Option<Rc<[u8]>>, of: Option<Rc<str>>) {
        let mut head = Vec::with_capacity(128);
        resp::write(&mut head, parts, body.as_ref().map(|body| body.len()));
        let piece = Piece { head, body, of };
        self.waiting_bytes += piece.len();
        self.waiting.push_back(piece);
    }

    pub fn submit(&mut self, id: &Rc<str>, fields: &str, statement: Rc<[u8]>, attempt: Attempt) {
        if self.out() == 0 && !self.fresh {
            self.idled = Some((attempt.sent - self.used, attempt.sent));
        }
        (self.used, self.fresh) = (attempt.sent, false);
        self.write(
            &[b"fetch", id.as_bytes(), fields.as_bytes()],
            Some(statement),
            Some(id.clone()),
        );
        self.attempts.insert(id.clone(), attempt);
    }

    pub fn probe(&mut self, tag: Rc<str>, now: f64, until: f64) {
        (self.used, self.fresh) = (now, false);
        self.write(&[b"alive", tag.as_bytes()], None, None);
        self.probes.push((tag, now, until));
    }

    pub fn renice(&mut self, id: &str, priority: u8) {
        if self.attempts.contains_key(id) {
            self.write(
                &[b"renice", id.as_bytes(), priority.to_string().as_bytes()],
                None,
                None,
            );
        }
    }

    /// Gives a attempt up. Tells whether the engine can have had its request: what was not begun is taken back, and
    /// what was written in part never becomes whole, as the connection ends with that.
    pub fn give_up(&mut self, id: &str, now: f64) -> Option<(Attempt, bool)> {
        let attempt = self.attempts.remove(id)?;
        self.used = now;
        let at = self
            .waiting
            .iter()
            .position(|piece| piece.of.as_deref() == Some(id));
        match at {
            Some(at) if at > 0 || self.written == 0 => {
                if let Some(piece) = self.waiting.remove(at) {
                    self.waiting_bytes -= piece.len();
                }
                Some((attempt, false))
            }
            Some(_) => {
                self.broken = Some((
                    ErrorKind::NotConnected,
                    "a request was given up half written",
                ));
                Some((attempt, false))
            }
            None => {
                self.left.insert(id.into());
                self.retired |= self.left.len() >= MAX_LEFT;
                self.write(&[b"abort", id.as_bytes()], None, None);
                Some((attempt, true))
            }
        }
    }

    /// The attempts of whose requests nothing was written yet.
    pub fn not_begun(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        let skip = usize::from(self.written > 0);
        self.waiting
            .iter()
            .skip(skip)
            .filter_map(|piece| piece.of.clone())
    }

    /// Those of them that may not begin any more.
    pub fn too_late_to_begin(&self, now: f64) -> impl Iterator<Item = Rc<str>> + '_ {
        let late = move |id: &Rc<str>| self.attempts.get(id).is_some_and(|s| s.start_by_ms <= now);
        self.not_begun().filter(late)
    }

    /// Whether the whole of a attempt's request was written out.
    pub fn went_out(&self, id: &str) -> bool {
        !self
            .waiting
            .iter()
            .any(|piece| piece.of.as_deref() == Some(id))
    }

    /// Nothing is asked any more: what was to be is not written.
    pub fn forget_probes(&mut self) {
        let skip = usize::from(self.written > 0);
        let kept: VecDeque<Piece> = std::mem::take(&mut self.waiting)
            .into_iter()
            .enumerate()
            .filter(|(n, piece)| *n < skip || piece.of.is_some())
            .map(|(_, piece)| piece)
            .collect();
        self.waiting_bytes = kept.iter().map(Piece::len).sum();
        self.waiting = kept;
    }

    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub fn forget_waiting(&mut self) {
        self.waiting.clear();
        (self.waiting_bytes, self.written) = (0, 0);
    }

    /// The bytes to write next, as slices for a gathered write.
    pub fn slices<'a>(&'a self, to: &mut Vec<IoSlice<'a>>, most: usize) {
        let mut skip = self.written;
        for slice in self.waiting.iter().flat_map(Piece::slices) {
            let shown = &slice[skip.min(slice.len())..];
            skip -= slice.len() - shown.len();
            if !shown.is_empty() && to.len() < most {
                to.push(IoSlice::new(shown));
            }
        }
    }

    pub fn wrote(&mut self, count: usize) {
        self.written += count;
        while let Some(length) = self
            .waiting
            .front()
            .map(Piece::len)
            .filter(|&length| length <= self.written)
        {
            self.written -= length;
            self.waiting_bytes -= length;
            self.waiting.pop_front();
        }
    }

    /// Takes in a frame. What names nothing that is out here is passed over: a second copy, another's answer. What
    /// can't be read or used is spoilt, and its attempt stays out until the connection ends with it.
    pub fn hear(&mut self, frame: &Frame, now: f64) -> Heard {
        self.heard = now;
        let Ok(id) = std::str::from_utf8(frame.part(0)) else {
            return Heard::Spoilt("an id is not text");
        };
        let (word, fields) = (frame.part(1), frame.part(2));
        if let Some(n) = self.probes.iter().position(|(tag, ..)| &**tag == id) {
            self.probes.swap_remove(n);
            return Heard::Probed(if word == b"FIT" {
                Outcome::Completed
            } else {
                Outcome::Error
            });
        }
        let Some(s) = self.attempts.get_mut(id) else {
            return Heard::Nothing;
        };
        let (query, attempt) = (s.query, s.number);
        let outcome = match word {
            b"TELL" => {
                let amount = resp::field(fields, "num").and_then(|n| n.parse::<f64>().ok());
                let note = match resp::field(fields, "tell") {
                    Some("frac") => NoteKind::Progress,
                    Some("missing") => NoteKind::Spilling,
                    Some("parked") => NoteKind::Waiting,
                    _ => return Heard::Nothing,
                };
                let Some(amount) = amount.filter(|n| n.is_finite()) else {
                    return Heard::Nothing;
                };
                return Heard::Noted {
                    query,
                    attempt,
                    note,
                    amount,
                };
            }
            // A second copy of the first page.
            b"DONE" if !s.pages.is_empty() => return Heard::Nothing,
            b"DONE" | b"MORE" => match s.take_page(word == b"DONE", fields, frame.part(3)) {
                Ok(true) => Outcome::Completed,
                Ok(false) => {
                    if word == b"DONE" {
                        (1..s.pages.len()).for_each(|page| {
                            let mut head = Vec::with_capacity(64);
                            resp::write(
                                &mut head,
                                &[b"more", id.as_bytes(), page.to_string().as_bytes()],
                                None,
                            );
                            self.waiting_bytes += head.len();
                            self.waiting.push_back(Piece {
                                head,
                                body: None,
                                of: None,
                            });
                        });
                    }
                    return Heard::Nothing;
                }
                Err(what) => return Heard::Spoilt(what),
            },
            b"WAIT" => Outcome::Full,
            b"PAST" => Outcome::NotSent,
            b"BROKE" => Outcome::Error,
            _ => return Heard::Spoilt("a word is unknown"),
        };
        let sent = s.sent;
        let pages: Pages = s.pages.drain(..).flatten().collect();
        if word == b"MORE" {
            self.write(&[b"done", id.as_bytes()], None, None);
        }
        self.attempts.remove(id);
        self.used = now;
        Heard::Closed {
            query,
            attempt,
            outcome,
            sent,
            pages,
        }
    }
}

impl Attempt {
    /// Takes in a page; whether the result is whole, or why it can't be used.
    fn take_page(&mut self, first: bool, fields: &[u8], page: &[u8]) -> Result<bool, &'static str> {
        let number = |name| resp::field(fields, name).and_then(|n| n.parse::<usize>().ok());
        let at = if first {
            let pages = number("batches")
                .filter(|n| (1..=MAX_PAGES).contains(n))
                .ok_or("no number of pages")?;
            self.pages.resize(pages, None);
            self.missing = pages;
            0
        } else {
            number("batch").ok_or("a page has no number")?
        };
        let rows = json_rows(page).ok_or("a page can't be read")?;
        let size: usize = self.pages.iter().flatten().map(Vec::len).sum();
        if size + rows.len() > MAX_RESULT {
            return Err("a result is too long");
        }
        let place = self.pages.get_mut(at).ok_or("a page has a wrong number")?;
        if place.replace(rows).is_none() {
            self.missing -= 1;
        }
        Ok(self.missing == 0)
    }
}

#[cfg(test)]
mod tests;
