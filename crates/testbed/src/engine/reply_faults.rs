//! Faults of an engine's replies and connections: those that the protocol permits or that a network can cause.

use super::protocol::{Reply, NO_FIELDS, ONE_PAGE};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Delay of a repeated reply, or of a reply that follows the final one (ms).
const LATE_REPLY_MS: RangeInclusive<u64> = 1..=100;
/// Delay of about half of the repeated or following replies (ms): they arrive while a retry of the query is running.
const REPLY_DURING_RETRY_MS: RangeInclusive<u64> = 1..=12;
/// Fraction of the requests that fail under [`ReplyFault::Repeats`] and [`ReplyFault::RepliesAfterFinal`]. Their late
/// replies are meant to arrive during a retry, and only failed attempts are retried.
const FAILING_FRACTION: f64 = 0.5;
/// Delay of a page that is sent out of order, or of the failure sent for a lost page (ms).
const PAGE_DELAY_MS: RangeInclusive<u64> = 0..=20;
/// Delay of each read under [`ReplyFault::ReadsLate`] (ms): less than the 50 ms that the protocol allows an engine
/// until it notices a cancellation or a closed connection.
const READ_DELAY_MS: RangeInclusive<u64> = 1..=30;

/// A fault of replies or connections. Fractions are probabilities per reply, page or request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplyFault {
    /// Pages other than the first are sent late and out of order, and some of them twice.
    PagesOutOfOrder,
    /// Requests for this fraction of the pages other than the first are answered by a failure, as if the engine had
    /// lost the page.
    PagesLost(f64),
    /// Every reply is repeated after a delay. Some requests fail.
    Repeats,
    /// A random reply follows each final one after a delay. Some requests fail.
    RepliesAfterFinal,
    /// This fraction of the requests is answered as expired.
    Expires(f64),
    /// This fraction of the replies is truncated at a random byte, and the connection is closed.
    BreaksOff(f64),
    /// The engine half-closes the connection after this fraction of the requests.
    HalfCloses(f64),
    /// The engine delays the read of each frame.
    ReadsLate,
    /// This fraction of the final replies is followed by a partial frame on the connection.
    Noise(f64),
}

/// A reply that is sent after a delay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LateReply {
    pub delay: Duration,
    pub reply: Reply,
    pub fields: String,
    pub body: String,
}

impl ReplyFault {
    /// Draws whether a fault of this fraction is triggered.
    pub(super) fn is_triggered(fraction: f64, rng: &mut Pcg32) -> bool {
        rng.random_bool(fraction.clamp(0.0, 1.0))
    }

    /// Draws whether a request fails under this fault.
    pub(super) fn fails_request(self, rng: &mut Pcg32) -> bool {
        matches!(self, ReplyFault::Repeats | ReplyFault::RepliesAfterFinal)
            && rng.random_bool(FAILING_FRACTION)
    }

    /// Draws the delay of a page, or of the failure sent for a lost page.
    pub(super) fn page_delay(rng: &mut Pcg32) -> Duration {
        Duration::from_millis(rng.random_range(PAGE_DELAY_MS))
    }

    /// Draws the delay of a read.
    pub(super) fn read_delay(rng: &mut Pcg32) -> Duration {
        Duration::from_millis(rng.random_range(READ_DELAY_MS))
    }

    /// Draws the delay of a repeated or additional reply.
    pub(super) fn late_reply_delay(rng: &mut Pcg32) -> Duration {
        let range = if rng.random_bool(0.5) {
            REPLY_DURING_RETRY_MS
        } else {
            LATE_REPLY_MS
        };
        Duration::from_millis(rng.random_range(range))
    }
}

impl LateReply {
    /// Draws a reply to follow a final one, with its delay.
    pub fn draw(rng: &mut Pcg32) -> Self {
        let (reply, fields, body) = match rng.random_range(0..6) {
            0 => (Reply::Failed, NO_FIELDS, ""),
            1 => (Reply::Full, NO_FIELDS, ""),
            2 => (Reply::Expired, NO_FIELDS, ""),
            3 => (Reply::Progress, "tell=frac,num=0.5", ""),
            4 => (Reply::Page, "batch=1", "late\treply\tpage\n"),
            _ => (Reply::Done, ONE_PAGE, "late\treply\trow\n"),
        };
        LateReply {
            delay: ReplyFault::late_reply_delay(rng),
            reply,
            fields: fields.to_owned(),
            body: body.to_owned(),
        }
    }
}
