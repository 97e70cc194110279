//! An engine: what the endpoint list says of it, what this dispatcher has there, and what it learned of it.

use crate::events::{EndpointState, EndpointUpdate, Outcome};
use crate::interner::Interner;
use crate::model::{Attempt, FadingMedian, GroupIndex, Lane, LaneSlowdowns, LONG_AGO};
use crate::pcg::Pcg;
use crate::settings::Settings;
use std::collections::VecDeque;

/// An engine.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    pub(crate) engine_id: u64,
    pub(crate) kind: u32,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) cores: f64,
    pub(crate) memory_mb: f64,
    pub(crate) endpoint: EndpointStatus,
    pub(crate) load: EngineLoad,
    pub(crate) limit: LaneLimit,
    pub(crate) health: EngineHealth,
    pub(crate) slow_start: SlowStart,
    pub(crate) slowdown: LaneSlowdowns,
    /// For each resource group how many of its attempts stall there, from none to all.
    stalls: Vec<FadingMedian>,
}

/// What the endpoint list says.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointStatus {
    pub(crate) listed: bool,
    pub(crate) ready: bool,
    pub(crate) started_ms: f64,
}

/// What is in flight on an engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineLoad {
    /// Attempts from here, their work (ms) and their memory (MB).
    pub(crate) attempts: u32,
    pub(crate) work_ms: f64,
    pub(crate) granted_mb: f64,
    /// Those of the low lane, and their threads.
    pub(crate) low_attempts: u32,
    pub(crate) low_threads: f64,
    /// Low threads of other dispatchers, as last reported.
    pub(crate) peer_threads: f64,
    /// Since when there has been an attempt without a break.
    pub(crate) busy_since_ms: f64,
    /// Sets of tables that a load locks, and until when that is assumed.
    pub(crate) locked_tables: Vec<(u32, f64)>,
}

/// The concurrency limit of the low lane, and the concurrency estimate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaneLimit {
    /// Low threads a core of this dispatcher's share.
    pub(crate) threads_per_core: f64,
    /// Low threads, of all dispatchers, above which the engine counts as under pressure.
    pub(crate) crowd_threads: f64,
    /// When the limit was last halved, and when the engine last refused an attempt as full (ms).
    pub(crate) halved_ms: f64,
    pub(crate) last_full_ms: f64,
}

/// Outlier detection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineHealth {
    /// When an answer, a note or a health check's answer last came (ms).
    pub(crate) last_signal_ms: f64,
    /// Moving average of failures, from 0 to 1.
    pub(crate) error_rate: f64,
    /// When a connection last failed to come up (ms); long ago where something else was the last sign.
    pub(crate) last_unreachable_ms: f64,
    pub(crate) is_ejected: bool,
    /// It was ejected for silence rather than for errors.
    pub(crate) is_silent: bool,
    /// When the next half-open trial may go out, and how long after it another (ms).
    pub(crate) next_trial_ms: f64,
    pub(crate) trial_backoff_ms: f64,
    pub(crate) last_check_ms: f64,
}

/// What was sent to an engine that is warming up.
#[derive(Debug, Clone)]
pub(crate) struct SlowStart {
    /// When, and how much work (ms).
    sent: VecDeque<(f64, f64)>,
    /// This span's lottery number, from 0 to 1, and when it was drawn (ms).
    pub(crate) lottery: f64,
    drawn_ms: f64,
}

impl Engine {
    pub(crate) fn new(
        update: &EndpointUpdate,
        settings: &Settings,
        interner: &mut Interner,
    ) -> Self {
        let kind = settings.engine_kind(update.kind);
        Engine {
            engine_id: update.engine_id,
            kind: interner.kinds.index(update.kind),
            zone: interner.zones.index(update.zone),
            cell: update.cell,
            cores: kind.cores,
            memory_mb: kind.memory_mb,
            endpoint: EndpointStatus {
                listed: false,
                ready: false,
                started_ms: LONG_AGO,
            },
            load: EngineLoad {
                busy_since_ms: LONG_AGO,
                ..EngineLoad::default()
            },
            limit: LaneLimit {
                threads_per_core: 0.0,
                crowd_threads: 0.0,
                halved_ms: LONG_AGO,
                last_full_ms: LONG_AGO,
            },
            health: EngineHealth {
                last_signal_ms: LONG_AGO,
                error_rate: 0.0,
                last_unreachable_ms: LONG_AGO,
                is_ejected: false,
                is_silent: false,
                next_trial_ms: LONG_AGO,
                trial_backoff_ms: 0.0,
                last_check_ms: LONG_AGO,
            },
            slow_start: SlowStart {
                sent: VecDeque::new(),
                lottery: 1.0,
                drawn_ms: LONG_AGO,
            },
            slowdown: LaneSlowdowns::default(),
            stalls: Vec::new(),
        }
    }

