//! Zones within a fleet: the leader's watch and the member's guide, on the fleet's records and messages.

use crate::message::{Answer, Command, ZoneList};
use crate::steward::RolloutController;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use tansymux_coordination::limits::Unit;
use tansymux_coordination::{Id, QuorumNode, Record, Value};
use tansymux_zone_evacuation::wire::{stage_of, why_of, Evidence, Plan, Told};
use tansymux_zone_evacuation::{
    Definition, EvacuationController, EvacuationFollower, Fleetwide, Refused, Stage, Why, Zone,
    MAX_ZONES,
};

/// What is seen is told so often (ms), spread by a fifth.
const TELL_EVERY: f64 = 700.0;
const LOOK_EVERY: f64 = 200.0;
/// Questions whose answers are still waited for.
const MAX_ASKED: usize = 32;

#[derive(Debug, Clone)]
pub struct Zoned {
    watch: EvacuationController,
    pub guide: EvacuationFollower,
    leads_since: Option<f64>,
    looked: f64,
    evidence: Vec<Evidence>,
    alone: bool,
    session: u32,
    next: f64,
    number: u32,
    /// Questions under way: their numbers, and when they were asked.
    asked: VecDeque<(u32, f64)>,
    rng: Pcg32,
}

/// What a majority keeps of zones, or may.
fn agreed(council: &QuorumNode) -> BTreeMap<Zone, Fleetwide> {
    let of = |(record, _): (Record, Option<u32>)| match record.value {
        Value::Zone {
            zone,
            stage,
            step,
            why,
            number,
        } => Some((
            zone,
            Fleetwide {
                stage: stage_of(stage)?,
                step,
                number,
                why: why_of(why)?,
            },
        )),
        _ => None,
    };
    council.all_standing().filter_map(of).collect()
}

