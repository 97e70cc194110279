//! The fingerprint of a configuration, a 16-bit hash sent with every message. Dispatchers ignore reports of peers that
//! have another configuration.
//!
//! The fingerprint is part of the wire format. The first version hashed the `{:?}` output of its types, so this module
//! reproduces that text letter for letter, including the former names of types and fields.

use super::{Condition, Config, Degradation, Level, Trigger};
use crate::signal::Signal;

impl Config {
    /// Returns the fingerprint: 32-bit FNV-1a of the text, folded to 16 bits.
    pub fn fingerprint(&self) -> u16 {
        let levels = list_text(&self.levels, level_text);
        let text = format!("Definition {{ levels: {levels} }}");
        tansymux_codec::fnv1a_16(text.as_bytes())
    }
}

fn list_text<Item>(items: &[Item], item_text: fn(&Item) -> String) -> String {
    let texts: Vec<String> = items.iter().map(item_text).collect();
    format!("[{}]", texts.join(", "))
}

fn level_text(level: &Level) -> String {
    format!(
        "Level {{ name: {:?}, enter: {}, least_stay: {:?}, reduction: {} }}",
        level.name,
        condition_text(&level.enter),
        level.min_stay_ms,
        degradation_text(&level.degradation),
    )
}

fn condition_text(condition: &Condition) -> String {
    let all = list_text(&condition.all, trigger_text);
    let any = list_text(&condition.any, trigger_text);
    format!("Condition {{ all: {all}, any: {any} }}")
}

fn trigger_text(trigger: &Trigger) -> String {
    format!(
        "Term {{ signal: {}, enter: {:?}, leave: {:?}, enter_for: {:?}, leave_for: {:?} }}",
        signal_text(&trigger.signal),
        trigger.enter_threshold,
        trigger.leave_threshold,
        trigger.enter_hold_ms,
        trigger.leave_hold_ms,
    )
}

fn signal_text(signal: &Signal) -> String {
    match signal {
        Signal::PressuredEngines(zone) => format!("Pressed({zone:?})"),
        Signal::ConcurrencyUsed => "BoundsUsed".into(),
        Signal::LateQueries(class) => format!("Late({class:?})"),
        Signal::RejectedQueries(class) => format!("Deferred({class:?})"),
        Signal::ReadyEngines => "Ready".into(),
        Signal::WarmingUpEngines => "Cold".into(),
        Signal::EjectedEngines => "Doubted".into(),
        Signal::Memory => "Memory".into(),
        Signal::Descriptors => "Descriptors".into(),
    }
}

fn degradation_text(degradation: &Degradation) -> String {
    let classes = list_text(&degradation.classes, |limit| {
        format!("({:?}, {:?})", limit.class, limit.fraction)
    });
    format!(
        "Reduction {{ bounds: {:?}, demotion: {:?}, grants: {:?}, retry_after: {:?}, spread: {:?}, \
         withhold_low: {:?}, close_over_share: {:?}, least_sure: {:?}, classes: {classes} }}",
        degradation.concurrency_factor,
        degradation.demotion_factor,
        degradation.grant_factor,
        degradation.retry_after_factor,
        degradation.retry_after_jitter,
        degradation.withhold_low_retries,
        degradation.reject_over_quota,
        degradation.min_confidence,
    )
}