    /// Takes over the state of a list entry.
    pub(crate) fn set_state(&mut self, state: EndpointState) {
        self.endpoint.listed = state != EndpointState::Gone;
        self.endpoint.ready = state == EndpointState::Ready;
    }

    /// Forgets what was learned of an engine's process: another one has taken its place.
    pub(crate) fn reset_process(&mut self, started_ms: Option<f64>) {
        self.endpoint.started_ms = started_ms.unwrap_or(LONG_AGO);
        self.health.is_ejected = false;
        self.health.error_rate = 0.0;
        self.slowdown = LaneSlowdowns::default();
    }

    /// Low threads that this dispatcher may still add, where it may have `max_threads`.
    pub(crate) fn headroom(&self, max_threads: f64) -> f64 {
        max_threads - self.load.low_threads - self.load.peer_threads
    }

    /// Work a core (ms) with `more_ms` added; a thread of another dispatcher weighs `peer_thread_ms`.
    pub(crate) fn work_per_core_ms(&self, more_ms: f64, peer_thread_ms: f64) -> f64 {
        let peer_work_ms = self.load.peer_threads * peer_thread_ms;
        (self.load.work_ms + peer_work_ms + more_ms) / self.cores
    }

    /// How long nothing has been heard while there was something in flight (ms); 0 while there is nothing.
    pub(crate) fn silent_for_ms(&self, now_ms: f64) -> f64 {
        if self.load.attempts == 0 {
            return 0.0;
        }
        now_ms - self.health.last_signal_ms.max(self.load.busy_since_ms)
    }

    /// Low threads known there, of this dispatcher and of others.
    pub(crate) fn known_low_threads(&self) -> f64 {
        self.load.low_threads + self.load.peer_threads
    }

    /// How far a group's attempts stall there.
    pub(super) fn stall(&self, group: GroupIndex) -> Option<&FadingMedian> {
        self.stalls.get(group.0)
    }

    pub(super) fn stall_mut(&mut self, group: GroupIndex) -> &mut FadingMedian {
        let len = self.stalls.len().max(group.0 + 1);
        self.stalls.resize(len, FadingMedian::default());
        &mut self.stalls[group.0]
    }
}

impl LaneLimit {
    /// Raises the limit by one thread of this dispatcher's share, and the concurrency estimate by one thread.
    pub(crate) fn grow(
        &mut self,
        cores: f64,
        share: f64,
        max_threads_per_core: f64,
        max_crowd_per_core: f64,
    ) {
        let grown = self.threads_per_core + 1.0 / (cores * share);
        self.threads_per_core = grown.min(max_threads_per_core);
        self.crowd_threads = (self.crowd_threads + 1.0).min(max_crowd_per_core * cores);
    }

    /// Halves the limit, and sets the concurrency estimate.
    pub(crate) fn halve(&mut self, now_ms: f64, crowd_threads: f64) {
        self.halved_ms = now_ms;
        self.threads_per_core /= 2.0;
        self.crowd_threads = crowd_threads;
    }
}

impl EngineLoad {
    /// Counts an attempt. `locked`: the set of tables that it locks, and until when at most.
    pub(crate) fn add(
        &mut self,
        attempt: &Attempt,
        lane: Lane,
        threads: f64,
        locked: Option<(u32, f64)>,
    ) {
        self.locked_tables
            .retain(|&(_, until_ms)| until_ms > attempt.sent_ms);
        self.locked_tables.extend(locked);
        if self.attempts == 0 {
            self.busy_since_ms = attempt.sent_ms;
        }
        self.attempts += 1;
        self.work_ms += attempt.work_ms;
        self.granted_mb += attempt.memory_mb;
        if lane == Lane::Low {
            self.low_attempts += 1;
            self.low_threads += threads;
        }
    }

