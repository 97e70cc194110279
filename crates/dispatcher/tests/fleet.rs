//! Several processes of the program, a relay on every link between them and to their engines, and what befalls them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tansymux_testbed::client::{send_query, ClientQuery};
use tansymux_testbed::engine::scripted;
use tansymux_testbed::fleet::processes::play;
use tansymux_testbed::fleet::scenario::Scenario;
use tansymux_testbed::program::{
    class, free_address, free_udp_address, Config, Program, TempFile, TIMEOUT,
};
use tansymux_testbed::record::Record;
use tansymux_testbed::wire::write_frame;

const EXE: &str = env!("CARGO_BIN_EXE_tansymux");
/// Each of these runs has several processes; not all of them at once, or a busy machine looks like a failing fleet.
static TURN: Mutex<usize> = Mutex::new(0);
static NEXT: AtomicU64 = AtomicU64::new(1);
const MAX_AT_ONCE: usize = 4;

struct Slot;

impl Slot {
    fn take() -> Self {
        loop {
            if let Some(taken) = TURN
                .lock()
                .ok()
                .and_then(|mut n| (*n < MAX_AT_ONCE).then(|| *n += 1))
            {
                let () = taken;
                return Slot;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Ok(mut n) = TURN.lock() {
            *n -= 1;
        }
    }
}

/// Plays a hard case: never more out than the limit, no query lost, and all released in the stated time after it.
fn holds(name: &str) {
    let _slot = Slot::take();
    let scenario = Scenario::named(name, 1)
        .expect("a case by this name")
        .on_processes();
    let seen = play(Path::new(EXE), scenario, false, None);
    assert!(
        seen.violations.is_empty(),
        "{}\n  again: tansymux-testbed fleet --name {name} --first 1",
        seen.line()
    );
    println!("{}", seen.line());
}

#[test]
fn two_halves_of_a_partition_that_both_want_to_drain_drain_no_more_than_the_limit() {
    holds("two-halves");
}

#[test]
fn a_leader_that_is_heard_and_hears_nothing_or_the_reverse_gives_way() {
    holds("leader-one-way");
}

#[test]
fn a_leader_stopped_for_longer_than_its_term_wakes_with_nothing_to_give() {
    holds("leader-stops");
}

#[test]
fn a_voter_that_comes_back_knowing_nothing_keeps_still_and_then_votes_again() {
    holds("voter-forgets");
}

#[test]
fn with_all_voters_of_a_zone_lost_nothing_goes_out_until_they_are_back() {
    holds("hall-of-voters-lost");
}

#[test]
fn a_holder_that_crashes_while_it_is_out_counts_until_it_is_back() {
    holds("holder-crashes");
}

#[test]
fn dispatchers_killed_in_their_wave_come_back_and_the_release_ends() {
    holds("killed-in-its-wave");
}

#[test]
fn seven_in_ten_killed_at_once_halt_the_release_and_it_ends_after_that() {
    holds("seven-in-ten");
}

#[test]
fn a_halt_that_races_turns_stops_them_until_it_is_resumed() {
    holds("halt-races");
}

// ---- The command line, and engines that are out ----

type Counts = Arc<Mutex<HashMap<usize, u64>>>;

/// An engine that answers at once and counts.
fn engine(n: usize, counts: &Counts) -> SocketAddr {
    let counts = counts.clone();
    let answers = move |parts: &[String], to: &mut std::net::TcpStream| {
        if parts[0] == "fetch" {
            *counts.lock().unwrap().entry(n).or_default() += 1;
            write_frame(to, &[&parts[1], "DONE", "batches=1", "a\tb\tc\n"]);
        }
    };
    scripted(answers).0
}

struct Small {
    programs: Vec<Program>,
    files: Vec<TempFile>,
    counts: Counts,
    texts: Vec<String>,
}

/// Two dispatchers, one of them the voter, with three engines.
fn small(extra: &str) -> Small {
    let counts = Counts::default();
    let engines: Vec<_> = (0..3)
        .map(|n| (format!("s-{n}"), engine(n, &counts)))
        .collect();
    let listens: Vec<SocketAddr> = (0..2).map(|_| free_udp_address()).collect();
    let texts: Vec<String> = (0..2)
        .map(|n| {
            format!(
                "fleet {{ name: \"n{n}\" listen: \"{}\" seed: \"{}\" voter: \"n0\" key: \"{}\" fresh: true
                   version: \"v1\" timing {{ period_s: 0.2 timeout_s: 0.06 lead_s: 1 settle_s: 1 late_s: 0.2 }} {extra} }}",
                listens[n],
                listens[0],
                "ab".repeat(16)
            )
        })
        .collect();
    let files: Vec<TempFile> = texts
        .iter()
        .map(|text| TempFile::new("fleet.textproto", text))
        .collect();
    let classes = [class("look", 300.0, 2000.0, "read_like")];
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
    Small {
        programs,
        files,
        counts,
        texts,
    }
}

impl Small {
    fn calls(&self, n: usize, words: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(EXE)
            .arg("fleet")
            .args(words)
            .arg("--operator")
            .arg(&self.files[n].0)
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    /// Calls until it ends so.
    fn until(&self, n: usize, words: &[&str], code: i32) -> String {
        let from = Instant::now();
        loop {
            let (got, text) = self.calls(n, words);
            if got == Some(code) {
                return text;
            }
            assert!(
                from.elapsed() < 2 * TIMEOUT,
                "{words:?} ended with {got:?}, not {code}: {text}"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Queries at one dispatcher; how many each engine got of them.
    fn asked(&self, n: usize, many: u64) -> [u64; 3] {
        self.counts.lock().unwrap().clear();
        let record = Record::default();
        for _ in 0..many {
            let id = NEXT.fetch_add(1, Ordering::Relaxed);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", 2000.0);
            query.cost = Some(5.0);
            assert_eq!(
                send_query(self.programs[n].listen, &query, &record).map(|got| got.status),
                Some(200)
            );
        }
        let counts = self.counts.lock().unwrap();
        [0, 1, 2].map(|n| counts.get(&n).copied().unwrap_or(0))
    }

    fn waits_for(&self, n: usize, line: &str) {
        self.programs[n].wait_for_count(line);
    }
}

#[test]
fn an_engine_drained_by_agreement_gets_nothing_new_from_any_dispatcher_and_comes_back() {
    let fleet = small("engines { most: 1 carry: 1 }");
    let status = fleet.until(1, &["status"], 0);
    assert!(
        status.contains("engines 3 out 0") && status.contains("halted no"),
        "{status}"
    );
    assert!(fleet.asked(0, 30)[1] > 0);
    // Drained at one dispatcher, out for both.
    fleet.until(1, &["drain", "s-1"], 0);
    for n in 0..2 {
        fleet.waits_for(n, "fleet_engines_out 1\n");
        // A look of the driver later.
        std::thread::sleep(Duration::from_millis(400));
        let got = fleet.asked(n, 30);
        assert!(got[1] == 0 && got[0] > 0 && got[2] > 0, "{n}: {got:?}");
    }
    let (code, text) = fleet.calls(0, &["drain", "s-2"]);
    assert!(
        code == Some(1) && text.contains("1 are out of at most 1"),
        "{code:?} {text}"
    );
    fleet.until(0, &["undrain", "s-1"], 0);
    for n in 0..2 {
        fleet.waits_for(n, "fleet_engines_out 0\n");
        std::thread::sleep(Duration::from_millis(400));
        assert!(fleet.asked(n, 60)[1] > 0, "{n}");
    }
}

#[test]
fn a_script_learns_by_exit_codes_whether_it_has_a_turn() {
    let fleet = small("dispatchers { most: 1 carry: 1 } turns { turn_s: 3 }");
    fleet.until(0, &["status"], 0);
    let granted = fleet.until(1, &["turn", "--wait-s", "5"], 0);
    let words: Vec<&str> = granted.split_whitespace().collect();
    assert!(
        words.len() == 2 && words[0].len() == 16 && words[1].parse::<f64>().is_ok_and(|s| s > 1.0),
        "{granted}"
    );
    // The other one waits for as long as it was told, and no longer.
    let from = Instant::now();
    let (code, text) = fleet.calls(0, &["turn", "--wait-s", "1"]);
    assert!(
        code == Some(4)
            && text.contains("no turn in time")
            && from.elapsed() < Duration::from_secs(5),
        "{text}"
    );
    // The first never went: its turn ends by itself.
    let (code, text) = fleet.calls(0, &["turn", "--wait-s", "9"]);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(fleet.calls(1, &["halt"]).0, Some(0));
    assert_eq!(fleet.calls(0, &["turn", "--wait-s", "5"]).0, Some(3));
    assert_eq!(fleet.calls(0, &["resume"]).0, Some(0));
    // No release goes there.
    assert_eq!(
        fleet.calls(0, &["turn", "--to", "v9", "--wait-s", "2"]).0,
        Some(3)
    );
    let (code, text) = fleet.calls(0, &["back"]);
    assert!(
        code == Some(1) && text.contains("there is no release"),
        "{text}"
    );
    // Nobody is there under this address.
    let nobody = free_udp_address().to_string();
    assert_eq!(fleet.calls(0, &["status", "--member", &nobody]).0, Some(4));
}

#[test]
fn a_limit_lowered_by_sighup_below_what_is_out_lets_no_more_out() {
    let fleet = small("engines { most: 2 carry: 1 }");
    fleet.until(0, &["status"], 0);
    fleet.until(0, &["drain", "s-0"], 0);
    fleet.until(0, &["drain", "s-1"], 0);
    for n in 0..2 {
        fleet.files[n].write(&fleet.texts[n].replace("most: 2", "most: 1"));
        fleet.programs[n].signal("-HUP");
        fleet.waits_for(n, "operator_files_read 1\n");
    }
    assert_eq!(fleet.calls(0, &["drain", "s-2"]).0, Some(1));
    fleet.until(0, &["undrain", "s-0"], 0);
    let (code, text) = fleet.calls(0, &["drain", "s-2"]);
    assert!(
        code == Some(1) && text.contains("1 are out of at most 1"),
        "{text}"
    );
    // Those that were out stay out until they are called back.
    fleet.waits_for(1, "fleet_engines_out 1\n");
}

#[test]
fn who_has_no_key_is_not_heard() {
    let fleet = small("");
    fleet.until(0, &["status"], 0);
    fleet.files[1].write(&fleet.texts[1].replace(&"ab".repeat(16), &"cd".repeat(16)));
    let (code, text) = fleet.calls(1, &["halt", "--member", &listen_of(&fleet.texts[0])]);
    assert!(
        code == Some(4) && text.contains("nobody leads"),
        "{code:?} {text}"
    );
    assert!(fleet.until(0, &["status"], 0).contains("halted no"));
}

fn listen_of(text: &str) -> String {
    text.split("listen: \"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
        .unwrap_or_default()
        .to_owned()
}
