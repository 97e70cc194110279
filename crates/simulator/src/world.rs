//! The world in virtual time. Everything that happens is an event with a time; dispatchers are the real decisions, called
//! as the dispatcher calls them.

use crate::engine::Engine;
use crate::schema::{fault, Experiment};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;
use serde::Serialize;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};
use tansymux::control::{Control, EventSource};
use tansymux::events::{
    AttemptEnded, AttemptLimits, DecisionSink, EndpointListKind, EndpointState, EndpointUpdate,
    HealthCheckEnded, NoteKind, Outcome, ProgressNote, QueryArrived, StatementTraits,
};
use tansymux::settings::SettingsMap;
use tansymux::zone_plan::{ZoneLimits, ZonePlan};
use tansymux_testbed::invariants::{
    find_violations, ClassRules, Effect, Rules, Violation, WarmUpRule,
};
use tansymux_testbed::record::{Entry, EventKind, Status};
use tansymux_zone_routing::{
    Event as ZoneEvent, Observation, ObservationKind, RoutingPlan, ZoneHealthDetector,
};

/// The decisions' clock begins here (ms): no time of theirs lies before 0.
const EPOCH: f64 = 1e6;
/// What a dispatcher gave up is told to its decisions so much later, as in the dispatcher.
const SETTLES: f64 = 40.0;
const NOTES_EVERY: f64 = 100.0;
const LOOK_EVERY: f64 = 100.0;
/// A run of more queries than this keeps no record for the checker.
const MAX_RECORDED: f64 = 400_000.0;

#[derive(Debug, Clone)]
enum Event {
    /// A client's query comes to a dispatcher.
    Arrives {
        class: usize,
    },
    /// A dispatcher's decisions want their next round.
    Tick {
        dispatcher: usize,
    },
    /// A attempt reaches an engine, or its end a dispatcher.
    Reaches {
        out: u64,
    },
    Ends {
        out: u64,
        outcome: Outcome,
    },
    /// A attempt's time is over.
    Due {
        out: u64,
    },
    /// A note is due.
    Note {
        out: u64,
    },
    /// An engine's next end, if nothing changed since.
    Engine {
        engine: usize,
        generation: u64,
    },
    /// A probe's answer.
    Probed {
        dispatcher: usize,
        engine: usize,
        outcome: Outcome,
    },
    Fault {
        fault: usize,
        begins: bool,
    },
    /// The list is told to a dispatcher.
    Told {
        dispatcher: usize,
    },
    Look,
    Sample,
}

struct Timed {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.number.cmp(&self.number))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What a dispatcher is told in its next round.
enum Incoming {
    Query {
        id: u64,
        class: usize,
        cost: f64,
        due: f64,
    },
    Closed {
        id: u64,
        attempt: usize,
        outcome: Outcome,
        engine_id: u64,
        latency: f64,
    },
    Noted {
        id: u64,
        attempt: usize,
        amount: f64,
    },
    Probed {
        engine_id: u64,
        outcome: Outcome,
    },
    List,
}

/// What a dispatcher decided.
enum Decided {
    Submit { id: u64, engine_id: u64, until: f64 },
    Defer { id: u64, wait: f64 },
    Kill { id: u64 },
    Cancel { id: u64, attempt: usize },
    Probe { engine_id: u64 },
    Timer { delay: f64 },
}

#[derive(Default)]
struct Out(Vec<Decided>);

impl DecisionSink for Out {
    fn submit(&mut self, id: u64, engine_id: u64, limits: AttemptLimits) {
        self.0.push(Decided::Submit {
            id,
            engine_id,
            until: limits.deadline_ms,
        });
    }
    fn reject(&mut self, id: u64, retry_after: f64) {
        self.0.push(Decided::Defer {
            id,
            wait: retry_after,
        });
    }
    fn fail(&mut self, id: u64) {
        self.0.push(Decided::Kill { id });
    }
    fn cancel(&mut self, id: u64, attempt: usize) {
        self.0.push(Decided::Cancel { id, attempt });
    }
    fn grant(&mut self, _: u64, _: u8, _: f64) {}
    fn check_health(&mut self, engine_id: u64) {
        self.0.push(Decided::Probe { engine_id });
    }
    fn send_to_peer(&mut self, _: Option<u32>, _: &[u8]) {}
    fn set_timer(&mut self, delay: f64, _: u64) {
        self.0.push(Decided::Timer { delay });
    }
    fn watch_endpoints(&mut self) {}
}

struct Inbox<'a> {
    events: Vec<Incoming>,
    groups: &'a [String],
    list: &'a [(u64, String, EndpointState, Option<f64>)],
}