    /// Takes an ended attempt out. Sums are set to 0 with the last one, so that no rounding is left.
    pub(crate) fn remove(
        &mut self,
        attempt: &Attempt,
        lane: Lane,
        threads: f64,
        locked: Option<u32>,
    ) {
        self.unlock(locked);
        self.attempts = self.attempts.saturating_sub(1);
        if self.attempts == 0 {
            self.work_ms = 0.0;
            self.granted_mb = 0.0;
        } else {
            self.work_ms -= attempt.work_ms;
            self.granted_mb -= attempt.memory_mb;
        }
        if lane == Lane::Fast {
            return;
        }
        self.low_attempts = self.low_attempts.saturating_sub(1);
        if self.low_attempts == 0 {
            self.low_threads = 0.0;
        } else {
            self.low_threads -= threads;
        }
    }

    fn unlock(&mut self, locked: Option<u32>) {
        let entry = self
            .locked_tables
            .iter()
            .position(|&(tables, _)| locked == Some(tables));
        if let Some(entry) = entry {
            self.locked_tables.swap_remove(entry);
        }
    }

    /// Whether no low attempt is known there, of this dispatcher or of others.
    pub(crate) fn has_no_low(&self) -> bool {
        self.low_attempts == 0 && self.peer_threads <= 0.0
    }

    /// Whether a load is assumed to lock these tables.
    pub(crate) fn has_lock(&self, tables: u32, now_ms: f64) -> bool {
        let mut locks = self.locked_tables.iter();
        locks.any(|&(locked, until_ms)| locked == tables && until_ms > now_ms)
    }
}

impl EngineHealth {
    /// From now on single half-open trials may go there, rather than all queries.
    pub(crate) fn eject(&mut self, now_ms: f64, silent: bool, first_backoff_ms: f64) {
        self.is_ejected = true;
        self.is_silent = silent;
        self.trial_backoff_ms = first_backoff_ms;
        self.next_trial_ms = now_ms + first_backoff_ms;
    }

    /// Ends an ejection; what is left of its error rate is `error_rate`.
    pub(crate) fn reinstate(&mut self, error_rate: f64) {
        self.is_ejected = false;
        self.error_rate = error_rate;
    }

    /// Takes an outcome into the error average, by `step`.
    pub(crate) fn record_outcome(
        &mut self,
        now_ms: f64,
        outcome: Outcome,
        is_failure: bool,
        step: f64,
    ) {
        if matches!(outcome, Outcome::Completed | Outcome::Error) {
            self.last_signal_ms = now_ms;
        }
        self.last_unreachable_ms = LONG_AGO;
        if outcome == Outcome::NoConnection {
            self.last_unreachable_ms = now_ms;
        }
        let failure = f64::from(u8::from(is_failure));
        self.error_rate += step * (failure - self.error_rate);
    }

    /// A health check was answered: a silent engine's trial may go out now.
    pub(crate) fn record_check_answer(&mut self, now_ms: f64) {
        self.last_signal_ms = now_ms;
        if self.is_silent {
            self.next_trial_ms = now_ms;
        }
    }

    /// Whether something was heard since the next trial became due.
    pub(crate) fn has_answered(&self) -> bool {
        self.last_signal_ms >= self.next_trial_ms
    }

    /// Whether its last failure was that no connection came up.
    pub(crate) fn was_unreachable(&self) -> bool {
        self.last_unreachable_ms > LONG_AGO
    }

    /// Puts the next trial off after one that failed.
    pub(crate) fn back_off(&mut self, now_ms: f64, max_backoff_ms: f64) {
        self.trial_backoff_ms = (2.0 * self.trial_backoff_ms).min(max_backoff_ms);
        self.next_trial_ms = now_ms + self.trial_backoff_ms;
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
