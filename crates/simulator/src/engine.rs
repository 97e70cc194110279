//! An engine that shares its cores evenly: every thread runs at the same speed, so that a job ends when the service a
//! thread has attained reaches its own mark.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A job's mark: when it ends, in service attained by a thread (ms), and whose it is.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Mark {
    at: f64,
    job: u64,
}

impl Eq for Mark {}

impl Ord for Mark {
    fn cmp(&self, other: &Self) -> Ordering {
        // The earliest is the greatest, as the heap gives the greatest first.
        other.at.total_cmp(&self.at).then(other.job.cmp(&self.job))
    }
}

impl PartialOrd for Mark {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub job: u64,
    pub threads: f64,
    /// Service a thread needs (ms).
    pub needs: f64,
    began: f64,
}

#[derive(Debug, Clone)]
pub struct Engine {
    pub cores: f64,
    pub slow: f64,
    /// When it started (ms) and how long it is cold; the part of its speed that it starts with.
    pub started: f64,
    pub warm_after: f64,
    pub cold_from: f64,
    service: f64,
    at: f64,
    threads: f64,
    marks: BinaryHeap<Mark>,
    jobs: std::collections::HashMap<u64, Job>,
    /// Counts what changed, so that an end that was foretold before is passed over.
    pub generation: u64,
}

impl Engine {
    pub fn new(cores: f64, warm_after: f64, cold_from: f64) -> Self {
        Engine {
            cores,
            slow: 1.0,
            started: f64::NEG_INFINITY,
            warm_after,
            cold_from,
            service: 0.0,
            at: 0.0,
            threads: 0.0,
            marks: BinaryHeap::new(),
            jobs: std::collections::HashMap::new(),
            generation: 0,
        }
    }

    pub fn threads(&self) -> f64 {
        self.threads
    }

    fn speed(&self, now: f64) -> f64 {
        let age = now - self.started;
        let warm = if age >= self.warm_after {
            1.0
        } else {
            (age / self.warm_after).max(0.0)
        };
        let cold = self.cold_from + (1.0 - self.cold_from) * warm;
        cold * (self.cores / self.threads.max(1e-9)).min(1.0) / self.slow
    }

    /// Brings the service up to now.
    pub fn advance(&mut self, now: f64) {
        if self.threads > 0.0 && now > self.at {
            self.service += (now - self.at) * self.speed(now);
        }
        self.at = self.at.max(now);
    }

    pub fn add(&mut self, now: f64, job: u64, work: f64, threads: f64) {
        self.advance(now);
        let needs = work / threads;
        self.jobs.insert(
            job,
            Job {
                job,
                threads,
                needs,
                began: self.service,
            },
        );
        self.marks.push(Mark {
            at: self.service + needs,
            job,
        });
        self.threads += threads;
        self.generation += 1;
    }

    /// Takes a job away; none if it is not there.
    pub fn remove(&mut self, now: f64, job: u64) -> Option<Job> {
        self.advance(now);
        let gone = self.jobs.remove(&job)?;
        self.threads = if self.jobs.is_empty() {
            0.0
        } else {
            self.threads - gone.threads
        };
        self.generation += 1;
        Some(gone)
    }

    /// The part of a job that is done.
    pub fn done(&self, job: u64) -> Option<f64> {
        let job = self.jobs.get(&job)?;
        Some(((self.service - job.began) / job.needs).clamp(0.0, 1.0))
    }

    /// When the next job ends if nothing changes; a cold engine is looked at again before it has sped up much.
    pub fn next(&mut self, now: f64) -> Option<f64> {
        while self
            .marks
            .peek()
            .is_some_and(|mark| !self.jobs.contains_key(&mark.job))
        {
            self.marks.pop();
        }
        let mark = self.marks.peek()?;
        let speed = self.speed(now).max(1e-9);
        let wait = ((mark.at - self.service) / speed).max(0.0);
        let cold = now - self.started < self.warm_after;
        Some(now + if cold { wait.min(50.0) } else { wait })
    }

    /// Jobs that have ended by now.
    pub fn ended(&mut self, now: f64) -> Vec<u64> {
        self.advance(now);
        let mut ended = Vec::new();
        while let Some(mark) = self.marks.peek().copied() {
            if self.jobs.contains_key(&mark.job) {
                if mark.at > self.service + 1e-6 {
                    break;
                }
                ended.push(mark.job);
            }
            self.marks.pop();
        }
        ended
    }

    /// Ends all: what ran is lost.
    pub fn falls(&mut self, now: f64) -> Vec<u64> {
        self.advance(now);
        let mut lost: Vec<u64> = self.jobs.drain().map(|(job, _)| job).collect();
        lost.sort_unstable();
        self.marks.clear();
        self.threads = 0.0;
        self.generation += 1;
        lost
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cores_are_shared_evenly_and_a_lone_thread_gets_one() {
        let mut engine = Engine::new(2.0, 0.0, 1.0);
        engine.add(0.0, 1, 100.0, 1.0);
        assert_eq!(engine.next(0.0), Some(100.0));
        engine.add(0.0, 2, 400.0, 4.0);
        // Five threads on two cores: each of 100 ms takes 250 ms.
        assert_eq!(engine.next(0.0), Some(250.0));
        assert_eq!(engine.ended(249.0), [0; 0]);
        let mut ended = engine.ended(250.0);
        ended.sort_unstable();
        assert_eq!(ended, [1, 2]);
        assert!(engine.remove(250.0, 1).is_some() && engine.remove(250.0, 1).is_none());
    }

    #[test]
    fn a_cold_engine_is_slow_at_first() {
        let mut engine = Engine::new(1.0, 1000.0, 0.25);
        engine.started = 0.0;
        engine.add(0.0, 1, 100.0, 1.0);
        let mut now = 0.0;
        while engine.ended(now).is_empty() {
            now = engine.next(now).unwrap().max(now + 1.0);
        }
        assert!((250.0..400.0).contains(&now), "{now}");
    }
}
