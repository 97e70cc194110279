//! Levels as the file tells them, as the decisions take them.

use crate::check::Faults;
use crate::schema::{self, term};
use tansymux_service_levels::{define, Condition, Definition, Degradation, Level, Signal, Term};

/// The definition that the file tells. It may have faults: see `check`.
pub fn definition(told: &schema::Levels) -> Definition {
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

pub(crate) fn check(told: &schema::Levels, faults: &mut Faults) {
    faults.within("levels.pin_for_s", told.pin_for_s, 1.0, 86_400.0);
    if let Some(pin) = &told.pin {
        if pin != define::FULL && !told.level.iter().any(|level| level.name() == pin) {
            faults.add(
                "levels.pin",
                format!("{pin:?}"),
                "the name of a level, or \"full\"",
            );
        }
    }
    for (n, level) in told.level.iter().enumerate() {
        let key = format!("levels.level.{n}");
        faults.within(
            &format!("{key}.least_stay_s"),
            level.least_stay_s,
            0.0,
            3600.0,
        );
        let enter = level.enter.clone().unwrap_or_default();
        for (part, terms) in [("all", &enter.all), ("any", &enter.any)] {
            for (t, term) in terms.iter().enumerate() {
                of_term(&format!("{key}.enter.{part}.{t}"), term, faults);
            }
        }
        if let Some(act) = &level.act {
            of_act(&format!("{key}.act"), act, faults);
        }
    }
    if faults.is_empty() {
        for fault in define::faults(&definition(told)) {
            let key = format!("levels.level.{}.{}", fault.level, fault.key);
            faults.add(&key, fault.found, fault.allowed);
        }
    }
}

fn of_term(key: &str, term: &schema::Term, faults: &mut Faults) {
    for (name, given) in [("enter", term.enter), ("leave", term.leave)] {
        if given.is_none() {
            faults.add(&format!("{key}.{name}"), "missing", "a threshold");
        }
    }
    let Some(signal) = term
        .signal
        .and_then(|signal| term::Signal::try_from(signal).ok())
    else {
        return faults.add(&format!("{key}.signal"), "missing", "one of the signals");
    };
    let named = matches!(
        signal,
        term::Signal::Pressed | term::Signal::Late | term::Signal::Deferred
    );
    if term.of.is_some() && !named {
        let found = format!("given for {}", signal.as_str_name());
        faults.add(
            &format!("{key}.of"),
            found,
            "a hall for PRESSED, a resource group for LATE and DEFERRED",
        );
    }
    faults.within(&format!("{key}.enter_for_s"), term.enter_for_s, 0.5, 600.0);
    faults.within(&format!("{key}.leave_for_s"), term.leave_for_s, 0.5, 600.0);
}

fn of_act(key: &str, act: &schema::Act, faults: &mut Faults) {
    // Demotion stays well above what is usual: else ordinary queries would leave the fast lane.
    for (name, given, least) in [
        ("bounds", act.bounds, 0.05),
        ("demotion", act.demotion, 0.5),
        ("grants", act.grants, 0.05),
    ] {
        faults.within(&format!("{key}.{name}"), given, least, 1.0);
    }
    faults.within(&format!("{key}.retry_after"), act.retry_after, 1.0, 100.0);
    faults.within(&format!("{key}.spread"), act.spread, 0.0, 0.9);
    faults.within(&format!("{key}.least_sure"), act.least_sure, 0.0, 1.0);
    for (n, class) in act.class.iter().enumerate() {
        faults.within(&format!("{key}.class.{n}.part"), class.part, 0.0, 1.0);
        if class.name().is_empty() {
            faults.add(
                &format!("{key}.class.{n}.name"),
                "missing",
                "the name of a resource group",
            );
        } else if act.class[..n]
            .iter()
            .any(|other| other.name() == class.name())
        {
            let found = format!("{:?} a second time", class.name());
            faults.add(
                &format!("{key}.class.{n}.name"),
                found,
                "each resource group once",
            );
        }
    }
}
