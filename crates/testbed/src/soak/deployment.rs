//! The deployment of a soak: the parameters of its rules and the configuration of each dispatcher.

use super::clients::{SoakClass, CLASSES};
use super::name_service_proxy::NameServiceProxy;
use super::peers::PeerRelay;
use super::plan::{SoakPlan, SoakSettings};
use crate::invariants::{RetryBudget, WarmUpRule};
use crate::program::{resource_group, Config};
use crate::setup::effect_value;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use tansymux::settings::keys;

/// Number of cores of an engine.
pub(super) const CORES: f64 = 8.0;
/// Rule 4: the bound on the work that is sent to an engine that is warming up.
pub(super) const WARM_UP: WarmUpRule = WarmUpRule {
    multiple: 3.0,
    initial_fraction: 0.02,
    span_ms: 1000.0,
    warm_after_ms: 4000.0,
};
/// Rule 7: the bound on the number of retries.
pub(super) const RETRY_BUDGET: RetryBudget = RetryBudget {
    span_ms: 10_000.0,
    free: 5.0,
    query_fraction: 0.2,
};
/// Rule 2: time within which a retry is recognised by its idempotency key (ms).
pub(super) const DEDUP_WINDOW_MS: f64 = 1500.0;
/// Rule 3: time after an engine was listed as draining or gone within which attempts may still be sent to it (ms).
pub(super) const DRAIN_GRACE_MS: f64 = 1000.0;
/// The port on which a dispatcher accepts clients.
const CLIENT_PORT: u16 = 10080;
/// The port on which a dispatcher receives datagrams of its peers.
pub(super) const PEER_PORT: u16 = 7946;

/// The address of a dispatcher. Each dispatcher has a separate address in 127.0.0.0/8, and its port is below the
/// ephemeral ports, so that no other socket takes the address during a restart.
pub(super) fn dispatcher_address(seed: u64, nth: usize, port: u16) -> SocketAddr {
    let testbed_octet = (std::process::id() % 200) as u8 + 16;
    let address = Ipv4Addr::new(127, testbed_octet, (seed % 250) as u8, nth as u8 + 1);
    SocketAddr::from((address, port))
}

/// The resource groups of all classes, whose longest deadline is `max_deadline_ms`.
fn groups(max_deadline_ms: f64) -> Vec<Value> {
    let to_group = |soak_class: &SoakClass| {
        let mut value = resource_group(
            soak_class.name,
            soak_class.objective_ms,
            soak_class.deadline_ms(max_deadline_ms),
            effect_value(soak_class.effect),
        );
        value[keys::group::DEDUP_WINDOW_US] = json!(DEDUP_WINDOW_MS * 1e3);
        value[keys::group::DEDUP_SCOPE] = json!(keys::dedup_scope::ALL);
        value
    };
    CLASSES.iter().map(to_group).collect()
}

/// The configuration of a dispatcher.
pub(super) fn config(
    plan: &SoakPlan,
    nth: usize,
    engines: &[(String, SocketAddr)],
    name_service_proxy: &NameServiceProxy,
    peer_listen: SocketAddr,
    peer_relay: &PeerRelay,
) -> Config {
    let SoakSettings {
        has_notes,
        allows_cancels,
        allows_probes,
        max_deadline_ms,
        ..
    } = plan.settings;
    let unicast: Vec<String> = peer_relay
        .unicast
        .iter()
        .map(SocketAddr::to_string)
        .collect();
    let progress_interval_us = if has_notes { 100_000 } else { 0 };
    let listen = dispatcher_address(plan.seed, nth, CLIENT_PORT);
    Config::new(listen, engines, &groups(max_deadline_ms), &[1, 1, 1])
        .with("name", format!("n{nth}"))
        .with("seed", format!("{:x}", plan.seed << 8 | nth as u64))
        .with("resolver", name_service_proxy.address.to_string())
        .with("peer_listen", peer_listen.to_string())
        .with("peers", json!(unicast))
        .with("peers_all", peer_relay.broadcast.to_string())
        .with_setting(keys::DISPATCHERS, plan.dispatchers)
        .with_setting(keys::DISPATCHER_INDEX, nth)
        .with_setting(keys::PEER_MESSAGES, true)
        .with_setting(keys::HEALTH_CHECKS, allows_probes)
        .with_setting(keys::CANCELLATION, allows_cancels)
        .with_setting(keys::PROGRESS_INTERVAL_US, progress_interval_us)
        .with_setting(keys::WARM_UP_INITIAL_CAPACITY, WARM_UP.initial_fraction)
        .with_setting(keys::WARM_AFTER_US, WARM_UP.warm_after_ms * 1e3)
        .with_setting(keys::WARM_UP_MULTIPLE, WARM_UP.multiple)
        .with_setting(keys::WARM_UP_SPAN_US, WARM_UP.span_ms * 1e3)
        .with_setting(keys::DRAIN_GRACE_US, DRAIN_GRACE_MS * 1e3)
        .with_setting(keys::RETRY_BUDGET_SPAN_US, RETRY_BUDGET.span_ms * 1e3)
        .with_setting(keys::RETRY_BUDGET_FREE, RETRY_BUDGET.free)
        .with_setting(keys::RETRY_BUDGET_RATIO, RETRY_BUDGET.query_fraction)
}
