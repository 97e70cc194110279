//! What an engine may do to its replies and connections, as far as the protocol allows it or a network brings it about.

use super::protocol::{Reply, NO_FIELDS, ONE_PAGE};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Delay of a reply that is repeated, or that follows the final one (ms).
const LATE_REPLY_MS: RangeInclusive<u64> = 1..=100;
/// The delay of half of them (ms): while a retry of the query runs.
const SOON_REPLY_MS: RangeInclusive<u64> = 1..=12;
/// Fraction of the requests that fail while replies come late or twice: only what fails is retried.
const FAILING_FRACTION: f64 = 0.5;
/// Delay of a page that is sent out of order, or of the reply that it is lost (ms).
const PAGE_DELAY_MS: RangeInclusive<u64> = 0..=20;
/// How late an engine reads under [`ReplyFault::ReadsLate`] (ms): less than the protocol's tolerance.
const READ_DELAY_MS: RangeInclusive<u64> = 1..=30;

/// A fault of replies. Fractions are probabilities of a reply, a page or a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReplyFault {
    /// Pages other than the first come late, out of order and some of them twice.
    PagesOutOfOrder,
    /// This fraction of the pages other than the first is lost.
    PagesLost(f64),
    /// Every reply comes a second time, late. Some requests fail.
    Repeats,
    /// Another reply follows each final one, late. Some requests fail.
    RepliesAfterFinal,
    /// This fraction of the requests is answered as over already.
    Expires(f64),
    /// This fraction of the replies is broken off at any byte, with the connection.
    BreaksOff(f64),
    /// This fraction of the requests half-closes its connection.
    HalfCloses(f64),
    /// Each frame is read late.
    ReadsLate,
    /// This fraction of the final replies is followed by noise on the connection.
    Noise(f64),
}

/// A reply that is sent later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LateReply {
    pub delay: Duration,
    pub reply: Reply,
    pub fields: String,
    pub body: String,
}

impl ReplyFault {
    /// Whether a fault with a fraction strikes now.
    pub(super) fn strikes(fraction: f64, rng: &mut Pcg32) -> bool {
        rng.random_bool(fraction.clamp(0.0, 1.0))
    }

    /// Whether a request fails.
    pub(super) fn fails_request(self, rng: &mut Pcg32) -> bool {
        matches!(self, ReplyFault::Repeats | ReplyFault::RepliesAfterFinal)
            && rng.random_bool(FAILING_FRACTION)
    }

    /// How late a page is sent, or that it is lost.
    pub(super) fn page_delay(rng: &mut Pcg32) -> Duration {
        Duration::from_millis(rng.random_range(PAGE_DELAY_MS))
    }

    /// How late a frame is read.
    pub(super) fn read_delay(rng: &mut Pcg32) -> Duration {
        Duration::from_millis(rng.random_range(READ_DELAY_MS))
    }

    /// How late a reply is repeated.
    pub(super) fn late_reply_delay(rng: &mut Pcg32) -> Duration {
        let range = if rng.random_bool(0.5) {
            SOON_REPLY_MS
        } else {
            LATE_REPLY_MS
        };
        Duration::from_millis(rng.random_range(range))
    }
}

impl LateReply {
    /// A reply of any kind that follows a final one.
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
