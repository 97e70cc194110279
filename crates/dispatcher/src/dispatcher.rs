//! The program as one object whose phases are named states, and the driver that calls the decisions.

use crate::cli::Common;
use crate::client::ClientFrontend;
use crate::clock::Clock;
use crate::config::{self, StartupConfig};
use crate::discovery;
use crate::engine::EnginePool;
use crate::fleet::FleetService;
use crate::log;
use crate::notify::Notifications;
use crate::operator_config;
use crate::peers::Peers;
use crate::query_registry::{Answer, Event, Grant, Query, QueryRegistry};
use crate::service_levels::{Limits, ServiceLevels};
use crate::signals::Signal;
use crate::statement_classifier::{self, StatementClassifier};
use crate::statement_shape::ClassifiedAttempt;
use crate::zone_routing::ZoneRouting;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::{future, Stream, StreamExt};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::control::{Control, EventSource};
use tansymux::events::{
    AttemptEnded, AttemptLimits, DecisionSink, EndpointListKind, EndpointUpdate, HealthCheckEnded,
    NoteKind, Outcome, PeerMessage, ProgressNote, QueryArrived,
};
use tansymux::pcg::Pcg;
use tansymux::settings::SettingsMap;
use tansymux_operator_config::Operator;

/// After the signal to end: how long new connections are still waited for (ms). The platform sends new ones for 0.4 s
/// and requests on open ones for 0.2 s more.
pub const TAKES_ON: f64 = 700.0;
/// How long (ms) connections that have their answer may take to part, beyond the time by which all is answered.
const LAST_LINGER: f64 = 250.0;
const LONGEST_SLEEP: f64 = 1000.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// Sockets are bound, nothing is taken yet.
    Starting,
    Serving,
    /// Told to end: the front is told so, what still comes is served.
    Draining {
        since: f64,
    },
    /// Connections are no longer waited for, and those that rest are half-closed; what has been taken is brought to its
    /// end, and each connection parts.
    Closing {
        since: f64,
    },
    Ended,
}

pub struct Dispatcher {
    phase: Phase,
    clock: Clock,
    registry: Rc<QueryRegistry>,
    control: Control,
    clients: Rc<ClientFrontend>,
    classes: Rc<StatementClassifier>,
    levels: Rc<ServiceLevels>,
    zones: Rc<ZoneRouting>,
    engines: Rc<EnginePool>,
    peers: Option<Rc<Peers>>,
    fleet: Option<Rc<FleetService>>,
    /// Descriptors that it may hold.
    sockets: f64,
    others: Vec<Task<()>>,
    /// After the signal to end, by when (ms) all is answered.
    ends_by: f64,
    /// The configuration in force, and the part of it that may change.
    text: Value,
    resolver: Rc<Cell<Option<SocketAddr>>>,
    told: SettingsMap,
    /// Flags, which go before the operators' file.
    common: Common,
    /// When the decisions want their next round.
    timer: f64,
}

/// What ends a wait.
enum Wake {
    Events,
    Terminate,
    Reload,
}

