//! The endpoint list: which engines there are, and in which state.

use crate::control::pressure::CROWD_PER_CORE;
use crate::events::EndpointListKind::{self, Cached, Delta, Failed, Snapshot};
use crate::events::{DecisionSink, EndpointUpdate};
use crate::model::Control;

const LIST_RETRY_MS: f64 = 1000.0; // A list that is wanted is asked for again after this time.
const INITIAL_THREADS_PER_CORE: f64 = 1.0; // Concurrency limit of a new engine (the Druid proposal's).

impl Control {
    /// A list begins; its entries come until [`finish_update`](Control::finish_update).
    pub fn begin_update(&mut self, kind: EndpointListKind) {
        if matches!(kind, Snapshot | Cached) {
            self.engines
                .iter_mut()
                .for_each(|engine| engine.endpoint.listed = false);
        }
    }

    /// One entry of the list.
    pub fn upsert_endpoint(&mut self, update: &EndpointUpdate) {
        if let Some(engine) = self.upsert_engine(update) {
            engine.limit.threads_per_core = INITIAL_THREADS_PER_CORE;
            engine.limit.crowd_threads = engine.cores * CROWD_PER_CORE;
        }
    }

    /// The list is complete, or, for [`EndpointListKind::Failed`], will not come.
    pub fn finish_update(&mut self, kind: EndpointListKind, out: &mut dyn DecisionSink) {
        match kind {
            Failed => return self.endpoint_list.set_wanted(self.now_ms),
            Cached => self.request_endpoints(out),
            Delta | Snapshot => self.endpoint_list.is_wanted = false,
        }
        for engine in &mut self.engines {
            engine.endpoint.ready &= engine.endpoint.listed;
        }
    }

    pub(super) fn request_endpoints(&mut self, out: &mut dyn DecisionSink) {
        let list = &mut self.endpoint_list;
        if list.is_wanted && self.now_ms - list.requested_ms > LIST_RETRY_MS {
            list.requested_ms = self.now_ms;
            out.watch_endpoints();
        }
    }
}
