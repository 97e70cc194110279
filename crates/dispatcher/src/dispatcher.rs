//! The driver: one task that passes events to the admission controller, has its commands executed, and moves the
//! program through its phases.
//!
//! The driver owns the admission controller ([`Control`]) and the phase. It never waits for a socket: clients, engines,
//! discovery, peers and the fleet are separate tasks on the same thread, which queue their events in the query
//! registry. Start reading at [`Dispatcher::run`] and `run_round`.
//!
//! | file | concern |
//! | --- | --- |
//! | `startup` | startup from a valid configuration to bound sockets |
//! | `event_feed` | delivery of the registry's events to the admission controller and the subsystems |
//! | `decision_sink` | conversion of decisions into commands in the registry and messages to peers |
//! | `reload` | reload of the configuration and the operators' file at SIGHUP |
//! | `start_retry` | retry with backoff of startup steps that fail transiently |

mod decision_sink;
mod event_feed;
mod reload;
mod start_retry;
mod startup;

pub use start_retry::StartRetry;
pub use startup::StartError;

use crate::cli::GlobalArgs;
use crate::client::ClientFrontend;
use crate::clock::Clock;
use crate::engine::EnginePool;
use crate::lifecycle::{Phase, PhaseInput};
use crate::notify::Notifications;
use crate::peers::Peers;
use crate::query_registry::{Event, QueryRegistry};
use crate::signals::Signal;
use crate::subsystems::fleet::LoadReport;
use crate::subsystems::Subsystems;
use async_executor::Task;
use async_io::Timer;
use decision_sink::DecisionQueue;
use event_feed::EventFeed;
use futures_lite::{future, Stream, StreamExt};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tansymux::control::Control;
use tansymux::events::EndpointListKind;
use tansymux::settings::SettingsMap;

/// Maximum time (ms) between two rounds. Bounds the delay that a missed wake-up could cause.
const MAX_SLEEP_MS: f64 = 1000.0;
/// Maximum time (ms) between two rounds during shutdown: no event reports that the last connection closed.
const SHUTDOWN_POLL_MS: f64 = 20.0;
/// Maximum number of trace events that SIGUSR1 writes to the log.
const MAX_DUMPED_EVENTS: usize = 256;

/// The driver, and all parts of the program that it uses.
pub struct Dispatcher {
    phase: Phase,
    clock: Clock,
    registry: Rc<QueryRegistry>,
    control: Control,
    clients: Rc<ClientFrontend>,
    engines: Rc<EnginePool>,
    peers: Option<Rc<Peers>>,
    subsystems: Subsystems,
    /// Maximum number of descriptors that the program may hold.
    max_descriptors: f64,
    /// The tasks that run concurrently with the driver. Dropping a task cancels it.
    tasks: Vec<Task<()>>,
    /// Time (ms) after SIGTERM by which every query is answered.
    shutdown_grace_ms: f64,
    /// The configuration file as read at startup. A reload compares the new content with it.
    startup_source: Value,
    settings: SettingsMap,
    /// Address of the name service, shared with discovery and changed by a reload.
    resolver: Rc<Cell<Option<SocketAddr>>>,
    /// Flags, which override the operators' file.
    common: GlobalArgs,
    /// Time (ms) of the next round that the admission controller requested; infinite if it requested none.
    timer_ms: f64,
}

/// The event that ended a wait.
enum Wake {
    Events,
    Terminate,
    Reload,
    DumpTrace,
}

impl Dispatcher {
    /// Runs until the shutdown after SIGTERM is complete, then prints the counters.
    pub async fn run(mut self, signals: impl Stream<Item = Signal>) {
        let signals = signals.map(|signal| match signal {
            Signal::Reload => Wake::Reload,
            Signal::Terminate => Wake::Terminate,
            Signal::DumpTrace => Wake::DumpTrace,
        });
        let events = Notifications(self.registry.notify.clone()).map(|()| Wake::Events);
        let mut wakes = std::pin::pin!(futures_lite::stream::or(signals, events));
        loop {
            let next_round_ms = self.run_round();
            if self.phase == Phase::Ended {
                // Queries without an answer can no longer be answered, which is reported as a violation.
                if let Err(violation) = self.registry.may_end() {
                    self.registry.report_violation(violation, None);
                }
                break;
            }
            self.wait(&mut wakes, next_round_ms).await;
            // Lets the other tasks run even if the next round is already due.
            future::yield_now().await;
        }
        self.tasks.clear();
        eprint!("{}", self.subsystems.counters(&self.registry));
    }

    /// Runs one round: deadlines of the engine side, events and decisions, periodic work, commands, change of phase.
    /// Returns the time (ms) at which the next round is due.
    fn run_round(&mut self) -> f64 {
        let engines_due_ms = self.engines.expire();
        let now_ms = self.clock.now();
        self.registry.counters.rounds.increment();
        let open_descriptors = self.clients.connection_count() + self.engines.connection_count();
        self.run_decisions(now_ms);
        self.tick_levels(now_ms, open_descriptors);
        self.tick_zones(now_ms);
        self.tick_fleet(now_ms, open_descriptors);
        self.engines.execute_commands();
        self.advance_phase(now_ms);
        engines_due_ms.min(self.timer_ms).min(now_ms + MAX_SLEEP_MS)
    }