impl EventSource for Inbox<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        for event in self.events.drain(..) {
            match event {
                Incoming::Query {
                    id,
                    class,
                    cost,
                    due,
                } => {
                    let (rg, tables) = (&self.groups[class], id as u32 % 24);
                    let taken = control.on_query_arrived(
                        &QueryArrived {
                            query_id: id,
                            group: rg,
                            tenant: "",
                            key: None,
                            deadline_ms: due,
                            estimated_cost_ms: cost,
                            memory_mb: 10.0,
                            tables,
                            statement: StatementTraits::UNKNOWN,
                        },
                        out,
                    );
                    debug_assert!(taken.is_ok());
                }
                Incoming::Closed {
                    id,
                    attempt,
                    outcome,
                    engine_id,
                    latency,
                } => {
                    control.on_attempt_ended(
                        &AttemptEnded {
                            query_id: id,
                            attempt,
                            engine_id,
                            outcome,
                            answer_delivered: outcome == Outcome::Completed,
                            latency_ms: latency,
                            used: None,
                        },
                        out,
                    );
                }
                Incoming::Noted {
                    id,
                    attempt,
                    amount,
                } => control.on_progress_note(&ProgressNote {
                    query_id: id,
                    attempt,
                    kind: NoteKind::Progress,
                    amount,
                }),
                Incoming::Probed { engine_id, outcome } => {
                    control.on_health_check_ended(&HealthCheckEnded { engine_id, outcome })
                }
                Incoming::List => {
                    control.begin_update(EndpointListKind::Snapshot);
                    for (engine_id, zone, status, started) in self.list {
                        control.upsert_endpoint(&EndpointUpdate {
                            engine_id: *engine_id,
                            kind: "std",
                            zone,
                            state: *status,
                            started_ms: *started,
                            cell: 0,
                        });
                    }
                    control.finish_update(EndpointListKind::Snapshot, out);
                }
            }
        }
    }
}

struct Dispatcher {
    control: Control,
    zones: Option<ZoneHealthDetector>,
    zone: usize,
    tick: f64,
    /// Engines whose connections are known to be gone.
    known_gone: Vec<bool>,
}

struct Query {
    dispatcher: usize,
    class: usize,
    came: f64,
    work: f64,
    attempts: usize,
    answered: bool,
}

/// A attempt that is out.
struct Sent {
    query: u64,
    number: usize,
    engine: usize,
    at: f64,
    running: bool,
    given_up: bool,
}

/// A quarter of a second.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Sample {
    pub at: f64,
    pub value: f64,
    pub most: f64,
    pub deferred: u64,
    /// Threads by zone, and low threads from elsewhere.
    pub threads: Vec<f64>,
    pub spilled: Vec<f64>,
}

/// What came of a run.
#[derive(Debug, Clone, Serialize, Default)]
pub struct Outcomes {
    pub seed: u64,
    pub arm: String,
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub deferred: u64,
    pub killed: u64,
    /// Part of the worth of all, by phase: before the first fault, during faults, a minute after, later.
    pub value: [f64; 4],
    pub p99_fast: u64,
    /// Most spilled low threads as a part of the limit, where there is one; most sent to a cold engine as a part of
    /// what makes it fall; engines that fell.
    pub spill: f64,
    pub cold: f64,
    pub fell: u64,
    /// From the end of the last fault to full service (ms), if it came.
    pub full_after: Option<f64>,
    pub broken: usize,
    pub first_broken: Option<String>,
    /// Virtual seconds played in a real one.
    pub pace: f64,
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

struct World<'a> {
    e: &'a Experiment,
    ideal: bool,
    now: f64,
    number: u64,
    events: BinaryHeap<Timed>,
    rng: Pcg64,
    zones: Vec<String>,
    groups: Vec<String>,
    engine_zones: Vec<usize>,
    engines: Vec<Engine>,
    fallen_until: Vec<f64>,
    dispatchers: Vec<Dispatcher>,
    inboxes: Vec<Vec<Incoming>>,
    queries: HashMap<u64, Query>,
    out: HashMap<u64, Sent>,
    next_query: u64,
    next_out: u64,
    /// Faults that are in force.
    active: Vec<bool>,
    list: Vec<(u64, String, EndpointState, Option<f64>)>,
    record: Option<Vec<Entry>>,
    o: Outcomes,
    took: Histogram<u64>,
    sent_cold: Vec<Vec<(f64, f64)>>,
    sample: Sample,
    values: [(f64, f64); 4],
}

/// Plays one seed of one arm.
pub fn run(e: &Experiment, arm: usize, seed: u64) -> Outcomes {
    let from = std::time::Instant::now();
    let mut world = World::new(e, arm, seed);
    world.begin();
    let end = e.seconds() * 1000.0;
    while let Some(Timed { at, event, .. }) = world.events.pop() {
        if at > end + 6000.0 {
            break;
        }
        world.now = at;
        world.happens(event, end);
    }
    world.ends(from.elapsed().as_secs_f64())
}

