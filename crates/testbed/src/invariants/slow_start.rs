//! Rule 4 for a whole fleet, with the operators' parameters: bounds the number of requests that an engine which is
//! warming up receives in a span.

use super::rules::{Violation, WarmUpRule};
use crate::record::{Entry, EventKind};
use std::collections::BTreeMap;

/// Number of allowed requests below which the larger tolerance applies.
const LARGE_TOLERANCE_BELOW: f64 = 30.0;

/// The largest number of requests of mean work that does not violate the rule: `allowed`, the number that the settings
/// allow, plus a tolerance.
pub fn sustainable_requests(allowed: f64) -> f64 {
    if allowed < LARGE_TOLERANCE_BELOW {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// An engine that is warming up, and the work that reached it since its start.
struct WarmingEngine {
    started_ms: f64,
    cores: f64,
    /// The time of each arrival (ms) and its work on one core (ms).
    arrivals: Vec<(f64, f64)>,
}

/// Returns for each start of an engine the first span in which all dispatchers together sent more than it sustains.
/// `mean_work_ms` is the mean work of all requests.
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
    /// A description of the excess in the span that ends at `now_ms`, if there is one.
    fn excess(&self, now_ms: f64, rule: &WarmUpRule, mean_work_ms: f64) -> Option<String> {
        if now_ms - self.started_ms >= rule.warm_after_ms {
            return None;
        }
        let in_span = self.arrivals.iter();
        let in_span = in_span.filter(|(at_ms, _)| *at_ms > now_ms - rule.span_ms);
        let sent_ms: f64 = in_span.map(|(_, work_ms)| work_ms).sum();
        let sustainable_ms = rule.multiple * rule.initial_fraction * self.cores * rule.span_ms;
        let sustainable = sustainable_requests(sustainable_ms / mean_work_ms);
        let sent = sent_ms / mean_work_ms;
        (sent > sustainable).then(|| {
            format!("is warming up and was sent {sent:.1} requests of mean work where it sustains {sustainable:.1}")
        })
    }
}
