//! Rule 4 for a whole fleet, with the operators' parameters: how many requests a warming engine sustains in a span.

use super::rules::{Violation, WarmUpRule};
use crate::record::{Entry, EventKind};
use std::collections::BTreeMap;

/// Below this many allowed requests the larger tolerance applies.
const FEW_REQUESTS: f64 = 30.0;

/// The most requests of mean work that do not break the rule, where the settings allow `allowed`.
pub fn bearable_requests(allowed: f64) -> f64 {
    if allowed < FEW_REQUESTS {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// A start of an engine, and the work that reached it since.
struct WarmingEngine {
    started_ms: f64,
    cores: f64,
    arrivals: Vec<(f64, f64)>,
}

/// For each engine, the first span after its start in which all dispatchers together sent more than it sustains.
/// `mean_work_ms`: the mean work of all requests.
pub fn find_slow_start_violations(
    entries: &[Entry],
    rule: &WarmUpRule,
    mean_work_ms: f64,
) -> Vec<Violation> {
    let mut engines: BTreeMap<&str, WarmingEngine> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match &entry.event {
            EventKind::Started { engine, cores } => {
                let warming = WarmingEngine {
                    started_ms: entry.at_ms,
                    cores: *cores,
                    arrivals: Vec::new(),
                };
                engines.insert(engine, warming);
            }
            EventKind::Arrived {
                engine, work_ms, ..
            } => {
                let Some(warming) = engines.get_mut(engine.as_str()) else {
                    continue;
                };
                warming.arrivals.push((entry.at_ms, *work_ms));
                if let Some(description) = warming.excess(entry.at_ms, rule, mean_work_ms) {
                    violations.push(Violation {
                        rule: 4,
                        at_ms: entry.at_ms,
                        description: format!("{engine} {description}"),
                    });
                    engines.remove(engine.as_str());
                }
            }
            _ => {}
        }
    }
    violations
}

impl WarmingEngine {
    /// A description of the excess in the span that ends now, if there is one.
    fn excess(&self, now_ms: f64, rule: &WarmUpRule, mean_work_ms: f64) -> Option<String> {
        if now_ms - self.started_ms >= rule.warm_after_ms {
            return None;
        }
        let in_span = self.arrivals.iter();
        let in_span = in_span.filter(|(at_ms, _)| *at_ms > now_ms - rule.span_ms);
        let sent_ms: f64 = in_span.map(|(_, work_ms)| work_ms).sum();
        let bearable_ms = rule.multiple * rule.initial_fraction * self.cores * rule.span_ms;
        let bearable = bearable_requests(bearable_ms / mean_work_ms);
        let sent = sent_ms / mean_work_ms;
        (sent > bearable).then(|| {
            format!("is warming up and was sent {sent:.1} requests of mean work where it bears {bearable:.1}")
        })
    }
}
