//! Clients of the service level runs. They retry after a rejection and count their answers.

use super::{capacity_per_s, MixClass, Outcome, RunPlan, CLASSES, WORK_LOG_DEVIATION};
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

/// Maximum requests that a client sends for one query, including the first.
const MAX_REQUESTS: usize = 4;
/// Delay before a client retries after a rejection without a retry-after time (ms).
const DEFAULT_RETRY_AFTER_MS: f64 = 500.0;
/// Minimum load, as a fraction of capacity. It keeps the arrival rate positive.
const MIN_LOAD: f64 = 0.02;

/// Counts and value of the answers since the previous sample.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct IntervalCounts {
    pub completed: f64,
    pub late: f64,
    pub value: f64,
}

/// Totals of the responses that clients have received.
#[derive(Debug)]
pub(super) struct Tally {
    outcome: Outcome,
    lookup_latencies_ms: Histogram<u64>,
    /// Core time of the queries that were answered in time (ms).
    useful_core_ms: f64,
    interval: IntervalCounts,
}

/// Action of a client after a response.
enum NextStep {
    Stop,
    RetryAfter(Duration),
}

impl Tally {
    /// An empty tally.
    pub fn new() -> Self {
        Tally {
            outcome: Outcome::default(),
            lookup_latencies_ms: Histogram::new_with_bounds(1, 60_000, 3)
                .expect("the bounds are in order"),
            useful_core_ms: 0.0,
            interval: IntervalCounts::default(),
        }
    }

    /// Returns the counts since the previous sample and resets them.
    pub fn take_interval(&mut self) -> IntervalCounts {
        std::mem::take(&mut self.interval)
    }

    /// Takes the outcome and fills in the look-ups' 99th percentile and the wasted fraction of core time.
    /// `used_core_ms` is the core time that queries used on the engines.
    pub fn finish(&mut self, used_core_ms: f64) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        outcome.lookup_p99_ms = self.lookup_latencies_ms.value_at_quantile(0.99);
        outcome.waste = 1.0 - self.useful_core_ms / used_core_ms.max(1.0);
        outcome
    }

    fn record(
        &mut self,
        pending: &PendingQuery,
        request_count: usize,
        response: Option<ClientResponse>,
    ) -> NextStep {
        let Some(response) = response else {
            self.outcome.failed += 1;
            return NextStep::Stop;
        };
        match response.status {
            200 => {
                self.record_answer(pending, &response);
                NextStep::Stop
            }
            429 | 503 => {
                self.outcome.rejected += 1;
                if request_count == MAX_REQUESTS {
                    return NextStep::Stop;
                }
                self.outcome.retried += 1;
                let wait_ms = response.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
                NextStep::RetryAfter(Duration::from_secs_f64(wait_ms / 1000.0))
            }
            _ => {
                self.outcome.failed += 1;
                NextStep::Stop
            }
        }
    }

    fn record_answer(&mut self, pending: &PendingQuery, response: &ClientResponse) {
        let class = &pending.class.traffic;
        // The time limit starts at the first request, so rejections do not extend it.
        let total_ms = pending.first_sent_at.elapsed().as_secs_f64() * 1000.0;
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
            self.useful_core_ms += pending.work_ms;
        } else {
            self.outcome.late += 1;
            self.interval.late += 1.0;
        }
        self.interval.completed += 1.0;
        self.interval.value += value;
        if class.name == "look" {
            let latency_ms = response.latency_ms.max(1.0) as u64;
            let _ = self.lookup_latencies_ms.record(latency_ms);
        }
    }
}

/// A query for which its client may still send requests.
struct PendingQuery {
    class: &'static MixClass,
    query: ClientQuery,
    work_ms: f64,
    first_sent_at: Instant,
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
    /// Draws arrival times and starts one thread per query. Returns when all queries have ended.
    pub fn run(&self) {
        let plan = &self.plan;
        let mut rng = Pcg64::seed_from_u64(plan.seed);
        let mut at_s = 0.0;
        let mut query_index = 0_u64;
        let mut query_threads = Vec::new();
        while at_s < plan.seconds {
            let load = (plan.load)(at_s / plan.seconds, plan.peak).max(MIN_LOAD);
            at_s += Exp::new(capacity_per_s() * load)
                .expect("the rate is positive")
                .sample(&mut rng);
            query_index += 1;
            let class = draw_class(&mut rng);
            let work_ms = LogNormal::new(class.traffic.work_ms.ln(), WORK_LOG_DEVIATION)
                .expect("the deviation is finite")
                .sample(&mut rng);
            let tables = rng.random_range(1..30);
            let mut query = ClientQuery::new(
                query_index << 8,
                &format!("/invoke/{}", class.traffic.name),
                class.traffic.name,
                &format!("select a from sales_{tables}.t where id = {query_index}"),
                class.traffic.max_wait_ms,
            );
            query.cost = Some(work_ms * rng.random_range(0.8..1.25));
            thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(self.start.elapsed()));
            let clients = self.clone();
            query_threads.push(thread::spawn(move || {
                clients.send(PendingQuery {
                    class,
                    query,
                    work_ms,
                    first_sent_at: Instant::now(),
                });
            }));
            query_threads.retain(|thread| !thread.is_finished());
        }
        setup::join_all(query_threads);
    }

    /// Sends a query until it is answered, fails, or is rejected [`MAX_REQUESTS`] times. Each request has a different
    /// id.
    fn send(&self, mut pending: PendingQuery) {
        for request_count in 1..=MAX_REQUESTS {
            let true_work = pending.class.traffic.query_work(pending.work_ms, 0);
            self.context.register(pending.query.id(), true_work);
            let response = send_query(self.dispatcher, &pending.query, &self.context.record);
            let next = {
                let mut tally = self.tally.lock().expect("the lock is not poisoned");
                if request_count == 1 {
                    tally.outcome.sent += 1;
                    tally.outcome.max_value += pending.class.traffic.weight;
                }
                tally.record(&pending, request_count, response)
            };
            match next {
                NextStep::Stop => return,
                NextStep::RetryAfter(wait) => thread::sleep(wait),
            }
            pending.query.id += 1;
        }
    }
}

fn draw_class(rng: &mut Pcg64) -> &'static MixClass {
    let mut draw: f64 = rng.random();
    CLASSES
        .iter()
        .find(|class| {
            draw -= class.fraction;
            draw < 0.0
        })
        .unwrap_or(&CLASSES[0])
}
