//! The resource groups (`services` in the settings) and tenants of a configuration.

use tansymux::settings::{self, RawSettings, SettingsMap};

/// A resource group as far as a configuration gives it. The decisions read the same keys with stricter checks
/// ([`tansymux::settings::Settings`]); what is read here is also there for a configuration that they would refuse.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfiguredGroup {
    /// Its name as the settings map holds it, if it has one.
    pub name: Option<String>,
    /// Run time (ms) that its queries are to stay under.
    pub latency_objective_ms: Option<f64>,
    /// The latest time (ms) after its arrival at which a query is answered.
    pub deadline_ms: Option<f64>,
    /// What its queries may do, in the settings' words.
    pub effect: Option<String>,
}

impl ConfiguredGroup {
    /// Whether the settings say that its queries may change tables.
    pub fn is_non_idempotent(&self) -> bool {
        self.effect.as_deref() == Some("non_idempotent")
    }

    /// Whether it has this name.
    pub fn is_named(&self, name: &str) -> bool {
        self.name
            .as_deref()
            .is_some_and(|known| settings::matches_name(known, name))
    }
}

/// All resource groups, in the order of the settings: the index is the one that the decisions use.
pub fn read_groups(settings: &SettingsMap) -> Vec<ConfiguredGroup> {
    let mut groups = Vec::new();
    for index in 0..list_len(settings, "services") {
        let item = settings::list_item("services", index);
        groups.push(ConfiguredGroup {
            name: settings.get(&format!("{item}.name")).cloned(),
            latency_objective_ms: settings.millis(&format!("{item}.aim-us")),
            deadline_ms: settings.millis(&format!("{item}.hard-limit-us")),
            effect: settings.get(&format!("{item}.effect")).cloned(),
        });
    }
    groups
}

/// The names of the tenants (`projects`).
pub(super) fn read_tenant_names(settings: &SettingsMap) -> Vec<String> {
    let mut names = Vec::new();
    for index in 0..list_len(settings, "projects") {
        let item = settings::list_item("projects", index);
        names.extend(settings.get(&format!("{item}.name")).cloned());
    }
    names
}

/// How many objects a list of the settings has.
fn list_len(settings: &SettingsMap, path: &str) -> usize {
    settings.number(&settings::list_count(path)).unwrap_or(0.0) as usize
}
