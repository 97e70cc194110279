//! What shapes cost, learned from how their queries ended.
//!
//! A sample is latency times threads. It is taken against what the engine and the shape usually show: a sample that
//! lies far off moves an estimate by a step only, until as many in a row as `shift_after` agree, which then move it
//! at once. So one bad plan does little, and a shape whose cost has changed is followed within a few queries. An
//! engine that is slow for all it runs is told apart from a shape that became dearer by a pace for each engine,
//! which only shapes that are known well teach. What waited, or ran cold, took at most what it took: it lowers an
//! estimate but hardly raises one. What was cut off took at least that long: it only raises.

use crate::rules::Learning;
use crate::Class;
use mini_moka::unsync::Cache;

/// Evidence counts for so many samples at most, so that a step never gets too small to follow.
const MAX_WEIGHT: f64 = 30.0;
/// A sample is far off when it lies beyond so many times the usual scatter, and a least part (log).
const FAR: f64 = 3.0;
const FAR_LEAST: f64 = 0.7;
/// Scatter (log) where nothing is known of it.
const FIRST_SCATTER: f64 = 0.5;
/// How far one that waited or ran cold counts when it says more than is known.
const UPPER_BOUND: f64 = 0.05;
/// Paces of engines: step, most off at once and in all (log), how sure a shape must be to teach them, and how long they last (ms).
const PACE_STEP: f64 = 0.15;
const PACE_AT_ONCE: f64 = 0.7;
const MAX_PACE: f64 = 3.0;
const PACE_SURE: f64 = 0.4;
const PACE_LASTS: f64 = 15_000.0;
const MAX_ENGINES: usize = 1024;
/// How much of a sample's doubt a class's own level takes away, at most: a class says little of one shape.
const CLASS_SURE: f64 = 0.15;
const CLASS_HALF: f64 = 50.0;
const CLASS_STEP: f64 = 0.02;
const MAX_CLASS: f64 = 5.0;
/// What price and class count for against samples of the shape itself.
const PRIOR_WEIGHT: f64 = 0.02;
/// Costs below this (ms) are all alike.
const LEAST: f64 = 0.05;

/// How a attempt ended, as far as its cost goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Completed,
    /// Its time ran out, or it was given up, while it ran.
    CutOff,
}

/// A attempt that ran.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// When it ended (ms), where it ran, and for how long (ms).
    pub now: f64,
    pub engine: u64,
    pub latency: f64,
    /// Threads it ran on.
    pub threads: f64,
    pub end: End,
    /// It waited for memory, for a load or behind others, for a time that is not known.
    pub waited: bool,
    /// The engine was cold.
    pub cold: bool,
}

/// Work (ms on one core), memory (MB), and how sure the work is, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    pub cost: f64,
    pub memory: f64,
    pub sure: f64,
}

/// What is known of a shape's cost (log).
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    level: f64,
    scatter: f64,
    weight: f64,
    at: f64,
    /// Samples in a row that lay far off on one side, and their sum.
    far: i32,
    far_sum: f64,
}

impl Known {
    fn weight_at(&self, now: f64, half_life: f64) -> f64 {
        self.weight * (-(now - self.at).max(0.0) / half_life * std::f64::consts::LN_2).exp()
    }

    fn sure(&self, now: f64, how: &Learning) -> f64 {
        let weight = self.weight_at(now, how.half_life);
        weight / (weight + how.half_sure) / (1.0 + self.scatter)
    }

