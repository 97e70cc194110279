//! Clients of the runs with levels: they retry after a rejection, and count their answers.

use super::{capacity_per_s, MixClass, Outcome, RunPlan, CLASSES, WORK_SPREAD};
use crate::client::{send_query, ClientQuery, ClientResponse};
use crate::engine::RunContext;
use crate::setup;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The most requests of a client for one query, the first one included.
const MAX_TRIES: usize = 4;
/// After which time a client retries when a rejection names none (ms).
const DEFAULT_RETRY_AFTER_MS: f64 = 500.0;
/// The load never falls below this fraction of capacity.
const MIN_LOAD: f64 = 0.02;

/// Answers since the last sample.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct SinceSample {
    pub completed: f64,
    pub late: f64,
    pub value: f64,
}

/// Counts of the answers that clients have received.
#[derive(Debug)]
pub(super) struct Tally {
    outcome: Outcome,
    lookup_latencies_ms: Histogram<u64>,
    /// Core time spent on what was answered in time (ms).
    useful_ms: f64,
    since_sample: SinceSample,
}

/// What a client does after a response.
enum Next {
    Stop,
    RetryAfter(Duration),
}

impl Tally {
    /// An empty tally.
    pub fn new() -> Self {
        Tally {
            outcome: Outcome::default(),
            lookup_latencies_ms: Histogram::new_with_bounds(1, 60_000, 3).expect("bounds in order"),
            useful_ms: 0.0,
            since_sample: SinceSample::default(),
        }
    }

    /// Returns the counts since the last sample and resets them.
    pub fn take_since_sample(&mut self) -> SinceSample {
        std::mem::take(&mut self.since_sample)
    }

    /// The outcome, with the figures over all queries. `spent_ms`: core time that queries used on the engines.
    pub fn finish(&mut self, spent_ms: f64) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        outcome.lookup_p99_ms = self.lookup_latencies_ms.value_at_quantile(0.99);
        outcome.waste = 1.0 - self.useful_ms / spent_ms.max(1.0);
        outcome
    }

    fn record(&mut self, job: &ClientJob, tries: usize, response: Option<ClientResponse>) -> Next {
        let Some(response) = response else {
            self.outcome.failed += 1;
            return Next::Stop;
        };
        match response.status {
            200 => {
                self.record_answer(job, &response);
                Next::Stop
            }
            429 | 503 => {
                self.outcome.rejected += 1;
                if tries == MAX_TRIES {
                    return Next::Stop;
                }
                self.outcome.retried += 1;
                let wait_ms = response.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
                Next::RetryAfter(Duration::from_secs_f64(wait_ms / 1000.0))
            }
            _ => {
                self.outcome.failed += 1;
                Next::Stop
            }
        }
    }

    fn record_answer(&mut self, job: &ClientJob, response: &ClientResponse) {
        let class = &job.class.traffic;
        // The time limit counts from the first request: rejections do not extend it.
        let total_ms = job.from.elapsed().as_secs_f64() * 1000.0;
        let in_time = total_ms <= class.objective_ms.max(class.max_wait_ms)
            && response.latency_ms <= class.objective_ms;
        let value = if in_time {
            class.weight
        } else {
            class.weight / 3.0
        };
        self.outcome.value += value;
        if in_time {
            self.outcome.in_time += 1;
            self.useful_ms += job.work_ms;
        } else {
            self.outcome.late += 1;
            self.since_sample.late += 1.0;
        }
        self.since_sample.completed += 1.0;
        self.since_sample.value += value;
        if class.name == "look" {
            let latency_ms = response.latency_ms.max(1.0) as u64;
            let _ = self.lookup_latencies_ms.record(latency_ms);
        }
    }
}

/// A client's query, until it is answered or its last request is rejected.
struct ClientJob {
    class: &'static MixClass,
    query: ClientQuery,
    work_ms: f64,
    from: Instant,
}

/// All clients of a run.
#[derive(Clone)]
pub(super) struct Clients {
    pub dispatcher: SocketAddr,
    pub plan: RunPlan,
    pub start: Instant,
    pub context: Arc<RunContext>,
    pub tally: Arc<Mutex<Tally>>,
}

impl Clients {
    /// Draws arrivals and starts a thread for each query.
    pub fn run(&self) {
        let plan = &self.plan;
        let mut rng = Pcg64::seed_from_u64(plan.seed);
        let mut at_s = 0.0;
        let mut number = 0_u64;
        let mut waiting = Vec::new();
        while at_s < plan.seconds {
            let load = (plan.load)(at_s / plan.seconds, plan.peak).max(MIN_LOAD);
            at_s += Exp::new(capacity_per_s() * load)
                .expect("a rate above 0")
                .sample(&mut rng);
            number += 1;
            let class = draw_class(&mut rng);
            let work_ms = LogNormal::new(class.traffic.work_ms.ln(), WORK_SPREAD)
                .expect("a finite spread")
                .sample(&mut rng);
            let tables = rng.random_range(1..30);
            let mut query = ClientQuery::new(
                number << 8,
                &format!("/invoke/{}", class.traffic.name),
                class.traffic.name,
                &format!("select a from sales_{tables}.t where id = {number}"),
                class.traffic.max_wait_ms,
            );
            query.cost = Some(work_ms * rng.random_range(0.8..1.25));
            thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(self.start.elapsed()));
            let own = self.clone();
            waiting.push(thread::spawn(move || {
                own.send(ClientJob {
                    class,
                    query,
                    work_ms,
                    from: Instant::now(),
                });
            }));
            waiting.retain(|thread| !thread.is_finished());
        }
        setup::join_all(waiting);
    }

    /// Sends a query until it is answered, fails, or is rejected [`MAX_TRIES`] times. Each request has its own id.
    fn send(&self, mut job: ClientJob) {
        for tries in 1..=MAX_TRIES {
            let truth = job.class.traffic.query_work(job.work_ms, 0);
            self.context.register(job.query.id(), truth);
            let response = send_query(self.dispatcher, &job.query, &self.context.record);
            let next = {
                let mut tally = self.tally.lock().expect("no holder panics");
                if tries == 1 {
                    tally.outcome.asked += 1;
                    tally.outcome.max_value += job.class.traffic.weight;
                }
                tally.record(&job, tries, response)
            };
            match next {
                Next::Stop => return,
                Next::RetryAfter(wait) => thread::sleep(wait),
            }
            job.query.id += 1;
        }
    }
}

fn draw_class(rng: &mut Pcg64) -> &'static MixClass {
    let mut lot: f64 = rng.random();
    CLASSES
        .iter()
        .find(|class| {
            lot -= class.fraction;
            lot < 0.0
        })
        .unwrap_or(&CLASSES[0])
}