fn settings(e: &Experiment, zone: &str) -> SettingsMap {
    let mut map = SettingsMap::new();
    let mut put = |name: &str, value: String| drop(map.insert(name.to_owned(), value));
    let list = |of: &dyn Fn(&crate::schema::Class) -> String| {
        e.class.iter().map(of).collect::<Vec<_>>().join(",")
    };
    put("balancers", e.dispatchers().to_string());
    put("zone", zone.to_owned());
    put("kinds", "std".into());
    put("family-info.cores-by-kind", e.hall[0].cores().to_string());
    put("family-info.kind-memory-mb", "100000".into());
    put(
        "family-info.dop",
        list(&|class| class.threads().to_string()),
    );
    put(
        "family-info.class-load",
        list(&|class| u8::from(class.changes()).to_string()),
    );
    put(
        "family-info.tells-every-us",
        (NOTES_EVERY * 1000.0).to_string(),
    );
    put("limits.max-attempts", "3".into());
    put("limits.cancelling", "1".into());
    put("limits.probes", "1".into());
    put("limits.max-retry-after-us", "4000000".into());
    put("rules.ratio-span-us", "10000000".into());
    put("rules.extra-free", "10".into());
    put("rules.repeat-ratio", "0.2".into());
    let cold = e.cold.unwrap_or_default();
    put("rules.fall-multiple", cold.multiple().to_string());
    put("rules.cold-from", cold.from().to_string());
    put(
        "rules.overload-for-us",
        (cold.span_ms() * 1000.0).to_string(),
    );
    put("rules.warm-after-us", (cold.warm_s() * 1e6).to_string());
    put("services.count", e.class.len().to_string());
    for (n, class) in e.class.iter().enumerate() {
        put(&format!("services.{n}.name"), class.name().to_owned());
        let effect = if class.changes() {
            "non_idempotent"
        } else {
            "read_like"
        };
        put(&format!("services.{n}.effect"), effect.into());
        put(
            &format!("services.{n}.aim-us"),
            (class.target_ms() * 1000.0).to_string(),
        );
        if let Some(zone) = &class.bound_to {
            put(&format!("services.{n}.confined-to"), zone.clone());
        }
    }
    map
}

fn zone_plan(plan: &RoutingPlan) -> ZonePlan {
    let zone = |zone: &tansymux_zone_routing::ZonePlan| ZoneLimits {
        name: zone.name.clone(),
        tiers: zone.ranks.clone(),
        max_spill_threads: zone.spill_threads,
        max_spill_threads_by_group: zone.spill_threads_by_class.clone(),
    };
    ZonePlan {
        zones: plan.zones.iter().map(zone).collect(),
        engines: plan
            .engines
            .iter()
            .map(|engine| (engine.engine_id, engine.threads))
            .collect(),
        cross_zone_retry_ratio: plan.cross_zone_retry_fraction,
        isolated: plan.is_isolated,
    }
}

impl<'a> World<'a> {
    fn new(e: &'a Experiment, arm: usize, seed: u64) -> Self {
        let cold = e.cold.unwrap_or_default();
        let zones: Vec<String> = e.hall.iter().map(|zone| zone.name().to_owned()).collect();
        let mut engines = Vec::new();
        let mut engine_zones = Vec::new();
        for (n, zone) in e.hall.iter().enumerate() {
            for _ in 0..zone.engines() {
                engines.push(Engine::new(
                    zone.cores(),
                    cold.warm_s() * 1000.0,
                    cold.from(),
                ));
                engine_zones.push(n);
            }
        }
        let told = tansymux_operator_config::parse(e.arm[arm].operator()).unwrap_or_default();
        let definition = told
            .halls
            .as_ref()
            .map(tansymux_operator_config::zone_routing_config);
        let dispatchers: Vec<Dispatcher> = (0..e.dispatchers() as usize)
            .map(|n| Dispatcher {
                control: Control::new(
                    seed.wrapping_mul(1000) + n as u64,
                    &settings(e, &zones[n % zones.len()]),
                )
                .expect("the lab's own settings are whole"),
                zones: definition.clone().map(|definition| {
                    ZoneHealthDetector::new(definition, f64::from(e.dispatchers()))
                }),
                zone: n % zones.len(),
                tick: f64::INFINITY,
                known_gone: vec![false; engines.len()],
            })
            .collect();
        let rate: f64 = e.class.iter().map(|class| class.rate()).sum();
        let list = engine_zones
            .iter()
            .enumerate()
            .map(|(n, zone)| {
                (
                    n as u64 + 1,
                    zones[*zone].clone(),
                    EndpointState::Ready,
                    None,
                )
            })
            .collect();
        World {
            e,
            ideal: e.arm[arm].ideal(),
            now: 0.0,
            number: 0,
            events: BinaryHeap::new(),
            rng: Pcg64::seed_from_u64(seed),
            groups: e
                .class
                .iter()
                .map(|class| class.name().to_owned())
                .collect(),
            fallen_until: vec![0.0; engines.len()],
            sent_cold: vec![Vec::new(); engines.len()],
            inboxes: (0..dispatchers.len()).map(|_| Vec::new()).collect(),
            zones,
            engine_zones,
            engines,
            dispatchers,
            queries: HashMap::new(),
            out: HashMap::new(),
            next_query: 1,
            next_out: 1,
            active: vec![false; e.fault.len()],
            list,
            record: (rate * e.seconds() <= MAX_RECORDED).then(Vec::new),
            o: Outcomes {
                seed,
                arm: e.arm[arm].name().to_owned(),
                ..Outcomes::default()
            },
            took: Histogram::new_with_bounds(1, 600_000, 3).expect("bounds in order"),
            sample: Sample::default(),
            values: [(0.0, 0.0); 4],
        }
    }

