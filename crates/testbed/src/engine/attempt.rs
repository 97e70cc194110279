//! An attempt on an engine: admission, execution in small steps, and final reply.

use super::protocol::{Reply, LIMIT_FIELD, NO_FIELDS, ONE_PAGE};
use super::reply_channel::ReplyChannel;
use super::result_pages::{numbered_pages, ResultShape};
use super::{Engine, Fault, QueryWork};
use crate::record::EventKind;
use crate::wire::list_value;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum length of an execution step.
const STEP: Duration = Duration::from_millis(2);
/// Time for which an engine continues an attempt past its limit (ms).
const LIMIT_GRACE_MS: f64 = 200.0;
/// Limit assumed for a request that carries none (ms).
const NO_LIMIT_MS: f64 = 1e9;
/// Delay after which an attempt fails with an injected error.
const ERROR_DELAY: Duration = Duration::from_millis(3);
/// Maximum progress reported for an attempt that is still running.
const MAX_REPORTED_PROGRESS: f64 = 0.9999;
/// The bytes of a malformed answer.
const MALFORMED_ANSWER: &[u8] = b"*4\r\n$1\r\n\xff\xfe no";

/// An attempt, from its arrival until it completes, fails or is cancelled.
pub(super) struct Attempt {
    pub id: String,
    cancelled: AtomicBool,
}

impl Attempt {
    /// Creates an attempt that has not been cancelled.
    pub fn new(id: String) -> Self {
        Attempt {
            id,
            cancelled: AtomicBool::new(false),
        }
    }

    /// Requests cancellation, which takes effect at the next execution step.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}

/// The admission decision on a new attempt.
struct Admission {
    fault: Fault,
    /// Random number in [0, 1) that is compared with the fault's fraction; drawn once per attempt.
    draw: f64,
    /// Whether the engine has too few free threads. If so, none are reserved for the attempt.
    is_full: bool,
}

/// An admitted attempt, with the state that its execution needs.
struct Execution {
    engine: Engine,
    attempt: Arc<Attempt>,
    work: QueryWork,
    limit_ms: f64,
    admission: Admission,
    channel: ReplyChannel,
}

impl Engine {
    /// Handles a request to run a query. Returns whether its connection stays open.
    pub(super) fn accept(
        &self,
        attempt: Arc<Attempt>,
        fields: &[String],
        channel: &ReplyChannel,
    ) -> bool {
        let work = self.context.work_of(&attempt.id);
        let limit_ms = fields
            .get(2)
            .and_then(|list| list_value(list, LIMIT_FIELD)?.parse::<f64>().ok())
            .unwrap_or(NO_LIMIT_MS);
        self.record_arrival(&attempt, &work, limit_ms);
        let admission = self.admit(&work);
        let draw = admission.draw;
        let injects_full = matches!(admission.fault, Fault::Full(fraction) if draw < fraction);
        if admission.is_full || injects_full {
            if !admission.is_full {
                self.release_threads(&work);
            }
            self.record_end(&attempt, Reply::Full, false);
            return channel.send(&attempt.id, Reply::Full, NO_FIELDS, "");
        }
        if channel.injects_expiry() {
            self.release_threads(&work);
            self.record_end(&attempt, Reply::Expired, false);
            return channel.send(&attempt.id, Reply::Expired, NO_FIELDS, "");
        }
        if matches!(admission.fault, Fault::Resets(fraction) if draw < fraction) {
            self.release_threads(&work);
            self.record_cancelled(&attempt);
            return false;
        }
        let execution = Execution {
            engine: self.clone(),
            attempt,
            work,
            limit_ms,
            admission,
            channel: channel.clone(),
        };
        execution.spawn();
        channel.half_close_on_fault();
        true
    }

    fn record_arrival(&self, attempt: &Attempt, work: &QueryWork, limit_ms: f64) {
        self.context.record.push(EventKind::Arrived {
            engine: self.id.clone(),
            id: attempt.id.clone(),
            work_ms: work.work_ms,
        });
        if limit_ms < NO_LIMIT_MS {
            self.context.record.push(EventKind::Told {
                engine: self.id.clone(),
                id: attempt.id.clone(),
                limit_ms,
            });
        }
    }

    /// Reserves the threads for an attempt if the engine has capacity for them.
    fn admit(&self, work: &QueryWork) -> Admission {
        let mut state = self.state();
        let draw: f64 = state.rng.random();
        let max_threads = self.spec.cores * self.spec.max_threads_per_core;
        let is_full = state.threads + work.threads > max_threads;
        if !is_full {
            state.threads += work.threads;
        }
        Admission {
            fault: state.fault,
            draw,
            is_full,
        }
    }

