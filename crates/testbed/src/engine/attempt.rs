//! An attempt at an engine: admission, its run in small steps, and its end.

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

/// The longest step of a run.
const STEP: Duration = Duration::from_millis(2);
/// How long an engine continues past the limit of an attempt (ms).
const LIMIT_GRACE_MS: f64 = 200.0;
/// The limit of a request without one (ms).
const NO_LIMIT_MS: f64 = 1e9;
/// After this time an injected error ends a query.
const ERROR_DELAY: Duration = Duration::from_millis(3);
/// The most progress that is reported of an attempt that still runs.
const MAX_REPORTED_PROGRESS: f64 = 0.9999;
/// The bytes of a malformed answer.
const MALFORMED_ANSWER: &[u8] = b"*4\r\n$1\r\n\xff\xfe no";

/// An attempt, from its arrival until its end.
pub(super) struct Attempt {
    pub id: String,
    cancelled: AtomicBool,
}

impl Attempt {
    /// An attempt that runs and has not been cancelled.
    pub fn new(id: String) -> Self {
        Attempt {
            id,
            cancelled: AtomicBool::new(false),
        }
    }

    /// Requests the attempt's end; its run ends at its next step.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}

/// The decision on an attempt's arrival.
struct Admission {
    fault: Fault,
    /// A random number that is compared with a fault's fraction; drawn once for each attempt.
    draw: f64,
    is_full: bool,
}

/// An admitted attempt, with everything that its run needs.
struct Run {
    engine: Engine,
    attempt: Arc<Attempt>,
    work: QueryWork,
    limit_ms: f64,
    admission: Admission,
    channel: ReplyChannel,
}

impl Engine {
    /// Handles a request. Returns whether its connection stays open.
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
        let said_full = matches!(admission.fault, Fault::Full(fraction) if draw < fraction);
        if admission.is_full || said_full {
            if !admission.is_full {
                self.release_threads(&work);
            }
            self.record_end(&attempt, Reply::Full, false);
            return channel.send(&attempt.id, Reply::Full, NO_FIELDS, "");
        }
        if channel.expires_request() {
            self.release_threads(&work);
            self.record_end(&attempt, Reply::Expired, false);
            return channel.send(&attempt.id, Reply::Expired, NO_FIELDS, "");
        }
        if matches!(admission.fault, Fault::Resets(fraction) if draw < fraction) {
            self.release_threads(&work);
            self.record_cancelled(&attempt);
            return false;
        }
        let run = Run {
            engine: self.clone(),
            attempt,
            work,
            limit_ms,
            admission,
            channel: channel.clone(),
        };
        run.spawn();
        channel.half_close_if_faulty();
        true
    }

    fn record_arrival(&self, attempt: &Attempt, work: &QueryWork, limit_ms: f64) {
        self.context.record.push(EventKind::Arrived {
            engine: self.id.clone(),
            id: attempt.id.clone(),
            work_ms: work.work,
        });
        if limit_ms < NO_LIMIT_MS {
            self.context.record.push(EventKind::Told {
                engine: self.id.clone(),
                id: attempt.id.clone(),
                limit_ms,
            });
        }
    }

    /// Reserves the threads for an attempt, where the engine has capacity.
    fn admit(&self, work: &QueryWork) -> Admission {
        let mut state = self.state();
        let draw: f64 = state.rng.random();
        let max_threads = self.spec.cores * self.spec.max_threads_a_core;
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

impl Run {
    fn write(&self, reply: Reply, fields: &str, body: &str) {
        self.channel.send(&self.attempt.id, reply, fields, body);
    }

    /// Executes the attempt on a thread of its own, and releases its threads at its end.
    fn spawn(self) {
        thread::spawn(move || {
            self.execute();
            self.engine.release_threads(&self.work);
        });
    }

    fn execute(&self) {
        let draw = self.admission.draw;
        match self.admission.fault {
            Fault::Silent => self.stay_silent(),
            Fault::Errors(fraction) if draw < fraction => self.fail(),
            Fault::Replies(fault) if fault.fails_request(&mut self.engine.state().rng) => {
                self.fail();
            }
            _ => {
                if self.work_off() {
                    self.complete();
                } else {
                    self.engine.record_cancelled(&self.attempt);
                }
            }
        }
    }

    /// Ends the attempt with an error after a short delay.
    fn fail(&self) {
        thread::sleep(ERROR_DELAY);
        self.engine.record_end(&self.attempt, Reply::Failed, true);
        self.write(Reply::Failed, NO_FIELDS, "");
    }

    /// Waits until the attempt is cancelled or its limit is over.
    fn stay_silent(&self) {
        let from = Instant::now();
        while !self.attempt.is_cancelled() && elapsed_ms(from) < self.limit_ms {
            thread::sleep(STEP);
        }
        self.engine.record_cancelled(&self.attempt);
    }

    /// Works until the query is done. Returns false where the attempt was cancelled or its limit was over before.
    fn work_off(&self) -> bool {
        let needed_ms = self.work.work / self.work.threads;
        let from = Instant::now();
        let mut done_ms = 0.0;
        let mut last_step = from;
        let mut last_note = Instant::now();
        while done_ms < needed_ms {
            let left = Duration::from_secs_f64((needed_ms - done_ms).max(0.0) / 1000.0);
            thread::sleep(STEP.min(left));
            let now = Instant::now();
            let step_ms = (now - last_step).as_secs_f64() * 1000.0 * self.engine.speed();
            last_step = now;
            done_ms += step_ms;
            self.engine.state().busy_ms += step_ms * self.work.threads;
            if self.attempt.is_cancelled() || elapsed_ms(from) > self.limit_ms + LIMIT_GRACE_MS {
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
        if self.work.changes {
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
                let rows = if self.work.changes { "" } else { "a\tb\tc\n" };
                self.write(Reply::Done, ONE_PAGE, rows);
            }
            ResultShape::Numbered { pages } => {
                let pages = numbered_pages(&self.attempt.id, pages);
                self.channel.send_result(&self.attempt.id, pages);
            }
        }
    }
}

fn elapsed_ms(from: Instant) -> f64 {
    from.elapsed().as_secs_f64() * 1000.0
}
