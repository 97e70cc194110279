//! What a member makes of the fleet's decisions, and of not hearing them.

use crate::watch::{Fleetwide, Stage};
use crate::{Zone, MAX_ZONES};
use std::collections::BTreeMap;

/// After a start the others' zones are closed so long (ms), or until the leader was heard: who knows nothing does not
/// know what it must keep away from.
const UNHEARD: f64 = 2500.0;

/// How a zone may be used from here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Use {
    /// By own judgement.
    Own,
    /// Nothing new.
    Closed,
    /// So much of the whole.
    Part(f64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Known {
    of: Fleetwide,
    heard: f64,
    share: f64,
    until: f64,
}

/// One member's side.
#[derive(Debug, Clone)]
pub struct EvacuationFollower {
    own: Zone,
    started: f64,
    heard: f64,
    own_after: f64,
    known: BTreeMap<Zone, Known>,
}

impl EvacuationFollower {
    pub fn new(own: Zone, own_after: f64, now: f64) -> Self {
        EvacuationFollower {
            own,
            started: now,
            heard: f64::NEG_INFINITY,
            own_after,
            known: BTreeMap::new(),
        }
    }

    /// All that the leader has agreed on, as it stands: of the others nothing holds.
    pub fn hears(&mut self, now: f64, all: &[(Zone, Fleetwide)]) {
        self.heard = now;
        // A decision that was overtaken on its way is known by its number.
        let older =
            |known: &Known, of: &Fleetwide| of.number.wrapping_sub(known.of.number) > u32::MAX / 2;
        self.known
            .retain(|zone, _| all.iter().any(|(of, _)| of == zone));
        for (zone, of) in all.iter().take(MAX_ZONES) {
            let fresh = Known {
                of: *of,
                heard: now,
                share: 0.0,
                until: f64::NEG_INFINITY,
            };
            let known = self.known.entry(*zone).or_insert(fresh);
            if older(known, of) {
                continue;
            }
            if known.of.stage != of.stage {
                (known.share, known.until) = (0.0, f64::NEG_INFINITY);
            }
            (known.of, known.heard) = (*of, now);
        }
    }

    /// A share that was asked for then: good until `term` after that.
    pub fn share(&mut self, zone: Zone, number: u32, share: f64, asked: f64, term: f64, skew: f64) {
        let Some(known) = self
            .known
            .get_mut(&zone)
            .filter(|known| known.of.number == number)
        else {
            return;
        };
        let until = asked + term * (1.0 - skew);
        // What was asked for later holds, also if it is less: the leader counts on it only by the term.
        if until >= known.until {
            (known.share, known.until) = (share.clamp(0.0, 1.0), until);
        }
    }

    /// How a zone may be used now.
    pub fn of(&self, now: f64, zone: Zone) -> Use {
        // Nobody inside leaves.
        if zone == self.own {
            return Use::Own;
        }
        match self.known.get(&zone) {
            None if self.heard == f64::NEG_INFINITY && now - self.started < UNHEARD => Use::Closed,
            None => Use::Own,
            // Who has not heard for long judges for itself again.
            Some(_) if now - self.heard > self.own_after => Use::Own,
            Some(known) => match known.of.stage {
                Stage::Left => Use::Closed,
                Stage::Returns if now < known.until && known.share > 0.0 => Use::Part(known.share),
                Stage::Returns => Use::Closed,
            },
        }
    }

    pub fn known(&self) -> impl Iterator<Item = (Zone, Fleetwide)> + '_ {
        self.known.iter().map(|(zone, known)| (*zone, known.of))
    }

    /// Since when it has heard nothing (ms).
    pub fn unheard(&self, now: f64) -> f64 {
        now - self.heard.max(self.started)
    }
}
