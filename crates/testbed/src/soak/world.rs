//! One run: starts engines, links, name service and dispatchers, plays the plan's faults while clients ask, ends all and
//! checks the record.

use super::clients::{SoakClient, CLASSES, MEAN_WORK_MS};
use super::dispatcher::DispatcherPlace;
use super::lag::LagMonitor;
use super::link::Link;
use super::names::NamesLink;
use super::peers::PeerRelay;
use super::plan::{PlannedFault, SoakFault, SoakPlan, SoakSettings};
use super::{SoakCounts, SoakOptions, SoakOutcome};
use crate::engine::{Engine, EngineSpec, Fault, RunContext};
use crate::fault_shim::FaultShim;
use crate::invariants::{
    find_slow_start_violations, find_violations, ClassRules, Effect, RetryBudget, Rules, Violation,
    WarmUpRule,
};
use crate::name_service::{Endpoint, NameService};
use crate::program::{class, Config};
use crate::record::{Entry, EventKind, Status};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tansymux_fault_table::Call;

/// Clients of each dispatcher.
const CLIENTS_PER_DISPATCHER: u64 = 3;
const CORES: f64 = 8.0;
/// One call in twenty.
const CALL_FAULT_RATE: u32 = 500;
const SPAN_MS: f64 = 1000.0;
const WARM_AFTER_MS: f64 = 4000.0;
const COLD_FROM: f64 = 0.02;
const MULTIPLE: f64 = 3.0;
const RETRY_SPAN_MS: f64 = 10_000.0;
const RETRY_FREE: f64 = 5.0;
const RETRY_RATIO: f64 = 0.2;
const DEDUP_WINDOW_MS: f64 = 1500.0;
const DRAIN_GRACE_MS: f64 = 1000.0;
/// What the name service has to tell counts as told after this time, whether or not it arrived (protocol).
const TOLD_AFTER_MS: f64 = 7000.0;
/// How much later than its limit an event may come on a busy machine.
const SLACK_MS: f64 = 100.0;
/// Up to this late an answer only earns nothing.
const LATE_ANSWER_MS: f64 = 500.0;
/// A replaced engine is sent to by those who were not told yet for at most this time.
const UNTOLD_MS: u64 = 700;
const POLL: Duration = Duration::from_millis(10);
/// Ports of dispatchers.
const CLIENT_PORT: u16 = 10080;
const PEER_PORT: u16 = 7946;
/// A query that was asked within this time (ms) before or after its dispatcher was stopped may have come while it was.
const STALL_MARGIN_MS: f64 = 100.0;

/// An engine's place behind a link.
struct EngineSlot {
    link: Link,
    engine: Engine,
    generation: u32,
}

/// A run.
struct World {
    plan: SoakPlan,
    context: Arc<RunContext>,
    names: NameService,
    names_link: NamesLink,
    engines: Mutex<Vec<EngineSlot>>,
    places: Vec<Arc<DispatcherPlace>>,
    leave_generations: Vec<Arc<AtomicU64>>,
    is_over: Arc<AtomicBool>,
    _peers: PeerRelay,
}

/// Plays a plan.
pub(super) fn play(plan: SoakPlan, options: &SoakOptions) -> SoakOutcome {
    let lag = LagMonitor::start();
    let logs = options.keep.join(format!("logs-{}", plan.seed));
    let _ = std::fs::create_dir_all(&logs);
    let world = Arc::new(World::start(plan, options, &logs));
    thread::scope(|scope| {
        for place in &world.places {
            scope.spawn(|| place.start());
        }
    });
    let clients = world.start_clients();
    world.play_faults();
    world.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::scope(|scope| {
        for place in &world.places {
            scope.spawn(|| {
                place.check_alive();
                place.finish();
            });
        }
    });
    let mut outcome = world.outcome();
    outcome.max_lag_ms = lag.max_lag_ms();
    if outcome.violations.is_empty() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    outcome
}

