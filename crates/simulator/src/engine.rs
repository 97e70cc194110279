//! An engine that shares its cores evenly: processor sharing, computed in virtual service time. All threads run at the
//! same speed, so a job completes when the service attained per thread has grown by the service that each of the job's
//! threads needs.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};

#[cfg(test)]
mod tests;

/// Longest interval over which the speed of an engine that is warming up is treated as constant (ms).
const WARM_UP_STEP_MS: f64 = 50.0;
/// Tolerance for the attained service of a completed job (ms), because sums of floats do not reach the exact value.
const SERVICE_TOLERANCE_MS: f64 = 1e-6;
/// Lower bound for divisors, which avoids divisions by 0 threads and by speed 0.
const MIN_DIVISOR: f64 = 1e-9;

/// The completion of a job. It is due when the service attained per thread (ms) reaches `at_service_ms`.
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

/// A running job.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Id of the job.
    pub job: u64,
    /// Number of threads that the job runs on.
    pub threads: f64,
    /// Service that each of the job's threads needs (ms).
    pub service_ms: f64,
    started_at_service_ms: f64,
}

/// An engine of the simulation.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Number of cores.
    pub cores: f64,
    /// Time at which the engine started (ms). It warms up from then on.
    pub started_ms: f64,
    /// Number of changes of the jobs or the slowdown so far. Completions that were scheduled for an earlier generation
    /// are stale.
    pub generation: u64,
    slowdown: f64,
    warm_up_ms: f64,
    /// Speed at the start as a fraction of the full speed.
    initial_speed: f64,
    /// Service that each running thread has attained since the beginning of the run (ms).
    attained_service_ms: f64,
    advanced_to_ms: f64,
    threads: f64,
    completions: BinaryHeap<Completion>,
    jobs: HashMap<u64, Job>,
}

impl Engine {
    /// A warm engine. After a restart, its speed rises within `warm_up_ms` from `initial_speed`, a fraction of the full
    /// speed, to the full speed.
    pub fn new(cores: f64, warm_up_ms: f64, initial_speed: f64) -> Self {
        Engine {
            cores,
            started_ms: f64::NEG_INFINITY,
            generation: 0,
            slowdown: 1.0,
            warm_up_ms,
            initial_speed,
            attained_service_ms: 0.0,
            advanced_to_ms: 0.0,
            threads: 0.0,
            completions: BinaryHeap::new(),
            jobs: HashMap::new(),
        }
    }

    /// Number of running threads.
    pub fn threads(&self) -> f64 {
        self.threads
    }

    /// Service that each thread attains per millisecond (ms).
    fn speed(&self, now_ms: f64) -> f64 {
        let age_ms = now_ms - self.started_ms;
        let warm_up_progress = if age_ms >= self.warm_up_ms {
            1.0
        } else {
            (age_ms / self.warm_up_ms).max(0.0)
        };
        let unshared_speed = self.initial_speed + (1.0 - self.initial_speed) * warm_up_progress;
        unshared_speed * (self.cores / self.threads.max(MIN_DIVISOR)).min(1.0) / self.slowdown
    }

    /// Updates the attained service to `now_ms`.
    pub fn advance(&mut self, now_ms: f64) {
        if self.threads > 0.0 && now_ms > self.advanced_to_ms {
            self.attained_service_ms += (now_ms - self.advanced_to_ms) * self.speed(now_ms);
        }
        self.advanced_to_ms = self.advanced_to_ms.max(now_ms);
    }

    /// Makes all jobs take `slowdown` times as long from `now_ms` on.
    pub fn set_slowdown(&mut self, now_ms: f64, slowdown: f64) {
        self.advance(now_ms);
        self.slowdown = slowdown;
        self.generation += 1;
    }

    /// Starts a job. `work_ms` is the job's work on one core, spread evenly over its threads.
    pub fn add(&mut self, now_ms: f64, job: u64, work_ms: f64, threads: f64) {
        self.advance(now_ms);
        let service_ms = work_ms / threads;
        self.jobs.insert(
            job,
            Job {
                job,
                threads,
                service_ms,
                started_at_service_ms: self.attained_service_ms,
            },
        );
        self.completions.push(Completion {
            at_service_ms: self.attained_service_ms + service_ms,
            job,
        });
        self.threads += threads;
        self.generation += 1;
    }

    /// Removes a job and returns it; `None` if the job is not running.
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

    /// The completed fraction of a job.
    pub fn done_fraction(&self, job: u64) -> Option<f64> {
        let job = self.jobs.get(&job)?;
        let attained_ms = self.attained_service_ms - job.started_at_service_ms;
        Some((attained_ms / job.service_ms).clamp(0.0, 1.0))
    }

    /// The time of the next completion if nothing changes (ms). For an engine that is warming up, the time is at most
    /// `WARM_UP_STEP_MS` from now, and the completion must then be computed again, because the engine has become
    /// faster.
    pub fn next_completion_ms(&mut self, now_ms: f64) -> Option<f64> {
        while self
            .completions
            .peek()
            .is_some_and(|completion| !self.jobs.contains_key(&completion.job))
        {
            self.completions.pop();
        }
        let completion = self.completions.peek()?;
        let speed = self.speed(now_ms).max(MIN_DIVISOR);
        let wait_ms = ((completion.at_service_ms - self.attained_service_ms) / speed).max(0.0);
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

    /// Returns the jobs that have completed by `now_ms`. They count as running until they are removed.
    pub fn take_completed(&mut self, now_ms: f64) -> Vec<u64> {
        self.advance(now_ms);
        let mut completed = Vec::new();
        while let Some(completion) = self.completions.peek().copied() {
            if self.jobs.contains_key(&completion.job) {
                if completion.at_service_ms > self.attained_service_ms + SERVICE_TOLERANCE_MS {
                    break;
                }
                completed.push(completion.job);
            }
            self.completions.pop();
        }
        completed
    }

    /// Drops all jobs without a result, and returns their ids in ascending order.
    pub fn drop_all(&mut self, now_ms: f64) -> Vec<u64> {
        self.advance(now_ms);
        let mut dropped: Vec<u64> = self.jobs.drain().map(|(job, _)| job).collect();
        dropped.sort_unstable();
        self.completions.clear();
        self.threads = 0.0;
        self.generation += 1;
        dropped
    }
}
