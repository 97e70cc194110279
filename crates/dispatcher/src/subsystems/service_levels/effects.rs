//! The degradation of a level in the decisions' form, with resource groups by index in place of their names.

use tansymux::settings::{matches_name, GroupSettings};
use tansymux::LevelEffects;
use tansymux_service_levels::Degradation;

/// The effects of a degradation on the decisions. `groups`: all resource groups, in the order of their indices.
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

/// Fraction of capacity that the low-lane work of each group gets; empty where no group is limited.
fn group_fractions(degradation: &Degradation, groups: &[GroupSettings]) -> Vec<f64> {
    if degradation.classes.is_empty() {
        return Vec::new();
    }
    let mut fractions = Vec::with_capacity(groups.len());
    for group in groups {
        let named = degradation
            .classes
            .iter()
            .find(|named| matches_name(&group.name, &named.class));
        fractions.push(named.map_or(1.0, |named| named.fraction));
    }
    fractions
}
