//! Steps of the machine's wall clock: the endpoint list gives engines' start times in Unix time, but slow start must
//! follow elapsed time.

use super::support::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tansymux::settings::keys;
use tansymux_testbed::engine::ReceivedFrame;
use tansymux_testbed::fault_shim::FaultShim;
use tansymux_testbed::name_service::{Endpoint, NameService};
use tansymux_testbed::program::{Config, Program};
use tansymux_testbed::record::{Record, Status};

/// Time from the start of an engine until it is warm (ms).
const WARM_AFTER_MS: u64 = 4000;
/// Span over which the slow-start limit applies (ms).
const SPAN_MS: u64 = 1000;
/// Maximum number of queries that an engine in slow start may receive while a test counts them, for at most 1.5 spans.
/// The limit within a span is 0.8 (the fraction of the budget that a dispatcher uses) * 3 * 0.05 * 0.85 (the capacity
/// per core) * 1000 ms / 20 ms = 5.1 queries.
const MAX_IN_SLOW_START: usize = 12;

/// Returns a configuration with slow start over 4 s: a new engine has one core, an initial capacity of 0.05, and a
/// limit of three times this capacity in a span of 1 s.
fn slow_start_config(engine: SocketAddr, names: &NameService) -> Config {
    two_group_config(&[engine])
        .with("resolver", names.address.to_string())
        .with_setting(keys::CORES_BY_KIND, json!([1]))
        .with_setting(keys::WARM_UP_INITIAL_CAPACITY, 0.05)
        .with_setting(keys::WARM_AFTER_US, WARM_AFTER_MS * 1000)
        .with_setting(keys::WARM_UP_MULTIPLE, 3)
        .with_setting(keys::WARM_UP_SPAN_US, SPAN_MS * 1000)
}

/// Returns the time of a wall clock that is off by `offset_s` (Unix ms).
fn unix_ms(offset_s: i64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_secs_f64() * 1000.0 + offset_s as f64 * 1000.0
}

