//! The settings that a scenario's members run with, and the addresses by which they know each other.

use crate::fleet::scenario::Scenario;
use std::net::{IpAddr, SocketAddr};
use tansymux_coordination::disruption_budget::{DisruptionBudget, Limit};
use tansymux_coordination::QuorumConfig;
use tansymux_membership::{member_id_of, Keys};
use tansymux_rollout::{FleetConfig, RolloutConfig, RolloutPlan};

/// Number of hosts in one subnet of the virtual fleet's addresses.
const HOSTS_PER_SUBNET: usize = 250;
/// The port on which a member receives datagrams of the fleet.
const MEMBER_PORT: u16 = 7946;
/// The port on which a member's supervisor receives answers.
const SUPERVISOR_PORT: u16 = 9000;
/// The first operator's port. Each further operator uses the next higher port.
const FIRST_OPERATOR_PORT: u16 = 9100;
/// Maximum number of join seeds in a member's settings.
const MAX_JOIN_SEEDS: usize = 5;

/// The name of a member.
pub(super) fn member_name(member: usize) -> String {
    format!("n{member}")
}

/// The id by which members know a member.
pub(super) fn member_id(member: usize) -> u64 {
    member_id_of(&member_name(member))
}

/// The address by which other members know a member.
pub(super) fn member_address(member: usize) -> SocketAddr {
    let subnet = (member / HOSTS_PER_SUBNET) as u8;
    let host = (member % HOSTS_PER_SUBNET + 1) as u8;
    SocketAddr::from(([10, 0, subnet, host], MEMBER_PORT))
}

/// The index of the member on whose host an address is.
pub(super) fn host_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [.., subnet, host] = ip.octets();
            Some(usize::from(subnet) * HOSTS_PER_SUBNET + usize::from(host).checked_sub(1)?)
        }
        IpAddr::V6(_) => None,
    }
}

/// The address at which a member's supervisor receives answers.
pub(super) fn supervisor_address(member: usize) -> SocketAddr {
    SocketAddr::new(member_address(member).ip(), SUPERVISOR_PORT)
}

/// The address at which an operator on a member's host receives answers.
pub(super) fn operator_address(member: usize, operator: usize) -> SocketAddr {
    SocketAddr::new(
        member_address(member).ip(),
        FIRST_OPERATOR_PORT + operator as u16,
    )
}

/// The index of the operator that listens at a port.
pub(super) fn operator_at(port: u16) -> usize {
    usize::from(port.saturating_sub(FIRST_OPERATOR_PORT))
}

/// The keys that authenticate all datagrams of the fleet.
pub(super) fn keys() -> Keys {
    Keys {
        signing: Some([7; 16]),
        also_accepted: Some([7; 16]),
    }
}

/// A disruption limit of `max` members or engines at the same time.
pub(super) fn limit_of(max: usize) -> Limit {
    Limit {
        max_count: Some(max as u32),
        max_fraction: None,
    }
}

/// The rollout configuration that the operators' file would define for a scenario.
pub fn fleet_definition(scenario: &Scenario) -> RolloutConfig {
    let budget_of = |max: usize| DisruptionBudget {
        fleet: limit_of(max),
        max_utilization: 10.0,
        ..DisruptionBudget::default()
    };
    let plan = RolloutPlan {
        canary_count: 1,
        canary_observation_ms: 4000.0,
        continue_if_inconclusive: true,
        zone_pause_ms: 500.0,
        max_lost_members: scenario.members,
        ..RolloutPlan::default()
    };
    RolloutConfig {
        dispatchers: budget_of(scenario.max_out),
        engines: budget_of(scenario.max_engines),
        plan,
        lease_term_ms: scenario.turn,
        left_retention_ms: 30_000.0,
        ..RolloutConfig::default()
    }
}

/// The lease and clock bounds of a scenario's voters.
pub fn coordination_settings(scenario: &Scenario) -> QuorumConfig {
    QuorumConfig {
        leader_lease_ms: 2000.0,
        max_grant_ms: scenario.turn,
        max_clock_skew: 0.02,
        retransmit_ms: 250.0,
        max_datagram_delay_ms: scenario.late,
    }
}

/// The settings with which a member is started. `lease`: the restart lease under which it is started.
pub(super) fn member_settings(
    scenario: &Scenario,
    definition: &RolloutConfig,
    member: usize,
    lease: u64,
) -> FleetConfig {
    let seed_count = scenario.members.min(MAX_JOIN_SEEDS);
    FleetConfig {
        name: member_name(member),
        address: member_address(member),
        voters: (0..scenario.voters).map(member_name).collect(),
        membership: tansymux_membership::Config {
            seeds: (0..seed_count).map(member_address).collect(),
            ..tansymux_membership::Config::default()
        },
        quorum: coordination_settings(scenario),
        keys: keys(),
        fresh: false,
        grant_id: lease,
        rollout: definition.clone(),
        zones: None,
    }
}
