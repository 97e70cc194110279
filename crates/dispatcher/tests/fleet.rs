//! Fleets of several dispatcher processes under faults, with a relay on each link between them and to their engines,
//! and the commands of `tansymux fleet`.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::{send_query, ClientQuery};
use tansymux_testbed::engine::{start_scripted_engine, write_result};
use tansymux_testbed::fleet::processes::{run, ProcessOptions};
use tansymux_testbed::fleet::scenario::Scenario;
use tansymux_testbed::program::{
    free_address, free_udp_address, resource_group, Config, Program, TempFile, TIMEOUT,
};
use tansymux_testbed::record::Record;

/// The program under test.
const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
/// Number of scenarios that are running. Each has several processes; too many scenarios at once would load the
/// machine so much that a fleet misses its deadlines.
static RUNNING_SCENARIOS: Mutex<usize> = Mutex::new(0);
/// Maximum number of scenarios that run at a time.
const MAX_RUNNING_SCENARIOS: usize = 4;
/// Id of the next query, shared by all tests.
static NEXT_QUERY_ID: AtomicU64 = AtomicU64::new(1);

/// A permit to run one scenario, released on drop.
struct ScenarioPermit;

impl ScenarioPermit {
    /// Waits until fewer than [`MAX_RUNNING_SCENARIOS`] scenarios run.
    fn acquire() -> Self {
        loop {
            if let Ok(mut running) = RUNNING_SCENARIOS.lock() {
                if *running < MAX_RUNNING_SCENARIOS {
                    *running += 1;
                    return ScenarioPermit;
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for ScenarioPermit {
    fn drop(&mut self) {
        if let Ok(mut running) = RUNNING_SCENARIOS.lock() {
            *running -= 1;
        }
    }
}

/// Runs a scenario and asserts that no more members or engines are out at a time than the limit allows, no query is
/// lost, and the release completes in time.
fn assert_scenario_passes(name: &str) {
    let _permit = ScenarioPermit::acquire();
    let scenario = Scenario::named(name, 1)
        .expect("a scenario by this name")
        .on_processes();
    let result = run(Path::new(EXE), &scenario, &ProcessOptions::default());
    assert!(
        result.violations.is_empty(),
        "{}\n  rerun: tansymux-testbed fleet --name {name} --first 1",
        result.line()
    );
    println!("{}", result.line());
}

#[test]
fn both_sides_of_a_partition_together_drain_no_more_than_the_limit() {
    assert_scenario_passes("two-halves");
}

#[test]
fn leader_with_a_one_way_link_steps_down() {
    assert_scenario_passes("leader-one-way");
}

#[test]
fn leader_paused_beyond_its_lease_grants_nothing_when_it_resumes() {
    assert_scenario_passes("leader-stops");
}

#[test]
fn voter_that_lost_its_state_stays_silent_and_then_votes_again() {
    assert_scenario_passes("voter-forgets");
}

#[test]
fn nothing_is_taken_out_while_all_voters_of_a_zone_are_lost() {
    assert_scenario_passes("hall-of-voters-lost");
}

#[test]
fn lease_holder_that_crashes_counts_as_out_until_it_is_back() {
    assert_scenario_passes("holder-crashes");
}

#[test]
fn release_completes_after_dispatchers_are_killed_in_their_wave() {
    assert_scenario_passes("killed-in-its-wave");
}

#[test]
fn release_halts_when_seven_in_ten_are_killed_and_completes_after_that() {
    assert_scenario_passes("seven-in-ten");
}

#[test]
fn halt_that_races_restart_leases_blocks_them_until_resume() {
    assert_scenario_passes("halt-races");
}

// ---- The command line, and drained engines ----

/// Number of queries received, by the index of the engine.
type QueryCounts = Arc<Mutex<HashMap<usize, u64>>>;

/// Starts an engine that completes each query at once and counts it.
fn counting_engine(index: usize, counts: &QueryCounts) -> SocketAddr {
    let counts = counts.clone();
    let answers = move |parts: &[String], to: &mut std::net::TcpStream| {
        if parts[0] == "fetch" {
            *counts.lock().unwrap().entry(index).or_default() += 1;
            write_result(to, &parts[1]);
        }
    };
    start_scripted_engine(answers).0
}

/// Two dispatchers with their operators' files, and the number of queries that each of their engines received.
struct SmallFleet {
    programs: Vec<Program>,
    operator_files: Vec<TempFile>,
    counts: QueryCounts,
    operator_texts: Vec<String>,
}

/// Starts two dispatchers, the first of them the only voter, with three engines. `extra` is added to the `fleet`
/// block of each operators' file.
fn start_small_fleet(extra: &str) -> SmallFleet {
    let counts = QueryCounts::default();
    let engines: Vec<_> = (0..3)
        .map(|index| (format!("s-{index}"), counting_engine(index, &counts)))
        .collect();
    let addresses: Vec<SocketAddr> = (0..2).map(|_| free_udp_address()).collect();
    let operator_texts: Vec<String> = (0..2)
        .map(|member| {
            format!(
                "fleet {{ name: \"n{member}\" listen: \"{}\" seed: \"{}\" voter: \"n0\" key: \"{}\" fresh: true
                   version: \"v1\" timing {{ period_s: 0.2 timeout_s: 0.06 lead_s: 1 settle_s: 1 late_s: 0.2 }} {extra} }}",
                addresses[member],
                addresses[0],
                "ab".repeat(16)
            )
        })
        .collect();
    let operator_files: Vec<TempFile> = operator_texts
        .iter()
        .map(|text| TempFile::new("fleet.textproto", text))
        .collect();
    let classes = [resource_group(
        "look",
        300.0,
        2000.0,
        keys::effect::READ_ONLY,
    )];
    let programs = operator_files
        .iter()
        .map(|file| {
            let config = Config::new(free_address(), &engines, &classes, &[1]);
            Program::start(
                Path::new(EXE),
                &config,
                &["--operator", &file.0.display().to_string()],
            )
        })
        .collect();
    SmallFleet {
        programs,
        operator_files,
        counts,
        operator_texts,
    }
}

impl SmallFleet {
    /// Runs a `tansymux fleet` command, and returns its exit code and output.
    fn run_command(&self, member: usize, arguments: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(EXE)
            .arg("fleet")
            .args(arguments)
            .arg("--operator")
            .arg(&self.operator_files[member].0)
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Repeats a command until it exits with `code`, and returns its output.
    fn run_until_exit_code(&self, member: usize, arguments: &[&str], code: i32) -> String {
        let started = Instant::now();
        loop {
            let (actual, text) = self.run_command(member, arguments);
            if actual == Some(code) {
                return text;
            }
            assert!(
                started.elapsed() < 2 * TIMEOUT,
                "{arguments:?} exited with {actual:?}, not {code}: {text}"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Sends queries to one dispatcher. Returns the number that each engine received.
    fn send_queries(&self, member: usize, count: u64) -> [u64; 3] {
        self.counts.lock().unwrap().clear();
        let record = Record::default();
        for _ in 0..count {
            let id = NEXT_QUERY_ID.fetch_add(1, Ordering::Relaxed);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", 2000.0);
            query.cost = Some(5.0);
            assert_eq!(
                send_query(self.programs[member].listen, &query, &record)
                    .map(|response| response.status),
                Some(200)
            );
        }
        let counts = self.counts.lock().unwrap();
        [0, 1, 2].map(|engine| counts.get(&engine).copied().unwrap_or(0))
    }

    fn wait_for_counter(&self, member: usize, line: &str) {
        self.programs[member].wait_for_counter_line(line);
    }
}

#[test]
fn engine_drained_by_the_fleet_gets_no_new_queries_from_any_dispatcher_until_undrained() {
    let fleet = start_small_fleet("engines { most: 1 carry: 1 }");
    let status = fleet.run_until_exit_code(1, &["status"], 0);
    assert!(
        status.contains("engines 3 out 0") && status.contains("halted no"),
        "{status}"
    );
    assert!(fleet.send_queries(0, 30)[1] > 0);
    // A drain by a command to one dispatcher applies to both.
    fleet.run_until_exit_code(1, &["drain", "s-1"], 0);
    for member in 0..2 {
        fleet.wait_for_counter(member, "fleet_engines_out 1\n");
        // The drain takes effect at the dispatcher's next fleet tick.
        std::thread::sleep(Duration::from_millis(400));
        let received = fleet.send_queries(member, 30);
        assert!(
            received[1] == 0 && received[0] > 0 && received[2] > 0,
            "{member}: {received:?}"
        );
    }
    let (code, text) = fleet.run_command(0, &["drain", "s-2"]);
    assert!(
        code == Some(1) && text.contains("1 are out of at most 1"),
        "{code:?} {text}"
    );
    fleet.run_until_exit_code(0, &["undrain", "s-1"], 0);
    for member in 0..2 {
        fleet.wait_for_counter(member, "fleet_engines_out 0\n");
        std::thread::sleep(Duration::from_millis(400));
        assert!(fleet.send_queries(member, 60)[1] > 0, "{member}");
    }
}

#[test]
fn exit_code_of_the_turn_command_shows_whether_the_restart_lease_was_granted() {
    let fleet = start_small_fleet("dispatchers { most: 1 carry: 1 } turns { turn_s: 3 }");
    fleet.run_until_exit_code(0, &["status"], 0);
    let granted = fleet.run_until_exit_code(1, &["turn", "--wait-s", "5"], 0);
    let arguments: Vec<&str> = granted.split_whitespace().collect();
    assert!(
        arguments.len() == 2
            && arguments[0].len() == 16
            && arguments[1]
                .parse::<f64>()
                .is_ok_and(|seconds| seconds > 1.0),
        "{granted}"
    );
    // The command at the other dispatcher waits no longer than --wait-s. Exit code 4: the lease timed out.
    let started = Instant::now();
    let (code, text) = fleet.run_command(0, &["turn", "--wait-s", "1"]);
    assert!(
        code == Some(4)
            && text.contains("no turn in time")
            && started.elapsed() < Duration::from_secs(5),
        "{text}"
    );
    // The holder did not restart: its restart lease expires.
    let (code, text) = fleet.run_command(0, &["turn", "--wait-s", "9"]);
    assert_eq!(code, Some(0), "{text}");
    // Exit code 3: the lease is refused, because the fleet is halted.
    assert_eq!(fleet.run_command(1, &["halt"]).0, Some(0));
    assert_eq!(fleet.run_command(0, &["turn", "--wait-s", "5"]).0, Some(3));
    assert_eq!(fleet.run_command(0, &["resume"]).0, Some(0));
    // No release has this version as its target.
    assert_eq!(
        fleet
            .run_command(0, &["turn", "--to", "v9", "--wait-s", "2"])
            .0,
        Some(3)
    );
    let (code, text) = fleet.run_command(0, &["back"]);
    assert!(
        code == Some(1) && text.contains("there is no release"),
        "{text}"
    );
    // No dispatcher listens at this address.
    let unused = free_udp_address().to_string();
    assert_eq!(
        fleet.run_command(0, &["status", "--member", &unused]).0,
        Some(4)
    );
}

#[test]
fn lowered_limit_blocks_drains_until_enough_engines_are_undrained() {
    let fleet = start_small_fleet("engines { most: 2 carry: 1 }");
    fleet.run_until_exit_code(0, &["status"], 0);
    fleet.run_until_exit_code(0, &["drain", "s-0"], 0);
    fleet.run_until_exit_code(0, &["drain", "s-1"], 0);
    for member in 0..2 {
        fleet.operator_files[member]
            .write(&fleet.operator_texts[member].replace("most: 2", "most: 1"));
        fleet.programs[member].signal("-HUP");
        fleet.wait_for_counter(member, "operator_files_read 1\n");
    }
    assert_eq!(fleet.run_command(0, &["drain", "s-2"]).0, Some(1));
    fleet.run_until_exit_code(0, &["undrain", "s-0"], 0);
    let (code, text) = fleet.run_command(0, &["drain", "s-2"]);
    assert!(
        code == Some(1) && text.contains("1 are out of at most 1"),
        "{text}"
    );
    // Drained engines stay out until they are undrained.
    fleet.wait_for_counter(1, "fleet_engines_out 1\n");
}

#[test]
fn command_signed_with_another_key_is_ignored() {
    let fleet = start_small_fleet("");
    fleet.run_until_exit_code(0, &["status"], 0);
    fleet.operator_files[1]
        .write(&fleet.operator_texts[1].replace(&"ab".repeat(16), &"cd".repeat(16)));
    let (code, text) = fleet.run_command(
        1,
        &[
            "halt",
            "--member",
            &listen_address(&fleet.operator_texts[0]),
        ],
    );
    assert!(
        code == Some(4) && text.contains("nobody leads"),
        "{code:?} {text}"
    );
    assert!(fleet
        .run_until_exit_code(0, &["status"], 0)
        .contains("halted no"));
}

/// Returns the address after `listen:` in the text of an operators' file.
fn listen_address(text: &str) -> String {
    text.split("listen: \"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
        .unwrap_or_default()
        .to_owned()
}
