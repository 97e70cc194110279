//! Converts a level's degradation for the admission controller, which identifies resource groups by index, not by name.

use tansymux::settings::{matches_name, GroupSettings};
use tansymux::LevelEffects;
use tansymux_service_levels::Degradation;

/// Returns a degradation's effects on the admission controller. `groups`: all resource groups, in the order of their
/// indices.
pub(super) fn level_effects(degradation: &Degradation, groups: &[GroupSettings]) -> LevelEffects {
    LevelEffects {
        concurrency_factor: degradation.concurrency_factor,
        demotion_factor: degradation.demotion_factor,
        grant_factor: degradation.grant_factor,
        retry_after_factor: degradation.retry_after_factor,
        retry_after_jitter: degradation.retry_after_jitter,
        withhold_low_retries: degradation.withhold_low_retries,
        reject_over_quota: degradation.reject_over_quota,
        min_confidence: degradation.min_confidence,
        group_fractions: group_fractions(degradation, groups),
    }
}

/// Returns the fraction of capacity that each group's low-lane queries may use; empty if no group is limited.
fn group_fractions(degradation: &Degradation, groups: &[GroupSettings]) -> Vec<f64> {
    if degradation.classes.is_empty() {
        return Vec::new();
    }
    let mut fractions = Vec::with_capacity(groups.len());
    for group in groups {
        let class = degradation
            .classes
            .iter()
            .find(|class| matches_name(&group.name, &class.class));
        fractions.push(class.map_or(1.0, |class| class.fraction));
    }
    fractions
}