    /// Takes a sample that counts for `trust`, from 0 to 1. One that is not `clean` bounds the cost on one side only:
    /// it breaks no row of samples that agree.
    fn take(&mut self, sample: f64, trust: f64, clean: bool, now: f64, how: &Learning) {
        self.weight = self.weight_at(now, how.half_life);
        self.at = now;
        if self.weight < 0.05 {
            *self = Known {
                level: sample,
                scatter: FIRST_SCATTER,
                weight: trust,
                at: now,
                ..Known::default()
            };
            return;
        }
        let off = sample - self.level;
        let most = how.max_step.ln();
        let step = trust / (self.weight + trust);
        if off.abs() > FAR_LEAST.max(FAR * self.scatter) {
            let side = if off > 0.0 { 1 } else { -1 };
            let goes_on = self.far.signum() == side;
            self.far = if goes_on { self.far + side } else { side };
            self.far_sum = if goes_on {
                self.far_sum + sample
            } else {
                sample
            };
            if self.far.unsigned_abs() >= how.shift_after {
                let many = f64::from(self.far.abs());
                self.level = self.far_sum / many;
                (self.weight, self.scatter) = (many, FIRST_SCATTER);
                (self.far, self.far_sum) = (0, 0.0);
                return;
            }
            // It may be the first of many or the only one of its kind: a small step, and no scatter.
            self.level += step.min(0.25) * off.clamp(-most, most);
            return;
        }
        if clean {
            (self.far, self.far_sum) = (0, 0.0);
        } else if self.far != 0 {
            return;
        }
        self.level += step * off.clamp(-most, most);
        self.scatter += step * (off.abs() - self.scatter);
        self.weight = (self.weight + trust).min(MAX_WEIGHT);
    }
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    engine: u64,
    level: f64,
    at: f64,
}

impl Pace {
    fn now(&self, now: f64) -> f64 {
        self.level * (-(now - self.at).max(0.0) / PACE_LASTS).exp()
    }
}

/// How a class's shapes lie against their prices (log), and by how many samples that is known.
#[derive(Debug, Clone, Copy, Default)]
struct OfClass {
    level: f64,
    seen: f64,
}

pub struct Learner {
    how: Learning,
    max_costs: usize,
    shapes: Cache<u128, Known>,
    classes: [OfClass; 4],
    /// Sorted by engine.
    paces: Vec<Pace>,
    /// Room to find the middle of the paces.
    middle: Vec<f64>,
}

impl Learner {
    pub fn new(how: Learning, max_costs: usize) -> Self {
        let (classes, paces, middle) = Default::default();
        Learner {
            how,
            max_costs,
            shapes: Cache::new(max_costs as u64),
            classes,
            paces,
            middle,
        }
    }

    /// Takes on other settings; what was learned stays unless its room changed.
    pub fn set(&mut self, how: Learning, max_costs: usize) {
        self.how = how;
        if max_costs != self.max_costs {
            let mut fresh = Cache::new(max_costs as u64);
            for (shape, known) in self.shapes.iter() {
                fresh.insert(*shape, *known);
            }
            (self.shapes, self.max_costs) = (fresh, max_costs);
        }
    }

    pub fn kept(&self) -> usize {
        self.shapes.entry_count() as usize
    }

    pub fn estimate(
        &mut self,
        shape: u128,
        class: Class,
        cost: f64,
        memory: f64,
        now: f64,
    ) -> Estimate {
        let of_class = &self.classes[class as usize];
        let prior = cost.max(LEAST).ln() + of_class.level;
        let class_sure = CLASS_SURE * of_class.seen / (of_class.seen + CLASS_HALF);
        let Some(known) = self.shapes.get(&shape) else {
            return Estimate {
                cost: prior.exp(),
                memory,
                sure: class_sure,
            };
        };
        // One sample already says more of a shape than its class does.
        let weight = known.weight_at(now, self.how.half_life);
        let part = weight / (weight + PRIOR_WEIGHT);
        let level = part * known.level + (1.0 - part) * prior;
        Estimate {
            cost: level.exp(),
            memory,
            sure: known.sure(now, &self.how).max(class_sure),
        }
    }