impl World {
    fn start(plan: SoakPlan, options: &SoakOptions, logs: &Path) -> Self {
        let context = Arc::new(RunContext::default());
        let mut engines = Vec::new();
        for nth in 0..plan.engines {
            let engine = start_engine(&format!("s-{nth}"), &plan, &context);
            let link = Link::start(engine.address, plan.seed ^ nth as u64);
            engines.push(EngineSlot {
                link,
                engine,
                generation: 0,
            });
        }
        let endpoints = engines
            .iter()
            .map(|slot| endpoint(&slot.engine.id, slot.link.address, 0.0));
        let names = NameService::start(endpoints.collect(), context.record.clone());
        let names_link = NamesLink::start(names.address);
        let peer_listen: Vec<SocketAddr> = (0..plan.dispatchers)
            .map(|nth| own_address(plan.seed, nth, PEER_PORT))
            .collect();
        let peers = PeerRelay::start(&peer_listen, plan.seed);
        let mut places = Vec::new();
        for (nth, listen) in peer_listen.iter().enumerate() {
            let config = config(&plan, nth, &engines, &names_link, *listen, &peers);
            places.push(Arc::new(DispatcherPlace::new(
                format!("n{nth}"),
                &options.exe,
                config,
                FaultShim::new(options.shim.clone()),
                logs,
                context.record.clone(),
            )));
        }
        World {
            leave_generations: places.iter().map(|_| Arc::default()).collect(),
            plan,
            context,
            names,
            names_link,
            engines: Mutex::new(engines),
            places,
            is_over: Arc::default(),
            _peers: peers,
        }
    }

