//! What the leader makes of the evidence of all, and what it decides.

use crate::define::Definition;
use crate::shares::RampQuotas;
use crate::wire::{Evidence, Reach, Told};
use crate::{Id, Zone, MAX_ZONES};
use std::collections::BTreeMap;

/// What a member said counts so long (ms); it says it again every second.
const HOLDS: f64 = 4000.0;
const MAX_MEMBERS: usize = 1024;
/// Of the ends of a step this part may be bad for the next one, and this part sets it back.
const GOOD_PART: f64 = 0.1;
const BAD_PART: f64 = 0.3;
/// Ends without which a step has shown nothing.
const MIN_ENDS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Nothing new goes there from outside.
    Left,
    /// It gets the part of a step, in shares.
    Returns,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Why {
    /// Nobody reaches it, and nobody is heard from inside.
    Lost = 0,
    /// Those outside don't reach it; those inside go on.
    CutOff = 1,
    ByHand = 2,
    /// It is reached again.
    Reached = 3,
    /// Answers worsened during a return.
    Worsened = 4,
    /// All is well in the last step.
    Whole = 5,
}

/// How a zone stands for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleetwide {
    pub stage: Stage,
    pub step: u8,
    pub number: u32,
    pub why: Why,
}

/// What is to be agreed on: none of it before a majority keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    pub zone: Zone,
    /// None: it is whole again.
    pub to: Option<Fleetwide>,
    pub why: Why,
}

/// What the evidence says of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few know.
    Unknown,
    Well,
    /// Some outside don't reach it: their way is cut, and they know it.
    SomeDont,
    Lost,
    CutOff,
}

/// What was refused, with the figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Refused {
    /// Work (threads) that remains would have to carry, and what it can.
    NotCarried { load: f64, room: f64 },
    /// Part of all cores that would be left.
    TooMuch { part: f64 },
}

#[derive(Debug, Clone)]
struct Member {
    zone: Zone,
    there: bool,
    told: Option<(f64, Told)>,
}

#[derive(Debug, Clone, Default)]
struct Watched {
    cores: f64,
    /// Since when the evidence has said so.
    lost_since: Option<f64>,
    reached_since: Option<f64>,
    /// When the stage or step began, and which one that was.
    since: f64,
    seen: Option<Fleetwide>,
    /// Ends of this step, over all members.
    good: u32,
    bad: u32,
    shares: RampQuotas,
    left_at: f64,
    times: u32,
}

/// The leader's watch over all zones. Soft: a later leader gathers it anew.
#[derive(Debug, Clone)]
pub struct EvacuationController {
    definition: Definition,
    members: BTreeMap<Id, Member>,
    zones: BTreeMap<Zone, Watched>,
    number: u32,
}

impl EvacuationController {
    pub fn new(definition: Definition) -> Self {
        EvacuationController {
            definition,
            members: BTreeMap::new(),
            zones: BTreeMap::new(),
            number: 0,
        }
    }

    pub fn set(&mut self, definition: Definition) {
        self.definition = definition;
    }

    pub fn definition(&self) -> &Definition {
        &self.definition
    }

    /// A new leader remembers nothing: what was given out before it led is over before it decides.
    pub fn clear(&mut self) {
        self.members.clear();
        // What the list tells is no memory of another leader's.
        self.zones.values_mut().for_each(|zone| {
            *zone = Watched {
                cores: zone.cores,
                ..Watched::default()
            }
        });
    }

    /// Cores of each zone's engines, as listed.
    pub fn capacity(&mut self, cores: &[(Zone, f64)]) {
        self.zones.values_mut().for_each(|zone| zone.cores = 0.0);
        for (zone, cores) in cores.iter().take(MAX_ZONES) {
            self.zones.entry(*zone).or_default().cores = *cores;
        }
    }

    /// Who is there, and in which zone.
    pub fn members(&mut self, members: impl Iterator<Item = (Id, Zone, bool)>) {
        self.members
            .values_mut()
            .for_each(|member| member.there = false);
        for (id, zone, there) in members.take(MAX_MEMBERS) {
            let member = self.members.entry(id).or_insert(Member {
                zone,
                there,
                told: None,
            });
            (member.zone, member.there) = (zone, there);
        }
        self.members
            .retain(|_, member| member.there || member.told.is_some());
    }