    /// `cost`: the price by class and features under which it was taken.
    pub fn take(&mut self, shape: u128, class: Class, cost: f64, seen: &Observation) {
        let work = seen.latency * seen.threads;
        if !work.is_finite() || work < 0.0 || !cost.is_finite() || !seen.now.is_finite() {
            return;
        }
        let raw = work.max(LEAST).ln();
        let sample = raw - self.pace_of(seen.engine, seen.now);
        let prior = cost.max(LEAST).ln();
        let (now, how) = (seen.now, self.how);
        let known = self.shapes.get(&shape).copied();
        let expected = known.map_or(prior + self.classes[class as usize].level, |known| {
            known.level
        });
        let trust = match seen.end {
            End::CutOff if sample <= expected => return,
            End::CutOff => 0.5,
            End::Completed if (seen.waited || seen.cold) && sample > expected => UPPER_BOUND,
            End::Completed => 1.0,
        };
        let clean = seen.end == End::Completed && !seen.waited && !seen.cold;
        if let Some(known) = known.filter(|known| clean && known.sure(now, &how) > PACE_SURE) {
            // A shape in the middle of a shift tells nothing of the engine.
            if known.far == 0 {
                self.learn_pace(seen.engine, raw - known.level, now);
            }
        }
        let mut known = known.unwrap_or_default();
        known.take(sample, trust, clean, now, &how);
        self.shapes.insert(shape, known);
        if clean {
            let of_class = &mut self.classes[class as usize];
            of_class.seen = (of_class.seen + 1.0).min(1e6);
            let step = CLASS_STEP.max(1.0 / of_class.seen);
            of_class.level += step * (sample - prior - of_class.level);
            of_class.level = of_class.level.clamp(-MAX_CLASS, MAX_CLASS);
        }
    }

    /// How slow an engine is for all (log), against the lower middle of those that are known: when all became slower
    /// together, or when there is one alone, it is not the engine that one could blame.
    fn pace_of(&mut self, engine: u64, now: f64) -> f64 {
        let Ok(n) = self.paces.binary_search_by_key(&engine, |pace| pace.engine) else {
            return 0.0;
        };
        self.middle.clear();
        self.middle.extend(
            self.paces
                .iter()
                .filter(|pace| now - pace.at < PACE_LASTS)
                .map(|pace| pace.now(now)),
        );
        if self.middle.is_empty() {
            return 0.0;
        }
        let lower = (self.middle.len() - 1) / 2;
        let (_, middle, _) = self.middle.select_nth_unstable_by(lower, f64::total_cmp);
        let middle = *middle;
        self.paces[n].now(now) - middle
    }

