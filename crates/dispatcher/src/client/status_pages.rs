//! The status pages: counters, service levels and zones.

use super::phase::FrontendPhase;
use crate::clock::Clock;
use crate::query_registry::QueryRegistry;
use crate::subsystems;
use crate::subsystems::service_levels::{self, ServiceLevels};
use crate::subsystems::statement_classifier::StatementClassifier;
use crate::subsystems::zone_routing::ZoneRouting;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a request that waits for a change of the service level polls for it.
const LEVEL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The data sources of the status pages.
pub struct StatusPages {
    /// The queries in flight and the counters.
    pub registry: Rc<QueryRegistry>,
    /// The program's clock.
    pub clock: Clock,
    /// The statement classifier.
    pub classifier: Rc<StatementClassifier>,
    /// The service levels.
    pub levels: Rc<ServiceLevels>,
    /// The zones.
    pub zones: Rc<ZoneRouting>,
    /// Zone names, and the number of low-lane threads that spilled into each, as last counted by the admission
    /// controller.
    pub spilled_threads: RefCell<Vec<(String, f64)>>,
}

impl StatusPages {
    /// All counters as text, one per line.
    pub fn counters(&self) -> String {
        subsystems::counters(&self.registry, &self.classifier, &self.levels, &self.zones)
    }

    /// The service levels as JSON. If `after` is a version, waits first until the version differs from it.
    pub async fn levels(&self, after: Option<&str>, phase: &Cell<FrontendPhase>) -> String {
        if let Some(after) = after.and_then(|after| after.parse().ok()) {
            self.wait_for_level_change(after, phase).await;
        }
        self.levels.to_json(self.clock.now()).to_string()
    }

    /// Waits until the version of the service levels differs from `after`, for at most
    /// [`service_levels::MAX_WATCH_MS`] and only while queries are served. Returns immediately if
    /// [`service_levels::MAX_WATCHERS`] requests are waiting already.
    async fn wait_for_level_change(&self, after: u64, phase: &Cell<FrontendPhase>) {
        let until_ms = self.clock.now() + service_levels::MAX_WATCH_MS;
        let watchers = &self.levels.watchers;
        if watchers.get() >= service_levels::MAX_WATCHERS {
            return;
        }
        watchers.set(watchers.get() + 1);
        while self.levels.version() == after
            && self.clock.now() < until_ms
            && phase.get().is_healthy()
        {
            Timer::after(LEVEL_POLL_INTERVAL).await;
        }
        watchers.set(watchers.get() - 1);
    }

    /// The zones as JSON, with the number of low-lane threads that spilled into each.
    pub fn zones(&self) -> String {
        let spilled_threads = self.spilled_threads.borrow();
        let spilled_into = |name: &str| {
            spilled_threads
                .iter()
                .find(|(zone, _)| zone == name)
                .map_or(0.0, |(_, threads)| *threads)
        };
        self.zones
            .to_json(self.clock.now(), spilled_into)
            .to_string()
    }
}
