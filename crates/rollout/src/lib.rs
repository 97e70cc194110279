//! Drains, restart leases and rolling releases of a fleet of dispatchers.
//!
//! # Contents
//! - [`FleetNode`]: a member, with membership, voter, controller and agent. The program, the tests and the testbed all
//!   drive this type.
//! - [`RolloutController`]: the leader's decisions: which units may be unavailable, the stage of a release, and its
//!   halts.
//! - [`rollout_plan`]: canaries and waves; [`canary_analysis`]: tests whether released dispatchers perform worse.
//! - [`MemberAgent`]: a member's copies of the records, its reports, and the calls of clients.
//! - [`FleetClient`] and [`RestartLease`]: the client's side, for a command line or a supervisor.
//! - [`message`] and [`codec`]: the messages of members.
//!
//! The crate does no I/O and reads no clock: datagrams and times come in, datagrams go out. It neither starts nor ends
//! processes, and makes no decisions about queries.
//!
//! # Sources and differences
//! - Rolling updates and disruption budgets as in Kubernetes (Deployment, PodDisruptionBudget). Differences: each
//!   dispatcher is restarted by its own supervisor, under a lease; waves proceed zone by zone; an operator's command to
//!   end a halt names the halt's number.
//! - Leases and sessions after M. Burrows, "The Chubby lock service" (2006); see crates/coordination.
//! - Canary analysis with Student's paired t test ("The probable error of a mean", 1908). The significance level is
//!   divided among repeated evaluations, as in the alpha spending of Lan and DeMets (1983): the n-th evaluation uses
//!   the fraction 1/(n(n+1)).
//!
//! # Invariants, checked in `tests/`
//! - A lease is granted only once a majority has accepted it, and ends for its holder before it ends for the leader.
//! - A lost member counts as unavailable until it rejoins or the operators forget it.
//! - A halt stays in force until an operator ends it by its number or rolls the release back. Until then no release
//!   continues.
//! - All tables, calls and queues are bounded.
//!
//! Start reading at [`FleetNode::poll`], then [`RolloutController::on_command`].

mod call_table;
pub mod canary_analysis;
pub mod codec;
pub mod engine_outcomes;
mod fleet_client;
mod fleet_node;
mod member_agent;
pub mod message;
mod quorum_records;
mod record_copies;
mod restart_lease;
mod rollout_config;
mod rollout_controller;
pub mod rollout_plan;
mod zone_coordinator;

pub use fleet_client::{ClientAction, FleetClient};
pub use fleet_node::{FleetAction, FleetConfig, FleetEvent, FleetNode, ZoneEvacuation};
pub use member_agent::{AgentAction, Destination, Gossip, MemberAgent, MemberStatus};
pub use quorum_records::{active_halt, active_release, ActiveHalt};
pub use restart_lease::{LeaseOutcome, LeaseRequest, RestartLease};
pub use rollout_config::RolloutConfig;
pub use rollout_controller::RolloutController;
pub use rollout_plan::RolloutPlan;
pub use zone_coordinator::ZoneCoordinator;