    fn engines(&self) -> MutexGuard<'_, Vec<EngineSlot>> {
        self.engines.lock().expect("no holder panics")
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for (dispatcher, place) in self.places.iter().enumerate() {
            for number in 0..CLIENTS_PER_DISPATCHER {
                let client = SoakClient {
                    dispatcher,
                    number,
                    place: place.clone(),
                    context: self.context.clone(),
                    is_over: self.is_over.clone(),
                    leave_generation: self.leave_generations[dispatcher].clone(),
                    has_estimates: self.plan.settings.has_estimates,
                };
                let seed = self.plan.seed << 16 | (dispatcher as u64) << 8 | number;
                clients.push(thread::spawn(move || client.run(seed)));
            }
        }
        clients
    }

    /// Plays the faults at their times, each on a thread of its own, and waits for the run's end and theirs.
    fn play_faults(self: &Arc<Self>) {
        let from = Instant::now();
        let mut playing = Vec::new();
        for planned in self.plan.faults.clone() {
            self.sleep_until(from, planned.at_ms);
            let world = self.clone();
            playing.push(thread::spawn(move || world.play_fault(planned)));
        }
        self.sleep_until(from, self.plan.seconds * 1000.0);
        for fault in playing {
            let _ = fault.join();
        }
    }

    fn sleep_until(&self, from: Instant, at_ms: f64) {
        while from.elapsed().as_secs_f64() * 1000.0 < at_ms {
            self.places.iter().for_each(|place| place.check_alive());
            thread::sleep(POLL);
        }
    }

    fn play_fault(&self, planned: PlannedFault) {
        let PlannedFault { for_ms, fault, .. } = planned;
        let time = Duration::from_secs_f64(for_ms / 1000.0);
        self.context.record.push(EventKind::Fault {
            engine: String::new(),
            fault: format!("{fault} for {for_ms:.0} ms"),
        });
        let while_on = |engine, on: Fault| {
            self.fault_engine(engine, on);
            thread::sleep(time);
            self.fault_engine(engine, Fault::None);
        };
        match fault {
            SoakFault::SlowEngine(e, times) => while_on(e, Fault::Slow(times)),
            SoakFault::FailingEngine(e, fraction) => while_on(e, Fault::Errors(fraction)),
            SoakFault::SilentEngine(e) => while_on(e, Fault::Silent),
            SoakFault::ResettingEngine(e, fraction) => while_on(e, Fault::Resets(fraction)),
            SoakFault::SpoilingEngine(e, fraction) => while_on(e, Fault::Spoils(fraction)),
            SoakFault::FullEngine(e, fraction) => while_on(e, Fault::Full(fraction)),
            _ => self.play_outer_fault(fault, time),
        }
    }

    /// Faults of links, lists and the dispatchers' places.
    fn play_outer_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::DrainEngine(e) => self.drain_engine(e, time),
            SoakFault::ReplaceEngine(e) => self.replace_engine(e),
            SoakFault::JoinEngine => self.join_engine(),
            SoakFault::CutToEngine(e) => self.while_link(e, time, |f, on| f.cut_to_engine = on),
            SoakFault::CutFromEngine(e) => self.while_link(e, time, |f, on| f.cut_from_engine = on),
            SoakFault::ResetLink(e) => {
                self.reset_link(e);
                self.while_link(e, time, |f, on| f.resets = on);
            }
            SoakFault::SplitLink(e) => self.while_link(e, time, |f, on| f.splits = on),
            SoakFault::ForgetIdle(e) => self.while_link(e, 2 * time, |f, on| f.forgets = on),
            SoakFault::LateConnects(e) => self.while_link(e, time, |f, on| f.accepts_none = on),
            SoakFault::SilentNames => {
                self.names_link.set_silent(true);
                thread::sleep(time);
                self.names_link.set_silent(false);
            }
            SoakFault::SlowNames(delay_ms) => {
                self.names_link.set_delay_ms(delay_ms);
                thread::sleep(time);
                self.names_link.set_delay_ms(0);
            }
            SoakFault::Restart(d) => self.places[d].restart(),
            SoakFault::Kill(d) => self.places[d].kill(),
            SoakFault::Stall(d, millis) => self.places[d].stall(Duration::from_millis(millis)),
            SoakFault::Reload(d, count) => self.places[d].reload(count),
            SoakFault::StepClock(d, step_s) => {
                let table = self.places[d].shim().table();
                table.set_wall_offset_ns(step_s * 1_000_000_000);
            }
            SoakFault::ClientsLeave(d) => {
                self.leave_generations[d].fetch_add(1, Ordering::SeqCst);
            }
            _ => self.play_call_fault(fault, time),
        }
    }

    /// Failing system calls of a dispatcher.
    fn play_call_fault(&self, fault: SoakFault, time: Duration) {
        match fault {
            SoakFault::Interrupt(d) => self.fail_calls(d, libc_errno::EINTR, time),
            SoakFault::NoBuffers(d) => self.fail_calls(d, libc_errno::ENOBUFS, time),
            SoakFault::ShortCalls(d) => {
                let table = self.places[d].shim().table();
                table.shorten(Call::Recv, 3000);
                table.shorten(Call::Writev, 3000);
                thread::sleep(time);
                table.clear();
            }
            SoakFault::FailAccepts(d) => {
                let table = self.places[d].shim().table();
                table.fail(Call::Accept, libc_errno::ECONNABORTED, 2000, None);
                table.fail(Call::Socket, libc_errno::ENFILE, 1000, None);
                table.fail(Call::Bind, libc_errno::EADDRINUSE, 1000, None);
                thread::sleep(time);
                table.clear();
            }
            _ => {}
        }
    }

    fn fail_calls(&self, d: usize, errno: i32, time: Duration) {
        let table = self.places[d].shim().table();
        for call in [Call::Recv, Call::Writev, Call::RecvFrom, Call::SendTo] {
            table.fail(call, errno, CALL_FAULT_RATE, None);
        }
        if errno == libc_errno::EINTR {
            table.fail(Call::Read, errno, CALL_FAULT_RATE, None);
        }
        thread::sleep(time);
        table.clear();
    }

    fn fault_engine(&self, e: usize, fault: Fault) {
        self.engines()[e].engine.fault(fault);
    }

    fn while_link(
        &self,
        e: usize,
        time: Duration,
        set: impl Fn(&mut super::link::LinkFaults, bool),
    ) {
        self.engines()[e].link.change(|faults| set(faults, true));
        thread::sleep(time);
        self.engines()[e].link.change(|faults| set(faults, false));
    }

    fn reset_link(&self, e: usize) {
        self.engines()[e].link.reset_all();
    }

    /// Drains, is gone, and another one comes in its place, cold.
    fn drain_engine(&self, e: usize, time: Duration) {
        let id = self.engines()[e].engine.id.clone();
        self.names.set(&id, Status::Draining);
        thread::sleep(time);
        self.names.set(&id, Status::Gone);
        thread::sleep(time / 2);
        self.replace_engine(e);
    }

    /// Another engine starts under the address: the one before has ended.
    fn replace_engine(&self, e: usize) {
        let (old, new, address) = {
            let mut engines = self.engines();
            let slot = &mut engines[e];
            slot.generation += 1;
            let id = format!("s-{e}-{}", slot.generation);
            let engine = start_engine(&id, &self.plan, &self.context);
            let old = std::mem::replace(&mut slot.engine, engine.clone());
            slot.link.set_target(engine.address);
            slot.link.reset_all();
            (old, engine, slot.link.address)
        };
        old.stop();
        self.names.set(&old.id, Status::Gone);
        self.names.add(endpoint(&new.id, address, unix_ms()));
        thread::sleep(Duration::from_millis(UNTOLD_MS));
        // Who was not told sends as to the engine before: the rule counts what those do who were.
        if !self.hides_list() {
            self.context.record.push(EventKind::Started {
                engine: new.id,
                cores: CORES,
            });
        }
    }

    /// A further engine joins, cold.
    fn join_engine(&self) {
        let (id, address) = {
            let mut engines = self.engines();
            let id = format!("s-{}", engines.len());
            let engine = start_engine(&id, &self.plan, &self.context);
            let link = Link::start(engine.address, self.plan.seed ^ engines.len() as u64);
            let address = link.address;
            engines.push(EngineSlot {
                link,
                engine,
                generation: 0,
            });
            (id, address)
        };
        self.context.record.push(EventKind::Started {
            engine: id.clone(),
            cores: CORES,
        });
        self.names.add(endpoint(&id, address, unix_ms()));
    }

    fn outcome(&self) -> SoakOutcome {
        let entries = self.context.record.entries();
        let mut violations = self.dispatcher_violations(&entries);
        let rule = WarmUpRule {
            multiple: MULTIPLE,
            initial_fraction: COLD_FROM,
            span_ms: SPAN_MS,
            warm_after_ms: WARM_AFTER_MS,
        };
        violations.extend(find_slow_start_violations(&entries, &rule, MEAN_WORK_MS));
        violations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        let mut counts = count(&entries);
        let tables = self.places.iter().map(|place| place.shim().table());
        counts.failed_calls = tables.map(|table| table.injected_in_all()).sum();
        SoakOutcome {
            plan: self.plan.clone(),
            entries,
            violations,
            counts,
            max_lag_ms: 0.0,
        }
    }

    /// Each process keeps the rules for itself: its part of the record is its queries, and what all share.
    fn dispatcher_violations(&self, entries: &[Entry]) -> Vec<Violation> {
        let mut parts: BTreeMap<&str, Vec<Entry>> = BTreeMap::new();
        for entry in entries {
            if let Some(id) = query_id(&entry.event) {
                parts.entry(&id[..PROCESS_DIGITS]).or_default();
            }
        }
        for entry in entries {
            match query_id(&entry.event) {
                Some(id) => {
                    if let Some(part) = parts.get_mut(&id[..PROCESS_DIGITS]) {
                        part.push(entry.clone());
                    }
                }
                None => parts.values_mut().for_each(|part| part.push(entry.clone())),
            }
        }
        let rules = self.rules();
        let stalled = stalled_queries(entries);
        let mut violations: Vec<Violation> = Vec::new();
        for part in parts.values() {
            for violation in find_violations(part, &rules) {
                let is_known = violations
                    .iter()
                    .any(|known| known.description == violation.description);
                let came_while_stopped = stalled
                    .iter()
                    .any(|id| violation.description.contains(id.as_str()));
                let is_excused = came_while_stopped
                    || self.is_excused(&violation)
                    || other_attempt_ends_at_once(&violation, part);
                if !is_known && !is_excused {
                    violations.push(violation);
                }
            }
        }
        violations
    }

    /// An abort that a link swallowed leaves the attempt running at its engine: the dispatcher has given it up.
    fn is_excused(&self, violation: &Violation) -> bool {
        let swallows = |planned: &PlannedFault| {
            matches!(
                planned.fault,
                SoakFault::CutToEngine(_) | SoakFault::ForgetIdle(_) | SoakFault::CutFromEngine(_)
            )
        };
        violation.rule == 2
            && violation
                .description
                .contains("while another attempt was out")
            && self.plan.faults.iter().any(swallows)
    }

    /// Whether the name service is silent or slow at times.
    fn hides_list(&self) -> bool {
        self.plan.faults.iter().any(|planned| {
            matches!(
                planned.fault,
                SoakFault::SilentNames | SoakFault::SlowNames(_)
            )
        })
    }

    fn rules(&self) -> Rules {
        let told_after_ms = if self.hides_list() {
            TOLD_AFTER_MS
        } else {
            0.0
        };
        let classes = CLASSES.iter().map(|class| {
            let effect = match class.effect {
                "read_like" => Effect::ReadOnly,
                "non_idempotent" => Effect::NonIdempotent,
                _ => Effect::IdempotencyKey,
            };
            let rules = ClassRules {
                dedup_window_ms: DEDUP_WINDOW_MS,
                ..ClassRules::of(effect)
            };
            (class.name.to_owned(), rules)
        });
        Rules {
            slack_ms: SLACK_MS,
            late_answer_ms: LATE_ANSWER_MS,
            grace_ms: DRAIN_GRACE_MS + told_after_ms,
            warm_up: None,
            cooldown_ms: 0.0,
            retry_budget: Some(RetryBudget {
                span_ms: RETRY_SPAN_MS,
                free: RETRY_FREE,
                query_fraction: RETRY_RATIO,
            }),
            classes: classes.collect(),
        }
    }
}

