//! Steps of the machine's wall clock: the endpoint list has engines' starts in Unix time, and slow start counts real time.

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

/// How long after its start an engine is warm (ms).
const WARM_AFTER_MS: u64 = 4000;
/// The span of the slow-start limit (ms).
const SPAN_MS: u64 = 1000;
/// The most queries of a test that a warming engine may be sent within a span: 0.8 * 3 * 0.05 * 0.85 * 1000 ms / 20 ms is 5.1.
const MAX_IN_SLOW_START: usize = 12;

/// Slow start over 4 s: an engine of one core sustains three times 0.05 of it in a span of 1 s.
fn slow_start_config(engine: SocketAddr, names: &NameService) -> Config {
    two_group_config(&[engine])
        .with("resolver", names.address.to_string())
        .with_setting(keys::CORES_BY_KIND, json!([1]))
        .with_setting(keys::WARM_UP_INITIAL_CAPACITY, 0.05)
        .with_setting(keys::WARM_AFTER_US, WARM_AFTER_MS * 1000)
        .with_setting(keys::WARM_UP_MULTIPLE, 3)
        .with_setting(keys::WARM_UP_SPAN_US, SPAN_MS * 1000)
}

/// The wall clock of the program's machine (Unix ms).
fn wall_ms(step_s: i64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_secs_f64() * 1000.0 + step_s as f64 * 1000.0
}

fn list_engine(names: &NameService, id: &str, address: SocketAddr, started: f64) {
    names.add(Endpoint {
        id: id.into(),
        zone: "h".into(),
        kind: "std".into(),
        cell: 0,
        address,
        status: Status::Ready,
        started,
    });
}

/// Sends one query after the other for a time, with ids from `first_id`. Returns how many of them the engine received.
fn share_of_engine(
    program: &Program,
    requests: &Receiver<ReceivedFrame>,
    first_id: u64,
    time: Duration,
) -> usize {
    let from = Instant::now();
    let mut id = first_id;
    requests.try_iter().count();
    while from.elapsed() < time {
        let mut query = query("look", id, 2000.0);
        query.cost = Some(20.0);
        assert_eq!(ask(program.listen, &query), Some(200));
        id += 1;
        thread::sleep(Duration::from_millis(8));
    }
    let fetches = requests.try_iter().filter(|(parts, _)| parts[0] == "fetch");
    fetches.count()
}

fn step_wall_clock(shim: &FaultShim, step_s: i64) {
    shim.table().set_wall_offset_ns(step_s * 1_000_000_000);
    // Long enough to be noticed: the name service is polled four times a second.
    thread::sleep(Duration::from_millis(600));
}

/// The program under the shim with a warm engine, and an engine that is not listed yet.
struct SlowStartRun {
    shim: FaultShim,
    names: NameService,
    program: Program,
    old_engine: SocketAddr,
    new_engine: SocketAddr,
    /// What the new engine receives.
    requests: Receiver<ReceivedFrame>,
}

impl SlowStartRun {
    /// Starts the program on a machine whose wall clock is wrong by `offset_s`, and waits until it has the endpoint list.
    fn start(offset_s: i64) -> Self {
        let shim = fault_shim();
        shim.table().set_wall_offset_ns(offset_s * 1_000_000_000);
        let (old_engine, _) = engine_answering_after(Duration::ZERO);
        let (new_engine, requests) = engine_answering_after(Duration::ZERO);
        let names = NameService::start(Vec::new(), Arc::new(Record::default()));
        list_engine(&names, "s-0", old_engine, 0.0);
        let program = start_under(&shim, &slow_start_config(old_engine, &names));
        program.wait_for_count("lists 1\n");
        SlowStartRun {
            shim,
            names,
            program,
            old_engine,
            new_engine,
            requests,
        }
    }

    /// Lists the new engine with its start (Unix ms), and waits until the program has the list.
    fn list_new_engine(&self, started_ms: f64) {
        list_engine(&self.names, "s-9", self.new_engine, started_ms);
        self.program.wait_for_count("lists 2\n");
    }

