//! One attempt of a query on an engine.

use crate::model::EngineIndex;
use crate::zone_plan::Reservation;

/// An attempt, in flight or ended.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineIndex,
    /// When the attempt was sent (ms).
    pub(crate) sent_ms: f64,
    /// Estimated work (ms).
    pub(crate) work_ms: f64,
    /// Estimated memory (MB).
    pub(crate) memory_mb: f64,
    /// The attempt has not ended.
    pub(crate) in_flight: bool,
    /// The engine may have started to run the attempt.
    pub(crate) may_have_run: bool,
    /// The attempt was cancelled; it is in flight until its end arrives.
    pub(crate) cancelled: bool,
    /// The attempt is the half-open trial of an ejected engine.
    pub(crate) is_trial: bool,
    pub(crate) progress: Progress,
    /// The zone plan's capacity that the attempt holds.
    pub(crate) reservation: Reservation,
}

/// The progress of an attempt by its engine's notes. Fractions are of the attempt's work, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// When the last note of any kind arrived (ms).
    last_note_ms: f64,
    /// The fraction done, as last reported.
    done: f64,
    /// When `done` was reported (ms).
    done_ms: f64,
    /// From when progress counts (ms): the time of a wait is not part of the run time.
    start_ms: f64,
    /// The fraction that was done at `start_ms`.
    start_done: f64,
    /// A wait was reported, and no progress since.
    is_waiting: bool,
}

impl Attempt {
    /// An attempt that is about to be sent.
    pub(crate) fn new(engine: EngineIndex, sent_ms: f64, work_ms: f64, memory_mb: f64) -> Self {
        Attempt {
            engine,
            sent_ms,
            work_ms,
            memory_mb,
            in_flight: true,
            may_have_run: true,
            progress: Progress {
                last_note_ms: sent_ms,
                done_ms: sent_ms,
                start_ms: sent_ms,
                ..Progress::default()
            },
            ..Attempt::default()
        }
    }
}

impl Progress {
    /// Records that a note of any kind arrived.
    pub(crate) fn record_note(&mut self, now_ms: f64) {
        self.last_note_ms = now_ms;
    }

    /// When the last note of any kind arrived (ms).
    pub(crate) fn last_note_ms(&self) -> f64 {
        self.last_note_ms
    }

    /// Records a note of a wait.
    pub(crate) fn begin_wait(&mut self) {
        self.is_waiting = true;
    }

    /// Whether nothing is done yet.
    pub(crate) fn has_not_begun(&self) -> bool {
        self.done <= 0.0
    }

    /// Records the fraction done. The first report after a wait only ends the wait.
    pub(crate) fn record(&mut self, now_ms: f64, done: f64) {
        if self.is_waiting {
            self.is_waiting = false;
            self.start_ms = now_ms;
            self.start_done = done;
        }
        self.done_ms = now_ms;
        self.done = done;
    }

    /// The run time that the notes predict (ms); none before they show progress.
    pub(crate) fn run_time_ms(&self) -> Option<f64> {
        if self.done > self.start_done && self.done_ms > self.start_ms {
            Some((self.done_ms - self.start_ms) / (self.done - self.start_done))
        } else {
            None
        }
    }

    /// The remaining time that the notes predict (ms); none before they show progress.
    pub(crate) fn remaining_ms(&self, now_ms: f64) -> Option<f64> {
        let run_time_ms = self.run_time_ms()?;
        Some(run_time_ms * (1.0 - self.done) - (now_ms - self.done_ms))
    }
}
