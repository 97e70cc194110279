//! What the decisions know of the pool, as parts from 0 to 1, for whoever sets service levels by them. Nothing is
//! decided here. What there is nothing to take a part of is no number.

use crate::control::Control;

fn part(of: usize, all: usize) -> f64 {
    if all == 0 {
        f64::NAN
    } else {
        of as f64 / all as f64
    }
}

impl Control {
    fn known(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.engines.len()).filter(|&e| self.engines[e].listed || self.engines[e].ready)
    }

    /// Part of the ready engines, of a zone if one is named, that show pressure.
    pub fn pressured_fraction(&self, zone: Option<&str>) -> f64 {
        let zone = zone.map(|name| self.interner.zones.find(name));
        let of_zone = |e: &usize| zone.is_none_or(|zone| zone == Some(self.engines[*e].zone));
        let ready: Vec<usize> = self
            .known()
            .filter(|&e| self.engines[e].ready)
            .filter(of_zone)
            .collect();
        part(
            ready.iter().filter(|&&e| self.pressure(e)).count(),
            ready.len(),
        )
    }

    /// Low threads of all that are known, against the bounds as they are at full service.
    pub fn concurrency_used_fraction(&self) -> f64 {
        let (mut used, mut bounds) = (0.0, 0.0);
        for engine in self.engines.iter().filter(|engine| engine.ready) {
            used += engine.low_threads + engine.others;
            bounds += engine.bound * engine.cores * self.share();
        }
        if bounds > 0.0 {
            (used / bounds).min(1.0)
        } else {
            f64::NAN
        }
    }

    /// Threads that what is out from here runs on, as far as is known: one for each that is not of the low lane.
    pub fn threads_in_flight(&self) -> f64 {
        let of = |engine: &crate::state::Engine| {
            engine.low_threads + (engine.open - engine.low_open) as f64
        };
        self.engines.iter().map(of).sum()
    }

    pub fn ready_fraction(&self) -> f64 {
        part(
            self.known().filter(|&e| self.engines[e].ready).count(),
            self.known().count(),
        )
    }

    /// Part of the ready engines that started less than a warming time ago.
    pub fn warming_fraction(&self) -> f64 {
        let warm_after = self.allowed.cold.map_or(0.0, |rule| rule.warm_after);
        let ready = || self.engines.iter().filter(|engine| engine.ready);
        part(
            ready()
                .filter(|engine| self.now - engine.started < warm_after)
                .count(),
            ready().count(),
        )
    }

    pub fn ejected_fraction(&self) -> f64 {
        let ready = || self.engines.iter().filter(|engine| engine.ready);
        part(
            ready().filter(|engine| engine.suspect).count(),
            ready().count(),
        )
    }
}