impl Dispatcher {
    pub fn start(
        config: StartupConfig,
        operator: Operator,
        common: Common,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<Self, String> {
        let unfit = operator_config::unfit(&operator, &config.told);
        if !unfit.is_empty() {
            return Err(format!("the operators' file: {}", unfit.join("; ")));
        }
        let clock = Clock::start();
        let registry = Rc::new(QueryRegistry::new(config.max_bytes));
        let mut control =
            Control::new(config.seed, &config.told).map_err(|e| format!("settings: {e}"))?;
        let engines = EnginePool::new(
            registry.clone(),
            clock,
            executor.clone(),
            config.connection_settings,
        );
        let classes = Rc::new(StatementClassifier::new(&config.told, key_of(config.seed)));
        classes.set(operator.statements.as_ref());
        let limits = Limits {
            memory: config.memory,
            descriptors: config.sockets,
        };
        let levels = Rc::new(ServiceLevels::new(&config.told, limits));
        levels.set(operator.levels.as_ref(), clock.now(), &mut control);
        let zones = Rc::new(ZoneRouting::new(&config.told));
        zones.set(operator.halls.as_ref(), clock.now(), &mut control);
        let (of_classes, of_levels, of_zones) = (classes.clone(), levels.clone(), zones.clone());
        let clients = Rc::new(ClientFrontend::new(
            registry.clone(),
            clock,
            config.admission,
            of_classes,
            of_levels,
            of_zones,
        ));
        let mut others = Vec::new();
        let peers = match config.peers {
            Some(to) => {
                let peers = Peers::bind(registry.clone(), to.listen, to.each, to.all);
                let peers = peers.map_err(|e| format!("peer_listen {}: {e}", to.listen))?;
                others.push(executor.spawn(peers.clone().listen()));
                Some(peers)
            }
            None => None,
        };
        let fleet = FleetService::start(
            operator.fleet.as_ref(),
            &config.told,
            clock,
            registry.clone(),
            config.seed,
        )?;
        others.extend(
            fleet
                .iter()
                .map(|fleet| executor.spawn(fleet.clone().run())),
        );
        registry.push_event(Event::EndpointList {
            form: EndpointListKind::Cached,
            engines: config.directory.endpoints(),
        });
        let resolver = Rc::new(Cell::new(config.resolver));
        let follow = discovery::follow(
            registry.clone(),
            resolver.clone(),
            config.directory,
            config.seed as u16,
        );
        others.push(executor.spawn(follow));
        let listener = ClientFrontend::bind(config.listen)
            .map_err(|e| format!("listen {}: {e}", config.listen))?;
        others.push(executor.spawn(clients.clone().accept(listener, executor.clone())));
        let (phase, timer, text, told) = (Phase::Starting, f64::INFINITY, config.text, config.told);
        Ok(Dispatcher {
            phase,
            clock,
            registry,
            control,
            clients,
            classes,
            levels,
            zones,
            engines,
            peers,
            fleet,
            sockets: config.sockets,
            others,
            ends_by: config.ends_by,
            text,
            resolver,
            told,
            common,
            timer,
        })
    }

    /// Runs until all is answered after the signal to end.
    pub async fn run(mut self, signals: impl Stream<Item = Signal>) {
        let signals = signals.map(|signal| match signal {
            Signal::Reload => Wake::Reload,
            Signal::Terminate => Wake::Terminate,
        });
        let events = Notifications(self.registry.notify.clone()).map(|()| Wake::Events);
        let mut wakes = std::pin::pin!(futures_lite::stream::or(signals, events));
        loop {
            let wake = self.turn();
            if self.phase == Phase::Ended {
                break;
            }
            self.wait(&mut wakes, wake).await;
            // Whatever is due already, the connections get their turn.
            future::yield_now().await;
        }
        self.others.clear();
        eprint!(
            "{}",
            statement_classifier::counters(
                &self.registry,
                &self.classes,
                &self.levels,
                &self.zones
            )
        );
    }

    /// One turn: time's effects, a round of the decisions, their orders. Tells when the next is due.
    fn turn(&mut self) -> f64 {
        let next = self.engines.expire();
        let now = self.clock.now();
        self.registry.counters.rounds.increment();
        let (levels, descriptors) = (
            &*self.levels,
            self.clients.connection_count() + self.engines.connection_count(),
        );
        let zones = &*self.zones;
        let (registry, engines, classes) = (&*self.registry, &*self.engines, &*self.classes);
        let fleet = self.fleet.as_deref();
        let mut feed = Events {
            registry,
            engines,
            classes,
            levels,
            zones,
            fleet,
            now,
        };
        let peers = self.peers.as_deref();
        let mut decisions = Decisions {
            registry: &self.registry,
            peers,
            levels,
            now,
            timer: &mut self.timer,
        };
        if now >= *decisions.timer {
            *decisions.timer = f64::INFINITY;
        }
        self.control.run_round(now, &mut feed, &mut decisions);
        let message = levels.look(now, descriptors, &mut self.control);
        if let Some(message) = message.filter(|_| self.control.capabilities().peer_messages) {
            decisions.send_to_peer(None, &message);
        }
        let message = zones.look(now, &mut self.control, self.fleet.as_deref());
        if let Some(message) = message.filter(|_| self.control.capabilities().peer_messages) {
            decisions.send_to_peer(None, &message);
        }
        if zones.looked_at(now) {
            if let Some(engine_id) = zones
                .probes(now)
                .filter(|_| self.control.capabilities().health_checks)
            {
                self.registry.health_check(engine_id);
            }
            zones.spills(
                |zone| self.control.spilled_threads(zone),
                &mut self.clients.spilled_threads().borrow_mut(),
            );
        }
        if let Some(fleet) = &self.fleet {
            let changed = fleet.look(
                now,
                descriptors as f64 / self.sockets.max(1.0),
                self.control.threads_in_flight(),
            );
            if !changed.is_empty() {
                self.registry.push_event(Event::EndpointList {
                    form: EndpointListKind::Delta,
                    engines: changed,
                });
            }
        }
        self.engines.execute_commands();
        self.advance(now);
        next.min(self.timer).min(now + LONGEST_SLEEP)
    }

    /// The next phase, where its time has come.
    fn advance(&mut self, now: f64) {
        self.phase = match self.phase {
            Phase::Starting => {
                self.clients.start_serving();
                Phase::Serving
            }
            Phase::Draining { since } if now >= since + TAKES_ON => {
                self.clients.last_call();
                Phase::Closing { since }
            }
            Phase::Closing { since }
                if self.clients.is_closed() || now >= since + self.ends_by + LAST_LINGER =>
            {
                Phase::Ended
            }
            phase => phase,
        };
    }

    fn begin_shutdown(&mut self) {
        let now = self.clock.now();
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            tracing::info!(queries = self.registry.in_flight(), "told to end");
            self.clients.start_draining();
            let by = now + self.ends_by;
            self.control.limit_deadlines(by);
            self.registry.limit_deadlines(by);
            self.engines.limit_deadlines(by);
            self.fleet.iter().for_each(|fleet| fleet.leave());
            self.phase = Phase::Draining { since: now };
        }
    }

