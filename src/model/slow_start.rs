//! What was sent to an engine that is warming up.

use crate::model::LONG_AGO;
use crate::pcg::Pcg;
use std::collections::VecDeque;

/// What was sent to an engine that is warming up.
#[derive(Debug, Clone)]
pub(crate) struct SlowStart {
    /// When, and how much work (ms).
    sent: VecDeque<(f64, f64)>,
    /// This span's lottery number, from 0 to 1, and when it was drawn (ms).
    pub(crate) lottery: f64,
    drawn_ms: f64,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart {
            sent: VecDeque::new(),
            lottery: 1.0,
            drawn_ms: LONG_AGO,
        }
    }
}

impl SlowStart {
    /// Records work (ms) that is sent.
    pub(crate) fn record(&mut self, now_ms: f64, work_ms: f64) {
        self.sent.push_back((now_ms, work_ms));
    }

    /// The work (ms) that was sent within the span.
    pub(crate) fn sent_ms(&self) -> f64 {
        self.sent.iter().map(|&(_, work_ms)| work_ms).sum()
    }

    /// Forgets what was sent longer than `span_ms` ago, and draws a new lottery number for each span.
    pub(crate) fn advance(&mut self, now_ms: f64, span_ms: f64, rng: &mut Pcg) {
        self.sent
            .retain(|&(sent_ms, _)| now_ms - sent_ms <= span_ms);
        if now_ms - self.drawn_ms > span_ms {
            self.drawn_ms = now_ms;
            self.lottery = rng.next_unit();
        }
    }
}
