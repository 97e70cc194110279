//! Levels as the file tells them, as the decisions take them.

use crate::schema::{self, term};
use tansymux_service_levels::{Condition, Definition, Degradation, Level, Signal, Term};

/// The definition that the file tells. It may have faults: see `check`.
pub fn service_level_config(told: &schema::Levels) -> Definition {
    Definition {
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
        min_stay: told.least_stay_s() * 1000.0,
        reduction: told
            .act
            .as_ref()
            .map_or_else(Degradation::default, reduction),
    }
}

fn term_of(told: &schema::Term) -> Term {
    let of = told.of.clone();
    let signal = match told.signal() {
        term::Signal::Pressed => Signal::Pressed(of),
        term::Signal::BoundsUsed => Signal::BoundsUsed,
        term::Signal::Late => Signal::Late(of),
        term::Signal::Deferred => Signal::Rejected(of),
        term::Signal::Ready => Signal::Ready,
        term::Signal::Cold => Signal::Cold,
        term::Signal::Doubted => Signal::Doubted,
        term::Signal::Memory => Signal::Memory,
        term::Signal::Descriptors => Signal::Descriptors,
    };
    Term {
        signal,
        enter: told.enter.unwrap_or(f64::NAN),
        leave: told.leave.unwrap_or(f64::NAN),
        enter_for: told.enter_for_s() * 1000.0,
        leave_for: told.leave_for_s() * 1000.0,
    }
}

fn reduction(told: &schema::Act) -> Degradation {
    Degradation {
        bounds: told.bounds(),
        demotion: told.demotion(),
        grants: told.grants(),
        retry_after: told.retry_after(),
        spread: told.spread(),
        withhold_low: told.withhold_low_retries(),
        close_over_share: told.close_over_share(),
        min_sure: told.least_sure(),
        classes: told
            .class
            .iter()
            .map(|class| (class.name().to_owned(), class.part()))
            .collect(),
    }
}
