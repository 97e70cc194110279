//! Checks of the block `levels`.

use crate::error_collector::ErrorCollector;
use crate::levels::service_level_config;
use crate::schema::{term, Act, Level, Levels, Term};
use tansymux_service_levels::FULL_SERVICE;

pub(super) fn validate(levels: &Levels, errors: &mut ErrorCollector) {
    errors.check_range("levels.pin_for_s", levels.pin_for_s, 1.0, 86_400.0);
    validate_pin(levels, errors);
    for (index, level) in levels.level.iter().enumerate() {
        validate_level(&format!("levels.level.{index}"), level, errors);
    }
    // `Config::validate` assumes values within their ranges.
    if errors.is_empty() {
        for error in service_level_config(levels).validate() {
            let key = format!("levels.level.{}.{}", error.level, error.key);
            errors.add(&key, error.found, error.allowed);
        }
    }
}

fn validate_pin(levels: &Levels, errors: &mut ErrorCollector) {
    let Some(pin) = &levels.pin else { return };
    let is_known = pin == FULL_SERVICE || levels.level.iter().any(|level| level.name() == pin);
    if !is_known {
        let allowed = "the name of a level, or \"full\"";
        errors.add("levels.pin", format!("{pin:?}"), allowed);
    }
}

fn validate_level(key: &str, level: &Level, errors: &mut ErrorCollector) {
    let min_stay_key = format!("{key}.least_stay_s");
    errors.check_range(&min_stay_key, level.least_stay_s, 0.0, 3600.0);
    if let Some(enter) = &level.enter {
        for (list, terms) in [("all", &enter.all), ("any", &enter.any)] {
            for (index, term) in terms.iter().enumerate() {
                validate_term(&format!("{key}.enter.{list}.{index}"), term, errors);
            }
        }
    }
    if let Some(act) = &level.act {
        validate_act(&format!("{key}.act"), act, errors);
    }
}

fn validate_term(key: &str, term: &Term, errors: &mut ErrorCollector) {
    for (name, threshold) in [("enter", term.enter), ("leave", term.leave)] {
        if threshold.is_none() {
            errors.add_missing(&format!("{key}.{name}"), "a threshold");
        }
    }
    let signal = term
        .signal
        .and_then(|signal| term::Signal::try_from(signal).ok());
    let Some(signal) = signal else {
        errors.add_missing(&format!("{key}.signal"), "one of the signals");
        return;
    };
    let takes_name = matches!(
        signal,
        term::Signal::Pressed | term::Signal::Late | term::Signal::Deferred
    );
    if term.of.is_some() && !takes_name {
        errors.add(
            &format!("{key}.of"),
            format!("given for {}", signal.as_str_name()),
            "a hall for PRESSED, a resource group for LATE and DEFERRED",
        );
    }
    errors.check_range(&format!("{key}.enter_for_s"), term.enter_for_s, 0.5, 600.0);
    errors.check_range(&format!("{key}.leave_for_s"), term.leave_for_s, 0.5, 600.0);
}

fn validate_act(key: &str, act: &Act, errors: &mut ErrorCollector) {
    errors.check_range(&format!("{key}.bounds"), act.bounds, 0.05, 1.0);
    // With a demotion factor below 0.5 ordinary queries would leave the fast lane.
    errors.check_range(&format!("{key}.demotion"), act.demotion, 0.5, 1.0);
    errors.check_range(&format!("{key}.grants"), act.grants, 0.05, 1.0);
    errors.check_range(&format!("{key}.retry_after"), act.retry_after, 1.0, 100.0);
    errors.check_range(&format!("{key}.spread"), act.spread, 0.0, 0.9);
    errors.check_range(&format!("{key}.least_sure"), act.least_sure, 0.0, 1.0);
    for (index, class) in act.class.iter().enumerate() {
        let class_key = format!("{key}.class.{index}");
        errors.check_range(&format!("{class_key}.part"), class.part, 0.0, 1.0);
        let name = class.name();
        let earlier = &act.class[..index];
        if name.is_empty() {
            errors.add_missing(&format!("{class_key}.name"), "the name of a resource group");
        } else if earlier.iter().any(|other| other.name() == name) {
            errors.add(
                &format!("{class_key}.name"),
                format!("{name:?} a second time"),
                "each resource group once",
            );
        }
    }
}