    fn at(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.events.push(Timed {
            at,
            number: self.number,
            event,
        });
    }

    fn record(&mut self, what: impl FnOnce() -> EventKind) {
        if let Some(record) = &mut self.record {
            record.push(Entry {
                at_ms: self.now,
                event: what(),
            });
        }
    }

    fn name(engine: usize) -> String {
        format!("s-{engine}")
    }

    fn begin(&mut self) {
        for engine in 0..self.engines.len() {
            let (id, zone) = (
                World::name(engine),
                self.zones[self.engine_zones[engine]].clone(),
            );
            self.record(|| EventKind::Listed {
                engine: id,
                status: Status::Ready,
                zone,
                kind: "std".into(),
                cell: 0,
            });
        }
        for dispatcher in 0..self.dispatchers.len() {
            self.told(dispatcher);
        }
        for class in 0..self.e.class.len() {
            self.at(0.0, Event::Arrives { class });
        }
        for (n, fault) in self.e.fault.iter().enumerate() {
            let (begins, ends) = (fault.begins_s() * 1000.0, fault.ends_s() * 1000.0);
            self.at(
                begins,
                Event::Fault {
                    fault: n,
                    begins: true,
                },
            );
            self.at(
                ends,
                Event::Fault {
                    fault: n,
                    begins: false,
                },
            );
        }
        self.at(LOOK_EVERY, Event::Look);
        self.at(250.0, Event::Sample);
    }

    /// Whether there is no way between a dispatcher and an engine.
    fn is_cut(&self, dispatcher: usize, engine: usize) -> bool {
        let (from, zone) = (self.dispatchers[dispatcher].zone, self.engine_zones[engine]);
        self.e
            .fault
            .iter()
            .zip(&self.active)
            .any(|(fault, active)| {
                *active
                    && fault.kind() == fault::Kind::Cut
                    && fault.hall() == self.zones[zone]
                    && (fault
                        .from
                        .as_deref()
                        .map_or(from != zone, |name| name == self.zones[from]))
            })
    }

    fn latency(&mut self) -> f64 {
        let usual = self.e.network.unwrap_or_default().latency_ms();
        usual * (0.7 + 0.6 * self.rng.random::<f64>())
    }

    fn happens(&mut self, event: Event, end: f64) {
        match event {
            Event::Arrives { class } if self.now < end => self.arrives(class),
            Event::Tick { dispatcher } if self.now >= self.dispatchers[dispatcher].tick => {
                self.dispatchers[dispatcher].tick = f64::INFINITY;
                self.round(dispatcher);
            }
            Event::Arrives { .. } | Event::Tick { .. } => {}
            Event::Reaches { out } => self.reaches(out),
            Event::Ends { out, outcome } => self.closes(out, outcome),
            Event::Due { out } => {
                if self.out.get(&out).is_some_and(|sent| !sent.given_up) {
                    self.gives_up(out, Outcome::Timeout, 0.0);
                }
            }
            Event::Note { out } => self.note(out),
            Event::Engine { engine, generation }
                if self.engines[engine].generation == generation =>
            {
                self.ended(engine)
            }
            Event::Engine { .. } => {}
            Event::Probed {
                dispatcher,
                engine,
                outcome,
            } => {
                self.seen(dispatcher, engine, outcome);
                self.inboxes[dispatcher].push(Incoming::Probed {
                    engine_id: engine as u64 + 1,
                    outcome,
                });
                self.round(dispatcher);
            }
            Event::Fault { fault, begins } => self.fault(fault, begins),
            Event::Told { dispatcher } => self.told(dispatcher),
            Event::Look => {
                for dispatcher in 0..self.dispatchers.len() {
                    self.look(dispatcher);
                }
                if self.now < end {
                    self.at(self.now + LOOK_EVERY, Event::Look);
                }
            }
            Event::Sample => {
                self.samples();
                if self.now < end {
                    self.at(self.now + 250.0, Event::Sample);
                }
            }
        }
    }

    // ---- Clients ----