    /// What a member says.
    pub fn told(&mut self, now: f64, id: Id, told: Told) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if let Some((_, before)) = &member.told {
            // Ends since it said so last; one that started anew begins at nothing.
            for evidence in &told.zones {
                let old = before.zones.iter().find(|old| old.zone == evidence.zone);
                let (Some(old), Some(zone)) = (old, self.zones.get_mut(&evidence.zone)) else {
                    continue;
                };
                if told.session == before.session {
                    zone.good = zone
                        .good
                        .saturating_add(u32::from(evidence.good.wrapping_sub(old.good)));
                    zone.bad = zone
                        .bad
                        .saturating_add(u32::from(evidence.bad.wrapping_sub(old.bad)));
                }
            }
        }
        member.told = Some((now, told));
    }

    fn fresh<'a>(
        &'a self,
        now: f64,
        zone: Zone,
    ) -> impl Iterator<Item = (&'a Member, &'a Evidence)> + 'a {
        self.members.values().filter_map(move |member| {
            let (at, told) = member.told.as_ref()?;
            let evidence = told.zones.iter().find(|evidence| evidence.zone == zone)?;
            // One that takes itself for cut off is no witness.
            (now - at < HOLDS && member.there && !told.alone).then_some((member, evidence))
        })
    }

    /// What the evidence says of a zone.
    pub fn verdict(&self, now: f64, zone: Zone) -> Verdict {
        let (mut cut, mut well) = (0, 0);
        for (_, evidence) in self
            .fresh(now, zone)
            .filter(|(member, _)| member.zone != zone)
        {
            match evidence.reach {
                Reach::Cut => cut += 1,
                Reach::Well | Reach::Climbing => well += 1,
                Reach::Unknown => {}
            }
        }
        let outside = self
            .members
            .values()
            .filter(|member| member.there && member.zone != zone)
            .count();
        let known = cut + well;
        if known == 0 || (known as f64) < self.definition.known_part * outside as f64 {
            return Verdict::Unknown;
        }
        if cut as f64 >= self.definition.lost_part * known as f64 {
            let inside = |(member, evidence): (&Member, &Evidence)| {
                member.zone == zone && matches!(evidence.reach, Reach::Well | Reach::Climbing)
            };
            return if self.fresh(now, zone).any(inside) {
                Verdict::CutOff
            } else {
                Verdict::Lost
            };
        }
        if cut > 0 {
            Verdict::SomeDont
        } else {
            Verdict::Well
        }
    }

    /// What the fleet runs in all zones but those inside it, from there (threads): what the others would have to take.
    fn load_of(&self, now: f64, zone: Zone) -> f64 {
        self.fresh(now, zone)
            .map(|(_, evidence)| f64::from(evidence.threads).max(0.0))
            .sum()
    }

    /// Whether a zone may be left: what the others would carry, and what part of all is left then. By the operators'
    /// word the second is not asked.
    pub fn may_leave(
        &self,
        now: f64,
        zone: Zone,
        left: &BTreeMap<Zone, Fleetwide>,
        by_hand: bool,
    ) -> Result<(), Refused> {
        let all: f64 = self.zones.values().map(|zone| zone.cores).sum();
        let is_left = |other: Zone| {
            left.get(&other)
                .is_some_and(|known| known.stage == Stage::Left)
        };
        let gone = |other: Zone| other == zone || is_left(other);
        let left_cores: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| gone(**id))
            .map(|(_, zone)| zone.cores)
            .sum();
        let part = if all > 0.0 { left_cores / all } else { 1.0 };
        let second = left
            .iter()
            .any(|(other, known)| *other != zone && known.stage == Stage::Left);
        if !by_hand && (part > self.definition.max_left || second) {
            return Err(Refused::TooMuch { part });
        }
        let room: f64 = self
            .zones
            .iter()
            .filter(|(id, _)| !gone(**id))
            .map(|(_, zone)| zone.cores * self.definition.whole * self.definition.carry)
            .sum();
        let load: f64 = self.zones.keys().map(|zone| self.load_of(now, *zone)).sum();
        // A zone that nobody reaches is left whatever the rest carries: what does not fit is deferred either way.
        if by_hand && load > room {
            return Err(Refused::NotCarried { load, room });
        }
        Ok(())
    }

    fn next_number(&mut self, now: f64) -> u32 {
        self.number = self.number.max((now / 100.0) as u64 as u32).wrapping_add(1);
        self.number
    }

    /// How long a zone stays left by now.
    fn hold(&self, zone: &Watched) -> f64 {
        let times = zone.times.saturating_sub(1).min(20);
        (self.definition.hold * f64::from(1_u32 << times)).min(self.definition.max_hold)
    }

    /// Looks at all zones; what is to be agreed on. `agreed`: what a majority keeps.
    pub fn look(&mut self, now: f64, agreed: &BTreeMap<Zone, Fleetwide>) -> Vec<Decision> {
        let zones: Vec<Zone> = self.zones.keys().chain(agreed.keys()).copied().collect();
        let mut decisions = Vec::new();
        for id in zones {
            if decisions
                .iter()
                .any(|decision: &Decision| decision.zone == id)
            {
                continue;
            }
            let verdict = self.verdict(now, id);
            let known = agreed.get(&id).copied();
            let lost = matches!(verdict, Verdict::Lost | Verdict::CutOff);
            let reached = matches!(verdict, Verdict::Well);
            let watched = self.zones.entry(id).or_default();
            watched.lost_since = if lost {
                watched.lost_since.or(Some(now))
            } else {
                None
            };
            watched.reached_since = if reached {
                watched.reached_since.or(Some(now))
            } else {
                None
            };
            if watched.seen != known {
                if known.is_some_and(|known| known.stage == Stage::Left)
                    && watched.seen.is_none_or(|seen| seen.stage != Stage::Left)
                {
                    let again = now - watched.left_at < self.definition.calm;
                    watched.times = if again { watched.times + 1 } else { 1 };
                    watched.left_at = now;
                }
                (watched.seen, watched.since) = (known, now);
                (watched.good, watched.bad) = (0, 0);
            }
            let watched = self.zones[&id].clone();
            let sure = |since: Option<f64>, ms: f64| since.is_some_and(|since| now - since >= ms);
            let long = now - watched.since;
            let to = match known {
                None if sure(watched.lost_since, self.definition.sure) => {
                    if self.may_leave(now, id, agreed, false).is_err() {
                        continue;
                    }
                    let why = if verdict == Verdict::CutOff {
                        Why::CutOff
                    } else {
                        Why::Lost
                    };
                    Some((Some((Stage::Left, 0)), why))
                }
                None => None,
                Some(of) => match of.stage {
                    // What operators left, they let return.
                    Stage::Left if of.why == Why::ByHand => None,
                    Stage::Left
                        if long >= self.hold(&watched)
                            && sure(watched.reached_since, self.definition.sure) =>
                    {
                        Some((Some((Stage::Returns, 0)), Why::Reached))
                    }
                    Stage::Left => None,
                    Stage::Returns if sure(watched.lost_since, self.definition.sure) => {
                        Some((Some((Stage::Left, 0)), Why::Worsened))
                    }
                    Stage::Returns => self.step(of, &watched, long),
                },
            };
            if let Some((to, why)) = to {
                let number = self.next_number(now);
                let to = to.map(|(stage, step)| Fleetwide {
                    stage,
                    step,
                    number,
                    why,
                });
                decisions.push(Decision { zone: id, to, why });
            }
        }
        decisions
    }

    /// The next step of a return, or one back; at the end it is whole.
    fn step(
        &self,
        of: Fleetwide,
        watched: &Watched,
        long: f64,
    ) -> Option<(Option<(Stage, u8)>, Why)> {
        let ends = watched.good + watched.bad;
        let part = f64::from(watched.bad) / f64::from(ends.max(1));
        if ends >= MIN_ENDS && part > BAD_PART && long >= self.definition.step / 4.0 {
            // Half of the way back at once; from the first step, out again.
            return Some(match of.step {
                0 => (Some((Stage::Left, 0)), Why::Worsened),
                step => (Some((Stage::Returns, step / 2)), Why::Worsened),
            });
        }
        let shown = ends < MIN_ENDS || part <= GOOD_PART;
        if long < self.definition.step || !shown {
            return None;
        }
        if of.step >= self.definition.steps {
            return Some((None, Why::Whole));
        }
        Some((Some((Stage::Returns, of.step + 1)), Why::Reached))
    }

    /// A member's share of a returning zone, as a part of the whole: see [`RampQuotas::asks`].
    pub fn share(&mut self, now: f64, id: Id, zone: Zone, demand: f64, agreed: Fleetwide) -> f64 {
        if agreed.stage != Stage::Returns {
            return 0.0;
        }
        let (all, term, skew) = (
            self.definition.part(agreed.step),
            self.definition.term,
            self.definition.skew,
        );
        self.zones
            .entry(zone)
            .or_default()
            .shares
            .asks(now, id, demand, all, term, skew)
    }

    /// All shares of a zone that may be held.
    pub fn out(&self, zone: Zone) -> f64 {
        self.zones.get(&zone).map_or(0.0, |zone| zone.shares.out())
    }
}
