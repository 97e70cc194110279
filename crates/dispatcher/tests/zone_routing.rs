//! Routing by the program between two zones, one of which stops answering and recovers.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use serde_json::Value;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::{send_query, ClientQuery, ClientResponse};
use tansymux_testbed::engine::{Engine, EngineSpec, Fault, QueryWork, ResultShape, RunContext};
use tansymux_testbed::invariants::{find_violations, ClassRules, Effect, Rules};
use tansymux_testbed::program::{free_address, get, resource_group, Config, Program, TempFile};
use tansymux_testbed::record::EventKind;

/// Text of the operators' file: queries from the east zone may be sent to the west zone.
const ZONES: &str = r#"halls {
  route { from: "east" tier { hall: "east" } tier { hall: "west" } }
  spill { most: 0.3 }
  cut { quiet_s: 0.6 }
  climb { first: 0.1 over_s: 4 }
}"#;

/// The program and four engines in two zones.
struct TestSetup {
    context: Arc<RunContext>,
    engines: Vec<Engine>,
    program: Program,
    next_query_id: AtomicU64,
    _operator: TempFile,
}

/// Starts four engines and the program with `zones` as its operators' file.
fn start(zones: &str) -> TestSetup {
    let context = Arc::new(RunContext::default());
    let engines: Vec<Engine> = (0..4)
        .map(|index| {
            let id = format!("s-{index}");
            Engine::start(&id, EngineSpec::default(), index, context.clone())
        })
        .collect();
    let known: Vec<_> = engines
        .iter()
        .map(|engine| (engine.id.clone(), engine.address))
        .collect();
    let classes = [
        resource_group("look", 300.0, 2000.0, keys::effect::READ_ONLY),
        resource_group("report", 1500.0, 3000.0, keys::effect::READ_ONLY),
        resource_group("load", 1500.0, 3000.0, keys::effect::NON_IDEMPOTENT),
        resource_group("bound", 300.0, 2000.0, keys::effect::READ_ONLY),
    ];
    let mut config = Config::new(free_address(), &known, &classes, &[1, 4, 2, 1])
        .with_setting(keys::LOCAL_ZONE, "east")
        .with_setting(keys::HEALTH_CHECKS, true)
        .with_setting(keys::PROGRESS_INTERVAL_US, 100_000)
        .with_setting(
            keys::IS_LOAD_BY_GROUP,
            serde_json::json!([false, false, true, false]),
        )
        .with_group_setting(3, keys::group::ZONES, serde_json::json!(["east"]));
    for engine in 0..4 {
        let zone = if engine < 2 { "east" } else { "west" };
        config = config.with(&format!("known.cmds.0.nodes.instances.{engine}.zone"), zone);
    }
    let operator = TempFile::new("operator.textproto", zones);
    let path = operator.0.display().to_string();
    let program = Program::start(
        Path::new(env!("CARGO_BIN_EXE_tansymux")),
        &config,
        &["--operator", &path],
    );
    TestSetup {
        context,
        engines,
        program,
        next_query_id: AtomicU64::new(1),
        _operator: operator,
    }
}

impl TestSetup {
    /// Sends a query of a resource group with `work_ms` of work on one core. Returns its answer, if there is one.
    fn send_query(&self, group: &str, work_ms: f64) -> Option<ClientResponse> {
        let id = self.next_query_id.fetch_add(1, Ordering::Relaxed);
        let wait_ms = if group == "look" || group == "bound" {
            2000.0
        } else {
            3000.0
        };
        let mut query =
            ClientQuery::new(id, &format!("/invoke/{group}"), group, "select 1", wait_ms);
        query.cost = Some(work_ms);
        let threads = if group == "report" { 4.0 } else { 1.0 };
        let query_work = QueryWork {
            result: ResultShape::OneRow,
            work_ms,
            threads,
            changes_tables: group == "load",
            tables: 0,
        };
        self.context
            .query_work
            .lock()
            .unwrap()
            .insert(query.id(), query_work);
        send_query(self.program.listen, &query, &self.context.record)
    }

    /// Returns the zone states as the program reports them.
    fn zones(&self) -> Value {
        serde_json::from_str(&get(self.program.listen, "/_halls").unwrap().body).unwrap()
    }

    fn state(&self, zone: &str) -> String {
        let zones = self.zones();
        let entry = zones["halls"]
            .as_array()
            .unwrap()
            .iter()
            .find(|entry| entry["hall"] == zone);
        entry
            .map_or("", |entry| entry["state"].as_str().unwrap())
            .to_owned()
    }

    /// Injects a fault into all engines of the east zone.
    fn inject_into_east(&self, fault: Fault) {
        self.engines[..2]
            .iter()
            .for_each(|engine| engine.inject_fault(fault));
    }

    /// Sends look-ups until a zone is in this state. Returns the elapsed time.
    fn send_until_state(&self, zone: &str, state: &str) -> Duration {
        let started = Instant::now();
        while self.state(zone) != state {
            thread::scope(|scope| {
                (0..6).for_each(|_| drop(scope.spawn(|| self.send_query("look", 5.0))))
            });
            assert!(
                started.elapsed() < Duration::from_secs(15),
                "{state}: {}",
                self.zones()
            );
        }
        started.elapsed()
    }

    /// Returns the number of attempts in the east zone and in the west zone, counted from entry `since` of the record.
    fn attempts_by_zone(&self, since: usize) -> (usize, usize) {
        let entries = self.context.record.entries();
        let count_attempts = |east: bool| {
            let is_attempt = |event: &EventKind| matches!(event, EventKind::Arrived { engine, .. } if (engine == "s-0" || engine == "s-1") == east);
            entries[since..]
                .iter()
                .filter(|entry| is_attempt(&entry.event))
                .count()
        };
        (count_attempts(true), count_attempts(false))
    }

