//! Levels as the file tells them, as the decisions take them.

use crate::schema::{self, term};
use tansymux_service_levels::{
    ClassFraction, Condition, Config, Degradation, Level, Signal, Trigger,
};

/// The definition that the file tells. It may have faults: see `check`.
pub fn definition(told: &schema::Levels) -> Config {
    Config {
        levels: told.level.iter().map(level).collect(),
    }
}

fn level(told: &schema::Level) -> Level {
    let enter = told.enter.clone().unwrap_or_default();
    let terms = |terms: &[schema::Term]| terms.iter().map(term_of).collect();
    Level {
        name: told.name().to_owned(),
        enter: Condition {
            all: terms(&enter.all),
            any: terms(&enter.any),
        },
        min_stay_ms: told.least_stay_s() * 1000.0,
        degradation: told
            .act
            .as_ref()
            .map_or_else(Degradation::default, reduction),
    }
}

fn term_of(told: &schema::Term) -> Trigger {
    let of = told.of.clone();
    let signal = match told.signal() {
        term::Signal::Pressed => Signal::PressuredEngines(of),
        term::Signal::BoundsUsed => Signal::ConcurrencyUsed,
        term::Signal::Late => Signal::LateQueries(of),
        term::Signal::Deferred => Signal::RejectedQueries(of),
        term::Signal::Ready => Signal::ReadyEngines,
        term::Signal::Cold => Signal::WarmingUpEngines,
        term::Signal::Doubted => Signal::EjectedEngines,
        term::Signal::Memory => Signal::Memory,
        term::Signal::Descriptors => Signal::Descriptors,
    };
    Trigger {
        signal,
        enter_threshold: told.enter.unwrap_or(f64::NAN),
        leave_threshold: told.leave.unwrap_or(f64::NAN),
        enter_hold_ms: told.enter_for_s() * 1000.0,
        leave_hold_ms: told.leave_for_s() * 1000.0,
    }
}

fn reduction(told: &schema::Act) -> Degradation {
    Degradation {
        concurrency_factor: told.bounds(),
        demotion_factor: told.demotion(),
        grant_factor: told.grants(),
        retry_after_factor: told.retry_after(),
        retry_after_jitter: told.spread(),
        withhold_low_retries: told.withhold_low_retries(),
        reject_over_quota: told.close_over_share(),
        min_confidence: told.least_sure(),
        classes: told
            .class
            .iter()
            .map(|class| ClassFraction {
                class: class.name().to_owned(),
                fraction: class.part(),
            })
            .collect(),
    }
}
