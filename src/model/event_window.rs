//! A sliding window of timed amounts, in bounded memory.

use std::collections::VecDeque;

/// Number of entries that keep their exact times. While there are more, events that are closer to each other than the
/// window's resolution are merged.
const MAX_EXACT_ENTRIES: usize = 4096;
/// The window's span divided by its resolution: the maximum number of further entries.
const RESOLUTION_DIVISOR: f64 = 1024.0;

/// The time that merged events are counted at.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum MergedTime {
    /// The earliest time: merged events leave the window too early, never too late.
    Earliest,
    /// The latest time: merged events leave the window too late, never too early.
    Latest,
}

/// One event, or several that were merged.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Time of the first event.
    first_ms: f64,
    /// Time at which the entry is counted.
    counted_ms: f64,
    amount: f64,
}

/// The events within a span, each with an amount. Events are recorded in the order of their times.
///
/// Holds at most [`MAX_EXACT_ENTRIES`] + [`RESOLUTION_DIVISOR`] + 2 entries, however many events are recorded.
#[derive(Debug, Clone)]
pub(crate) struct EventWindow {
    merged_time: MergedTime,
    entries: VecDeque<Entry>,
}

impl EventWindow {
    /// An empty window.
    pub(crate) fn new(merged_time: MergedTime) -> Self {
        EventWindow {
            merged_time,
            entries: VecDeque::new(),
        }
    }

    /// Records an event. Beyond [`MAX_EXACT_ENTRIES`], drops the events older than `span_ms` first.
    pub(crate) fn record(&mut self, now_ms: f64, amount: f64, span_ms: f64) {
        if self.entries.len() >= MAX_EXACT_ENTRIES {
            self.drop_expired(|at_ms| now_ms - at_ms > span_ms);
        }
        let must_merge = self.entries.len() >= MAX_EXACT_ENTRIES;
        let resolution_ms = span_ms / RESOLUTION_DIVISOR;
        match self.entries.back_mut().filter(|_| must_merge) {
            Some(last) if now_ms - last.first_ms < resolution_ms => {
                last.amount += amount;
                if self.merged_time == MergedTime::Latest {
                    last.counted_ms = now_ms;
                }
            }
            _ => self.entries.push_back(Entry {
                first_ms: now_ms,
                counted_ms: now_ms,
                amount,
            }),
        }
    }

    /// The number of entries.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops the events, from the earliest on, for whose times `is_expired` is true.
    pub(crate) fn drop_expired(&mut self, is_expired: impl Fn(f64) -> bool) {
        while self
            .entries
            .front()
            .is_some_and(|entry| is_expired(entry.counted_ms))
        {
            self.entries.pop_front();
        }
    }

    /// The sum of the amounts in the window.
    pub(crate) fn total(&self) -> f64 {
        self.entries.iter().map(|entry| entry.amount).sum()
    }
}
