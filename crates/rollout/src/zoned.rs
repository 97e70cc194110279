//! Zones within a fleet: the leader's watch and the member's guide, on the fleet's records and messages.

use crate::message::{Answer, Command, ZoneList};
use crate::steward::RolloutController;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use tansymux_coordination::limits::Unit;
use tansymux_coordination::{Id, QuorumNode, Record, Value};
use tansymux_zone_evacuation::codec::{LeaderReply, ZoneEntry};
use tansymux_zone_evacuation::{
    Config, EvacuationController, EvacuationFollower, EvacuationRefused, Evidence, FollowerEvent,
    Initiator, MemberPresence, MemberReport, QuotaGrant, Reason, Stage, ZoneId, ZoneStatus,
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
fn agreed(council: &QuorumNode) -> BTreeMap<ZoneId, ZoneStatus> {
    let of = |(record, _): (Record, Option<u32>)| match record.value {
        Value::Zone {
            zone,
            stage,
            step,
            why,
            number,
        } => Some((
            zone,
            ZoneStatus {
                stage: Stage::from_number(stage)?,
                step,
                decision_number: number,
                reason: Reason::from_number(why)?,
            },
        )),
        _ => None,
    };
    council.all_standing().filter_map(of).collect()
}

impl Zoned {
    pub fn new(own: ZoneId, definition: Config, session: u32, now: f64, seed: u64) -> Self {
        Zoned {
            guide: EvacuationFollower::new(own, definition.autonomy_after_ms, now),
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

    pub fn set(&mut self, definition: Config) {
        self.watch.set_config(definition);
    }

    pub fn sees(&mut self, evidence: Vec<Evidence>, alone: bool) {
        (self.evidence, self.alone) = (evidence, alone);
        self.evidence.truncate(MAX_ZONES);
    }

    /// The engines as listed.
    pub fn engines(&mut self, engines: &[Unit]) {
        let mut cores: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for engine in engines {
            *cores.entry(engine.zone).or_default() += engine.capacity;
        }
        self.watch
            .set_capacity(&cores.into_iter().collect::<Vec<_>>());
    }

    /// What is to be told to the leader now, and when next.
    pub fn tells(&mut self, now: f64) -> (Option<MemberReport>, f64) {
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
            Some(MemberReport {
                session,
                sequence_number: number,
                is_isolated: alone,
                zones,
            }),
            self.next,
        )
    }

    /// The leader's answer: to a question that is known, and each once.
    pub fn planned(&mut self, now: f64, plan: &LeaderReply) {
        let Some(at) = self
            .asked
            .iter()
            .position(|(number, _)| *number == plan.sequence_number)
        else {
            return;
        };
        let Some((_, asked)) = self.asked.remove(at) else {
            return;
        };
        let all: Vec<(ZoneId, ZoneStatus)> = plan
            .zones
            .iter()
            .map(|entry| (entry.zone, entry.status))
            .collect();
        self.guide
            .handle(FollowerEvent::DecisionsReceived(&all), now);
        for entry in &plan.zones {
            let grant = QuotaGrant {
                zone: entry.zone,
                decision_number: entry.status.decision_number,
                quota: f64::from(entry.quota),
                requested_ms: asked,
                term_ms: self.watch.config().quota_term_ms,
                clock_skew: self.watch.config().clock_skew,
            };
            self.guide.handle(FollowerEvent::QuotaReceived(grant), now);
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
        told: MemberReport,
    ) -> Option<LeaderReply> {
        let number = told.sequence_number;
        let demands: BTreeMap<ZoneId, f64> = told
            .zones
            .iter()
            .map(|e| (e.zone, f64::from(e.threads)))
            .collect();
        self.watch.handle_report(from, &told, now);
        if !steward.leads(now, council) {
            return None;
        }
        let definition = self.watch.config();
        // What an earlier leader gave out is over before this one gives anything.
        let rests = definition.quota_term_ms * (1.0 + 2.0 * definition.clock_skew);
        let gives = council
            .leads_since()
            .is_some_and(|since| now - since >= rests);
        let zones = agreed(council)
            .into_iter()
            .take(MAX_ZONES)
            .map(|(zone, of)| {
                let demand = demands.get(&zone).copied().unwrap_or(0.0);
                let share = if gives {
                    self.watch.request_quota(from, zone, demand, of, now)
                } else {
                    0.0
                };
                ZoneEntry {
                    zone,
                    status: of,
                    quota: share as f32,
                }
            });
        Some(LeaderReply {
            sequence_number: number,
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
        let zones = members.filter_map(|(id, is_present)| {
            Some(MemberPresence {
                id,
                zone: steward.zone_of(id)?,
                is_present,
            })
        });
        self.watch.set_members(zones);
        if !steward.leads(now, council) {
            return;
        }
        let known = agreed(council);
        for decision in self.watch.evaluate(&known, now) {
            // One at a time: what is not agreed on yet is decided again from what is.
            let key = Record::key_of_zone(decision.zone);
            let settled = council.standing(key).is_none() || council.is_agreed(key);
            if settled {
                self.writes(now, council, decision.zone, decision.status);
            }
        }
    }

    fn writes(&mut self, now: f64, council: &mut QuorumNode, zone: ZoneId, to: Option<ZoneStatus>) {
        let value = match to {
            Some(to) => {
                let (stage, step) = (to.stage as u8, to.step);
                let (why, number) = (to.reason as u8, to.decision_number);
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
                    .is_some_and(|of| of.stage == Stage::Evacuated && of.reason == Reason::Operator)
                {
                    return if council.is_agreed(key) {
                        Answer::Done
                    } else {
                        Answer::Pending
                    };
                }
                match self
                    .watch
                    .check_evacuation(zone, &known, Initiator::Operator, now)
                {
                    Err(EvacuationRefused::InsufficientCapacity {
                        load_threads,
                        capacity_threads,
                    }) => {
                        return Answer::NotCarried {
                            load: load_threads as f32,
                            left: capacity_threads as f32,
                        };
                    }
                    Err(EvacuationRefused::TooManyCores { fraction }) => {
                        return Answer::TooMuch {
                            part: fraction as f32,
                        }
                    }
                    Ok(()) if dry => return Answer::Done,
                    Ok(()) => {}
                }
                let number = known
                    .get(&zone)
                    .map_or(0, |of| of.decision_number)
                    .max((now / 100.0) as u64 as u32)
                    + 1;
                let to = ZoneStatus {
                    stage: Stage::Evacuated,
                    step: 0,
                    decision_number: number,
                    reason: Reason::Operator,
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
                Some(of) if of.stage == Stage::Recovering => Answer::Done,
                Some(of) => {
                    let number = of.decision_number.wrapping_add(1);
                    let to = ZoneStatus {
                        stage: Stage::Recovering,
                        step: 0,
                        decision_number: number,
                        reason: Reason::Operator,
                    };
                    self.writes(now, council, zone, Some(to));
                    Answer::Pending
                }
            },
            _ => {
                let mut list = ZoneList::default();
                for (place, (zone, of)) in list.iter_mut().zip(known) {
                    *place = Some(ZoneEntry {
                        zone,
                        status: of,
                        quota: self.watch.granted_total(zone) as f32,
                    });
                }
                Answer::Zones(list)
            }
        }
    }
}
