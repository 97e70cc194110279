//! The resource groups (`services` in the settings) and tenants of a configuration.

use tansymux::settings::keys::{self, effect, group, tenant};
use tansymux::settings::{self, RawSettings, SettingsMap};

/// A resource group of a configuration. The admission controller reads the same keys with stricter checks
/// ([`tansymux::settings::Settings`]); this reader also accepts configurations that those checks reject.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfiguredGroup {
    /// The group's name, in the form of the settings map.
    pub name: Option<String>,
    /// Latency objective (ms) of the group's queries.
    pub latency_objective_ms: Option<f64>,
    /// Time (ms) from a query's arrival to its deadline.
    pub deadline_ms: Option<f64>,
    /// The effect of the group's queries. [`effect`] lists the known values; an unknown value is kept unchanged.
    pub effect: Option<String>,
}

impl ConfiguredGroup {
    /// Whether the group's queries are non-idempotent: running one twice does harm.
    pub fn is_non_idempotent(&self) -> bool {
        self.effect.as_deref() == Some(effect::NON_IDEMPOTENT)
    }

    /// Whether the group has this name.
    pub fn is_named(&self, name: &str) -> bool {
        self.name
            .as_deref()
            .is_some_and(|known| settings::matches_name(known, name))
    }
}

/// All resource groups, in the order of the settings. The admission controller uses the same indices.
pub fn read_groups(settings: &SettingsMap) -> Vec<ConfiguredGroup> {
    let mut groups = Vec::new();
    for index in 0..list_len(settings, keys::GROUPS) {
        let item = settings::list_item(keys::GROUPS, index);
        let key = |name: &str| format!("{item}.{name}");
        groups.push(ConfiguredGroup {
            name: settings.get(&key(group::NAME)).cloned(),
            latency_objective_ms: settings.millis(&key(group::OBJECTIVE_US)),
            deadline_ms: settings.millis(&key(group::USUAL_TIMEOUT_US)),
            effect: settings.get(&key(group::EFFECT)).cloned(),
        });
    }
    groups
}

/// The longest deadline (ms) of all groups; `None` if no group has a deadline.
pub(super) fn max_deadline_ms(groups: &[ConfiguredGroup]) -> Option<f64> {
    groups
        .iter()
        .filter_map(|group| group.deadline_ms)
        .reduce(f64::max)
}

/// The names of all tenants.
pub(super) fn read_tenant_names(settings: &SettingsMap) -> Vec<String> {
    let mut names = Vec::new();
    for index in 0..list_len(settings, keys::TENANTS) {
        let item = settings::list_item(keys::TENANTS, index);
        let name_key = format!("{item}.{}", tenant::NAME);
        names.extend(settings.get(&name_key).cloned());
    }
    names
}

/// The number of objects in a list of the settings.
fn list_len(settings: &SettingsMap, path: &str) -> usize {
    settings.number(&settings::list_count(path)).unwrap_or(0.0) as usize
}
