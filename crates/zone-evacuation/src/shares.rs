//! A returning zone's step, given out in shares by demand, with a term each.

use crate::Id;
use std::collections::BTreeMap;

/// Members that hold shares at most.
const MAX_HOLDERS: usize = 1024;
/// RampQuotas of one member that are told apart: each smaller than the one before.
const MAX_KEPT: usize = 16;
/// This part of a step is given evenly, the rest by demand: who has none yet can still find out that it needs more.
const EVEN: f64 = 0.2;

/// What a member may hold: the largest of what it was given and has not outlived.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Given {
    share: f64,
    until: f64,
}

/// The shares of one zone, as the leader has given them out.
#[derive(Debug, Clone, Default)]
pub struct RampQuotas {
    given: BTreeMap<Id, Vec<Given>>,
    /// What each member could use, and when it said so.
    demand: BTreeMap<Id, (f64, f64)>,
}

impl RampQuotas {
    fn most(given: &[Given]) -> f64 {
        given.iter().map(|given| given.share).fold(0.0, f64::max)
    }

    /// All that may be held at this moment.
    pub fn out(&self) -> f64 {
        self.given
            .values()
            .map(|given| RampQuotas::most(given))
            .sum()
    }

    fn forgets(&mut self, now: f64, holds: f64) {
        for given in self.given.values_mut() {
            given.retain(|given| now < given.until);
        }
        self.given.retain(|_, given| !given.is_empty());
        self.demand.retain(|_, (_, at)| now - *at < holds);
    }

    /// A member asks, with what it could use (threads); its share of `all`, never so much that what all may hold is
    /// over it. `term`: how long the member may use it, from when it *asked*; it is counted from now, and a little
    /// more for clocks that run apart.
    pub fn asks(&mut self, now: f64, id: Id, demand: f64, all: f64, term: f64, skew: f64) -> f64 {
        self.forgets(now, 2.0 * term);
        if self.demand.len() >= MAX_HOLDERS && !self.demand.contains_key(&id) {
            return 0.0;
        }
        self.demand.insert(
            id,
            (
                if demand.is_finite() {
                    demand.max(0.0)
                } else {
                    0.0
                },
                now,
            ),
        );
        let sum: f64 = self.demand.values().map(|(demand, _)| demand).sum();
        let even = all * EVEN / self.demand.len() as f64;
        let by_demand = if sum > 0.0 {
            all * (1.0 - EVEN) * self.demand[&id].0 / sum
        } else {
            0.0
        };
        let own = self
            .given
            .get(&id)
            .map_or(0.0, |given| RampQuotas::most(given));
        // What it holds already is counted; anything above that must be free.
        let free = (all - self.out()).max(0.0);
        let share = (even + by_demand).min(own + free);
        if share > 0.0 {
            let given = self.given.entry(id).or_default();
            let until = now + term * (1.0 + skew);
            // What is no larger is not needed beside it, but for as long as it may be held.
            let longest = given
                .iter()
                .filter(|old| old.share <= share)
                .map(|old| old.until)
                .fold(until, f64::max);
            given.retain(|old| old.share > share);
            let full = given.len() >= MAX_KEPT;
            match given.last_mut().filter(|_| full) {
                // Counted as more than it is, and never as less.
                Some(last) => last.until = last.until.max(longest),
                None => given.push(Given {
                    share,
                    until: longest,
                }),
            }
        }
        share
    }
}
