//! One attempt of a query on an engine.

use crate::model::EngineIndex;
use crate::zone_plan::Reservation;

/// An attempt, in flight or ended.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineIndex,
    pub(crate) sent_ms: f64,
    pub(crate) work_ms: f64,
    pub(crate) memory_mb: f64,
    pub(crate) in_flight: bool,
    /// The engine may have begun to run it.
    pub(crate) may_have_run: bool,
    pub(crate) cancelled: bool,
    /// It is the half-open trial of an ejected engine.
    pub(crate) is_trial: bool,
    pub(crate) progress: Progress,
    /// What it took of the zone plan's capacity.
    pub(crate) reservation: Reservation,
}

/// What an engine's notes tell of an attempt. Fractions are of the whole work, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// When any note last came (ms).
    pub(crate) last_note_ms: f64,
    /// The fraction done, and when that was reported (ms).
    pub(crate) done: f64,
    done_ms: f64,
    /// From when progress counts (ms), and the fraction done by then: a wait's time is not the work's.
    start_ms: f64,
    start: f64,
    /// It reported a wait, and no progress since.
    pub(crate) is_waiting: bool,
}

impl Attempt {
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
    /// Takes in the fraction done. The first one after a wait only tells that the wait is over.
    pub(crate) fn record(&mut self, now_ms: f64, done: f64) {
        if self.is_waiting {
            self.is_waiting = false;
            self.start_ms = now_ms;
            self.start = done;
        }
        self.done_ms = now_ms;
        self.done = done;
    }

    /// How long the whole takes by its notes (ms), where they tell.
    pub(crate) fn run_time_ms(&self) -> Option<f64> {
        if self.done > self.start && self.done_ms > self.start_ms {
            Some((self.done_ms - self.start_ms) / (self.done - self.start))
        } else {
            None
        }
    }

    /// How long the rest takes by its notes (ms), where they tell.
    pub(crate) fn time_left_ms(&self, now_ms: f64) -> Option<f64> {
        let run_time_ms = self.run_time_ms()?;
        Some(run_time_ms * (1.0 - self.done) - (now_ms - self.done_ms))
    }
}
