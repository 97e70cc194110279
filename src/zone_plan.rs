//! What a plan for zones leaves open: tiers of preference, limits on what spills, the climb back of engines that
//! return. The plan comes from outside; here it is kept against what runs. Which engine is chosen among those that are
//! open stays with `control`.

use crate::control::Control;

/// A plan as it is handed over: zones by their names, engines by their numbers, groups in the order of the settings.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZonePlan {
    pub zones: Vec<ZoneLimits>,
    /// Threads that each engine may have of ours, in all.
    pub engines: Vec<(u64, f64)>,
    /// Of the further attempts this part may go to another zone than the last one.
    pub cross_zone_retry_ratio: f64,
    /// This dispatcher is cut off itself: low work is better rejected at once than sent into silence.
    pub isolated: bool,
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZoneLimits {
    pub name: String,
    /// By group: 0 is nearest.
    pub tiers: Vec<u8>,
    /// Threads of low work from elsewhere, in all and by group.
    pub max_spill_threads: f64,
    pub max_spill_threads_by_group: Vec<f64>,
}

/// Threads that may be out somewhere, and those that are. Where they are fewer than a query takes, as when many
/// dispatchers share them, thread time is saved up (ms) and one goes at a time: over time that keeps to them.
#[derive(Debug, Clone, Copy)]
struct Capacity {
    threads: f64,
    out: f64,
    credit: f64,
    at: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            threads: f64::INFINITY,
            out: 0.0,
            credit: 0.0,
            at: 0.0,
        }
    }
}

impl Capacity {
    /// Takes on how many there may be; one that opens begins with nothing saved up.
    fn set(&mut self, threads: f64, now: f64) {
        if self.threads.is_infinite() || self.threads <= 0.0 {
            (self.credit, self.at) = (0.0, now);
        }
        self.threads = threads;
    }

    /// Whether a query of so many threads for so long (ms) finds room.
    fn takes(&self, threads: f64, lasts: f64, now: f64) -> bool {
        let saved = self.credit + self.threads.min(threads) * (now - self.at);
        let by_credit = self.out <= 0.0 && self.threads > 0.0 && saved >= threads * lasts;
        self.out + threads <= self.threads || by_credit
    }

    fn add(&mut self, threads: f64, lasts: f64, now: f64) {
        if self.threads.is_finite() {
            // What is saved up, and what is overdrawn, is bounded by what a query takes.
            let (query, earned) = (threads * lasts, self.threads.min(threads) * (now - self.at));
            self.credit = ((self.credit + earned).min(2.0 * query) - query).max(-query);
            self.at = now;
        }
        self.out += threads;
    }

    fn give_back(&mut self, threads: f64) {
        self.out = (self.out - threads).max(0.0);
    }
}

/// A zone: its tier for each group, and the room of low work from elsewhere, in all and by group.
#[derive(Debug, Clone, Default)]
struct Zone {
    ranks: Vec<u8>,
    spill: Capacity,
    by_group: Vec<Capacity>,
}

/// Further attempts across zones: saved up to so many, and so many are free.
const MAX_CROSS: f64 = 20.0;
const CROSS_FREE: f64 = 2.0;

#[derive(Debug, Default)]
pub struct Tiers {
    pub on: bool,
    zones: Vec<Zone>,
    engines: Vec<Capacity>,
    cross_zone_retry_ratio: f64,
    cross: f64,
    alone: bool,
}

/// What a attempt took of a plan's room, given back when it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reservation {
    threads: f64,
    spilled: bool,
}

impl Control {
    /// Takes on a plan, or goes on without one. What runs stays counted.
    pub fn set_zone_plan(&mut self, given: Option<&ZonePlan>) {
        let Some(given) = given else {
            self.tiers.on = false;
            return;
        };
        if !self.tiers.on {
            self.tiers.cross = CROSS_FREE;
        }
        (
            self.tiers.on,
            self.tiers.alone,
            self.tiers.cross_zone_retry_ratio,
        ) = (true, given.isolated, given.cross_zone_retry_ratio);
        for told in &given.zones {
            let at = self.interner.zones.index(&told.name) as usize;
            self.tiers
                .zones
                .resize(self.tiers.zones.len().max(at + 1), Zone::default());
            let zone = &mut self.tiers.zones[at];
            zone.ranks.clone_from(&told.tiers);
            zone.spill.set(told.max_spill_threads, self.now);
            zone.by_group.resize(told.tiers.len(), Capacity::default());
            for (room, threads) in zone
                .by_group
                .iter_mut()
                .zip(&told.max_spill_threads_by_group)
            {
                room.set(*threads, self.now);
            }
        }
        for (engine_id, threads) in &given.engines {
            let Some(e) = self.interner.engine_ids.find(*engine_id) else {
                continue;
            };
            self.tiers
                .engines
                .resize(self.tiers.engines.len().max(e + 1), Capacity::default());
            self.tiers.engines[e].set(*threads, self.now);
        }
    }