    /// Reads configuration and operators' file anew. What may change does, the rest is named; one that can't be
    /// used changes nothing.
    fn reload(&mut self) {
        if !matches!(self.phase, Phase::Starting | Phase::Serving) {
            return tracing::info!(
                "told to read the configuration again while ending: nothing is read"
            );
        }
        match config::read() {
            Ok(config) => self.take_on(&config),
            Err(e) => tracing::warn!("the configuration stays as it was: {e}"),
        }
        let operator =
            operator_config::read_if(self.common.operator.as_deref()).and_then(|operator| {
                let unfit = operator_config::unfit(&operator, &self.told);
                if unfit.is_empty() {
                    Ok(operator)
                } else {
                    Err(unfit)
                }
            });
        match operator {
            Ok(operator) => self.take_on_operator(&operator),
            Err(faults) => {
                tracing::warn!("the operators' file stays as it was: {}", faults.join("; "))
            }
        }
    }

    fn take_on(&mut self, config: &StartupConfig) {
        let waits = config::only_at_a_start(&self.text, &config.text);
        if !waits.is_empty() {
            let waits = waits.join(", ");
            tracing::warn!(
                "the configuration was read again; these keys wait for the next start: {waits}"
            );
        }
        self.registry.counters.config_reloads.increment();
        if let Some(resolver) = config
            .resolver
            .filter(|_| config.resolver != self.resolver.get())
        {
            tracing::info!(%resolver, "the name service is asked elsewhere from now on");
        }
        self.resolver.set(config.resolver);
    }