    fn record_length(&self) -> usize {
        self.context.record.entries().len()
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn lost_zone_spills_within_its_limit_recovers_gradually_and_all_rules_hold() {
    let mut setup = start(ZONES);
    (0..20).for_each(|_| assert_eq!(setup.send_query("look", 5.0).unwrap().status, 200));
    assert_eq!(
        setup.attempts_by_zone(0).1,
        0,
        "the local zone is preferred"
    );
    setup.inject_into_east(Fault::Silent);
    setup.send_until_state("east", "cut");
    // Look-ups run in the other zone. Reports run there up to the spill limit; the rest are rejected at once.
    let record_length = setup.record_length();
    (0..10).for_each(|_| assert_eq!(setup.send_query("look", 5.0).unwrap().status, 200));
    assert!(setup.attempts_by_zone(record_length).1 >= 10);
    let responses: Vec<Option<ClientResponse>> = thread::scope(|scope| {
        let clients: Vec<_> = (0..8)
            .map(|_| {
                thread::sleep(Duration::from_millis(10));
                scope.spawn(|| setup.send_query("report", 1600.0))
            })
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect()
    });
    let served = responses
        .iter()
        .flatten()
        .filter(|response| response.status == 200)
        .count();
    let rejected: Vec<&ClientResponse> = responses
        .iter()
        .flatten()
        .filter(|response| response.status == 429)
        .collect();
    // 0.3 of the west zone's 16 cores is 4.8 threads: one report of four threads at a time.
    assert_eq!(
        (served, rejected.len()),
        (1, 7),
        "{responses:?} {}",
        setup.zones()
    );
    assert!(
        rejected
            .iter()
            .all(|response| response.latency_ms < 200.0 && response.retry_after_ms.is_some()),
        "{rejected:?}"
    );
    // A group that is confined to the lost zone is never sent elsewhere.
    let record_length = setup.record_length();
    let confined = setup.send_query("bound", 5.0).unwrap();
    assert!(confined.status == 429, "{confined:?}");
    assert_eq!(setup.attempts_by_zone(record_length).1, 0);
    // The zone recovers: it gets a fraction of the queries during the recovery ramp, and is the preferred zone after
    // it.
    setup.inject_into_east(Fault::None);
    setup.send_until_state("east", "climbing");
    let recovery = setup.send_until_state("east", "well");
    assert!(recovery > Duration::from_secs(3), "{recovery:?}");
    let record_length = setup.record_length();
    (0..20).for_each(|_| assert_eq!(setup.send_query("look", 5.0).unwrap().status, 200));
    assert_eq!(setup.attempts_by_zone(record_length), (20, 0));
    setup.program.terminate();
    let log = setup.program.wait_for_exit();
    for expected in [
        "state=cut",
        "state=climbing",
        "state=well",
        "unanswered 0\n",
    ] {
        assert!(log.contains(expected), "{expected} in {log}");
    }
    let effect = |group: &str| {
        if group == "load" {
            Effect::NonIdempotent
        } else {
            Effect::ReadOnly
        }
    };
    let classes = ["look", "report", "load", "bound"]
        .map(|group| (group.to_owned(), ClassRules::for_effect(effect(group))));
    let rules = Rules::for_classes(classes);
    let violations = find_violations(&setup.context.record.entries(), &rules);
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn mutating_queries_in_flight_when_their_zone_is_lost_are_not_sent_to_another_zone() {
    let setup = start(ZONES);
    let responses: Vec<Option<ClientResponse>> = thread::scope(|scope| {
        let clients: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| setup.send_query("load", 400.0)))
            .collect();
        thread::sleep(Duration::from_millis(60));
        setup.inject_into_east(Fault::Silent);
        (0..4).for_each(|_| drop(scope.spawn(|| setup.send_query("look", 5.0))));
        clients
            .into_iter()
            .map(|client| client.join().unwrap())
            .collect()
    });
    // Engines finish the attempts that they began. Each query has an answer and ran at most once.
    assert!(responses.iter().all(Option::is_some));
    let entries = setup.context.record.entries();
    let loads: Vec<&str> = entries
        .iter()
        .filter_map(|entry| match &entry.event {
            EventKind::Asked { id, class, .. } if class == "load" => Some(id.as_str()),
            _ => None,
        })
        .collect();
    for id in loads {
        let is_attempt = |event: &EventKind| matches!(event, EventKind::Arrived { id: arrived, .. } if arrived == id);
        assert!(
            entries
                .iter()
                .filter(|entry| is_attempt(&entry.event))
                .count()
                <= 1,
            "{id}"
        );
    }
}

#[test]
fn isolated_dispatcher_declares_no_zone_unreachable() {
    let setup = start(ZONES);
    (0..10).for_each(|_| assert_eq!(setup.send_query("look", 5.0).unwrap().status, 200));
    setup
        .engines
        .iter()
        .for_each(|engine| engine.inject_fault(Fault::Silent));
    let started = Instant::now();
    while setup.zones()["alone"] != true {
        thread::scope(|scope| {
            (0..8).for_each(|_| drop(scope.spawn(|| setup.send_query("look", 5.0))))
        });
        assert!(
            started.elapsed() < Duration::from_secs(15),
            "{}",
            setup.zones()
        );
    }
    assert_eq!(
        (setup.state("east"), setup.state("west")),
        ("well".into(), "well".into())
    );
    let report = setup.send_query("report", 100.0).unwrap();
    assert!(
        report.status == 429 && report.latency_ms < 500.0,
        "{report:?}"
    );
}
