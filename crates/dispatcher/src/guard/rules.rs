//! The parameters of the guard's rules, read from the settings.

use super::EndpointFacts;
use rustc_hash::FxHashMap;
use tansymux::settings::{RetryBudgetRule, Settings};

/// The zones and kinds of engine that a resource group may use; `None` allows all.
#[derive(Debug, Default)]
struct Placement {
    zones: Option<Vec<String>>,
    kinds: Option<Vec<String>>,
}

/// The parameters of the guard's rules.
#[derive(Debug, Default)]
pub struct GuardRules {
    /// The retry budget (rule 7), if the settings define one.
    pub retry_budget: Option<RetryBudgetRule>,
    /// Placements, by name of the resource group.
    placements: FxHashMap<String, Placement>,
}

impl GuardRules {
    /// Reads the parameters from the settings.
    pub fn of(settings: &Settings) -> Self {
        let mut placements = FxHashMap::default();
        for group in &settings.groups {
            let placement = Placement {
                zones: group.zones.clone(),
                kinds: group.kinds.clone(),
            };
            placements.insert(group.name.clone(), placement);
        }
        GuardRules {
            retry_budget: settings.retry_budget,
            placements,
        }
    }

    /// Whether a resource group may use an engine (rule 6). A group without a placement may use all engines.
    pub fn allows_placement(&self, group: &str, endpoint: &EndpointFacts) -> bool {
        let Some(placement) = self.placements.get(group) else {
            return true;
        };
        allows(placement.zones.as_deref(), endpoint.zone)
            && allows(placement.kinds.as_deref(), endpoint.kind)
    }
}

fn allows(names: Option<&[String]>, name: &str) -> bool {
    names.is_none_or(|names| {
        names
            .iter()
            .any(|known| tansymux::settings::matches_name(known, name))
    })
}