fn list_engine(names: &NameService, id: &str, address: SocketAddr, started_ms: f64) {
    names.add(Endpoint {
        id: id.into(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address,
        status: Status::Ready,
        started_ms,
    });
}

/// Sends one query after the other for `duration`, with ids from `first_id`. Returns the number that the engine
/// received.
fn count_queries_to_engine(
    program: &Program,
    requests: &Receiver<ReceivedFrame>,
    first_id: u64,
    duration: Duration,
) -> usize {
    let started = Instant::now();
    let mut id = first_id;
    // Discards the requests that arrived before.
    requests.try_iter().count();
    while started.elapsed() < duration {
        let mut query = query("look", id, 2000.0);
        query.cost = Some(20.0);
        assert_eq!(query_status(program.listen, &query), Some(200));
        id += 1;
        thread::sleep(Duration::from_millis(8));
    }
    let fetches = requests.try_iter().filter(|(parts, _)| parts[0] == "fetch");
    fetches.count()
}

fn step_wall_clock(shim: &FaultShim, step_s: i64) {
    shim.table().set_wall_offset_ns(step_s * 1_000_000_000);
    // The program notices the step when it polls the name service, four times per second.
    thread::sleep(Duration::from_millis(600));
}

/// The program under the fault shim, a warm engine, and an engine that is not listed yet.
struct SlowStartRun {
    shim: FaultShim,
    names: NameService,
    program: Program,
    old_engine: SocketAddr,
    new_engine: SocketAddr,
    /// Requests that the new engine receives.
    requests: Receiver<ReceivedFrame>,
}

impl SlowStartRun {
    /// Starts the program with a wall clock that is off by `offset_s`, and waits until it has the endpoint list.
    fn start(offset_s: i64) -> Self {
        let shim = fault_shim();
        shim.table().set_wall_offset_ns(offset_s * 1_000_000_000);
        let (old_engine, _) = start_delayed_engine(Duration::ZERO);
        let (new_engine, requests) = start_delayed_engine(Duration::ZERO);
        let names = NameService::start(Vec::new(), Arc::new(Record::default()));
        list_engine(&names, "s-0", old_engine, 0.0);
        let program = start_under(&shim, &slow_start_config(old_engine, &names));
        program.wait_for_counter_line("lists 1\n");
        SlowStartRun {
            shim,
            names,
            program,
            old_engine,
            new_engine,
            requests,
        }
    }

    /// Lists the new engine with its start time (Unix ms), and waits until the program has the list.
    fn list_new_engine(&self, started_ms: f64) {
        list_engine(&self.names, "s-9", self.new_engine, started_ms);
        self.program.wait_for_counter_line("lists 2\n");
    }

    /// Sends queries for `duration`. Returns the number that the new engine received.
    fn count_queries_to_new_engine(&self, first_id: u64, duration: Duration) -> usize {
        count_queries_to_engine(&self.program, &self.requests, first_id, duration)
    }

    /// Waits until an engine that started at `started` is warm.
    fn wait_until_warm(started: Instant) {
        let warm_after = Duration::from_millis(WARM_AFTER_MS + SPAN_MS + 500);
        thread::sleep(warm_after.saturating_sub(started.elapsed()));
    }
}

/// Asserts that an engine that starts after a step of the wall clock is in slow start at first, and later is not.
fn assert_slow_start_after_step(step_s: i64) {
    let run = SlowStartRun::start(0);
    step_wall_clock(&run.shim, step_s);
    let started = Instant::now();
    run.list_new_engine(unix_ms(step_s));
    let early = run.count_queries_to_new_engine(1, Duration::from_millis(1500));
    assert!(
        early <= MAX_IN_SLOW_START,
        "step {step_s} s: {early} queries to an engine that is warming up"
    );
    SlowStartRun::wait_until_warm(started);
    let late = run.count_queries_to_new_engine(1000, Duration::from_millis(1000));
    assert!(
        late > MAX_IN_SLOW_START,
        "step {step_s} s: {late} queries to a warm engine"
    );
}

#[test]
fn engine_started_after_a_step_of_the_wall_clock_gets_its_slow_start() {
    let steps = [0, -40, -3600, 40, 3600];
    let threads = steps.map(|step_s| thread::spawn(move || assert_slow_start_after_step(step_s)));
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn engine_started_before_a_step_of_the_wall_clock_keeps_its_slow_start() {
    let threads = [-3600, 3600].map(|step_s| {
        thread::spawn(move || {
            let run = SlowStartRun::start(0);
            // The engine starts before the step and is listed after it.
            let started_ms = unix_ms(0);
            step_wall_clock(&run.shim, step_s);
            run.list_new_engine(started_ms);
            let early = run.count_queries_to_new_engine(1, Duration::from_millis(1200));
            assert!(early <= MAX_IN_SLOW_START, "step {step_s} s: {early}");
            // Neither a step during slow start nor a repeated list changes the slow start.
            step_wall_clock(&run.shim, -step_s);
            list_engine(&run.names, "s-0", run.old_engine, 0.0);
            run.program.wait_for_counter_line("lists 3\n");
            thread::sleep(Duration::from_millis(WARM_AFTER_MS));
            let late = run.count_queries_to_new_engine(1000, Duration::from_millis(1000));
            assert!(late > MAX_IN_SLOW_START, "step {step_s} s: {late}");
        })
    });
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn engine_replaced_at_its_address_after_a_step_back_gets_its_slow_start() {
    let shim = fault_shim();
    let (address, requests) = start_delayed_engine(Duration::ZERO);
    let names = NameService::start(Vec::new(), Arc::new(Record::default()));
    let (other, _) = start_delayed_engine(Duration::ZERO);
    list_engine(&names, "s-0", address, unix_ms(0) - 60_000.0);
    list_engine(&names, "s-1", other, 0.0);
    let program = start_under(&shim, &slow_start_config(address, &names));
    program.wait_for_counter_line("lists 1\n");
    step_wall_clock(&shim, -3600);
    // The newer engine has the earlier start in Unix time, and the address of an engine that is still listed.
    list_engine(&names, "s-9", address, unix_ms(-3600));
    program.wait_for_counter_line("lists 2\n");
    let received = count_queries_to_engine(&program, &requests, 1, Duration::from_millis(500));
    assert!(received <= MAX_IN_SLOW_START, "{received}");
}

#[test]
fn new_engine_gets_its_slow_start_from_a_dispatcher_with_a_wrong_clock() {
    // The dispatcher's wall clock is an hour off from the start; those of the engines and of the name service are
    // correct.
    let threads = [-3600, 3600].map(|offset_s| {
        thread::spawn(move || {
            let run = SlowStartRun::start(offset_s);
            thread::sleep(Duration::from_millis(600));
            let started = Instant::now();
            run.list_new_engine(unix_ms(0));
            let early = run.count_queries_to_new_engine(1, Duration::from_millis(1500));
            assert!(early <= MAX_IN_SLOW_START, "off by {offset_s} s: {early}");
            SlowStartRun::wait_until_warm(started);
            let late = run.count_queries_to_new_engine(1000, Duration::from_millis(1000));
            assert!(late > MAX_IN_SLOW_START, "off by {offset_s} s: {late}");
        })
    });
    for thread in threads {
        thread.join().unwrap();
    }
}