impl Zoned {
    pub fn new(own: Zone, definition: Definition, session: u32, now: f64, seed: u64) -> Self {
        Zoned {
            guide: EvacuationFollower::new(own, definition.own_after, now),
            watch: EvacuationController::new(definition),
            leads_since: None,
            looked: f64::NEG_INFINITY,
            evidence: Vec::new(),
            alone: false,
            session,
            next: f64::NEG_INFINITY,
            number: 0,
            asked: VecDeque::new(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    pub fn set(&mut self, definition: Definition) {
        self.watch.set(definition);
    }

    pub fn sees(&mut self, evidence: Vec<Evidence>, alone: bool) {
        (self.evidence, self.alone) = (evidence, alone);
        self.evidence.truncate(MAX_ZONES);
    }

    /// The engines as listed.
    pub fn engines(&mut self, engines: &[Unit]) {
        let mut cores: BTreeMap<Zone, f64> = BTreeMap::new();
        for engine in engines {
            *cores.entry(engine.zone).or_default() += engine.capacity;
        }
        self.watch.capacity(&cores.into_iter().collect::<Vec<_>>());
    }

    /// What is to be told to the leader now, and when next.
    pub fn tells(&mut self, now: f64) -> (Option<Told>, f64) {
        if now < self.next {
            return (None, self.next);
        }
        self.next = now + TELL_EVERY * (0.9 + 0.2 * self.rng.random::<f64>());
        self.number = self.number.wrapping_add(1);
        self.asked.push_back((self.number, now));
        if self.asked.len() > MAX_ASKED {
            self.asked.pop_front();
        }
        let (session, number, alone, zones) =
            (self.session, self.number, self.alone, self.evidence.clone());
        (
            Some(Told {
                session,
                number,
                alone,
                zones,
            }),
            self.next,
        )
    }

    /// The leader's answer: to a question that is known, and each once.
    pub fn planned(&mut self, now: f64, plan: &Plan) {
        let Some(at) = self
            .asked
            .iter()
            .position(|(number, _)| *number == plan.number)
        else {
            return;
        };
        let Some((_, asked)) = self.asked.remove(at) else {
            return;
        };
        let all: Vec<(Zone, Fleetwide)> = plan
            .zones
            .iter()
            .map(|(zone, of, _)| (*zone, *of))
            .collect();
        self.guide.hears(now, &all);
        let (term, skew) = (self.watch.definition().term, self.watch.definition().skew);
        for (zone, of, share) in &plan.zones {
            self.guide
                .share(*zone, of.number, f64::from(*share), asked, term, skew);
        }
    }

    // ---- The leader ----

    /// A member says what it sees; what it is answered, by a leader that has listened.
    pub fn told(
        &mut self,
        now: f64,
        steward: &RolloutController,
        council: &QuorumNode,
        from: Id,
        told: Told,
    ) -> Option<Plan> {
        let number = told.number;
        let demands: BTreeMap<Zone, f64> = told
            .zones
            .iter()
            .map(|e| (e.zone, f64::from(e.threads)))
            .collect();
        self.watch.told(now, from, told);
        if !steward.leads(now, council) {
            return None;
        }
        let definition = self.watch.definition();
        // What an earlier leader gave out is over before this one gives anything.
        let rests = definition.term * (1.0 + 2.0 * definition.skew);
        let gives = council
            .leads_since()
            .is_some_and(|since| now - since >= rests);
        let zones = agreed(council)
            .into_iter()
            .take(MAX_ZONES)
            .map(|(zone, of)| {
                let demand = demands.get(&zone).copied().unwrap_or(0.0);
                let share = if gives {
                    self.watch.share(now, from, zone, demand, of)
                } else {
                    0.0
                };
                (zone, of, share as f32)
            });
        Some(Plan {
            number,
            zones: zones.collect(),
        })
    }

    /// Looks at the evidence, and has what follows from it agreed on.
    pub fn look(
        &mut self,
        now: f64,
        steward: &RolloutController,
        council: &mut QuorumNode,
        members: impl Iterator<Item = (Id, bool)>,
    ) {
        if now - self.looked < LOOK_EVERY {
            return;
        }
        self.looked = now;
        if council.leads_since() != self.leads_since {
            self.leads_since = council.leads_since();
            self.watch.clear();
        }
        let zones = members.filter_map(|(id, there)| Some((id, steward.zone_of(id)?, there)));
        self.watch.members(zones);
        if !steward.leads(now, council) {
            return;
        }
        let known = agreed(council);
        for decision in self.watch.look(now, &known) {
            // One at a time: what is not agreed on yet is decided again from what is.
            let key = Record::key_of_zone(decision.zone);
            let settled = council.standing(key).is_none() || council.is_agreed(key);
            if settled {
                self.writes(now, council, decision.zone, decision.to);
            }
        }
    }

    fn writes(&mut self, now: f64, council: &mut QuorumNode, zone: Zone, to: Option<Fleetwide>) {
        let value = match to {
            Some(to) => {
                let (stage, step, why, number) = (to.stage as u8, to.step, to.why as u8, to.number);
                Value::Zone {
                    zone,
                    stage,
                    step,
                    why,
                    number,
                }
            }
            None => Value::Over,
        };
        council.write(now, &[(Record::key_of_zone(zone), value, None)]);
    }

    pub fn command(
        &mut self,
        now: f64,
        steward: &RolloutController,
        council: &mut QuorumNode,
        command: Command,
    ) -> Answer {
        if !steward.leads(now, council) {
            return Answer::NoLeader;
        }
        let known = agreed(council);
        match command {
            Command::Leave { zone, dry } => {
                let key = Record::key_of_zone(zone);
                if known
                    .get(&zone)
                    .is_some_and(|of| of.stage == Stage::Left && of.why == Why::ByHand)
                {
                    return if council.is_agreed(key) {
                        Answer::Done
                    } else {
                        Answer::Pending
                    };
                }
                match self.watch.may_leave(now, zone, &known, true) {
                    Err(Refused::NotCarried { load, room }) => {
                        return Answer::NotCarried {
                            load: load as f32,
                            left: room as f32,
                        };
                    }
                    Err(Refused::TooMuch { part }) => return Answer::TooMuch { part: part as f32 },
                    Ok(()) if dry => return Answer::Done,
                    Ok(()) => {}
                }
                let number = known
                    .get(&zone)
                    .map_or(0, |of| of.number)
                    .max((now / 100.0) as u64 as u32)
                    + 1;
                let to = Fleetwide {
                    stage: Stage::Left,
                    step: 0,
                    number,
                    why: Why::ByHand,
                };
                self.writes(now, council, zone, Some(to));
                if council.is_agreed(key) {
                    Answer::Done
                } else {
                    Answer::Pending
                }
            }
            Command::ReturnTo { zone } => match known.get(&zone) {
                None => Answer::Already,
                Some(of) if of.stage == Stage::Returns => Answer::Done,
                Some(of) => {
                    let number = of.number.wrapping_add(1);
                    let to = Fleetwide {
                        stage: Stage::Returns,
                        step: 0,
                        number,
                        why: Why::ByHand,
                    };
                    self.writes(now, council, zone, Some(to));
                    Answer::Pending
                }
            },
            _ => {
                let mut list = ZoneList::default();
                for (place, (zone, of)) in list.iter_mut().zip(known) {
                    *place = Some((zone, of, self.watch.out(zone) as f32));
                }
                Answer::Zones(list)
            }
        }
    }
}