    fn take_on_operator(&mut self, operator: &Operator) {
        if self.common.operator.is_some() {
            self.registry.counters.operator_config_reloads.increment();
            tracing::info!("the operators' file was read again");
        }
        log::set(&self.common, operator.log.as_ref());
        self.classes.set(operator.statements.as_ref());
        self.levels.set(
            operator.levels.as_ref(),
            self.clock.now(),
            &mut self.control,
        );
        self.zones
            .set(operator.halls.as_ref(), self.clock.now(), &mut self.control);
        match &self.fleet {
            Some(fleet) => fleet.set(operator.fleet.as_ref()),
            None if operator.fleet.is_some() => {
                tracing::warn!("the fleet waits for the next start")
            }
            None => {}
        }
    }

    async fn wait(&mut self, wakes: &mut (impl Stream<Item = Wake> + Unpin), wake: f64) {
        let soon = match self.phase {
            Phase::Draining { .. } | Phase::Closing { .. } => self.clock.now() + 20.0,
            _ => f64::INFINITY,
        };
        let wake = self.clock.instant(wake.min(soon));
        let time = async {
            Timer::at(wake).await;
            None
        };
        match future::or(wakes.next(), time).await {
            Some(Wake::Terminate) => self.begin_shutdown(),
            Some(Wake::Reload) => self.reload(),
            _ => {}
        }
    }
}

/// The events of a round, as the decisions take them.
struct Events<'a> {
    registry: &'a QueryRegistry,
    engines: &'a EnginePool,
    classes: &'a StatementClassifier,
    levels: &'a ServiceLevels,
    zones: &'a ZoneRouting,
    fleet: Option<&'a FleetService>,
    now: f64,
}

impl EventSource for Events<'_> {
    fn deliver(&mut self, control: &mut Control, out: &mut dyn DecisionSink) {
        while let Some(event) = self.registry.next_event() {
            match event {
                Event::QueryArrived {
                    query,
                    tenant,
                    key,
                    cost,
                    memory,
                    tables,
                    text,
                } => {
                    // One whose client left while it waited for this round is no news to the decisions.
                    let Some((rg, due)) = self
                        .registry
                        .with_query(query, |q| (q.resource_group.clone(), q.deadline_ms))
                    else {
                        continue;
                    };
                    if self.registry.is_over(query) {
                        continue;
                    }
                    let arrived = QueryArrived {
                        query_id: query,
                        group: &rg,
                        tenant: &tenant,
                        key,
                        deadline_ms: due,
                        estimated_cost_ms: cost,
                        memory_mb: memory,
                        tables,
                        statement: text,
                    };
                    let taken = control.on_query_arrived(&arrived, out);
                    if let Err(e) = taken {
                        tracing::error!(query, error = %e, "a query was not taken");
                        self.registry.answer(query, Answer::Failed);
                    }
                }
                Event::ClientLeft { query } => {
                    control.on_client_gone(query, out);
                    self.registry.forget_if_over(query);
                }
                Event::AttemptEnded {
                    query,
                    attempt,
                    outcome,
                    engine_id,
                    latency,
                    pages,
                } => {
                    let taken = |q: &Query| {
                        Some(ClassifiedAttempt {
                            shape: q.shape?,
                            rg: q.resource_group.clone(),
                            waited: q.waited,
                        })
                    };
                    self.zones.ended(self.now, engine_id, outcome);
                    self.fleet
                        .iter()
                        .for_each(|fleet| fleet.ended(self.now, engine_id, outcome));
                    if let Some(taken) = self.registry.with_query(query, taken).flatten() {
                        self.classes
                            .ended(&taken, engine_id, latency, outcome, self.now);
                    }
                    if outcome == Outcome::Completed {
                        count(self.registry, self.levels, query, self.now, true, false);
                        self.registry.answer(query, Answer::Completed(pages));
                    }
                    let complete = self.registry.is_over(query);
                    self.registry.attempt_ended(query);
                    let ended = AttemptEnded {
                        query_id: query,
                        attempt,
                        engine_id,
                        outcome,
                        answer_delivered: complete,
                        latency_ms: latency,
                        used: None,
                    };
                    control.on_attempt_ended(&ended, out);
                }
                Event::ProgressReported {
                    query,
                    attempt,
                    note,
                    amount,
                } => {
                    if let Some(engine_id) = self
                        .registry
                        .with_query(query, |q| q.engine_id)
                        .filter(|_| self.zones.is_on())
                    {
                        self.zones.noted(self.now, engine_id);
                    }
                    if note == NoteKind::Waiting {
                        self.registry.record_wait(query);
                    }
                    control.on_progress_note(&ProgressNote {
                        query_id: query,
                        attempt,
                        kind: note,
                        amount,
                    });
                }
                Event::HealthCheckEnded { engine_id, outcome } => {
                    self.zones.ended(self.now, engine_id, outcome);
                    control.on_health_check_ended(&HealthCheckEnded { engine_id, outcome });
                }
                Event::EndpointList { form, mut engines } => {
                    self.fleet
                        .iter()
                        .for_each(|fleet| fleet.listed(&mut engines));
                    self.classes.listed(&engines);
                    self.zones.listed(self.now, &engines);
                    control.begin_update(form);
                    for e in &engines {
                        self.engines.upsert_endpoint(e);
                        control.upsert_endpoint(&EndpointUpdate {
                            engine_id: e.engine_id,
                            kind: &e.kind,
                            zone: &e.zone,
                            state: e.status,
                            started_ms: e.started,
                            cell: e.cell,
                        });
                    }
                    control.finish_update(form, out);
                }
                Event::PeerMessage { peer, content } => {
                    let taken = self.levels.heard(self.now, peer, &content)
                        || self.zones.heard(self.now, peer, &content);
                    if !taken {
                        control.on_peer_message(&PeerMessage {
                            peer,
                            content: &content,
                        });
                    }
                }
            }
        }
    }
}