/// A link that is reset shows it to the dispatcher a moment before the engine: the other attempt had been given up when the
/// next one began, within the time that the protocol allows for both to be seen.
fn other_attempt_ends_at_once(violation: &Violation, entries: &[Entry]) -> bool {
    if !violation
        .description
        .contains("while another attempt was out")
    {
        return false;
    }
    entries.iter().any(|entry| {
        let is_soon = entry.at_ms >= violation.at_ms && entry.at_ms < violation.at_ms + SLACK_MS;
        let EventKind::GivenUp { id, .. } = &entry.event else {
            return false;
        };
        is_soon && violation.description.contains(id.as_str())
    })
}

/// The queries that came to a dispatcher while it was stopped: when, it can't know, so that nothing that counts from there
/// is judged.
fn stalled_queries(entries: &[Entry]) -> Vec<String> {
    let mut stalls = Vec::new();
    for entry in entries {
        if let EventKind::Stalled {
            dispatcher,
            from_ms,
        } = &entry.event
        {
            stalls.push((dispatcher, *from_ms, entry.at_ms));
        }
    }
    let mut ids = Vec::new();
    for entry in entries {
        let EventKind::Asked { id, .. } = &entry.event else {
            continue;
        };
        let number = usize::from_str_radix(&id[..4], 16).unwrap_or(0);
        let name = format!("n{}", number.wrapping_sub(1));
        let is_within = |&(dispatcher, from_ms, to_ms): &(&String, f64, f64)| {
            *dispatcher == name
                && entry.at_ms > from_ms - STALL_MARGIN_MS
                && entry.at_ms < to_ms + STALL_MARGIN_MS
        };
        if stalls.iter().any(is_within) {
            ids.push(id.clone());
        }
    }
    ids
}

