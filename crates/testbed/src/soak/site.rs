//! The deployment that a soak plays: the figures of its rules, and the configuration of each dispatcher.

use super::clients::{SoakClass, CLASSES};
use super::names::NamesLink;
use super::peers::PeerRelay;
use super::plan::{SoakPlan, SoakSettings};
use crate::program::{class, Config};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

/// Cores of an engine.
pub(super) const CORES: f64 = 8.0;
/// Rule 4: the span (ms), how long an engine warms up (ms), the fraction that it starts with and how many times that it bears.
pub(super) const SPAN_MS: f64 = 1000.0;
pub(super) const WARM_AFTER_MS: f64 = 4000.0;
pub(super) const COLD_FROM: f64 = 0.02;
pub(super) const MULTIPLE: f64 = 3.0;
/// Rule 7: the span (ms), the free retries and those for each query.
pub(super) const RETRY_SPAN_MS: f64 = 10_000.0;
pub(super) const RETRY_FREE: f64 = 5.0;
pub(super) const RETRY_RATIO: f64 = 0.2;
/// Rule 2: for how long a repeat by its key is recognised (ms).
pub(super) const DEDUP_WINDOW_MS: f64 = 1500.0;
/// Rule 3: the grace (ms).
pub(super) const DRAIN_GRACE_MS: f64 = 1000.0;
/// Ports of dispatchers.
const CLIENT_PORT: u16 = 10080;
pub(super) const PEER_PORT: u16 = 7946;

/// The address of a dispatcher, on an address of its own in 127.0.0.0/8 and below the ports that the system hands out: no
/// other socket takes it while it restarts.
pub(super) fn own_address(seed: u64, nth: usize, port: u16) -> SocketAddr {
    let run = (std::process::id() % 200) as u8 + 16;
    let address = Ipv4Addr::new(127, run, (seed % 250) as u8, nth as u8 + 1);
    SocketAddr::from((address, port))
}
fn services() -> Vec<Value> {
    let service = |soak: &SoakClass| {
        let mut value = class(soak.name, soak.objective_ms, soak.deadline_ms, soak.effect);
        value["repeat-window-us"] = json!(DEDUP_WINDOW_MS * 1e3);
        value["dedup-scope"] = json!("all");
        value
    };
    CLASSES.iter().map(service).collect()
}

/// The configuration of a dispatcher.
pub(super) fn config(
    plan: &SoakPlan,
    nth: usize,
    known: &[(String, SocketAddr)],
    names: &NamesLink,
    peer_listen: SocketAddr,
    peers: &PeerRelay,
) -> Config {
    let SoakSettings {
        has_notes,
        allows_cancels,
        allows_probes,
        ..
    } = plan.settings;
    let each: Vec<String> = peers.each.iter().map(SocketAddr::to_string).collect();
    let notes_us = if has_notes { 100_000 } else { 0 };
    let listen = own_address(plan.seed, nth, CLIENT_PORT);
    Config::new(listen, known, &services(), &[1, 1, 1])
        .with("name", format!("n{nth}"))
        .with("seed", format!("{:x}", plan.seed << 8 | nth as u64))
        .with("resolver", names.address.to_string())
        .with("peer_listen", peer_listen.to_string())
        .with("peers", json!(each))
        .with("peers_all", peers.all.to_string())
        .with("settings.balancers", plan.dispatchers)
        .with("settings.me", nth)
        .with("settings.limits.peers", true)
        .with("settings.limits.probes", allows_probes)
        .with("settings.limits.cancelling", allows_cancels)
        .with("settings.family-info.tells-every-us", notes_us)
        .with(
            "settings.rules",
            json!({"cold-from": COLD_FROM, "warm-after-us": WARM_AFTER_MS * 1e3, "fall-multiple": MULTIPLE,
                "overload-for-us": SPAN_MS * 1e3, "drain-grace-us": DRAIN_GRACE_MS * 1e3,
                "ratio-span-us": RETRY_SPAN_MS * 1e3, "extra-free": RETRY_FREE, "repeat-ratio": RETRY_RATIO}),
        )
}