    /// The tier in which a query finds an engine; all are alike without a plan.
    pub fn rank(&self, i: usize, e: usize) -> u8 {
        if !self.tiers.on {
            return 0;
        }
        let zone = self.tiers.zones.get(self.engines[e].zone as usize);
        zone.and_then(|zone| zone.ranks.get(self.queries[i].rg))
            .copied()
            .unwrap_or(0)
    }

    /// Whether the plan leaves an engine open to a query. A doubted engine's trials, which are of the fast lane, are the
    /// decisions' own affair.
    pub fn open_to(&self, i: usize, e: usize) -> bool {
        let (q, engine) = (&self.queries[i], &self.engines[e]);
        if !self.tiers.on || engine.suspect && !q.low {
            return true;
        }
        if q.low && self.tiers.alone {
            return false;
        }
        let (threads, lasts) = (self.groups[q.rg].threads, self.alone(i).max(1.0));
        let takes = |room: &Capacity| room.takes(threads, lasts, self.now);
        if !self.tiers.engines.get(e).is_none_or(takes) {
            return false;
        }
        if !q.low || self.rank(i, e) == 0 {
            return true;
        }
        let Some(zone) = self.tiers.zones.get(engine.zone as usize) else {
            return true;
        };
        takes(&zone.spill) && zone.by_group.get(q.rg).is_none_or(takes)
    }

    /// Whether a further attempt would go to another zone than the last one, with none of these left.
    pub fn may_not_cross(&self, i: usize, e: usize) -> bool {
        let last = self.queries[i]
            .sent()
            .last()
            .map(|s| self.engines[s.engine].zone);
        self.tiers.on
            && self.tiers.cross < 1.0
            && last.is_some_and(|zone| zone != self.engines[e].zone)
    }

    /// Counts a attempt that is about to go out.
    pub fn takes_room(&mut self, i: usize, e: usize) -> Reservation {
        if !self.tiers.on {
            return Reservation::default();
        }
        let (rg, low, threads) = (
            self.queries[i].rg,
            self.queries[i].low,
            self.groups[self.queries[i].rg].threads,
        );
        let (zone, lasts, now) = (self.engines[e].zone, self.alone(i).max(1.0), self.now);
        let spilled = low && self.rank(i, e) > 0;
        let last = self.queries[i]
            .sent()
            .last()
            .map(|s| self.engines[s.engine].zone);
        let tiers = &mut self.tiers;
        match last {
            Some(last) if last != zone => tiers.cross = (tiers.cross - 1.0).max(0.0),
            Some(_) => tiers.cross = (tiers.cross + tiers.cross_zone_retry_ratio).min(MAX_CROSS),
            // First attempts bring little: a storm must not live on the calm before it.
            None => {
                tiers.cross = (tiers.cross + 0.05 * tiers.cross_zone_retry_ratio).min(MAX_CROSS)
            }
        }
        tiers
            .engines
            .resize(tiers.engines.len().max(e + 1), Capacity::default());
        tiers.engines[e].add(threads, lasts, now);
        if let Some(zone) = tiers.zones.get_mut(zone as usize).filter(|_| spilled) {
            zone.spill.add(threads, lasts, now);
            zone.by_group
                .get_mut(rg)
                .into_iter()
                .for_each(|room| room.add(threads, lasts, now));
        }
        Reservation { threads, spilled }
    }

    /// Gives back what an ended attempt took.
    pub fn gives_back(&mut self, took: Reservation, rg: usize, e: usize) {
        if took.threads <= 0.0 {
            return;
        }
        self.tiers
            .engines
            .get_mut(e)
            .into_iter()
            .for_each(|room| room.give_back(took.threads));
        let zone = self.engines[e].zone as usize;
        if let Some(zone) = self.tiers.zones.get_mut(zone).filter(|_| took.spilled) {
            zone.spill.give_back(took.threads);
            zone.by_group
                .get_mut(rg)
                .into_iter()
                .for_each(|room| room.give_back(took.threads));
        }
    }

    /// Low threads of ours in a zone that came from elsewhere.
    pub fn spilled_threads(&self, zone: &str) -> f64 {
        let at = self
            .interner
            .zones
            .find(zone)
            .and_then(|zone| self.tiers.zones.get(zone as usize));
        at.map_or(0.0, |zone| zone.spill.out)
    }
}
