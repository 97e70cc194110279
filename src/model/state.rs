//! All that one dispatcher knows.

use crate::events::{DecisionSink, EndpointUpdate};
use crate::interner::Interner;
use crate::model::{
    Engine, EngineIndex, KeyQueues, LevelEffects, LowLane, PeerLoad, Query, QueryIndex,
    ResourceGroup, RetryBudget, SlowStart, Slowdowns, TenantRates,
};
use crate::pcg::Pcg;
use crate::settings::{Settings, SettingsError, SettingsMap};
use crate::zone_plan::ActiveZonePlan;
use slab::Slab;

/// One round's events, in order.
pub trait EventSource {
    /// Calls the handlers of [`Control`] with the round's events.
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink);
}

/// One dispatcher's decisions, with all that it knows: its settings, what is in flight, and what it learned.
///
/// Memory grows with the queries in flight, the engines listed and the keys, tenants and zones named.
#[derive(Default)]
pub struct Control {
    /// The clock of the round (ms).
    pub(crate) now_ms: f64,
    pub(crate) settings: Settings,
    pub(crate) local_zone: Option<u32>,
    pub(crate) rng: Pcg,
    pub(crate) interner: Interner,
    pub(crate) groups: Vec<ResourceGroup>,
    pub(crate) tenants: TenantRates,
    pub(crate) queries: Slab<Query>,
    pub(crate) key_queues: KeyQueues,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) engines: Vec<Engine>,
    pub(crate) slowdowns: Slowdowns,
    pub(crate) low_lane: LowLane,
    pub(crate) slow_start: SlowStart,
    pub(crate) peer_load: PeerLoad,
    pub(crate) endpoint_list: EndpointListState,
    pub(crate) level: LevelEffects,
    pub(crate) zone_plan: ActiveZonePlan,
    /// When the timer is due, and when periodic checks last ran (ms).
    pub(crate) timer_due_ms: f64,
    pub(crate) checked_ms: f64,
    /// Scratch space of placement.
    pub(crate) candidates: Vec<EngineIndex>,
}

/// Whether an endpoint list is to be asked for.
#[derive(Debug, Default)]
pub(crate) struct EndpointListState {
    pub(crate) is_wanted: bool,
    /// When it was last asked for (ms).
    pub(crate) requested_ms: f64,
}

impl EndpointListState {
    /// A list is wanted; the last try was now.
    pub(crate) fn set_wanted(&mut self, now_ms: f64) {
        self.is_wanted = true;
        self.requested_ms = now_ms;
    }
}

impl Control {
    /// Decisions with these settings, and with random draws that `seed` fixes.
    ///
    /// # Errors
    /// Those of [`Settings::read`].
    pub fn new(seed: u64, settings: &SettingsMap) -> Result<Self, SettingsError> {
        let settings = Settings::read(settings)?;
        let mut interner = Interner::default();
        let mut groups = Vec::new();
        for group in &settings.groups {
            groups.push(ResourceGroup::new(group.clone(), &mut interner));
        }
        let tenants = TenantRates::new(
            &settings.tenants,
            settings.dispatchers,
            &mut interner.tenants,
        );
        let local_zone = settings.local_zone.as_ref();
        Ok(Control {
            local_zone: local_zone.map(|zone| interner.zones.index(zone)),
            rng: Pcg::new(seed),
            interner,
            groups,
            tenants,
            endpoint_list: EndpointListState {
                is_wanted: settings.endpoints_on_request,
                requested_ms: 0.0,
            },
            slow_start: SlowStart::new(&settings),
            retry_budget: RetryBudget::new(settings.retry_budget),
            settings,
            ..Control::default()
        })
    }

    /// What the settings let this dispatcher do.
    pub fn capabilities(&self) -> crate::settings::Capabilities {
        self.settings.capabilities
    }

    /// Takes over what the service level in force changes.
    pub fn set_level_effects(&mut self, effects: LevelEffects) {
        self.level = effects;
    }

