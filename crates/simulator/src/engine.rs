//! An engine that shares its cores evenly (processor sharing in virtual service time): every thread runs at the same speed,
//! so that a job ends when the service attained by a thread reaches the service that the job needs.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};

#[cfg(test)]
mod tests;

/// The time over which the speed of an engine that warms up is assumed to be constant (ms).
const WARM_UP_STEP_MS: f64 = 50.0;
/// Tolerance with which a job has attained its service (ms): sums of floats do not reach it exactly.
const SERVICE_TOLERANCE_MS: f64 = 1e-6;
/// Replaces 0 threads and speed 0 in divisions.
const SMALLEST: f64 = 1e-9;

/// When a job ends, in service attained by a thread (ms).
#[derive(Debug, Clone, Copy, PartialEq)]
struct Completion {
    at_service_ms: f64,
    job: u64,
}

impl Eq for Completion {}

impl Ord for Completion {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, because the heap returns the greatest element first.
        other
            .at_service_ms
            .total_cmp(&self.at_service_ms)
            .then(other.job.cmp(&self.job))
    }
}

impl PartialOrd for Completion {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A job that runs.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Its id.
    pub job: u64,
    /// Threads that it runs on.
    pub threads: f64,
    /// Service that each thread needs (ms).
    pub service_ms: f64,
    began_at_service_ms: f64,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its cores.
    pub cores: f64,
    /// When it started (ms); from then on it warms up.
    pub started_ms: f64,
    /// Counts changes, by which a completion that was scheduled before a change is recognised.
    pub generation: u64,
    slowdown: f64,
    warm_up_ms: f64,
    /// The initial speed as a fraction of the full speed.
    initial_speed: f64,
    service_ms: f64,
    advanced_to_ms: f64,
    threads: f64,
    completions: BinaryHeap<Completion>,
    jobs: HashMap<u64, Job>,
}

impl Engine {
    /// An engine that is warm. After a start it takes `warm_up_ms` to reach its full speed from `initial_speed`, a fraction of
    /// it.
    pub fn new(cores: f64, warm_up_ms: f64, initial_speed: f64) -> Self {
        Engine {
            cores,
            started_ms: f64::NEG_INFINITY,
            generation: 0,
            slowdown: 1.0,
            warm_up_ms,
            initial_speed,
            service_ms: 0.0,
            advanced_to_ms: 0.0,
            threads: 0.0,
            completions: BinaryHeap::new(),
            jobs: HashMap::new(),
        }
    }

    /// Threads that run.
    pub fn threads(&self) -> f64 {
        self.threads
    }

    /// Service that a thread attains in a millisecond (ms).
    fn speed(&self, now_ms: f64) -> f64 {
        let age_ms = now_ms - self.started_ms;
        let warmth = if age_ms >= self.warm_up_ms {
            1.0
        } else {
            (age_ms / self.warm_up_ms).max(0.0)
        };
        let warm_speed = self.initial_speed + (1.0 - self.initial_speed) * warmth;
        warm_speed * (self.cores / self.threads.max(SMALLEST)).min(1.0) / self.slowdown
    }

    /// Brings the attained service up to now.
    pub fn advance(&mut self, now_ms: f64) {
        if self.threads > 0.0 && now_ms > self.advanced_to_ms {
            self.service_ms += (now_ms - self.advanced_to_ms) * self.speed(now_ms);
        }
        self.advanced_to_ms = self.advanced_to_ms.max(now_ms);
    }

    /// From now on all jobs take `slowdown` times as long.
    pub fn set_slowdown(&mut self, now_ms: f64, slowdown: f64) {
        self.advance(now_ms);
        self.slowdown = slowdown;
        self.generation += 1;
    }

    /// Starts a job. `work_ms` is its work on one core, spread evenly over its threads.
    pub fn add(&mut self, now_ms: f64, job: u64, work_ms: f64, threads: f64) {
        self.advance(now_ms);
        let service_ms = work_ms / threads;
        self.jobs.insert(
            job,
            Job {
                job,
                threads,
                service_ms,
                began_at_service_ms: self.service_ms,
            },
        );
        self.completions.push(Completion {
            at_service_ms: self.service_ms + service_ms,
            job,
        });
        self.threads += threads;
        self.generation += 1;
    }

    /// Removes a job; returns none if it does not run.
    pub fn remove(&mut self, now_ms: f64, job: u64) -> Option<Job> {
        self.advance(now_ms);
        let removed = self.jobs.remove(&job)?;
        self.threads = if self.jobs.is_empty() {
            0.0
        } else {
            self.threads - removed.threads
        };
        self.generation += 1;
        Some(removed)
    }

    /// The fraction of a job that is done.
    pub fn done_fraction(&self, job: u64) -> Option<f64> {
        let job = self.jobs.get(&job)?;
        let attained_ms = self.service_ms - job.began_at_service_ms;
        Some((attained_ms / job.service_ms).clamp(0.0, 1.0))
    }

    /// When the next job ends if nothing changes. For an engine that warms up, at most `WARM_UP_STEP_MS` from now: a time
    /// at which the completion must be computed again, because the engine has become faster.
    pub fn next_completion_ms(&mut self, now_ms: f64) -> Option<f64> {
        while self
            .completions
            .peek()
            .is_some_and(|completion| !self.jobs.contains_key(&completion.job))
        {
            self.completions.pop();
        }
        let completion = self.completions.peek()?;
        let speed = self.speed(now_ms).max(SMALLEST);
        let wait_ms = ((completion.at_service_ms - self.service_ms) / speed).max(0.0);
        let is_warming_up = now_ms - self.started_ms < self.warm_up_ms;
        Some(
            now_ms
                + if is_warming_up {
                    wait_ms.min(WARM_UP_STEP_MS)
                } else {
                    wait_ms
                },
        )
    }

    /// The jobs that have ended by now. They count as running until they are removed.
    pub fn take_completed(&mut self, now_ms: f64) -> Vec<u64> {
        self.advance(now_ms);
        let mut completed = Vec::new();
        while let Some(completion) = self.completions.peek().copied() {
            if self.jobs.contains_key(&completion.job) {
                if completion.at_service_ms > self.service_ms + SERVICE_TOLERANCE_MS {
                    break;
                }
                completed.push(completion.job);
            }
            self.completions.pop();
        }
        completed
    }

    /// Ends all jobs without a result, and returns their ids in ascending order.
    pub fn drop_all(&mut self, now_ms: f64) -> Vec<u64> {
        self.advance(now_ms);
        let mut lost: Vec<u64> = self.jobs.drain().map(|(job, _)| job).collect();
        lost.sort_unstable();
        self.completions.clear();
        self.threads = 0.0;
        self.generation += 1;
        lost
    }
}