    fn release_threads(&self, work: &QueryWork) {
        self.state().threads -= work.threads;
    }

    fn record_end(&self, attempt: &Attempt, reply: Reply, ran: bool) {
        self.context.record.push(EventKind::Ended {
            engine: self.id.clone(),
            id: attempt.id.clone(),
            reply: reply.as_str().to_owned(),
            ran,
        });
    }

    fn record_cancelled(&self, attempt: &Attempt) {
        self.context.record.push(EventKind::GivenUp {
            engine: self.id.clone(),
            id: attempt.id.clone(),
        });
    }
}

impl Execution {
    fn write(&self, reply: Reply, fields: &str, body: &str) {
        self.channel.send(&self.attempt.id, reply, fields, body);
    }

    /// Executes the attempt on a new OS thread, and then releases the engine's threads that it reserved.
    fn spawn(self) {
        thread::spawn(move || {
            self.execute();
            self.engine.release_threads(&self.work);
        });
    }

    fn execute(&self) {
        let draw = self.admission.draw;
        match self.admission.fault {
            Fault::Silent => self.wait_without_reply(),
            Fault::Errors(fraction) if draw < fraction => self.fail(),
            Fault::Replies(fault) if fault.fails_request(&mut self.engine.state().rng) => {
                self.fail();
            }
            _ => {
                if self.run_to_completion() {
                    self.complete();
                } else {
                    self.engine.record_cancelled(&self.attempt);
                }
            }
        }
    }

    /// Replies with a failure after [`ERROR_DELAY`].
    fn fail(&self) {
        thread::sleep(ERROR_DELAY);
        self.engine.record_end(&self.attempt, Reply::Failed, true);
        self.write(Reply::Failed, NO_FIELDS, "");
    }

    /// Waits until the attempt is cancelled or its limit has passed, and sends no reply.
    fn wait_without_reply(&self) {
        let started = Instant::now();
        while !self.attempt.is_cancelled() && elapsed_ms(started) < self.limit_ms {
            thread::sleep(STEP);
        }
        self.engine.record_cancelled(&self.attempt);
    }

    /// Executes the query until it is complete. Returns false if the attempt is cancelled or exceeds its limit by
    /// [`LIMIT_GRACE_MS`] first.
    fn run_to_completion(&self) -> bool {
        let needed_ms = self.work.work_ms / self.work.threads;
        let started = Instant::now();
        let mut done_ms = 0.0;
        let mut last_step = started;
        let mut last_note = Instant::now();
        while done_ms < needed_ms {
            let remaining = Duration::from_secs_f64((needed_ms - done_ms).max(0.0) / 1000.0);
            thread::sleep(STEP.min(remaining));
            let now = Instant::now();
            let step_ms = (now - last_step).as_secs_f64() * 1000.0 * self.engine.speed();
            last_step = now;
            done_ms += step_ms;
            self.engine.state().busy_ms += step_ms * self.work.threads;
            if self.attempt.is_cancelled() || elapsed_ms(started) > self.limit_ms + LIMIT_GRACE_MS {
                return false;
            }
            let since_note_ms = now.duration_since(last_note).as_secs_f64() * 1000.0;
            if since_note_ms >= self.engine.spec.progress_interval_ms {
                last_note = now;
                let progress = (done_ms / needed_ms).min(MAX_REPORTED_PROGRESS);
                self.write(Reply::Progress, &format!("tell=frac,num={progress:.4}"), "");
            }
        }
        true
    }

    fn complete(&self) {
        if self.work.changes_tables {
            self.engine.context.record.push(EventKind::Applied {
                engine: self.engine.id.clone(),
                id: self.attempt.id.clone(),
            });
        }
        self.engine.record_end(&self.attempt, Reply::Done, true);
        let draw = self.admission.draw;
        if matches!(self.admission.fault, Fault::Spoils(fraction) if draw < fraction) {
            return self.channel.write_malformed(MALFORMED_ANSWER);
        }
        match self.work.result {
            ResultShape::OneRow => {
                let rows = if self.work.changes_tables {
                    ""
                } else {
                    "a\tb\tc\n"
                };
                self.write(Reply::Done, ONE_PAGE, rows);
            }
            ResultShape::Numbered { pages } => {
                let pages = numbered_pages(&self.attempt.id, pages);
                self.channel.send_result(&self.attempt.id, pages);
            }
        }
    }
}

fn elapsed_ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1000.0
}