    /// Cuts the deadline of all queries in flight to `deadline_ms`, by which the program ends.
    pub fn limit_deadlines(&mut self, deadline_ms: f64) {
        for (_, query) in self.queries.iter_mut() {
            query.deadline_ms = query.deadline_ms.min(deadline_ms);
        }
    }

    /// A query by its number.
    pub(crate) fn find_query(&self, query_id: u64) -> Option<QueryIndex> {
        self.interner
            .queries
            .get(&query_id)
            .copied()
            .map(QueryIndex)
    }

    /// An engine by its number.
    pub(crate) fn find_engine(&self, engine_id: u64) -> Option<EngineIndex> {
        self.interner.engine_ids.find(engine_id).map(EngineIndex)
    }

    /// The indices of all engines.
    pub(crate) fn engine_indices(&self) -> impl Iterator<Item = EngineIndex> {
        (0..self.engines.len()).map(EngineIndex)
    }

    /// How long a new run of a query takes, as answers of its group come of late (ms).
    pub(crate) fn expected_run_time_ms(&self, query: QueryIndex) -> f64 {
        let group = self.group_of(query);
        group.ideal_run_time_ms(self.queries[query].cost) * group.slowdown.usual.exp()
    }

    /// When a new run of a query would end (ms).
    pub(crate) fn expected_end_ms(&self, query: QueryIndex) -> f64 {
        self.now_ms + self.expected_run_time_ms(query)
    }

    /// The time that a query's client still gives (ms).
    pub(crate) fn time_left_ms(&self, query: QueryIndex) -> f64 {
        self.queries[query].deadline_ms - self.now_ms
    }

    /// Whether a new run of a query would complete before its client leaves.
    pub(crate) fn has_time_for_run(&self, query: QueryIndex) -> bool {
        self.expected_end_ms(query) < self.queries[query].deadline_ms
    }

    /// The group of a query.
    pub(crate) fn group_of(&self, query: QueryIndex) -> &ResourceGroup {
        &self.groups[self.queries[query].group]
    }

    pub(crate) fn ready_engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| engine.endpoint.ready)
    }

    /// Takes over an entry of the endpoint list, and returns the engine if its process is a new one.
    pub(crate) fn upsert_engine(&mut self, update: &EndpointUpdate) -> Option<&mut Engine> {
        let known = self.find_engine(update.engine_id);
        let index = known.unwrap_or_else(|| self.assign_slot(update.engine_id));
        if known.is_none() {
            let engine = Engine::new(update, &self.settings, &mut self.interner);
            self.insert_engine(index, engine);
        }
        let engine = &mut self.engines[index];
        engine.set_state(update.state);
        let is_later = |started_ms: f64| started_ms > engine.endpoint.started_ms;
        if known.is_some() && !update.started_ms.is_some_and(is_later) {
            return None;
        }
        engine.reset_process(update.started_ms);
        Some(engine)
    }

    /// The place for an engine that is not known yet: that of one that is gone and that no query refers to, else a new
    /// one. Where engines are replaced all day, the table grows no further.
    fn assign_slot(&mut self, engine_id: u64) -> EngineIndex {
        let unused = self.engine_indices().find(|&engine| self.is_unused(engine));
        let Some(slot) = unused else {
            return EngineIndex(self.interner.engine_ids.index(engine_id));
        };
        let previous_id = self.engines[slot].engine_id;
        self.interner.engine_ids.reassign(previous_id, engine_id);
        self.peer_load.reports.forget(slot);
        slot
    }

    fn is_unused(&self, engine: EngineIndex) -> bool {
        let endpoint = &self.engines[engine].endpoint;
        !endpoint.listed && !endpoint.ready && !self.is_referred_to(engine)
    }

    fn is_referred_to(&self, engine: EngineIndex) -> bool {
        let mut queries = self.queries.iter();
        queries.any(|(_, query)| query.has_tried(engine))
    }

    /// Puts a new engine into its slot.
    fn insert_engine(&mut self, slot: EngineIndex, engine: Engine) {
        self.slowdowns.add_zone(engine.zone);
        if slot.0 < self.engines.len() {
            self.engines[slot] = engine;
        } else {
            self.engines.push(engine);
        }
    }
}
