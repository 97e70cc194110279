//! Validation of configurations: rejects levels that would flap, cannot be entered or left, or shadow another level.

use super::{Condition, Config, Degradation, Level, Trigger, FULL_SERVICE};

/// Minimum distance between a trigger's thresholds. Noise in the signal would cross both thresholds of a closer pair.
const MIN_THRESHOLD_GAP: f64 = 0.02;

/// An invalid setting of a level.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("level {level}, {key}: {found}; allowed: {allowed}")]
pub struct ConfigError {
    /// Index of the level in the configuration.
    pub level: usize,
    /// Path of the key within the level, as in the operators' file.
    pub key: String,
    /// The value found.
    pub found: String,
    /// The values allowed.
    pub allowed: &'static str,
}

/// Collects the errors of one level.
struct LevelErrors<'a> {
    level: usize,
    errors: &'a mut Vec<ConfigError>,
}

impl LevelErrors<'_> {
    fn add(&mut self, key: &str, found: String, allowed: &'static str) {
        self.errors.push(ConfigError {
            level: self.level,
            key: key.to_owned(),
            found,
            allowed,
        });
    }
}

impl Config {
    /// Returns all errors of the configuration; empty if it is valid.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        for index in 0..self.levels.len() {
            let mut level_errors = LevelErrors {
                level: index,
                errors: &mut errors,
            };
            self.validate_level(index, &mut level_errors);
        }
        if let Some(first) = self.levels.first() {
            if first.degradation == Degradation::default() {
                errors.push(ConfigError {
                    level: 0,
                    key: "act".into(),
                    found: format!("without effect in {:?}", first.name),
                    allowed: "stricter than full service",
                });
            }
        }
        errors
    }

    fn validate_level(&self, index: usize, errors: &mut LevelErrors<'_>) {
        let level = &self.levels[index];
        self.validate_name(index, errors);
        if level.enter.triggers().next().is_none() {
            errors.add("enter", "missing".into(), "at least one term in all or any");
        }
        for (list, triggers) in [("all", &level.enter.all), ("any", &level.enter.any)] {
            for (position, trigger) in triggers.iter().enumerate() {
                validate_thresholds(&format!("enter.{list}.{position}"), trigger, errors);
            }
        }
        validate_can_be_left(&level.enter, errors);
        if index > 0 {
            validate_order(level, &self.levels[index - 1], errors);
        }
    }

    fn validate_name(&self, index: usize, errors: &mut LevelErrors<'_>) {
        let name = &self.levels[index].name;
        let is_repeated = self.levels[..index]
            .iter()
            .any(|earlier| earlier.name == *name);
        if name.is_empty() || name == FULL_SERVICE {
            errors.add(
                "name",
                format!("{name:?}"),
                "a name other than that of full service",
            );
        } else if is_repeated {
            errors.add("name", format!("{name:?} a second time"), "each name once");
        }
    }
}

fn validate_thresholds(key: &str, trigger: &Trigger, errors: &mut LevelErrors<'_>) {
    let enter = trigger.enter_threshold;
    let leave = trigger.leave_threshold;
    let gap = enter.max(leave) - enter.min(leave);
    let can_be_left = if trigger.is_high_active() {
        leave > 0.0
    } else {
        leave <= 1.0
    };
    if !enter.is_finite() || !leave.is_finite() || gap < MIN_THRESHOLD_GAP {
        let found = format!("{enter} to enter and {leave} to leave");
        errors.add(
            key,
            found,
            "thresholds 0.02 apart or more: closer ones would flap",
        );
    } else if !(0.0..=1.0).contains(&enter) {
        errors.add(
            key,
            format!("{enter} to enter"),
            "0 to 1: otherwise the level could never be entered",
        );
    } else if !can_be_left {
        errors.add(
            key,
            format!("{leave} to leave"),
            "a value inside 0 to 1: otherwise the level could not be left",
        );
    }
}

/// Rejects a condition that rejections alone can hold: the level itself causes rejections, so it could not be left.
fn validate_can_be_left(condition: &Condition, errors: &mut LevelErrors<'_>) {
    let is_self_sustaining =
        |trigger: &Trigger| trigger.signal.is_raised_by_levels() && trigger.is_high_active();
    let by_any = condition.all.is_empty() && condition.any.iter().any(is_self_sustaining);
    let by_all = !condition.all.is_empty() && condition.all.iter().all(is_self_sustaining);
    if by_any || by_all {
        errors.add(
            "enter",
            "held by rejections alone".into(),
            "another term in all: the level itself causes rejections and could not be left",
        );
    }
}

/// Checks that a level is stricter than the level before it, and harder to enter.
fn validate_order(level: &Level, before: &Level, errors: &mut LevelErrors<'_>) {
    if is_entered_no_later(&level.enter, &before.enter) {
        errors.add(
            "enter",
            format!("entered no later than {:?}", before.name),
            "a condition that is harder to meet: the level before would be shadowed",
        );
    }
    if let Some(key) = milder_setting(&level.degradation, &before.degradation) {
        errors.add(
            &format!("act.{key}"),
            format!("milder than in {:?}", before.name),
            "at least as strict",
        );
    }
    if level.degradation == before.degradation {
        errors.add(
            "act",
            format!("the same as in {:?}", before.name),
            "stricter than the level before",
        );
    }
}

/// Returns whether readings that meet `earlier` are known to meet `later` too: each trigger of `later` is implied by a
/// trigger of `earlier`.
fn is_entered_no_later(later: &Condition, earlier: &Condition) -> bool {
    let is_covered = |trigger: &Trigger| earlier.all.iter().any(|other| implies(other, trigger));
    if !later.all.iter().all(is_covered) {
        return false;
    }
    // For alternatives, implication is recognised only if the lists are equal or `all` of `earlier` implies one of
    // them.
    later.any.is_empty() || later.any == earlier.any || later.any.iter().any(is_covered)
}

/// Returns whether `trigger` is on whenever `other` is on.
fn implies(other: &Trigger, trigger: &Trigger) -> bool {
    let implies_threshold = if trigger.is_high_active() {
        other.enter_threshold >= trigger.enter_threshold
    } else {
        other.enter_threshold <= trigger.enter_threshold
    };
    other.signal == trigger.signal
        && other.is_high_active() == trigger.is_high_active()
        && implies_threshold
        && other.enter_hold_ms >= trigger.enter_hold_ms
}

/// Returns the first setting that is milder than in `before`, by its key in the operators' file.
fn milder_setting(degradation: &Degradation, before: &Degradation) -> Option<&'static str> {
    let any_class_milder = before
        .classes
        .iter()
        .any(|limit| degradation.class_fraction(&limit.class) > limit.fraction);
    let checks = [
        (
            degradation.concurrency_factor > before.concurrency_factor,
            "bounds",
        ),
        (
            degradation.demotion_factor > before.demotion_factor,
            "demotion",
        ),
        (degradation.grant_factor > before.grant_factor, "grants"),
        (
            degradation.retry_after_factor < before.retry_after_factor,
            "retry_after",
        ),
        (
            before.withhold_low_retries && !degradation.withhold_low_retries,
            "withhold_low",
        ),
        (
            before.reject_over_quota && !degradation.reject_over_quota,
            "close_over_share",
        ),
        (
            degradation.min_confidence < before.min_confidence,
            "least_sure",
        ),
        (any_class_milder, "class"),
    ];
    let milder = checks.iter().find(|(is_milder, _)| *is_milder)?;
    Some(milder.1)
}