/// Digits of a query's id that name its dispatcher and the process at its place.
const PROCESS_DIGITS: usize = 6;

fn query_id(event: &EventKind) -> Option<&str> {
    match event {
        EventKind::Asked { id, .. }
        | EventKind::Answered { id, .. }
        | EventKind::Left { id }
        | EventKind::Lost { id, .. }
        | EventKind::Excused { id }
        | EventKind::Arrived { id, .. }
        | EventKind::Told { id, .. }
        | EventKind::Applied { id, .. }
        | EventKind::Ended { id, .. }
        | EventKind::GivenUp { id, .. } => Some(id),
        EventKind::Listed { .. }
        | EventKind::Started { .. }
        | EventKind::DispatcherFailed { .. }
        | EventKind::Stalled { .. }
        | EventKind::Fault { .. } => None,
    }
}

fn count(entries: &[Entry]) -> SoakCounts {
    let mut counts = SoakCounts::default();
    for entry in entries {
        match &entry.event {
            EventKind::Asked { .. } => counts.asked += 1,
            EventKind::Answered { status: 200, .. } => counts.completed += 1,
            EventKind::Answered {
                status: 429 | 503, ..
            } => counts.rejected += 1,
            EventKind::Answered { .. } => counts.failed += 1,
            EventKind::Left { .. } | EventKind::Excused { .. } => counts.left += 1,
            EventKind::Arrived { .. } => counts.attempts += 1,
            _ => {}
        }
    }
    counts
}

