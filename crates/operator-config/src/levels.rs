//! Conversion of the block `levels` into the configuration of the service levels package.

use crate::schema::{self, term};
use crate::units::MS_PER_S;
use tansymux_service_levels::{
    ClassFraction, Condition, Config, Degradation, Level, Signal, Trigger,
};

/// The configuration of service levels. [`parse`](crate::parse) checks the values, this conversion does not. A missing
/// threshold becomes NaN.
pub fn service_level_config(levels: &schema::Levels) -> Config {
    Config {
        levels: levels.level.iter().map(level).collect(),
    }
}

fn level(level: &schema::Level) -> Level {
    let enter = level.enter.clone().unwrap_or_default();
    let act = level.act.as_ref();
    Level {
        name: level.name().to_owned(),
        enter: Condition {
            all: enter.all.iter().map(trigger).collect(),
            any: enter.any.iter().map(trigger).collect(),
        },
        min_stay_ms: level.least_stay_s() * MS_PER_S,
        degradation: act.map_or_else(Degradation::default, degradation),
    }
}

fn trigger(term: &schema::Term) -> Trigger {
    Trigger {
        signal: signal(term),
        enter_threshold: term.enter.unwrap_or(f64::NAN),
        leave_threshold: term.leave.unwrap_or(f64::NAN),
        enter_hold_ms: term.enter_for_s() * MS_PER_S,
        leave_hold_ms: term.leave_for_s() * MS_PER_S,
    }
}

fn signal(term: &schema::Term) -> Signal {
    let name = term.of.clone();
    match term.signal() {
        term::Signal::Pressed => Signal::PressuredEngines(name),
        term::Signal::BoundsUsed => Signal::ConcurrencyUsed,
        term::Signal::Late => Signal::LateQueries(name),
        term::Signal::Deferred => Signal::RejectedQueries(name),
        term::Signal::Ready => Signal::ReadyEngines,
        term::Signal::Cold => Signal::WarmingUpEngines,
        term::Signal::Doubted => Signal::EjectedEngines,
        term::Signal::Memory => Signal::Memory,
        term::Signal::Descriptors => Signal::Descriptors,
    }
}

fn degradation(act: &schema::Act) -> Degradation {
    Degradation {
        concurrency_factor: act.bounds(),
        demotion_factor: act.demotion(),
        grant_factor: act.grants(),
        retry_after_factor: act.retry_after(),
        retry_after_jitter: act.spread(),
        withhold_low_retries: act.withhold_low_retries(),
        reject_over_quota: act.close_over_share(),
        min_confidence: act.least_sure(),
        classes: act.class.iter().map(class_fraction).collect(),
    }
}

fn class_fraction(class: &schema::ClassPart) -> ClassFraction {
    ClassFraction {
        class: class.name().to_owned(),
        fraction: class.part(),
    }
}
