//! One attempt of a query on an engine.

use crate::model::EngineIndex;
use crate::zone_plan::Reservation;

/// An attempt, in flight or complete.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineIndex,
    /// When the attempt was sent (ms).
    pub(crate) sent_ms: f64,
    /// Estimated work (ms).
    pub(crate) work_ms: f64,
    /// Estimated memory (MB).
    pub(crate) memory_mb: f64,
    /// The attempt has not completed, failed or been cancelled yet.
    pub(crate) in_flight: bool,
    /// The engine may have started to run the attempt.
    pub(crate) may_have_run: bool,
    /// The attempt was cancelled; it stays in flight until its outcome arrives.
    pub(crate) cancelled: bool,
    /// The attempt is the half-open trial of an ejected engine.
    pub(crate) is_trial: bool,
    pub(crate) progress: Progress,
    /// The capacity that the attempt reserves in the zone plan.
    pub(crate) reservation: Reservation,
}

/// The progress of an attempt, from its engine's progress notes. Fractions of the attempt's work are from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// When the last note of any kind arrived (ms).
    last_note_ms: f64,
    /// The fraction done, as last reported.
    fraction_done: f64,
    /// When `fraction_done` was reported (ms).
    reported_ms: f64,
    /// When the run time starts to count (ms): time spent waiting is not part of the run time.
    run_start_ms: f64,
    /// The fraction that was done at `run_start_ms`.
    fraction_at_start: f64,
    /// A wait was reported, and no progress since then.
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
                reported_ms: sent_ms,
                run_start_ms: sent_ms,
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

    /// Records a note that the attempt waits for a lock.
    pub(crate) fn begin_wait(&mut self) {
        self.is_waiting = true;
    }

    /// Whether no work is done yet, as last reported.
    pub(crate) fn has_no_progress(&self) -> bool {
        self.fraction_done <= 0.0
    }

    /// Records the fraction done. The first report after a wait only ends the wait.
    pub(crate) fn record(&mut self, now_ms: f64, fraction_done: f64) {
        if self.is_waiting {
            self.is_waiting = false;
            self.run_start_ms = now_ms;
            self.fraction_at_start = fraction_done;
        }
        self.reported_ms = now_ms;
        self.fraction_done = fraction_done;
    }

    /// The total run time (ms) predicted from the notes; `None` before they show progress.
    pub(crate) fn run_time_ms(&self) -> Option<f64> {
        if self.fraction_done > self.fraction_at_start && self.reported_ms > self.run_start_ms {
            Some(
                (self.reported_ms - self.run_start_ms)
                    / (self.fraction_done - self.fraction_at_start),
            )
        } else {
            None
        }
    }

    /// The remaining run time (ms) predicted from the notes; `None` before they show progress.
    pub(crate) fn remaining_ms(&self, now_ms: f64) -> Option<f64> {
        let run_time_ms = self.run_time_ms()?;
        Some(run_time_ms * (1.0 - self.fraction_done) - (now_ms - self.reported_ms))
    }
}