    /// Sends queries for a time. Returns how many of them the new engine received.
    fn share_of_new_engine(&self, first_id: u64, time: Duration) -> usize {
        share_of_engine(&self.program, &self.requests, first_id, time)
    }

    /// Waits until an engine that started at `started` is warm.
    fn wait_until_warm(started: Instant) {
        let warm_after = Duration::from_millis(WARM_AFTER_MS + SPAN_MS + 500);
        thread::sleep(warm_after.saturating_sub(started.elapsed()));
    }
}

/// Asserts that an engine that starts after the step gets its slow start, and no more than that.
fn assert_slow_start_after_step(step_s: i64) {
    let run = SlowStartRun::start(0);
    step_wall_clock(&run.shim, step_s);
    let started = Instant::now();
    run.list_new_engine(wall_ms(step_s));
    let early = run.share_of_new_engine(1, Duration::from_millis(1500));
    assert!(
        early <= MAX_IN_SLOW_START,
        "step {step_s} s: {early} queries to an engine that warms up"
    );
    SlowStartRun::wait_until_warm(started);
    let late = run.share_of_new_engine(1000, Duration::from_millis(1000));
    assert!(
        late > MAX_IN_SLOW_START,
        "step {step_s} s: {late} queries to an engine that is warm"
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
            // The engine starts, the clock is stepped, and only then the engine is listed.
            let started_ms = wall_ms(0);
            step_wall_clock(&run.shim, step_s);
            run.list_new_engine(started_ms);
            let early = run.share_of_new_engine(1, Duration::from_millis(1200));
            assert!(early <= MAX_IN_SLOW_START, "step {step_s} s: {early}");
            // A step while the engine warms up changes nothing either, nor does a repetition of the list.
            step_wall_clock(&run.shim, -step_s);
            list_engine(&run.names, "s-0", run.old_engine, 0.0);
            run.program.wait_for_count("lists 3\n");
            thread::sleep(Duration::from_millis(WARM_AFTER_MS));
            let late = run.share_of_new_engine(1000, Duration::from_millis(1000));
            assert!(late > MAX_IN_SLOW_START, "step {step_s} s: {late}");
        })
    });
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn engine_replaced_under_its_address_after_a_step_back_takes_the_place_of_the_old_one() {
    let shim = fault_shim();
    let (address, requests) = engine_answering_after(Duration::ZERO);
    let names = NameService::start(Vec::new(), Arc::new(Record::default()));
    let (other, _) = engine_answering_after(Duration::ZERO);
    list_engine(&names, "s-0", address, wall_ms(0) - 60_000.0);
    list_engine(&names, "s-1", other, 0.0);
    let program = start_under(&shim, &slow_start_config(address, &names));
    program.wait_for_count("lists 1\n");
    step_wall_clock(&shim, -3600);
    // The later engine has the smaller Unix time, and the address of one that is still listed.
    list_engine(&names, "s-9", address, wall_ms(-3600));
    program.wait_for_count("lists 2\n");
    let share = share_of_engine(&program, &requests, 1, Duration::from_millis(500));
    assert!(share <= MAX_IN_SLOW_START, "{share}");
}

#[test]
fn engine_that_starts_gets_its_slow_start_from_a_dispatcher_whose_clock_is_wrong() {
    // The dispatcher's machine is an hour off from the beginning; the machines of engines and name service are right.
    let threads = [-3600, 3600].map(|off_s| {
        thread::spawn(move || {
            let run = SlowStartRun::start(off_s);
            thread::sleep(Duration::from_millis(600));
            let started = Instant::now();
            run.list_new_engine(wall_ms(0));
            let early = run.share_of_new_engine(1, Duration::from_millis(1500));
            assert!(early <= MAX_IN_SLOW_START, "off by {off_s} s: {early}");
            SlowStartRun::wait_until_warm(started);
            let late = run.share_of_new_engine(1000, Duration::from_millis(1000));
            assert!(late > MAX_IN_SLOW_START, "off by {off_s} s: {late}");
        })
    });
    for thread in threads {
        thread.join().unwrap();
    }
}
