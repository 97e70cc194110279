//! All members of the virtual fleet, with their fleet definition and the quality of their versions.

use super::environment::Environment;
use super::member::{Member, RequestLoad};
use super::settings::{keys, limit_of, member_settings};
use super::{VersionQuality, NEW_VERSION};
use rand::RngExt;
use tansymux_coordination::disruption_budget::Unit;
use tansymux_coordination::QuorumNode;
use tansymux_rollout::{FleetNode, RolloutConfig};

/// Id of the first engine, greater than any member index or release number, so that an engine id is not taken for one.
pub(super) const FIRST_ENGINE_ID: u64 = 1000;
/// Number of cores of each engine, as members know it.
const ENGINE_CAPACITY: f64 = 8.0;
/// Number of zones, to which engines are assigned round-robin.
const ENGINE_ZONES: usize = 2;

/// The members, and the definition with which their processes start.
pub(super) struct Members {
    members: Vec<Member>,
    definition: RolloutConfig,
    quality: VersionQuality,
    /// Start of the release (true ms).
    release_at_ms: f64,
}

impl Members {
    /// A set of members, none of which runs yet.
    pub fn new(
        members: Vec<Member>,
        definition: RolloutConfig,
        quality: VersionQuality,
        release_at_ms: f64,
    ) -> Self {
        Members {
            members,
            definition,
            quality,
            release_at_ms,
        }
    }

    /// Number of members, whether they run or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// All members, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The member at an index.
    pub fn member(&self, index: usize) -> &Member {
        &self.members[index]
    }

    /// Mutable access to the member at an index.
    pub fn member_mut(&mut self, index: usize) -> &mut Member {
        &mut self.members[index]
    }

    /// The index of the member that leads, if any.
    pub fn leader(&self) -> Option<usize> {
        self.members.iter().position(Member::is_leader)
    }

    /// The quorum state of the member that leads, if any.
    pub fn leader_quorum(&self) -> Option<&QuorumNode> {
        self.members[self.leader()?].fleet()?.quorum()
    }

    /// Number of running members on a version.
    pub fn running_count(&self, version: u32) -> usize {
        self.members
            .iter()
            .filter(|member| member.version() == version && member.is_running())
            .count()
    }

    /// Starts members whose start is due, and polls all members.
    pub fn poll(&mut self, environment: &mut Environment) {
        for index in 0..self.members.len() {
            if self.members[index].is_start_due(environment.now_ms) {
                self.start(index, environment);
            }
            let load = self.load_of(index, environment.now_ms);
            self.members[index].poll(load, environment);
        }
    }

    fn start(&mut self, index: usize, environment: &mut Environment) {
        let scenario = &environment.scenario;
        let member = &mut self.members[index];
        let lease = member.lease_at_start();
        let settings = member_settings(scenario, &self.definition, index, lease);
        let seed = environment.rng.random();
        member.shift_process_clock(environment.rng.random_range(-1e6..1e6));
        let process_ms = member.process_clock_ms(environment.now_ms);
        let mut fleet = FleetNode::new(&settings, process_ms, seed);
        fleet.set_engines(&engine_units(scenario.engines));
        member.start(fleet, environment.now_ms);
    }

    /// The request rate of a member, and the success rate of its version at `now_ms`.
    fn load_of(&self, index: usize, now_ms: f64) -> RequestLoad {
        let since_release_ms = now_ms - self.release_at_ms;
        let is_degraded = self.members[index].version() == NEW_VERSION
            && since_release_ms >= self.quality.degraded_after_ms;
        RequestLoad {
            requests_per_s: self.quality.requests_per_s,
            success: if is_degraded {
                self.quality.new_success
            } else {
                self.quality.old_success
            },
        }
    }

    /// Changes the limit on dispatchers out in the definition of all members.
    pub fn change_limit(&mut self, max_out: usize) {
        self.definition.dispatchers.fleet = limit_of(max_out);
        for member in &mut self.members {
            if let Some(fleet) = member.fleet_mut() {
                fleet.set_config(self.definition.clone(), keys(), None);
            }
        }
    }
}

/// The engines of a scenario, as members know them.
fn engine_units(count: usize) -> Vec<Unit> {
    (0..count)
        .map(|engine| Unit {
            id: FIRST_ENGINE_ID + engine as u64,
            zone: (engine % ENGINE_ZONES) as u32,
            version: 0,
            available: true,
            capacity: ENGINE_CAPACITY,
        })
        .collect()
}