    fn arrives(&mut self, class: usize) {
        let told = &self.e.class[class];
        let next = Exp::new(told.rate() / 1000.0)
            .expect("a rate above 0")
            .sample(&mut self.rng);
        self.at(self.now + next, Event::Arrives { class });
        let work = LogNormal::new(told.work_ms().ln(), told.scatter())
            .expect("a finite spread")
            .sample(&mut self.rng);
        let off = LogNormal::new(0.0, told.estimate_scatter())
            .expect("a finite spread")
            .sample(&mut self.rng);
        let dispatcher = self.rng.random_range(0..self.dispatchers.len());
        let id = self.next_query;
        self.next_query += 1;
        let (came, wait) = (self.now, told.wait_ms());
        self.queries.insert(
            id,
            Query {
                dispatcher,
                class,
                came,
                work,
                attempts: 0,
                answered: false,
            },
        );
        self.o.asked += 1;
        let phase = self.phase();
        self.values[phase].1 += told.worth();
        self.sample.most += told.worth();
        let group = self.groups[class].clone();
        self.record(|| EventKind::Asked {
            id: id.to_string(),
            class: group,
            max_wait_ms: wait,
            key: None,
        });
        let due = EPOCH + came + wait - 10.0;
        self.inboxes[dispatcher].push(Incoming::Query {
            id,
            class,
            cost: work * off,
            due,
        });
        self.round(dispatcher);
    }

    fn phase(&self) -> usize {
        let at = self.now / 1000.0;
        let first = self
            .e
            .fault
            .iter()
            .map(|fault| fault.begins_s())
            .fold(f64::INFINITY, f64::min);
        let last = self
            .e
            .fault
            .iter()
            .map(|fault| fault.ends_s())
            .fold(f64::NEG_INFINITY, f64::max);
        if at < first {
            0
        } else if at < last {
            1
        } else if at < last + 60.0 {
            2
        } else {
            3
        }
    }

    fn answers(&mut self, id: u64, status: u16, retry_after: Option<f64>) {
        let Some(query) = self.queries.get_mut(&id).filter(|query| !query.answered) else {
            self.record(|| EventKind::Answered {
                id: id.to_string(),
                status,
                retry_after_ms: retry_after,
            });
            return;
        };
        query.answered = true;
        let (class, took) = (&self.e.class[query.class], self.now - query.came);
        match status {
            200 if took <= class.target_ms() => self.o.in_time += 1,
            200 => self.o.late += 1,
            429 => self.o.deferred += 1,
            _ => self.o.killed += 1,
        }
        if status == 429 {
            self.sample.deferred += 1;
        }
        if status == 200 {
            let value = if took <= class.target_ms() {
                class.worth()
            } else {
                class.worth() / 3.0
            };
            let fast = class.threads() <= 1.0 && !class.changes();
            let phase = self.phase();
            self.values[phase].0 += value;
            self.sample.value += value;
            if fast {
                let _ = self.took.record(took.max(1.0) as u64);
            }
        }
        self.record(|| EventKind::Answered {
            id: id.to_string(),
            status,
            retry_after_ms: retry_after,
        });
    }

    // ---- Dispatchers ----

    fn round(&mut self, dispatcher: usize) {
        let events = std::mem::take(&mut self.inboxes[dispatcher]);
        let mut inbox = Inbox {
            events,
            groups: &self.groups,
            list: &self.list,
        };
        let mut out = Out::default();
        self.dispatchers[dispatcher]
            .control
            .run_round(EPOCH + self.now, &mut inbox, &mut out);
        self.inboxes[dispatcher] = inbox.events;
        for decided in out.0 {
            match decided {
                Decided::Submit {
                    id,
                    engine_id,
                    until,
                } => self.submits(dispatcher, id, engine_id as usize - 1, until - EPOCH),
                Decided::Defer { id, wait } => self.answers(id, 429, Some(wait)),
                Decided::Kill { id } => self.answers(id, 500, None),
                Decided::Cancel { id, attempt } => {
                    let found = self
                        .out
                        .iter()
                        .find(|(_, s)| s.query == id && s.number == attempt && !s.given_up);
                    if let Some(out) = found.map(|(out, _)| *out) {
                        self.gives_up(out, Outcome::Cancelled, SETTLES);
                    }
                }
                Decided::Probe { engine_id } => self.probe(dispatcher, engine_id as usize - 1),
                Decided::Timer { delay } => {
                    let at = self.now + delay.max(1.0);
                    if at < self.dispatchers[dispatcher].tick {
                        self.dispatchers[dispatcher].tick = at;
                        self.at(at, Event::Tick { dispatcher });
                    }
                }
            }
        }
    }

    fn probe(&mut self, dispatcher: usize, engine: usize) {
        let lost = self.is_cut(dispatcher, engine) || self.now < self.fallen_until[engine];
        let timeout = self.e.network.unwrap_or_default().connect_timeout_ms();
        let (after, outcome) = if lost {
            (timeout, Outcome::Timeout)
        } else {
            (2.0 * self.latency(), Outcome::Completed)
        };
        self.at(
            self.now + after,
            Event::Probed {
                dispatcher,
                engine,
                outcome,
            },
        );
    }

