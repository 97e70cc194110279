//! An attempt in flight on a connection, and the assembly of its result from pages.

use crate::engine::protocol::ProgressNote;
use crate::engine::protocol_error::ProtocolError;
use crate::engine::rows::json_rows;
use crate::ids::AttemptId;
use crate::query_registry::Pages;
use tansymux::events::{AttemptLimits, NoteKind};

/// Maximum number of pages of a result; the protocol's longest result has 8 of them.
const MAX_PAGES: usize = 64;
/// Maximum size (bytes) of a result's rows as JSON; the protocol's longest result has 48,000 bytes of rows.
const MAX_RESULT_BYTES: usize = 128 * 1024;

/// An attempt in flight on a connection. Times are milliseconds of the program's clock.
#[derive(Debug)]
pub struct Attempt {
    /// The query's number in the registry.
    pub query_id: u64,
    /// The attempt's number within the query, from 0.
    pub number: usize,
    /// Time at which the attempt was queued on the connection.
    pub sent_ms: f64,
    /// Time at which the attempt is abandoned.
    pub deadline_ms: f64,
    /// Start limit: the request is withdrawn if it has no byte written by this time.
    pub start_by_ms: f64,
    /// Whether a progress note has reported that part of the work is done.
    has_progress: bool,
    /// Pages by number; empty until the first page arrives, because that page announces their count.
    pages: Vec<Option<Vec<u8>>>,
    /// Number of pages that have not arrived.
    missing_pages: usize,
    /// Whether no answer is owed any more, so that the rows of the result are not kept.
    discards_rows: bool,
}

/// State of a result after the arrival of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResultProgress {
    /// The first page has arrived, and other pages are missing.
    Begun {
        /// Number of pages of the result.
        page_count: usize,
    },
    /// Pages are still missing.
    Incomplete,
    /// The page had already arrived; its first copy is kept.
    Duplicate,
    /// No page is missing.
    Complete,
}

impl Attempt {
    /// Creates an attempt that is queued on a connection at `sent_ms`.
    pub fn new(query_id: u64, number: usize, sent_ms: f64, limits: AttemptLimits) -> Self {
        Attempt {
            query_id,
            number,
            sent_ms,
            deadline_ms: limits.deadline_ms,
            start_by_ms: limits.start_by_ms,
            has_progress: false,
            pages: Vec::new(),
            missing_pages: 0,
            discards_rows: false,
        }
    }

    /// Frees the rows that have arrived, and keeps none that arrive from now on: no answer is owed any more.
    pub fn discard_rows(&mut self) {
        self.discards_rows = true;
        for page in self.pages.iter_mut().flatten() {
            *page = Vec::new();
        }
    }

    /// Identifier of the attempt.
    pub fn id(&self) -> AttemptId {
        AttemptId {
            query_id: self.query_id,
            number: self.number,
        }
    }

    /// Time of the attempt's next expiry (ms): its deadline, or its start limit if that is earlier and not yet past.
    pub fn next_deadline_ms(&self, now_ms: f64) -> f64 {
        if self.start_by_ms > now_ms {
            self.deadline_ms.min(self.start_by_ms)
        } else {
            self.deadline_ms
        }
    }

    /// Records a progress note.
    pub fn record_note(&mut self, note: Option<ProgressNote>) {
        let is_progress = |note: ProgressNote| note.kind == NoteKind::Progress && note.amount > 0.0;
        self.has_progress |= note.is_some_and(is_progress);
    }

    /// Whether a progress note has reported that part of the work is done.
    pub fn has_progress(&self) -> bool {
        self.has_progress
    }

    /// Number of pages of the result; 0 until the first page has arrived.
    pub fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Takes the pages that have arrived, in order.
    pub fn take_pages(&mut self) -> Pages {
        self.pages.drain(..).flatten().collect()
    }

    /// Adds the first page of a result of `page_count` pages.
    ///
    /// # Errors
    /// The number of pages is missing or outside the limits, or the page is malformed.
    pub fn add_first_page(
        &mut self,
        page_count: Option<usize>,
        rows: &[u8],
    ) -> Result<ResultProgress, ProtocolError> {
        let count = page_count.filter(|count| (1..=MAX_PAGES).contains(count));
        let count = count.ok_or(ProtocolError::InvalidPageCount)?;
        self.pages.resize(count, None);
        self.missing_pages = count;
        Ok(match self.add_page(0, rows)? {
            ResultProgress::Incomplete => ResultProgress::Begun { page_count: count },
            progress => progress,
        })
    }

    /// Adds a page other than the first.
    ///
    /// # Errors
    /// The page's number is missing or too large, or the page is malformed.
    pub fn add_numbered_page(
        &mut self,
        page_number: Option<usize>,
        rows: &[u8],
    ) -> Result<ResultProgress, ProtocolError> {
        let number = page_number.ok_or(ProtocolError::MissingPageNumber)?;
        self.add_page(number, rows)
    }

    fn add_page(&mut self, number: usize, page: &[u8]) -> Result<ResultProgress, ProtocolError> {
        let rows = json_rows(page)?;
        let size: usize = self.pages.iter().flatten().map(Vec::len).sum();
        let pages = self.pages.len();
        let slot = self.pages.get_mut(number);
        let slot = slot.ok_or(ProtocolError::PageOutOfRange { number, pages })?;
        if slot.is_some() {
            return Ok(ResultProgress::Duplicate);
        }
        if size + rows.len() > MAX_RESULT_BYTES {
            return Err(ProtocolError::ResultTooLong {
                limit: MAX_RESULT_BYTES,
            });
        }
        *slot = Some(if self.discards_rows { Vec::new() } else { rows });
        self.missing_pages -= 1;
        Ok(match self.missing_pages {
            0 => ResultProgress::Complete,
            _ => ResultProgress::Incomplete,
        })
    }
}