    /// Delivers the queued events to the admission controller, and queues the resulting commands.
    fn run_decisions(&mut self, now_ms: f64) {
        if now_ms >= self.timer_ms {
            self.timer_ms = f64::INFINITY;
        }
        let mut feed = EventFeed {
            registry: &self.registry,
            engines: &self.engines,
            subsystems: &self.subsystems,
            now_ms,
        };
        let mut sink = DecisionQueue {
            registry: &self.registry,
            peers: self.peers.as_deref(),
            levels: &self.subsystems.levels,
            now_ms,
            timer_ms: &mut self.timer_ms,
        };
        self.control.run_round(now_ms, &mut feed, &mut sink);
    }

    /// Evaluates the service level, and sends its message to peers if one is due.
    fn tick_levels(&mut self, now_ms: f64, open_descriptors: usize) {
        let levels = &self.subsystems.levels;
        if let Some(message) = levels.tick(now_ms, open_descriptors, &mut self.control) {
            self.send_to_all_peers(&message);
        }
    }

    /// Evaluates zone routing: sends its message to peers, requests its health check, and updates the spills that the
    /// client side reports.
    fn tick_zones(&mut self, now_ms: f64) {
        let zones = &self.subsystems.zones;
        let fleet = self.subsystems.fleet.as_deref();
        let tick = zones.tick(now_ms, &mut self.control, fleet);
        if let Some(message) = tick.peer_message {
            self.send_to_all_peers(&message);
        }
        if !tick.is_evaluated {
            return;
        }
        if let Some(engine_id) = zones.next_health_check(now_ms) {
            if self.control.capabilities().health_checks {
                self.registry.health_check(engine_id);
            }
        }
        let spills = zones.spills(|zone| self.control.spilled_threads(zone));
        *self.clients.spilled_threads().borrow_mut() = spills;
    }

    /// Reports this dispatcher's load to the fleet, and queues the endpoint changes that the fleet decided.
    fn tick_fleet(&mut self, now_ms: f64, open_descriptors: usize) {
        let Some(fleet) = &self.subsystems.fleet else {
            return;
        };
        let load = LoadReport {
            descriptors_used_fraction: open_descriptors as f64 / self.max_descriptors.max(1.0),
            threads_in_flight: self.control.threads_in_flight(),
        };
        let changes = fleet.tick(now_ms, load);
        if !changes.is_empty() {
            self.registry.push_event(Event::EndpointList {
                kind: EndpointListKind::Delta,
                endpoints: changes,
            });
        }
    }

    /// Sends a subsystem's message to all peers, if the settings allow messages between dispatchers.
    fn send_to_all_peers(&self, message: &[u8]) {
        if !self.control.capabilities().peer_messages {
            return;
        }
        if let Some(peers) = &self.peers {
            peers.send(None, message);
        }
    }

    /// Enters the next phase if it is due.
    fn advance_phase(&mut self, now_ms: f64) {
        let next = self.phase.next(PhaseInput {
            now_ms,
            shutdown_grace_ms: self.shutdown_grace_ms,
            all_clients_closed: self.clients.is_closed(),
        });
        match (self.phase, next) {
            (Phase::Starting, Phase::Serving) => self.clients.start_serving(),
            (Phase::Draining { .. }, Phase::Closing { .. }) => self.clients.start_closing(),
            _ => {}
        }
        self.phase = next;
    }

    /// Begins the graceful shutdown at SIGTERM: the health path answers 503 from now on, and all deadlines are
    /// limited to the end of the grace period.
    fn begin_shutdown(&mut self) {
        if !self.phase.is_before_shutdown() {
            return;
        }
        let now_ms = self.clock.now();
        let in_flight = self.registry.in_flight();
        tracing::info!(in_flight, "SIGTERM received, draining");
        self.clients.start_draining();
        let answered_by_ms = now_ms + self.shutdown_grace_ms;
        self.control.limit_deadlines(answered_by_ms);
        self.registry.limit_deadlines(answered_by_ms);
        self.engines.limit_deadlines(answered_by_ms);
        if let Some(fleet) = &self.subsystems.fleet {
            fleet.leave();
        }
        self.phase = Phase::Draining { since_ms: now_ms };
    }

    /// Writes the last trace events to the log at SIGUSR1, in one write that is exempt from the log's rate limit.
    fn dump_trace(&self) {
        let lines = self.registry.trace.lines(None, MAX_DUMPED_EVENTS);
        let mut text = String::new();
        for line in &lines {
            text += "trace: ";
            text += line;
            text.push('\n');
        }
        eprint!("{text}");
        tracing::info!(events = lines.len(), "trace written");
    }

    /// Waits for an event, a signal or the time of the next round (`next_round_ms`), and handles the signal.
    async fn wait(
        &mut self,
        wakes: &mut (impl Stream<Item = Wake> + Unpin),
        mut next_round_ms: f64,
    ) {
        if self.phase.is_shutting_down() {
            next_round_ms = next_round_ms.min(self.clock.now() + SHUTDOWN_POLL_MS);
        }
        let next_round = self.clock.instant(next_round_ms);
        let timer = async {
            Timer::at(next_round).await;
            None
        };
        match future::or(wakes.next(), timer).await {
            Some(Wake::Terminate) => self.begin_shutdown(),
            Some(Wake::Reload) => self.reload(),
            Some(Wake::DumpTrace) => self.dump_trace(),
            Some(Wake::Events) | None => {}
        }
    }
}
