//! The settings that a scenario's members run with, and the addresses by which they know each other.

use super::VirtualFleet;
use crate::fleet::scenario::Scenario;
use std::net::{IpAddr, SocketAddr};
use tansymux_coordination::limits::{Bounds, Limit};
use tansymux_coordination::Terms;
use tansymux_membership::Keys;
use tansymux_rollout::{Plan, Settings, Told};

/// Hosts in one subnet of the virtual fleet's addresses.
const HOSTS_PER_SUBNET: usize = 250;
const MEMBER_PORT: u16 = 7946;
const SUPERVISOR_PORT: u16 = 9000;
/// The first operator's port; the next one's is one higher.
const FIRST_OPERATOR_PORT: u16 = 9100;
/// How many members each one is told to join by.
const MAX_JOIN_SEEDS: usize = 5;

/// The address by which other members know member `n`.
pub(super) fn member_address(n: usize) -> SocketAddr {
    let subnet = (n / HOSTS_PER_SUBNET) as u8;
    let host = (n % HOSTS_PER_SUBNET + 1) as u8;
    SocketAddr::from(([10, 0, subnet, host], MEMBER_PORT))
}

/// The member on whose host an address is.
pub(super) fn host_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [.., subnet, host] = ip.octets();
            Some(usize::from(subnet) * HOSTS_PER_SUBNET + usize::from(host).checked_sub(1)?)
        }
        IpAddr::V6(_) => None,
    }
}

pub(super) fn supervisor_address(n: usize) -> SocketAddr {
    SocketAddr::new(member_address(n).ip(), SUPERVISOR_PORT)
}

pub(super) fn operator_address(n: usize, operator: usize) -> SocketAddr {
    SocketAddr::new(
        member_address(n).ip(),
        FIRST_OPERATOR_PORT + operator as u16,
    )
}

/// Which operator listens at a port.
pub(super) fn operator_at(port: u16) -> usize {
    usize::from(port.saturating_sub(FIRST_OPERATOR_PORT))
}

/// The key that all datagrams of the fleet are authenticated with.
pub(super) fn keys() -> Keys {
    Keys {
        signing: Some([7; 16]),
        also_accepted: Some([7; 16]),
    }
}

/// A disruption limit of so many at a time.
pub(super) fn limit_of(max: usize) -> Limit {
    Limit {
        number: Some(max as u32),
        part: None,
    }
}

/// What the operators' file would define for a scenario.
pub fn fleet_definition(scenario: &Scenario) -> Told {
    let bounds = |max: usize| Bounds {
        fleet: limit_of(max),
        carry: 10.0,
        ..Bounds::default()
    };
    let plan = Plan {
        canaries: 1,
        canary: 4000.0,
        goes_on_untold: true,
        pause: 500.0,
        lost: scenario.members,
        ..Plan::default()
    };
    Told {
        dispatchers: bounds(scenario.most),
        engines: bounds(scenario.max_engines),
        plan,
        turn: scenario.turn,
        left: 30_000.0,
        ..Told::default()
    }
}

/// Lease and clock bounds that a scenario's voters work with.
pub fn coordination_settings(scenario: &Scenario) -> Terms {
    Terms {
        lead: 2000.0,
        permit: scenario.turn,
        skew: 0.02,
        again: 250.0,
        late: scenario.late,
    }
}

impl VirtualFleet {
    /// The settings that member `n` is started with.
    pub(super) fn member_settings(&self, n: usize) -> Settings {
        let seed_count = self.scenario.members.min(MAX_JOIN_SEEDS);
        Settings {
            name: format!("n{n}"),
            address: member_address(n),
            voters: (0..self.scenario.voters).map(|n| format!("n{n}")).collect(),
            membership: tansymux_membership::Config {
                seeds: (0..seed_count).map(member_address).collect(),
                ..tansymux_membership::Config::default()
            },
            terms: coordination_settings(&self.scenario),
            keys: keys(),
            fresh: false,
            turn: self.members[n].lease_at_start,
            told: self.definition.clone(),
            zones: None,
        }
    }
}
