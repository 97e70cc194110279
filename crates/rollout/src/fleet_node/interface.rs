//! Configuration, events and actions of a member.

use crate::rollout_config::RolloutConfig;
use std::net::SocketAddr;
use tansymux_coordination::QuorumConfig;
use tansymux_membership::Keys;

/// The configuration of a member at its start.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The member's name, unique in the fleet.
    pub name: String,
    /// The address at which other members reach this member.
    pub address: SocketAddr,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Configuration of the failure detection.
    pub membership: tansymux_membership::Config,
    /// Timing of the voters.
    pub quorum: QuorumConfig,
    /// Keys that authenticate the datagrams.
    pub keys: Keys,
    /// Whether no voter has ever voted, as at the first start of an installation.
    pub fresh: bool,
    /// The restart lease under which the member is started, so that others recognize its return; 0: none.
    pub grant_id: u64,
    /// Configuration of rollouts and disruption budgets.
    pub rollout: RolloutConfig,
    /// Configuration of zone evacuation by the fleet; `None`: each member decides for itself.
    pub zones: Option<ZoneEvacuation>,
}

/// Configuration of zone evacuation by the fleet.
#[derive(Debug, Clone)]
pub struct ZoneEvacuation {
    /// Hash of the name of this member's zone.
    pub local_zone: u32,
    /// Conditions for evacuating a zone, and the recovery ramp.
    pub config: tansymux_zone_evacuation::Config,
}

/// An event for a member to handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetEvent<'a> {
    /// A datagram arrived.
    DatagramReceived {
        /// The sender.
        from: SocketAddr,
        /// The bytes.
        datagram: &'a [u8],
    },
    /// The dispatcher is about to stop: the other members are notified at once.
    LeaveRequested,
}

/// An action of a member, to be executed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Send a datagram. It may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The bytes.
        datagram: Vec<u8>,
    },
}