fn unix_ms() -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    (now.unwrap_or_default().as_secs_f64() * 1000.0).floor()
}

fn start_engine(id: &str, plan: &SoakPlan, context: &Arc<RunContext>) -> Engine {
    let spec = EngineSpec {
        cores: CORES,
        progress_interval_ms: if plan.settings.has_notes { 100.0 } else { 1e9 },
        ..EngineSpec::default()
    };
    Engine::start(id, spec, plan.seed, context.clone())
}

fn endpoint(id: &str, address: SocketAddr, started: f64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address,
        status: Status::Ready,
        started,
    }
}

/// The address of a dispatcher, on an address of its own in 127.0.0.0/8 and below the ports that the system hands out: no
/// other socket takes it while it restarts.
fn own_address(seed: u64, nth: usize, port: u16) -> SocketAddr {
    let run = (std::process::id() % 200) as u8 + 16;
    let address = Ipv4Addr::new(127, run, (seed % 250) as u8, nth as u8 + 1);
    SocketAddr::from((address, port))
}

fn services() -> Vec<Value> {
    let service = |soak: &super::clients::SoakClass| {
        let mut value = class(soak.name, soak.objective_ms, soak.deadline_ms, soak.effect);
        value["repeat-window-us"] = json!(DEDUP_WINDOW_MS * 1e3);
        value["dedup-scope"] = json!("all");
        value
    };
    CLASSES.iter().map(service).collect()
}

fn config(
    plan: &SoakPlan,
    nth: usize,
    engines: &[EngineSlot],
    names: &NamesLink,
    peer_listen: SocketAddr,
    peers: &PeerRelay,
) -> Config {
    let SoakSettings {
        has_notes,
        allows_cancels,
        allows_probes,
        ..
    } = plan.settings;
    let known: Vec<(String, SocketAddr)> = engines
        .iter()
        .map(|slot| (slot.engine.id.clone(), slot.link.address))
        .collect();
    let each: Vec<String> = peers.each.iter().map(SocketAddr::to_string).collect();
    let notes_us = if has_notes { 100_000 } else { 0 };
    let listen = own_address(plan.seed, nth, CLIENT_PORT);
    Config::new(listen, &known, &services(), &[1, 1, 1])
        .with("name", format!("n{nth}"))
        .with("seed", format!("{:x}", plan.seed << 8 | nth as u64))
        .with("resolver", names.address.to_string())
        .with("peer_listen", peer_listen.to_string())
        .with("peers", json!(each))
        .with("peers_all", peers.all.to_string())
        .with("settings.balancers", plan.dispatchers)
        .with("settings.me", nth)
        .with("settings.limits.peers", true)
        .with("settings.limits.probes", allows_probes)
        .with("settings.limits.cancelling", allows_cancels)
        .with("settings.family-info.tells-every-us", notes_us)
        .with(
            "settings.rules",
            json!({"cold-from": COLD_FROM, "warm-after-us": WARM_AFTER_MS * 1e3, "fall-multiple": MULTIPLE,
                "overload-for-us": SPAN_MS * 1e3, "drain-grace-us": DRAIN_GRACE_MS * 1e3,
                "ratio-span-us": RETRY_SPAN_MS * 1e3, "extra-free": RETRY_FREE, "repeat-ratio": RETRY_RATIO}),
        )
}

/// Error numbers of Linux that the soak injects.
mod libc_errno {
    pub const EINTR: i32 = 4;
    pub const ENFILE: i32 = 23;
    pub const EADDRINUSE: i32 = 98;
    pub const ECONNABORTED: i32 = 103;
    pub const ENOBUFS: i32 = 105;
}
