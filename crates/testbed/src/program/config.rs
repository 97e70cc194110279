//! The configuration of the program under test: engines, resource groups and settings.

use super::free_address;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tansymux::settings::keys;

/// The settings of a resource group, with its latency objective and maximum wait. `effect` is one of the values in
/// [`keys::effect`].
pub fn resource_group(name: &str, objective_ms: f64, max_wait_ms: f64, effect: &str) -> Value {
    json!({
        keys::group::NAME: name,
        keys::group::OBJECTIVE_US: objective_ms * 1e3,
        keys::group::USUAL_TIMEOUT_US: max_wait_ms * 1e3,
        keys::group::EFFECT: effect,
    })
}

/// A configuration with the values that all tests and runs need; [`Config::with`] sets the others.
#[derive(Debug, Clone)]
pub struct Config(pub Value);

impl Config {
    /// Configures a fleet of one dispatcher, in zone `h`. `engines` are of kind `std` (8 cores, 4,096 MB) and listed as
    /// ready. `threads` has the number of threads of a query for each resource group.
    pub fn new(
        listen: SocketAddr,
        engines: &[(String, SocketAddr)],
        groups: &[Value],
        threads: &[u32],
    ) -> Self {
        let entry = |(id, address): &(String, SocketAddr)| {
            json!({"instanceId": id, "hostPort": address.to_string(), "zone": "h", "machineType": "std", "cell": 0,
                "lifecycle": "Ready", "startedAtMs": 0})
        };
        let instances: Vec<Value> = engines.iter().map(entry).collect();
        Config(json!({
            "name": "n0", "listen": listen.to_string(), "seed": "1",
            "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"instances": instances}}]},
            "settings": {}
        }))
        .with_setting(keys::DISPATCHERS, 1)
        .with_setting(keys::LOCAL_ZONE, "h")
        .with_setting(keys::ENGINE_KINDS, json!(["std"]))
        .with_setting(keys::TENANTS, json!([{keys::tenant::NAME: "acme"}]))
        .with_setting(keys::GROUPS, groups)
        .with_setting(keys::CORES_BY_KIND, json!([8]))
        .with_setting(keys::MEMORY_MB_BY_KIND, json!([4096]))
        .with_setting(keys::THREADS_BY_GROUP, threads)
        .with_setting(keys::SUPPORTS_PRIORITIES, true)
        .with_setting(keys::CANCELLATION, true)
        .with_setting(keys::MAX_ATTEMPTS, 3)
        .with_setting(keys::MAX_RETRY_AFTER_US, 500_000)
    }

    /// Configures a fleet of one dispatcher, with these engines and two resource groups with a deadline of 9 s: `look`
    /// is read-only, `load` is not idempotent.
    pub fn with_two_groups(engines: &[SocketAddr]) -> Self {
        let engines = numbered_engines(engines);
        let groups = [
            resource_group("look", 300.0, 9000.0, keys::effect::READ_ONLY),
            resource_group("load", 300.0, 9000.0, keys::effect::NON_IDEMPOTENT),
        ];
        Config::new(free_address(), &engines, &groups, &[1, 1])
    }

    /// Sets the value at a path of keys, for example `settings.limits.probes`. A number is the index of an array.
    pub fn with(mut self, path: &str, value: impl Into<Value>) -> Self {
        let mut target = &mut self.0;
        for key in path.split('.') {
            target = match key.parse::<usize>() {
                Ok(index) if target.is_array() => &mut target[index],
                _ => &mut target[key],
            };
        }
        *target = value.into();
        self
    }

    /// Sets a setting of the resource group with index `group` by its key, for example [`keys::group::OBJECTIVE_US`].
    pub fn with_group_setting(self, group: usize, key: &str, value: impl Into<Value>) -> Self {
        self.with_setting(&format!("{}.{group}.{key}", keys::GROUPS), value)
    }

    /// Sets a setting by its key, for example [`keys::HEALTH_CHECKS`].
    pub fn with_setting(self, key: &str, value: impl Into<Value>) -> Self {
        self.with(&format!("settings.{key}"), value)
    }
}

/// Pairs each address with an engine id: `s-0`, `s-1` and so on.
pub fn numbered_engines(addresses: &[SocketAddr]) -> Vec<(String, SocketAddr)> {
    addresses
        .iter()
        .enumerate()
        .map(|(index, address)| (format!("s-{index}"), *address))
        .collect()
}