/// A query is answered: what that says of the service.
fn count(
    registry: &QueryRegistry,
    levels: &ServiceLevels,
    query: u64,
    now: f64,
    finished: bool,
    rejected: bool,
) {
    let owed = !registry.is_over(query);
    registry.with_query(query, |q| {
        if owed {
            levels.ended(
                now,
                &q.resource_group,
                now - q.received_ms,
                q.estimated_cost_ms,
                finished,
                rejected,
            );
        }
    });
}

/// A secret for the hashes of shapes, from the seed of this start.
fn key_of(seed: u64) -> [u8; 16] {
    let mut rng = Pcg::new(seed ^ 0x5DEE_CE66_D1CE_B00C);
    std::array::from_fn(|_| rng.below(256) as u8)
}

/// Takes the decisions to where they are carried out.
struct Decisions<'a> {
    registry: &'a QueryRegistry,
    peers: Option<&'a Peers>,
    levels: &'a ServiceLevels,
    now: f64,
    timer: &'a mut f64,
}

impl DecisionSink for Decisions<'_> {
    fn submit(&mut self, id: u64, engine_id: u64, bounds: AttemptLimits) {
        self.registry.submit(id, engine_id, bounds);
    }
    fn reject(&mut self, id: u64, retry_after: f64) {
        count(self.registry, self.levels, id, self.now, false, true);
        self.registry.answer(
            id,
            Answer::Rejected {
                retry_after_ms: retry_after,
            },
        );
    }
    fn fail(&mut self, id: u64) {
        count(self.registry, self.levels, id, self.now, false, false);
        self.registry.answer(id, Answer::Failed);
    }
    fn cancel(&mut self, id: u64, attempt: usize) {
        self.registry.cancel(id, attempt);
    }
    fn grant(&mut self, id: u64, priority: u8, memory: f64) {
        self.registry.grant(
            id,
            Grant {
                priority,
                memory_mb: memory,
            },
        );
    }
    fn check_health(&mut self, engine_id: u64) {
        self.registry.health_check(engine_id);
    }
    fn send_to_peer(&mut self, peer: Option<u32>, content: &[u8]) {
        if let Some(peers) = self.peers {
            peers.send(peer, content);
        }
    }
    fn set_timer(&mut self, delay: f64, _handle: u64) {
        *self.timer = self.timer.min(self.now + delay);
    }
    /// The name service is asked all the time, and its list comes when it has changed.
    fn watch_endpoints(&mut self) {}
}
