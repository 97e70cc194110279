//! A leader's controller, and members' reports to it.

use std::collections::BTreeMap;
use tansymux_zone_evacuation::{
    Config, Decision, EvacuationController, Evidence, MemberPresence, MemberReport, Reachability,
    Stage, ZoneStatus,
};

pub const EAST: u32 = 1;
pub const WEST: u32 = 2;
pub const NORTH: u32 = 3;

/// A leader's controller, the statuses that the fleet agreed on, and a clock.
pub struct Leader {
    pub controller: EvacuationController,
    pub agreed: BTreeMap<u32, ZoneStatus>,
    pub now: f64,
    pub changes: Vec<Decision>,
    pub successes: u16,
    pub failures: u16,
}

impl Leader {
    pub fn new(config: Config) -> Self {
        let mut controller = EvacuationController::new(config);
        controller.set_capacity(&[(EAST, 32.0), (WEST, 32.0), (NORTH, 32.0)]);
        Leader {
            controller,
            agreed: BTreeMap::new(),
            now: 1e6,
            changes: Vec::new(),
            successes: 0,
            failures: 0,
        }
    }

    /// Nine members, three in each zone, report one zone for `ms`: its reachability, and whether they are isolated.
    pub fn receive_reports(
        &mut self,
        ms: f64,
        zone: u32,
        reach: impl Fn(u64, u32) -> Option<(Reachability, bool)>,
    ) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 250.0;
            self.successes = self.successes.wrapping_add(1);
            let home = |id: u64| [EAST, WEST, NORTH][(id % 3) as usize];
            self.controller.set_members((0..9).map(|id| MemberPresence {
                id,
                zone: home(id),
                is_present: true,
            }));
            for id in 0..9 {
                let Some((reachability, is_isolated)) = reach(id, home(id)) else {
                    continue;
                };
                let evidence = |of| Evidence {
                    zone: of,
                    reachability: if of == zone {
                        reachability
                    } else {
                        Reachability::Reachable
                    },
                    threads: 2.0,
                    successes: self.successes,
                    failures: if of == zone { self.failures } else { 0 },
                };
                let zones = [EAST, WEST, NORTH].map(evidence).to_vec();
                let report = MemberReport {
                    session: 1,
                    sequence_number: 1,
                    is_isolated,
                    zones,
                };
                self.controller.handle_report(id, &report, self.now);
            }
            for decision in self.controller.evaluate(&self.agreed, self.now) {
                match decision.status {
                    Some(status) => drop(self.agreed.insert(decision.zone, status)),
                    None => drop(self.agreed.remove(&decision.zone)),
                }
                self.changes.push(decision);
            }
        }
    }

    pub fn stage(&self, zone: u32) -> Option<Stage> {
        self.agreed.get(&zone).map(|known| known.stage)
    }
}

pub fn with_short_steps() -> Config {
    Config {
        ramp_step_ms: 1000.0,
        ..Config::default()
    }
}
