//! Engines, or middleboxes, that drop idle connections silently: a request on such a connection gets neither an answer nor
//! a reset.

use super::support::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::engine::{scripted, write_result};
use tansymux_testbed::program::Program;

/// A connection that is idle for longer is dropped.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(400);
/// How long clients wait for an answer (ms).
const WAIT_MS: f64 = 2000.0;
/// Look-ups of a test.
const LOOK_UPS: u64 = 30;

/// An engine that answers at once, but not on a connection that it has dropped.
fn forgetful_engine() -> SocketAddr {
    thread_local! {
        static LAST_REQUEST: std::cell::Cell<Option<Instant>> = const { std::cell::Cell::new(None) };
        static IS_FORGOTTEN: std::cell::Cell<bool> = const { std::cell::Cell::new(false) };
    }
    // Each connection has a thread of its own.
    let answers = |parts: &[String], to: &mut TcpStream| {
        let last = LAST_REQUEST.replace(Some(Instant::now()));
        if last.is_some_and(|last| last.elapsed() > FORGOTTEN_AFTER) {
            IS_FORGOTTEN.set(true);
        }
        if parts[0] == "fetch" && !IS_FORGOTTEN.get() {
            write_result(to, &parts[1]);
        }
    };
    scripted(answers).0
}

/// Starts the program without progress notes, health checks and cost estimates.
fn start_without_signals(engines: &[SocketAddr]) -> Program {
    start(&two_group_config(engines))
}

/// Sends look-ups one after the other with pauses in which connections are dropped. Returns the status of each, and how
/// long it took (ms).
fn look_up_with_pauses(program: &Program, ids: std::ops::Range<u64>) -> Vec<(Option<u16>, f64)> {
    ids.map(|id| {
        thread::sleep(FORGOTTEN_AFTER + Duration::from_millis(100));
        let from = Instant::now();
        let status = ask(program.listen, &query("look", id, WAIT_MS));
        (status, from.elapsed().as_secs_f64() * 1000.0)
    })
    .collect()
}

#[test]
fn connections_that_an_engine_forgot_are_learned_and_no_longer_lose_look_ups() {
    let program = start_without_signals(&[forgetful_engine(), forgetful_engine()]);
    let outcomes = look_up_with_pauses(&program, 1..1 + LOOK_UPS);
    let is_lost = |outcome: &&(Option<u16>, f64)| outcome.0 != Some(200);
    let lost = outcomes.iter().filter(is_lost).count();
    assert!(lost <= 1, "{lost} lost: {outcomes:?}");
    let late = &outcomes[outcomes.len() / 2..];
    assert_eq!(late.iter().filter(is_lost).count(), 0, "{outcomes:?}");
    let slow = late.iter().filter(|outcome| outcome.1 > 1000.0).count();
    assert_eq!(slow, 0, "{outcomes:?}");
}

#[test]
fn forgotten_connections_are_learned_where_attempts_cannot_be_cancelled() {
    let engines = [forgetful_engine(), forgetful_engine()];
    let config = two_group_config(&engines).with_setting(keys::CANCELLATION, false);
    let program = start(&config);
    let outcomes = look_up_with_pauses(&program, 1..1 + LOOK_UPS);
    let lost = outcomes.iter().filter(|outcome| outcome.0 != Some(200));
    // The first cannot be saved; one more may be the half-open trial after a while.
    assert!(lost.count() <= 2, "{outcomes:?}");
}

#[test]
fn forgotten_connections_after_a_quiet_time_cost_a_burst_one_look_up_at_most() {
    let engines: Vec<SocketAddr> = (0..6).map(|_| forgetful_engine()).collect();
    let config = two_group_config(&engines).with_setting(keys::CANCELLATION, false);
    let program = Arc::new(start(&config));
    let burst = |first_id: u64| {
        let threads: Vec<_> = (first_id..first_id + 12)
            .map(|id| {
                let program = program.clone();
                thread::spawn(move || ask(program.listen, &query("look", id, WAIT_MS)))
            })
            .collect();
        let statuses = threads.into_iter().map(|thread| thread.join().unwrap());
        statuses.collect::<Vec<_>>()
    };
    let first = burst(1);
    thread::sleep(FORGOTTEN_AFTER + Duration::from_millis(200));
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
    // Each query runs for longer than the usual silence; no connection is dropped.
    let (engine, requests) = engine_answering_after(Duration::from_millis(700));
    let program = start_without_signals(&[engine]);
    for id in 1..6 {
        assert_eq!(ask(program.listen, &query("look", id, 6000.0)), Some(200));
        thread::sleep(Duration::from_millis(120));
    }
    assert_eq!(fetches(&requests), 5);
}

fn fetches(requests: &std::sync::mpsc::Receiver<tansymux_testbed::engine::ReceivedFrame>) -> usize {
    let fetched = requests.try_iter().filter(|(parts, _)| parts[0] == "fetch");
    fetched.count()
}