    fn learn_pace(&mut self, engine: u64, off: f64, now: f64) {
        let n = match self.paces.binary_search_by_key(&engine, |pace| pace.engine) {
            Ok(n) => n,
            Err(n) => {
                self.paces.insert(
                    n,
                    Pace {
                        engine,
                        level: 0.0,
                        at: now,
                    },
                );
                n
            }
        };
        let pace = &mut self.paces[n];
        let level = pace.now(now);
        let level = level + PACE_STEP * (off - level).clamp(-PACE_AT_ONCE, PACE_AT_ONCE);
        *pace = Pace {
            engine,
            level: level.clamp(-MAX_PACE, MAX_PACE),
            at: now,
        };
        if self.paces.len() > MAX_ENGINES {
            let oldest = (0..self.paces.len())
                .min_by(|a, b| self.paces[*a].at.total_cmp(&self.paces[*b].at));
            oldest.map(|n| self.paces.remove(n));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEEN: Observation = Observation {
        now: 0.0,
        engine: 1,
        latency: 10.0,
        threads: 1.0,
        end: End::Completed,
        waited: false,
        cold: false,
    };

    fn learner() -> Learner {
        Learner::new(Learning::default(), 64)
    }

    fn cost(learner: &mut Learner, shape: u128, now: f64) -> f64 {
        learner.estimate(shape, Class::LookUp, 20.0, 8.0, now).cost
    }

    fn after(learner: &mut Learner, shape: u128, samples: usize, seen: Observation) -> f64 {
        (0..samples).for_each(|_| learner.take(shape, Class::LookUp, 20.0, &seen));
        cost(learner, shape, seen.now)
    }

    #[test]
    fn one_bad_plan_does_little_and_a_changed_cost_is_followed() {
        let mut l = learner();
        let usual = after(&mut l, 1, 20, SEEN);
        assert!((usual / 10.0 - 1.0).abs() < 0.05, "{usual}");
        let once = after(
            &mut l,
            1,
            1,
            Observation {
                latency: 1000.0,
                ..SEEN
            },
        );
        assert!(once < 11.0, "{once}");
        after(&mut l, 1, 1, SEEN);
        let changed = after(
            &mut l,
            1,
            3,
            Observation {
                latency: 1000.0,
                engine: 2,
                ..SEEN
            },
        );
        assert!((changed / 1000.0 - 1.0).abs() < 0.2, "{changed}");
    }

    #[test]
    fn it_grows_sure_with_samples_and_unsure_with_time_and_scatter() {
        let mut l = learner();
        let sure = |l: &mut Learner, now| l.estimate(1, Class::LookUp, 20.0, 8.0, now).sure;
        assert!(sure(&mut l, 0.0) < 0.01);
        after(&mut l, 1, 1, SEEN);
        let one = sure(&mut l, 0.0);
        after(&mut l, 1, 20, SEEN);
        let many = sure(&mut l, 0.0);
        assert!(0.1 < one && one < 0.3 && many > 0.7, "{one} {many}");
        assert!(sure(&mut l, 40.0 * 3_600_000.0) < 0.1);
        let mut wild = learner();
        for n in 0..40 {
            after(
                &mut wild,
                1,
                1,
                Observation {
                    latency: if n % 2 == 0 { 10.0 } else { 25.0 },
                    ..SEEN
                },
            );
        }
        assert!(sure(&mut wild, 0.0) < many - 0.1);
    }

    #[test]
    fn waits_and_cold_engines_hardly_raise_and_what_was_cut_off_never_lowers() {
        for upper in [
            Observation {
                waited: true,
                ..SEEN
            },
            Observation { cold: true, ..SEEN },
        ] {
            let mut l = learner();
            after(&mut l, 1, 10, SEEN);
            let raised = after(
                &mut l,
                1,
                1,
                Observation {
                    latency: 19.0,
                    ..upper
                },
            );
            assert!(raised < 10.2, "{raised}");
            let lowered = after(
                &mut l,
                1,
                10,
                Observation {
                    latency: 6.0,
                    ..upper
                },
            );
            assert!(lowered < 9.0, "{lowered}");
        }
        let mut l = learner();
        after(&mut l, 1, 10, SEEN);
        let cut = Observation {
            end: End::CutOff,
            ..SEEN
        };
        assert!(
            after(
                &mut l,
                1,
                10,
                Observation {
                    latency: 1.0,
                    ..cut
                }
            ) > 9.9
        );
        assert!(
            after(
                &mut l,
                1,
                10,
                Observation {
                    latency: 500.0,
                    ..cut
                }
            ) > 200.0
        );
    }

    #[test]
    fn an_engine_slow_for_all_leaves_costs_as_they_are() {
        let mut l = learner();
        for n in 0..400 {
            let (shape, engine) = (u128::from(n % 8_u32), u64::from(n % 4));
            after(
                &mut l,
                shape,
                1,
                Observation {
                    engine,
                    latency: 10.0,
                    now: f64::from(n),
                    ..SEEN
                },
            );
        }
        let mut slow = 0.0_f64;
        for n in 400..1200_u32 {
            let (shape, engine) = (u128::from(n / 4 % 8), u64::from(n % 4));
            let latency = if engine == 3 { 18.0 } else { 10.0 };
            after(
                &mut l,
                shape,
                1,
                Observation {
                    engine,
                    latency,
                    now: f64::from(n),
                    ..SEEN
                },
            );
            slow = slow.max(cost(&mut l, shape, f64::from(n)));
        }
        // Without paces it would be the mean of the logs: 11.6.
        let learned = cost(&mut l, 0, 1200.0);
        assert!(
            (learned - 10.0).abs() < 0.4 && slow < 11.6,
            "{learned} {slow}"
        );
    }

    #[test]
    fn what_is_no_number_teaches_nothing_and_all_is_bounded() {
        let mut l = learner();
        for latency in [f64::NAN, f64::INFINITY, -1.0] {
            after(&mut l, 1, 1, Observation { latency, ..SEEN });
        }
        assert_eq!(l.kept(), 0);
        for n in 0..20_000_u64 {
            after(&mut l, u128::from(n), 1, Observation { engine: n, ..SEEN });
        }
        assert!(l.kept() <= 64 && l.paces.len() <= MAX_ENGINES);
    }
}