    fn submits(&mut self, dispatcher: usize, id: u64, engine: usize, until: f64) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let number = query.attempts;
        query.attempts += 1;
        let out = self.next_out;
        self.next_out += 1;
        let at = self.now;
        self.out.insert(
            out,
            Sent {
                query: id,
                number,
                engine,
                at,
                running: false,
                given_up: false,
            },
        );
        let cut = self.is_cut(dispatcher, engine);
        if !cut && self.now >= self.fallen_until[engine] {
            self.dispatchers[dispatcher].known_gone[engine] = false;
            let latency = self.latency();
            self.at(self.now + latency, Event::Reaches { out });
        } else if self.now < self.fallen_until[engine] {
            let latency = self.latency();
            self.at(
                self.now + latency,
                Event::Ends {
                    out,
                    outcome: Outcome::NoConnection,
                },
            );
        } else if self.dispatchers[dispatcher].known_gone[engine] {
            // Its connections were found dead: new ones don't come up.
            let timeout = self.e.network.unwrap_or_default().connect_timeout_ms();
            self.at(
                self.now + timeout,
                Event::Ends {
                    out,
                    outcome: Outcome::NoConnection,
                },
            );
        }
        // Else it is written to a connection that nobody knows to be dead, and nothing comes.
        self.at(until, Event::Due { out });
    }

    fn gives_up(&mut self, out: u64, outcome: Outcome, settles: f64) {
        let Some(sent) = self.out.get_mut(&out) else {
            return;
        };
        sent.given_up = true;
        let (engine, running, id) = (sent.engine, sent.running, sent.query);
        if running && self.engines[engine].remove(self.now, out).is_some() {
            self.again(engine);
            self.record(|| EventKind::GivenUp {
                engine: World::name(engine),
                id: id.to_string(),
            });
        } else if !running {
            let dispatcher = self.queries.get(&id).map_or(0, |query| query.dispatcher);
            self.dispatchers[dispatcher].known_gone[engine] |= self.is_cut(dispatcher, engine);
        }
        self.at(self.now + settles, Event::Ends { out, outcome });
    }

    /// A attempt's end reaches its dispatcher.
    fn closes(&mut self, out: u64, outcome: Outcome) {
        let Some(sent) = self.out.remove(&out) else {
            return;
        };
        let Some(query) = self.queries.get(&sent.query) else {
            return;
        };
        let (dispatcher, id, latency) = (query.dispatcher, sent.query, self.now - sent.at);
        if outcome == Outcome::Completed {
            self.answers(id, 200, None);
        }
        self.seen(dispatcher, sent.engine, outcome);
        let engine_id = sent.engine as u64 + 1;
        self.inboxes[dispatcher].push(Incoming::Closed {
            id,
            attempt: sent.number,
            outcome,
            engine_id,
            latency,
        });
        self.round(dispatcher);
        // Nothing refers to it any more once it is answered and nothing is out.
        if self
            .queries
            .get(&id)
            .is_some_and(|query| query.answered && query.attempts == sent.number + 1)
        {
            self.queries.remove(&id);
        }
    }

    fn seen(&mut self, dispatcher: usize, engine: usize, outcome: Outcome) {
        let kind = match outcome {
            Outcome::Completed | Outcome::Error | Outcome::Full => ObservationKind::Answered,
            Outcome::NoConnection | Outcome::Reset | Outcome::Timeout => ObservationKind::NoAnswer,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        if let Some(zones) = &mut self.dispatchers[dispatcher].zones {
            let observation = Observation {
                engine_id: engine as u64 + 1,
                kind,
            };
            zones.handle(ZoneEvent::EngineObserved(observation), EPOCH + self.now);
        }
    }

    fn look(&mut self, dispatcher: usize) {
        let (now, groups) = (EPOCH + self.now, &self.groups);
        let g = &mut self.dispatchers[dispatcher];
        if let Some(zones) = &mut g.zones {
            zones.evaluate(now);
            g.control.set_zone_plan(Some(&zone_plan(
                &zones.routing_plan(&self.zones[g.zone], groups),
            )));
            if let Some(engine_id) = zones.poll_health_check(now) {
                self.probe(dispatcher, engine_id as usize - 1);
            }
        }
    }

    fn told(&mut self, dispatcher: usize) {
        let engines: Vec<tansymux_zone_routing::Engine> = (self.engine_zones.iter().enumerate())
            .map(|(n, zone)| {
                let ready = self.list[n].2 == EndpointState::Ready;
                let cores = self.engines[n].cores;
                tansymux_zone_routing::Engine {
                    engine_id: n as u64 + 1,
                    zone: self.zones[*zone].clone(),
                    cores,
                    ready,
                }
            })
            .collect();
        if let Some(zones) = &mut self.dispatchers[dispatcher].zones {
            zones.handle(ZoneEvent::EnginesListed(&engines), EPOCH + self.now);
        }
        self.inboxes[dispatcher].push(Incoming::List);
        self.round(dispatcher);
    }

    // ---- Engines ----

    fn reaches(&mut self, out: u64) {
        let Some(sent) = self.out.get_mut(&out).filter(|sent| !sent.given_up) else {
            return;
        };
        let (engine, id) = (sent.engine, sent.query);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let (dispatcher, work, class) = (query.dispatcher, query.work, query.class);
        // It fell, or the way was cut, while this was under way.
        if self.now < self.fallen_until[engine] {
            return self.at(
                self.now,
                Event::Ends {
                    out,
                    outcome: Outcome::NoConnection,
                },
            );
        }
        if self.is_cut(dispatcher, engine) {
            return;
        }
        if let Some(sent) = self.out.get_mut(&out) {
            sent.running = true;
        }
        self.record(|| EventKind::Arrived {
            engine: World::name(engine),
            id: id.to_string(),
            work_ms: work,
        });
        self.engines[engine].add(self.now, out, work, self.e.class[class].threads());
        self.at(self.now + NOTES_EVERY, Event::Note { out });
        self.again(engine);
        self.look_at_cold(engine, work);
    }

    /// What a cold engine was sent in a span, against what makes it fall.
    fn look_at_cold(&mut self, engine: usize, work: f64) {
        let cold = self.e.cold.unwrap_or_default();
        let now = self.now;
        if now - self.engines[engine].started >= cold.warm_s() * 1000.0 {
            return;
        }
        let sent = &mut self.sent_cold[engine];
        sent.push((now, work));
        sent.retain(|(at, _)| now - at < cold.span_ms());
        let all: f64 = sent.iter().map(|(_, work)| work).sum();
        let bears = cold.multiple() * cold.from() * self.engines[engine].cores * cold.span_ms();
        let alone = sent.len() < 2;
        self.o.cold = self.o.cold.max(if alone { 0.0 } else { all / bears });
        if all > bears && !alone {
            self.falls(engine);
        }
    }

    fn falls(&mut self, engine: usize) {
        self.o.fell += 1;
        self.fallen_until[engine] = self.now + 3000.0;
        self.engines[engine].started = self.now + 3000.0;
        self.sent_cold[engine].clear();
        for out in self.engines[engine].falls(self.now) {
            let latency = self.latency();
            let id = self.out.get(&out).map_or(0, |sent| sent.query);
            self.record(|| EventKind::GivenUp {
                engine: World::name(engine),
                id: id.to_string(),
            });
            self.at(
                self.now + latency,
                Event::Ends {
                    out,
                    outcome: Outcome::Reset,
                },
            );
        }
        self.list_changes(engine, Some(EPOCH + self.now + 3000.0));
    }

    fn list_changes(&mut self, engine: usize, started: Option<f64>) {
        self.list[engine].3 = started;
        let delay = self.e.network.unwrap_or_default().list_ms();
        for dispatcher in 0..self.dispatchers.len() {
            let after = delay * self.rng.random::<f64>();
            self.at(self.now + after, Event::Told { dispatcher });
        }
    }

    /// Foretells an engine's next end anew.
    fn again(&mut self, engine: usize) {
        let now = self.now;
        if let Some(next) = self.engines[engine].next(now) {
            let generation = self.engines[engine].generation;
            self.at(next.max(now), Event::Engine { engine, generation });
        }
    }

    fn ended(&mut self, engine: usize) {
        for out in self.engines[engine].ended(self.now) {
            self.engines[engine].remove(self.now, out);
            let Some(sent) = self.out.get(&out) else {
                continue;
            };
            let Some(query) = self.queries.get(&sent.query) else {
                continue;
            };
            let (id, dispatcher, changes) = (
                sent.query,
                query.dispatcher,
                self.e.class[query.class].changes(),
            );
            if changes {
                self.record(|| EventKind::Applied {
                    engine: World::name(engine),
                    id: id.to_string(),
                });
            }
            self.record(|| EventKind::Ended {
                engine: World::name(engine),
                id: id.to_string(),
                reply: "DONE".into(),
                ran: true,
            });
            if !self.is_cut(dispatcher, engine) {
                let latency = self.latency();
                self.at(
                    self.now + latency,
                    Event::Ends {
                        out,
                        outcome: Outcome::Completed,
                    },
                );
            }
        }
        self.again(engine);
    }

    fn note(&mut self, out: u64) {
        let Some(sent) = self
            .out
            .get(&out)
            .filter(|sent| sent.running && !sent.given_up)
        else {
            return;
        };
        let (engine, number, id) = (sent.engine, sent.number, sent.query);
        self.engines[engine].advance(self.now);
        let Some(done) = self.engines[engine].done(out) else {
            return;
        };
        self.at(self.now + NOTES_EVERY, Event::Note { out });
        let Some(dispatcher) = self.queries.get(&id).map(|query| query.dispatcher) else {
            return;
        };
        if !self.is_cut(dispatcher, engine) {
            self.seen(dispatcher, engine, Outcome::Completed);
            self.inboxes[dispatcher].push(Incoming::Noted {
                id,
                attempt: number,
                amount: done.min(0.9999),
            });
            self.round(dispatcher);
        }
    }

    fn fault(&mut self, fault: usize, begins: bool) {
        self.active[fault] = begins;
        let told = &self.e.fault[fault];
        if self.ideal && told.kind() == fault::Kind::Cut {
            self.tells_truth();
        }
        for engine in 0..self.engines.len() {
            if self.zones[self.engine_zones[engine]] != told.hall() {
                continue;
            }
            match told.kind() {
                fault::Kind::Slow => {
                    self.engines[engine].advance(self.now);
                    self.engines[engine].slow = if begins { told.factor() } else { 1.0 };
                    self.engines[engine].generation += 1;
                    self.again(engine);
                }
                fault::Kind::Cut if !begins && told.cold() => {
                    self.engines[engine].started = self.now;
                    let (id, cores) = (World::name(engine), self.engines[engine].cores);
                    self.record(|| EventKind::Started { engine: id, cores });
                    self.list_changes(engine, Some(EPOCH + self.now));
                }
                fault::Kind::Cut => {}
            }
        }
    }

    /// The list as the truth is: engines that nobody reaches are gone, for all dispatchers and at once.
    fn tells_truth(&mut self) {
        for engine in 0..self.engines.len() {
            let reached =
                (0..self.dispatchers.len()).any(|dispatcher| !self.is_cut(dispatcher, engine));
            self.list[engine].2 = if reached {
                EndpointState::Ready
            } else {
                EndpointState::Gone
            };
        }
        for dispatcher in 0..self.dispatchers.len() {
            self.at(self.now, Event::Told { dispatcher });
        }
    }

    // ---- What came of it ----

    fn samples(&mut self) {
        let mut threads = vec![0.0; self.zones.len()];
        for (engine, zone) in self.engines.iter().zip(&self.engine_zones) {
            threads[*zone] += engine.threads();
        }
        let mut spilled = vec![0.0; self.zones.len()];
        for g in &self.dispatchers {
            for (n, zone) in self.zones.iter().enumerate() {
                spilled[n] += g.control.spilled_threads(zone);
            }
        }
        let cores = |zone: usize| -> f64 {
            (self.engines.iter().zip(&self.engine_zones))
                .filter(|(_, h)| **h == zone)
                .map(|(e, _)| e.cores)
                .sum()
        };
        if let Some(zones) = &self.dispatchers[0].zones {
            for (n, zone) in self.zones.iter().enumerate() {
                let most = zones.config().spill_limit(zone, None) * cores(n);
                if most.is_finite() && most > 0.0 {
                    self.o.spill = self.o.spill.max(spilled[n] / most);
                }
            }
        }
        let sample = std::mem::take(&mut self.sample);
        self.o.samples.push(Sample {
            at: self.now / 1000.0,
            threads,
            spilled,
            ..sample
        });
    }

    fn ends(mut self, real: f64) -> Outcomes {
        self.o.pace = self.e.seconds() / real.max(1e-9);
        self.o.p99_fast = self.took.value_at_quantile(0.99);
        self.o.value = self
            .values
            .map(|(got, most)| if most > 0.0 { got / most } else { f64::NAN });
        let last = self
            .e
            .fault
            .iter()
            .map(|fault| fault.ends_s())
            .fold(0.0, f64::max);
        let parts: Vec<(f64, f64)> = self
            .o
            .samples
            .iter()
            .map(|s| (s.at, s.value / s.most.max(1e-9)))
            .collect();
        let before = self.o.value[0];
        // Full service: two seconds in a row in which as much is served as before, but for a twentieth.
        let full = |n: usize| {
            parts[n..].iter().take(8).map(|(_, part)| part).sum::<f64>() / 8.0 >= 0.95 * before
        };
        let back = (0..parts.len().saturating_sub(8)).find(|n| parts[*n].0 >= last && full(*n));
        self.o.full_after = back
            .map(|n| (parts[n].0 - last) * 1000.0)
            .filter(|_| before.is_finite() && last > 0.0);
        if let Some(record) = self.record.take() {
            let broken = find_violations(&record, &self.rules());
            self.o.broken = broken.len();
            self.o.first_broken = broken.first().map(Violation::to_string);
        }
        self.o
    }

    fn rules(&self) -> Rules {
        let cold = self.e.cold.unwrap_or_default();
        let class = |class: &crate::schema::Class| {
            let effect = if class.changes() {
                Effect::NonIdempotent
            } else {
                Effect::ReadOnly
            };
            let zones = class.bound_to.clone().map(|zone| vec![zone]);
            (
                class.name().to_owned(),
                ClassRules {
                    zones,
                    ..ClassRules::of(effect)
                },
            )
        };
        Rules {
            slack_ms: 50.0,
            grace_ms: 1000.0,
            warm_up: Some(WarmUpRule {
                multiple: cold.multiple(),
                initial_fraction: cold.from(),
                span_ms: cold.span_ms(),
                warm_after_ms: cold.warm_s() * 1000.0,
            }),
            rest_ms: 0.0,
            retry_budget: None,
            classes: self.e.class.iter().map(class).collect(),
        }
    }
}
