//! Fleets of several processes of the program, with a relay on every link between them and to their engines, under
//! faults; and the commands of `tansymux fleet`.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends at the first thing that is not as it should be"
)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tansymux::settings::keys;
use tansymux_testbed::client::{send_query, ClientQuery};
use tansymux_testbed::engine::{scripted, write_result};
use tansymux_testbed::fleet::processes::{run, ProcessOptions};
use tansymux_testbed::fleet::scenario::Scenario;
use tansymux_testbed::program::{
    class, free_address, free_udp_address, Config, Program, TempFile, TIMEOUT,
};
use tansymux_testbed::record::Record;

/// The program under test.
const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
/// Scenarios that run now. Each has several processes; too many at once would make the machine busy enough for a fleet to
/// miss its deadlines.
static RUNNING: Mutex<usize> = Mutex::new(0);
/// The most scenarios that run at a time.
const MAX_RUNNING: usize = 4;
/// The id of the next query of any test.
static NEXT_QUERY_ID: AtomicU64 = AtomicU64::new(1);

/// The permission to run a scenario, until it is dropped.
struct ScenarioPermit;

impl ScenarioPermit {
    /// Waits until fewer than [`MAX_RUNNING`] scenarios run.
    fn acquire() -> Self {
        loop {
            if let Ok(mut running) = RUNNING.lock() {
                if *running < MAX_RUNNING {
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
        if let Ok(mut running) = RUNNING.lock() {
            *running -= 1;
        }
    }
}

/// Runs a scenario: never more members or engines out than the limit, no query lost, and the release completes in the
/// stated time.
fn assert_scenario_passes(name: &str) {
    let _permit = ScenarioPermit::acquire();
    let scenario = Scenario::named(name, 1)
        .expect("a case by this name")
        .on_processes();
    let result = run(Path::new(EXE), &scenario, &ProcessOptions::default());
    assert!(
        result.violations.is_empty(),
        "{}\n  again: tansymux-testbed fleet --name {name} --first 1",
        result.line()
    );
    println!("{}", result.line());
}

#[test]
fn both_sides_of_a_partition_together_drain_no_more_than_the_limit() {
    assert_scenario_passes("two-halves");
}

#[test]
fn leader_with_a_one_way_link_gives_way() {
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
fn nothing_goes_out_while_all_voters_of_a_zone_are_lost() {
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
fn halt_that_races_restart_turns_stops_them_until_resume() {
    assert_scenario_passes("halt-races");
}

// ---- The command line, and drained engines ----

/// Queries by the index of the engine that received them.
type Counts = Arc<Mutex<HashMap<usize, u64>>>;

/// An engine that answers at once and counts.
fn engine(index: usize, counts: &Counts) -> SocketAddr {
    let counts = counts.clone();
    let answers = move |parts: &[String], to: &mut std::net::TcpStream| {
        if parts[0] == "fetch" {
            *counts.lock().unwrap().entry(index).or_default() += 1;
            write_result(to, &parts[1]);
        }
    };
    scripted(answers).0
}

/// Two dispatchers with their operators' files, and the queries that their engines received.
struct SmallFleet {
    programs: Vec<Program>,
    files: Vec<TempFile>,
    counts: Counts,
    texts: Vec<String>,
}

/// Two dispatchers, one of them the voter, with three engines.
fn start_small_fleet(extra: &str) -> SmallFleet {
    let counts = Counts::default();
    let engines: Vec<_> = (0..3)
        .map(|index| (format!("s-{index}"), engine(index, &counts)))
        .collect();
    let addresses: Vec<SocketAddr> = (0..2).map(|_| free_udp_address()).collect();
    let texts: Vec<String> = (0..2)
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
    let files: Vec<TempFile> = texts
        .iter()
        .map(|text| TempFile::new("fleet.textproto", text))
        .collect();
    let classes = [class("look", 300.0, 2000.0, keys::effect::READ_ONLY)];
    let programs = files
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
        files,
        counts,
        texts,
    }
}

impl SmallFleet {
    fn run_command(&self, member: usize, arguments: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(EXE)
            .arg("fleet")
            .args(arguments)
            .arg("--operator")
            .arg(&self.files[member].0)
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Runs a command until it ends with this exit code, and returns its output.
    fn run_until_exit_code(&self, member: usize, arguments: &[&str], code: i32) -> String {
        let from = Instant::now();
        loop {
            let (got, text) = self.run_command(member, arguments);
            if got == Some(code) {
                return text;
            }
            assert!(
                from.elapsed() < 2 * TIMEOUT,
                "{arguments:?} ended with {got:?}, not {code}: {text}"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Sends queries to one dispatcher. Returns how many of them each engine received.
    fn send_queries(&self, member: usize, count: u64) -> [u64; 3] {
        self.counts.lock().unwrap().clear();
        let record = Record::default();
        for _ in 0..count {
            let id = NEXT_QUERY_ID.fetch_add(1, Ordering::Relaxed);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", 2000.0);
            query.cost = Some(5.0);
            assert_eq!(
                send_query(self.programs[member].listen, &query, &record).map(|got| got.status),
                Some(200)
            );
        }
        let counts = self.counts.lock().unwrap();
        [0, 1, 2].map(|engine| counts.get(&engine).copied().unwrap_or(0))
    }

    fn wait_for_counter(&self, member: usize, line: &str) {
        self.programs[member].wait_for_count(line);
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
    // Drained by a command to one dispatcher, out for both.
    fleet.run_until_exit_code(1, &["drain", "s-1"], 0);
    for member in 0..2 {
        fleet.wait_for_counter(member, "fleet_engines_out 1\n");
        // The driver follows at its next tick.
        std::thread::sleep(Duration::from_millis(400));
        let got = fleet.send_queries(member, 30);
        assert!(got[1] == 0 && got[0] > 0 && got[2] > 0, "{member}: {got:?}");
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
fn turn_command_tells_by_exit_codes_whether_the_turn_was_granted() {
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
    // The other one waits for --wait-s, and no longer.
    let from = Instant::now();
    let (code, text) = fleet.run_command(0, &["turn", "--wait-s", "1"]);
    assert!(
        code == Some(4)
            && text.contains("no turn in time")
            && from.elapsed() < Duration::from_secs(5),
        "{text}"
    );
    // The first never restarted: its turn expires.
    let (code, text) = fleet.run_command(0, &["turn", "--wait-s", "9"]);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(fleet.run_command(1, &["halt"]).0, Some(0));
    assert_eq!(fleet.run_command(0, &["turn", "--wait-s", "5"]).0, Some(3));
    assert_eq!(fleet.run_command(0, &["resume"]).0, Some(0));
    // No release goes there.
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
    // Nobody is there under this address.
    let unused = free_udp_address().to_string();
    assert_eq!(
        fleet.run_command(0, &["status", "--member", &unused]).0,
        Some(4)
    );
}

#[test]
fn limit_lowered_below_what_is_out_lets_no_more_out() {
    let fleet = start_small_fleet("engines { most: 2 carry: 1 }");
    fleet.run_until_exit_code(0, &["status"], 0);
    fleet.run_until_exit_code(0, &["drain", "s-0"], 0);
    fleet.run_until_exit_code(0, &["drain", "s-1"], 0);
    for member in 0..2 {
        fleet.files[member].write(&fleet.texts[member].replace("most: 2", "most: 1"));
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
    // Engines that were out stay out until they are undrained.
    fleet.wait_for_counter(1, "fleet_engines_out 1\n");
}

#[test]
fn command_signed_with_another_key_is_ignored() {
    let fleet = start_small_fleet("");
    fleet.run_until_exit_code(0, &["status"], 0);
    fleet.files[1].write(&fleet.texts[1].replace(&"ab".repeat(16), &"cd".repeat(16)));
    let (code, text) =
        fleet.run_command(1, &["halt", "--member", &listen_address(&fleet.texts[0])]);
    assert!(
        code == Some(4) && text.contains("nobody leads"),
        "{code:?} {text}"
    );
    assert!(fleet
        .run_until_exit_code(0, &["status"], 0)
        .contains("halted no"));
}

fn listen_address(text: &str) -> String {
    text.split("listen: \"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
        .unwrap_or_default()
        .to_owned()
}
