//! Test leader: a controller, and members that report to it.

use std::collections::BTreeMap;
use tansymux_zone_evacuation::{
    Config, Decision, EvacuationController, Evidence, MemberPresence, MemberReport, Reachability,
    Stage, ZoneStatus,
};

pub const EAST: u32 = 1;
pub const WEST: u32 = 2;
pub const NORTH: u32 = 3;

/// A leader's controller, the statuses that the fleet agreed on, and a clock. The fleet agrees on every decision.
pub struct Leader {
    pub controller: EvacuationController,
    pub agreed: BTreeMap<u32, ZoneStatus>,
    pub now_ms: f64,
    pub decisions: Vec<Decision>,
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
            now_ms: 1e6,
            decisions: Vec::new(),
            successes: 0,
            failures: 0,
        }
    }

    /// Runs for `duration_ms`. Nine members, three in each zone, report every 250 ms. `observe(id, home_zone)` returns
    /// the reachability of `zone` that a member reports and whether the member is isolated, or `None` if the member
    /// sends no report. Members report all other zones as reachable.
    pub fn receive_reports(
        &mut self,
        duration_ms: f64,
        zone: u32,
        observe: impl Fn(u64, u32) -> Option<(Reachability, bool)>,
    ) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 250.0;
            self.successes = self.successes.wrapping_add(1);
            let zone_of = |id: u64| [EAST, WEST, NORTH][(id % 3) as usize];
            self.controller.set_members((0..9).map(|id| MemberPresence {
                id,
                zone: zone_of(id),
                is_present: true,
            }));
            for id in 0..9 {
                let Some((reachability, is_isolated)) = observe(id, zone_of(id)) else {
                    continue;
                };
                let evidence = |reported_zone| Evidence {
                    zone: reported_zone,
                    reachability: if reported_zone == zone {
                        reachability
                    } else {
                        Reachability::Reachable
                    },
                    threads: 2.0,
                    successes: self.successes,
                    failures: if reported_zone == zone {
                        self.failures
                    } else {
                        0
                    },
                };
                let zones = [EAST, WEST, NORTH].map(evidence).to_vec();
                let report = MemberReport {
                    session: 1,
                    sequence_number: 1,
                    is_isolated,
                    zones,
                };
                self.controller.handle_report(id, &report, self.now_ms);
            }
            for decision in self.controller.evaluate(&self.agreed, self.now_ms) {
                match decision.status {
                    Some(status) => drop(self.agreed.insert(decision.zone, status)),
                    None => drop(self.agreed.remove(&decision.zone)),
                }
                self.decisions.push(decision);
            }
        }
    }

    pub fn stage(&self, zone: u32) -> Option<Stage> {
        self.agreed.get(&zone).map(|status| status.stage)
    }
}

pub fn short_step_config() -> Config {
    Config {
        ramp_step_ms: 1000.0,
        ..Config::default()
    }
}
