//! The resource groups (`services` in the settings), read once into typed records.

use tansymux::settings::{self, RawSettings, SettingsMap};

/// One resource group as the settings define it.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupSettings {
    /// Its name as the settings map holds it, if it has one.
    pub name: Option<String>,
    /// Run time (ms) that its queries are to stay under.
    pub latency_objective_ms: Option<f64>,
    /// Part of a query's work that its latency objective grows by.
    pub objective_stretch: f64,
    /// The latest time (ms) after its arrival at which a query is answered.
    pub deadline_ms: Option<f64>,
    /// Threads that each of its queries runs on, at least 1.
    pub threads: f64,
    /// What its queries may do, in the settings' words.
    pub effect: Option<String>,
}

impl GroupSettings {
    /// Whether the settings promise that its queries only read.
    pub fn is_read_only(&self) -> bool {
        self.effect.as_deref() == Some("read_like")
    }

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
pub fn read_groups(settings: &SettingsMap) -> Vec<GroupSettings> {
    let threads = settings.list("family-info.dop");
    let mut groups = Vec::new();
    for index in 0..list_len(settings, "services") {
        let item = settings::list_item("services", index);
        let threads = threads.get(index).and_then(|count| count.parse().ok());
        groups.push(GroupSettings {
            name: settings.get(&format!("{item}.name")).cloned(),
            latency_objective_ms: settings.millis(&format!("{item}.aim-us")),
            objective_stretch: settings
                .number(&format!("{item}.aim-stretch"))
                .unwrap_or(0.0),
            deadline_ms: settings.millis(&format!("{item}.hard-limit-us")),
            threads: threads.unwrap_or(1.0f64).max(1.0),
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
