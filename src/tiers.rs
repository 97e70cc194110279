//! What a plan for halls leaves open: tiers of preference, limits on what spills, the climb back of engines that
//! return. The plan comes from outside; here it is kept against what runs. Which engine is chosen among those that are
//! open stays with `control`.

use crate::control::Control;

/// A plan as it is handed over: halls by their names, engines by their numbers, groups in the order of the settings.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Given {
    pub halls: Vec<GivenHall>,
    /// Threads that each engine may have of ours, in all.
    pub engines: Vec<(u64, f64)>,
    /// Of the further submissions this part may go to another hall than the last one.
    pub cross_retries: f64,
    /// This gateway is cut off itself: low work is better deferred at once than sent into silence.
    pub alone: bool,
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct GivenHall {
    pub name: String,
    /// By group: 0 is nearest.
    pub ranks: Vec<u8>,
    /// Threads of low work from elsewhere, in all and by group.
    pub spill: f64,
    pub spill_by_group: Vec<f64>,
}

/// Low threads that may go to a hall from elsewhere, and those that did.
#[derive(Debug, Clone, Default)]
struct Hall {
    ranks: Vec<u8>,
    most: f64,
    most_by_group: Vec<f64>,
    out: f64,
    out_by_group: Vec<f64>,
}

/// Threads that an engine may have of ours, those it has, and thread time (ms) saved up where it is less than a query.
#[derive(Debug, Clone, Copy)]
struct Room {
    threads: f64,
    out: f64,
    credit: f64,
    at: f64,
}

const ANY: Room = Room { threads: f64::INFINITY, out: 0.0, credit: 0.0, at: 0.0 };
/// Further submissions across halls: saved up to so many, and so many are free.
const CROSS_MOST: f64 = 20.0;
const CROSS_FREE: f64 = 2.0;

#[derive(Debug, Default)]
pub struct Tiers {
    pub on: bool,
    halls: Vec<Hall>,
    engines: Vec<Room>,
    cross_retries: f64,
    cross: f64,
    alone: bool,
}

/// What a submission took of a plan's room, given back when it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Took {
    threads: f64,
    spilled: bool,
}

impl Control {
    /// Takes on a plan, or goes on without one. What runs stays counted.
    pub fn plan_halls(&mut self, given: Option<&Given>) {
        let Some(given) = given else {
            self.tiers.on = false;
            return;
        };
        if !self.tiers.on {
            self.tiers.cross = CROSS_FREE;
        }
        (self.tiers.on, self.tiers.alone, self.tiers.cross_retries) =
            (true, given.alone, given.cross_retries);
        for told in &given.halls {
            let at = self.door.halls.index(&told.name) as usize;
            self.tiers.halls.resize(self.tiers.halls.len().max(at + 1), Hall::default());
            let hall = &mut self.tiers.halls[at];
            hall.ranks.clone_from(&told.ranks);
            hall.most = told.spill;
            hall.most_by_group.clone_from(&told.spill_by_group);
            hall.out_by_group.resize(told.ranks.len(), 0.0);
        }
        for (node, threads) in &given.engines {
            let Some(e) = self.door.nodes.find(*node) else { continue };
            self.tiers.engines.resize(self.tiers.engines.len().max(e + 1), ANY);
            let room = &mut self.tiers.engines[e];
            // A climb begins with nothing saved up.
            if room.threads.is_infinite() || room.threads <= 0.0 {
                (room.credit, room.at) = (0.0, self.now);
            }
            room.threads = *threads;
        }
    }

    /// The tier in which a query finds an engine; all are alike without a plan.
    pub fn rank(&self, i: usize, e: usize) -> u8 {
        if !self.tiers.on {
            return 0;
        }
        let hall = self.tiers.halls.get(self.engines[e].hall as usize);
        hall.and_then(|hall| hall.ranks.get(self.queries[i].rg)).copied().unwrap_or(0)
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
        let threads = self.groups[q.rg].threads;
        if let Some(room) = self.tiers.engines.get(e).filter(|room| room.threads.is_finite()) {
            let saved = room.credit + room.threads * (self.now - room.at);
            let by_credit =
                room.out <= 0.0 && room.threads > 0.0 && saved >= threads * self.alone(i).max(1.0);
            if room.out + threads > room.threads && !by_credit {
                return false;
            }
        }
        let last = q.sent().last().map(|s| self.engines[s.engine].hall);
        if last.is_some_and(|hall| hall != engine.hall) && self.tiers.cross < 1.0 {
            return false;
        }
        if !q.low || self.rank(i, e) == 0 {
            return true;
        }
        let Some(hall) = self.tiers.halls.get(engine.hall as usize) else { return true };
        let of_group = |list: &[f64], or: f64| list.get(q.rg).copied().unwrap_or(or);
        hall.out + threads <= hall.most
            && of_group(&hall.out_by_group, 0.0) + threads <= of_group(&hall.most_by_group, f64::INFINITY)
    }

    /// Counts a submission that is about to go out.
    pub fn takes_room(&mut self, i: usize, e: usize) -> Took {
        if !self.tiers.on {
            return Took::default();
        }
        let (rg, low, threads) =
            (self.queries[i].rg, self.queries[i].low, self.groups[self.queries[i].rg].threads);
        let (hall, alone, now) = (self.engines[e].hall, self.alone(i).max(1.0), self.now);
        let spilled = low && self.rank(i, e) > 0;
        let last = self.queries[i].sent().last().map(|s| self.engines[s.engine].hall);
        let tiers = &mut self.tiers;
        match last {
            Some(last) if last != hall => tiers.cross = (tiers.cross - 1.0).max(0.0),
            Some(_) => tiers.cross = (tiers.cross + tiers.cross_retries).min(CROSS_MOST),
            // First submissions bring little: a storm must not live on the calm before it.
            None => tiers.cross = (tiers.cross + 0.05 * tiers.cross_retries).min(CROSS_MOST),
        }
        tiers.engines.resize(tiers.engines.len().max(e + 1), ANY);
        let room = &mut tiers.engines[e];
        if room.threads.is_finite() {
            // What is saved up is bounded by what one query takes.
            room.credit =
                (room.credit + room.threads * (now - room.at)).min(2.0 * threads * alone) - threads * alone;
            room.credit = room.credit.max(-threads * alone);
            room.at = now;
        }
        room.out += threads;
        if let Some(hall) = tiers.halls.get_mut(hall as usize).filter(|_| spilled) {
            hall.out += threads;
            if let Some(out) = hall.out_by_group.get_mut(rg) {
                *out += threads;
            }
        }
        Took { threads, spilled }
    }

    /// Gives back what an ended submission took.
    pub fn gives_back(&mut self, took: Took, rg: usize, e: usize) {
        if took.threads <= 0.0 {
            return;
        }
        if let Some(room) = self.tiers.engines.get_mut(e) {
            room.out = (room.out - took.threads).max(0.0);
        }
        let hall = self.engines[e].hall as usize;
        if let Some(hall) = self.tiers.halls.get_mut(hall).filter(|_| took.spilled) {
            hall.out = (hall.out - took.threads).max(0.0);
            if let Some(out) = hall.out_by_group.get_mut(rg) {
                *out = (*out - took.threads).max(0.0);
            }
        }
    }

    /// Low threads of ours in a hall that came from elsewhere.
    pub fn spilled(&self, hall: &str) -> f64 {
        let at = self.door.halls.find(hall).and_then(|hall| self.tiers.halls.get(hall as usize));
        at.map_or(0.0, |hall| hall.out)
    }
}
