//! Whether an engine answers badly, as one dispatcher sees it: enough to speak up, and no more. Whether it is put out,
//! many decide under the limits.

use std::collections::BTreeMap;
use tansymux_coordination::Id;

/// Evidence is kept in two halves of so long (ms): it counts for one to two of them.
const HALF: f64 = 5000.0;
const MAX_ENGINES: usize = 1024;

/// When an engine counts as bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// So many of its ends, at least, of which this part was bad.
    pub ends: u32,
    pub part: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { ends: 8, part: 0.5 }
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Ends {
    bad: u32,
    all: u32,
}

/// How attempts to each engine ended of late.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    halves: BTreeMap<Id, [Ends; 2]>,
    since: f64,
}

impl Evidence {
    /// A attempt ended, and told something of the engine.
    pub fn ended(&mut self, now: f64, engine: Id, bad: bool) {
        self.turns(now);
        if self.halves.len() >= MAX_ENGINES && !self.halves.contains_key(&engine) {
            return;
        }
        let ends = &mut self.halves.entry(engine).or_default()[0];
        ends.all = ends.all.saturating_add(1);
        ends.bad = ends.bad.saturating_add(u32::from(bad));
    }

    fn turns(&mut self, now: f64) {
        if now - self.since < HALF {
            return;
        }
        let long = now - self.since >= 2.0 * HALF;
        self.since = now;
        for halves in self.halves.values_mut() {
            *halves = [
                Ends::default(),
                if long { Ends::default() } else { halves[0] },
            ];
        }
        self.halves
            .retain(|_, halves| halves.iter().any(|ends| ends.all > 0));
    }

    fn of(halves: &[Ends; 2]) -> Ends {
        Ends {
            bad: halves[0].bad + halves[1].bad,
            all: halves[0].all + halves[1].all,
        }
    }

    /// The engine that answers worst, if it is bad, and the others are not: where all are, the fault is nearer.
    pub fn bad(&mut self, now: f64, terms: &Terms) -> Option<Id> {
        self.turns(now);
        let part = |ends: Ends| f64::from(ends.bad) / f64::from(ends.all.max(1));
        let all = self
            .halves
            .iter()
            .map(|(id, halves)| (*id, Evidence::of(halves)));
        let bad = all
            .clone()
            .filter(|(_, ends)| ends.all >= terms.ends && part(*ends) >= terms.part);
        let (worst, _) = bad.max_by(|(_, a), (_, b)| part(*a).total_cmp(&part(*b)))?;
        let others = all
            .filter(|(id, _)| *id != worst)
            .fold(Ends::default(), |sum, (_, ends)| Ends {
                bad: sum.bad + ends.bad,
                all: sum.all + ends.all,
            });
        (others.all >= terms.ends && part(others) < terms.part / 2.0).then_some(worst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_bad_engine_among_good_ones_is_named_and_forgotten_once_it_answers_well() {
        let mut evidence = Evidence::default();
        for n in 0..40 {
            evidence.ended(100.0, 1 + n % 4, n % 4 == 2);
        }
        assert_eq!(evidence.bad(200.0, &Terms::default()), Some(3));
        assert_eq!(evidence.bad(200.0 + 3.0 * HALF, &Terms::default()), None);
    }

    #[test]
    fn where_all_are_bad_or_too_little_was_seen_none_is_named() {
        let mut evidence = Evidence::default();
        (0..40).for_each(|n| evidence.ended(0.0, n % 4, true));
        assert_eq!(evidence.bad(1.0, &Terms::default()), None);
        let mut few = Evidence::default();
        (0..7).for_each(|_| few.ended(0.0, 1, true));
        (0..40).for_each(|_| few.ended(0.0, 2, false));
        assert_eq!(few.bad(1.0, &Terms::default()), None);
    }
}
