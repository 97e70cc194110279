//! Engines or middleboxes that silently drop idle connections: a request on such a connection gets neither an answer
//! nor a reset.

use super::support::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::engine::{start_scripted_engine, write_result};
use tansymux_testbed::program::Program;

/// Idle time after which an engine silently drops a connection.
const IDLE_LIMIT: Duration = Duration::from_millis(400);
/// Maximum time that a client waits for its answer (ms).
const WAIT_MS: f64 = 2000.0;
/// Number of look-ups per test.
const LOOK_UPS: u64 = 30;

/// Starts an engine that completes each query at once, but never answers on a connection that it has dropped.
fn engine_dropping_idle_connections() -> SocketAddr {
    thread_local! {
        static LAST_REQUEST: std::cell::Cell<Option<Instant>> = const { std::cell::Cell::new(None) };
        static IS_DROPPED: std::cell::Cell<bool> = const { std::cell::Cell::new(false) };
    }
    // The scripted engine runs one thread per connection, so each connection has its own thread-local state.
    let answers = |parts: &[String], to: &mut TcpStream| {
        let last = LAST_REQUEST.replace(Some(Instant::now()));
        if last.is_some_and(|last| last.elapsed() > IDLE_LIMIT) {
            IS_DROPPED.set(true);
        }
        if parts[0] == "fetch" && !IS_DROPPED.get() {
            write_result(to, &parts[1]);
        }
    };
    start_scripted_engine(answers).0
}

/// Starts the program without progress notes and health checks, which could reveal a dropped connection, and without
/// cost estimates.
fn start_without_progress_and_health_checks(engines: &[SocketAddr]) -> Program {
    start(&two_group_config(engines))
}

/// Sends look-ups one after the other, with pauses during which the engines drop their connections. Returns the
/// status and latency (ms) of each.
fn look_up_with_pauses(program: &Program, ids: std::ops::Range<u64>) -> Vec<(Option<u16>, f64)> {
    ids.map(|id| {
        thread::sleep(IDLE_LIMIT + Duration::from_millis(100));
        let started = Instant::now();
        let status = query_status(program.listen, &query("look", id, WAIT_MS));
        (status, started.elapsed().as_secs_f64() * 1000.0)
    })
    .collect()
}

#[test]
fn silently_dropped_connections_are_detected_after_at_most_one_lost_look_up() {
    let program = start_without_progress_and_health_checks(&[
        engine_dropping_idle_connections(),
        engine_dropping_idle_connections(),
    ]);
    let outcomes = look_up_with_pauses(&program, 1..1 + LOOK_UPS);
    let is_lost = |outcome: &&(Option<u16>, f64)| outcome.0 != Some(200);
    let lost = outcomes.iter().filter(is_lost).count();
    assert!(lost <= 1, "{lost} lost: {outcomes:?}");
    let later = &outcomes[outcomes.len() / 2..];
    assert_eq!(later.iter().filter(is_lost).count(), 0, "{outcomes:?}");
    let slow = later.iter().filter(|outcome| outcome.1 > 1000.0).count();
    assert_eq!(slow, 0, "{outcomes:?}");
}

#[test]
fn silently_dropped_connections_are_detected_without_cancellation() {
    let engines = [
        engine_dropping_idle_connections(),
        engine_dropping_idle_connections(),
    ];
    let config = two_group_config(&engines).with_setting(keys::CANCELLATION, false);
    let program = start(&config);
    let outcomes = look_up_with_pauses(&program, 1..1 + LOOK_UPS);
    let lost = outcomes.iter().filter(|outcome| outcome.0 != Some(200));
    // The first look-up on a dropped connection is lost. The later half-open trial may lose one more.
    assert!(lost.count() <= 2, "{outcomes:?}");
}

#[test]
fn burst_after_silently_dropped_connections_loses_at_most_one_look_up() {
    let engines: Vec<SocketAddr> = (0..6).map(|_| engine_dropping_idle_connections()).collect();
    let config = two_group_config(&engines).with_setting(keys::CANCELLATION, false);
    let program = Arc::new(start(&config));
    let burst = |first_id: u64| {
        let threads: Vec<_> = (first_id..first_id + 12)
            .map(|id| {
                let program = program.clone();
                thread::spawn(move || query_status(program.listen, &query("look", id, WAIT_MS)))
            })
            .collect();
        let statuses = threads.into_iter().map(|thread| thread.join().unwrap());
        statuses.collect::<Vec<_>>()
    };
    let first = burst(1);
    thread::sleep(IDLE_LIMIT + Duration::from_millis(200));
    let second = burst(100);
    let unserved = |statuses: &[Option<u16>]| {
        let unserved = statuses.iter().filter(|status| **status != Some(200));
        unserved.count()
    };
    assert_eq!(unserved(&first), 0, "{first:?}");
    assert!(unserved(&second) <= 1, "{second:?}");
}

#[test]
fn long_queries_on_reused_connections_are_not_taken_for_lost() {
    // Each query takes 700 ms, during which its connection is silent; no connection is dropped.
    let (engine, requests) = start_delayed_engine(Duration::from_millis(700));
    let program = start_without_progress_and_health_checks(&[engine]);
    for id in 1..6 {
        assert_eq!(
            query_status(program.listen, &query("look", id, 6000.0)),
            Some(200)
        );
        thread::sleep(Duration::from_millis(120));
    }
    assert_eq!(fetch_count(&requests), 5);
}

fn fetch_count(
    requests: &std::sync::mpsc::Receiver<tansymux_testbed::engine::ReceivedFrame>,
) -> usize {
    let fetched = requests.try_iter().filter(|(parts, _)| parts[0] == "fetch");
    fetched.count()
}
