//! A scenario on real processes of the program, each with an operators' file of its own, each link through a relay.
//! Stalls and crashes befall only what this run started and holds.

use super::relay::{Link, Relay};
use super::scenario::{Fault, LinkConditions, Scenario};
use super::FleetReport;
use crate::client::{send_query, ClientQuery};
use crate::engine::{Engine, EngineSpec, RunContext};
use crate::program::{class, free_address, get, Config, Program, TempFile};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "00112233445566778899aabbccddeeff";
const OLD: &str = "v1";
const NEW: &str = "v2";
const NAP: Duration = Duration::from_millis(15);
const QUERY_WAIT: f64 = 1500.0;

/// One dispatcher's place: the process that runs there, if one does.
struct Place {
    program: Option<Program>,
    version: &'static str,
    stalled: bool,
    /// No other hand starts it before then.
    back: Option<Instant>,
    /// The turn under which it was started last.
    turn: Option<String>,
}

struct Run {
    exe: std::path::PathBuf,
    scenario: Scenario,
    relay: Relay,
    links: Vec<Vec<Link>>,
    places: Vec<Mutex<Place>>,
    configs: Vec<Config>,
    files: Vec<TempFile>,
    scraps: Vec<TempFile>,
    listens: Vec<SocketAddr>,
    logs: Option<std::path::PathBuf>,
    begin: Instant,
    over: AtomicBool,
    /// Whether each is out by its turn, and each engine drained: the true state.
    out: Mutex<Vec<bool>>,
    drained: Mutex<Vec<bool>>,
    seen: Mutex<FleetReport>,
    alone: bool,
    /// Queries that were sent whole to a process that lives, and got no answer.
    lost: AtomicU64,
    /// An address was taken by another program.
    taken: AtomicBool,
    good: AtomicU64,
    all: AtomicU64,
}

fn text(run: &Scenario, n: usize, relay: &Relay, version: &str, fresh: bool) -> String {
    let seeds: String = relay
        .public
        .iter()
        .take(5)
        .map(|at| format!("seed: \"{at}\" "))
        .collect();
    let voters: String = (0..run.voters)
        .map(|n| format!("voter: \"n{n}\" "))
        .collect();
    format!(
        "fleet {{ name: \"n{n}\" listen: \"{}\" address: \"{}\" {seeds} {voters} key: \"{KEY}\" version: \"{version}\"
           fresh: {fresh} timing {{ period_s: 0.4 timeout_s: 0.12 lead_s: 1 settle_s: 1.5 late_s: {} }}
           dispatchers {{ most: {} carry: 1 }} engines {{ most: {} carry: 1 }}
           turns {{ turn_s: {} canaries: 1 canary_s: 2 goes_on_untold: true lost: {} left_s: 20 window_s: 1 }} }}",
        relay.private[n],
        relay.public[n],
        run.late / 1000.0,
        run.most,
        run.max_engines,
        run.turn / 1000.0,
        run.members
    )
}

/// Plays a scenario; with `alone`, supervisors ask nobody. `logs`: a folder for the processes' logs.
pub fn play(exe: &Path, scenario: Scenario, alone: bool, logs: Option<&Path>) -> FleetReport {
    // Another program may take an address between its being found free and its use: that is no run.
    for _ in 0..3 {
        match plays_once(exe, scenario.clone(), alone, logs) {
            Some(seen) => return seen,
            None => eprintln!("an address was taken by another program: played again"),
        }
    }
    FleetReport {
        violations: vec!["no free addresses".into()],
        ..FleetReport::default()
    }
}

fn plays_once(
    exe: &Path,
    scenario: Scenario,
    alone: bool,
    logs: Option<&Path>,
) -> Option<FleetReport> {
    let world = Arc::new(RunContext::default());
    let engines: Vec<Engine> = (0..scenario.engines)
        .map(|n| {
            Engine::start(
                &format!("s-{n}"),
                EngineSpec::default(),
                n as u64,
                world.clone(),
            )
        })
        .collect();
    let relay = Relay::start(scenario.members, scenario.late, scenario.seed);
    let links: Vec<Vec<Link>> = (0..scenario.members)
        .map(|_| {
            engines
                .iter()
                .map(|engine| Link::start(engine.address))
                .collect()
        })
        .collect();
    let listens: Vec<SocketAddr> = (0..scenario.members).map(|_| free_address()).collect();
    let classes = [class("look", 300.0, QUERY_WAIT, "read_like")];
    let configs: Vec<Config> = (0..scenario.members)
        .map(|n| {
            let known: Vec<_> = engines
                .iter()
                .zip(&links[n])
                .map(|(engine, link)| (engine.id.clone(), link.address))
                .collect();
            Config::new(listens[n], &known, &classes, &[1])
                .with("seed", format!("{:x}", scenario.seed * 1000 + n as u64 + 1))
                .with("settings.balancers", scenario.members)
                .with("settings.zone", format!("h{}", n % scenario.zones))
        })
        .collect();
    let files = (0..scenario.members)
        .map(|n| TempFile::new("fleet.textproto", &text(&scenario, n, &relay, OLD, true)))
        .collect();
    let seen = FleetReport::of_scenario(&scenario);
    let place = || {
        Mutex::new(Place {
            program: None,
            version: OLD,
            stalled: false,
            back: None,
            turn: None,
        })
    };
    let run = Run {
        exe: exe.to_owned(),
        places: (0..scenario.members).map(|_| place()).collect(),
        out: Mutex::new(vec![false; scenario.members]),
        drained: Mutex::new(vec![false; scenario.engines]),
        relay,
        links,
        configs,
        files,
        scraps: (0..scenario.members)
            .map(|_| TempFile::new("log", ""))
            .collect(),
        listens,
        logs: logs.map(Path::to_owned),
        begin: Instant::now(),
        over: AtomicBool::new(false),
        seen: Mutex::new(seen),
        alone,
        lost: AtomicU64::new(0),
        taken: AtomicBool::new(false),
        good: AtomicU64::new(0),
        all: AtomicU64::new(0),
        scenario,
    };
    let seen = run.plays();
    run.links.iter().flatten().for_each(Link::ends);
    engines.iter().for_each(Engine::stop);
    (!run.taken.load(Ordering::Relaxed)).then_some(seen)
}

impl Run {
    fn ms(&self) -> f64 {
        self.begin.elapsed().as_secs_f64() * 1000.0
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn record_violation(&self, what: String) {
        self.seen
            .lock()
            .expect("no holder panics")
            .violations
            .push(what);
    }

    /// Starts what belongs at a place, under a turn if there is one.
    fn starts(&self, n: usize, place: &mut Place, turn: Option<&str>) {
        let log = match &self.logs {
            Some(folder) => {
                let path = folder.join(format!("n{n}.log"));
                let file = std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(path);
                file.map_or_else(|_| Stdio::null(), Stdio::from)
            }
            None => {
                let file = std::fs::OpenOptions::new()
                    .append(true)
                    .open(&self.scraps[n].0);
                file.map_or_else(|_| Stdio::null(), Stdio::from)
            }
        };
        let operator = self.files[n].0.display().to_string();
        let program = Program::prepared(
            &self.exe,
            &self.configs[n],
            &["--operator", &operator],
            log,
            |command| {
                command.env_remove("TANSYMUX_TURN");
                turn.iter().for_each(|turn| {
                    command.env("TANSYMUX_TURN", turn);
                });
            },
        );
        (place.program, place.stalled, place.back) = (Some(program), false, None);
        place.turn = turn.map(str::to_owned);
    }

    fn healthy(&self, n: usize) -> bool {
        let stalled = self.places[n].lock().expect("no holder panics").stalled;
        !stalled && get(self.listens[n], "/_health").is_some_and(|(status, ..)| status == 200)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            let place = self.places[*n].lock().expect("no holder panics");
            let program = place.program.as_ref().filter(|_| !place.stalled);
            program.and_then(|program| program.counter("fleet_leads")) == Some(1)
        };
        (0..self.scenario.voters).find(leads)
    }

    /// `tansymux fleet ...` at a member.
    fn calls(&self, n: usize, words: &[&str]) -> Option<Child> {
        let mut command = Command::new(&self.exe);
        command
            .arg("fleet")
            .args(words)
            .arg("--operator")
            .arg(&self.files[n].0);
        command
            .env_remove("TANSYMUX_OPERATOR")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command.spawn().ok()
    }

    /// The same, waited for: exit code and what it wrote.
    fn called(&self, n: usize, words: &[&str]) -> (Option<i32>, String) {
        let output = self
            .calls(n, words)
            .and_then(|child| child.wait_with_output().ok());
        output.map_or((None, String::new()), |output| {
            let text = [output.stdout, output.stderr].concat();
            (
                output.status.code(),
                String::from_utf8_lossy(&text).into_owned(),
            )
        })
    }

    fn is_out(&self, n: usize, is: bool) {
        let mut out = self.out.lock().expect("no holder panics");
        out[n] = is;
        let many = out.iter().filter(|out| **out).count();
        self.seen.lock().expect("no holder panics").record_out(many);
    }

    fn plays(&self) -> FleetReport {
        for n in 0..self.places.len() {
            self.starts(
                n,
                &mut self.places[n].lock().expect("no holder panics"),
                None,
            );
        }
        let from = Instant::now();
        while !(0..self.places.len()).all(|n| self.healthy(n)) {
            let taken = |scrap: &TempFile| {
                std::fs::read_to_string(&scrap.0)
                    .is_ok_and(|text| text.contains("Address already in use"))
            };
            if self.scraps.iter().any(taken) {
                self.taken.store(true, Ordering::Relaxed);
                return FleetReport::default();
            }
            if from.elapsed() > Duration::from_secs(20) {
                self.record_violation("not all healthy after 20 s".into());
                break;
            }
            thread::sleep(NAP);
        }
        // From now on nobody is sure any more that no voter has forgotten anything.
        for n in 0..self.places.len() {
            self.files[n].write(&text(&self.scenario, n, &self.relay, OLD, false));
        }
        let begin = self.ms();
        let bytes = self.relay.bytes.load(Ordering::Relaxed);
        thread::scope(|scope| {
            scope.spawn(|| self.guards());
            (0..3).for_each(|k| drop(scope.spawn(move || self.clients(k))));
            if !self.alone {
                self.begins_release();
            }
            let supervisors: Vec<_> = (0..self.places.len())
                .map(|n| scope.spawn(move || self.supervises(n)))
                .collect();
            scope.spawn(|| self.faults(begin));
            let limit = Duration::from_secs_f64(
                (self.scenario.last_fault_ms() + self.scenario.done_within) / 1000.0,
            );
            let from = Instant::now();
            let mut looked = Instant::now();
            while !supervisors.iter().all(|s| s.is_finished()) && from.elapsed() < limit {
                thread::sleep(NAP);
                let after = self.ms() - begin > self.scenario.last_fault_ms() + 2000.0;
                if after && !self.alone && looked.elapsed() > Duration::from_secs(3) {
                    looked = Instant::now();
                    self.resumes();
                }
            }
            let took = self.ms() - begin;
            // Faults that are still to come have their time.
            while self.ms() - begin < self.scenario.last_fault_ms() + 500.0 {
                thread::sleep(NAP);
            }
            self.over.store(true, Ordering::Relaxed);
            let mut seen = self.seen.lock().expect("no holder panics");
            seen.completed_after_ms = (took < limit.as_secs_f64() * 1000.0).then_some(took);
            if seen.completed_after_ms.is_none() {
                seen.violations.push(format!(
                    "not all released {:.0} s after the last fault",
                    self.scenario.done_within / 1e3
                ));
            }
        });
        let mut seen = self.seen.lock().expect("no holder panics").clone();
        let lasted = (self.ms() - begin) / 1000.0;
        let relayed = self.relay.bytes.load(Ordering::Relaxed) - bytes;
        seen.bytes_per_s = relayed as f64 / lasted / self.places.len() as f64;
        let version = |place: &Mutex<Place>| place.lock().expect("no holder panics").version;
        seen.released = self
            .places
            .iter()
            .filter(|place| version(place) == NEW)
            .count();
        (seen.requests_ok, seen.requests) = (
            self.good.load(Ordering::Relaxed),
            self.all.load(Ordering::Relaxed),
        );
        let lost = self.lost.load(Ordering::Relaxed);
        if lost > 0 {
            seen.violations.push(format!(
                "{lost} queries without an answer from a process that lived"
            ));
        }
        seen
    }

    fn begins_release(&self) {
        let from = Instant::now();
        loop {
            let (code, text) = self.called(0, &["release", NEW, "--from", OLD]);
            if code == Some(0) || text.contains("under way") {
                return;
            }
            if from.elapsed() > Duration::from_secs(20) {
                return self.record_violation(format!("the release did not begin: {text}"));
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// Operators look after the faults: a halt of the fleet's own accord waits for them.
    fn resumes(&self) {
        let Some(at) = (0..self.places.len()).find(|n| self.healthy(*n)) else {
            return;
        };
        let (code, text) = self.called(at, &["status"]);
        if code == Some(0) && !text.contains("halted no") {
            self.seen
                .lock()
                .expect("no holder panics")
                .halted_after_ms
                .get_or_insert(self.ms());
            self.called(at, &["resume"]);
        }
        // All who knew of it have forgotten it, and nothing goes on: it is told once more.
        if code == Some(0) && !text.contains("\nrelease") {
            self.called(at, &["release", NEW, "--from", OLD]);
        }
    }

    /// Starts anew what crashed, once its time has come.
    fn guards(&self) {
        while !self.is_over() {
            thread::sleep(NAP);
            for n in 0..self.places.len() {
                let mut place = self.places[n].lock().expect("no holder panics");
                if place.back.is_some_and(|back| Instant::now() >= back) {
                    let turn = place.turn.clone();
                    self.starts(n, &mut place, turn.as_deref());
                }
                let status = place
                    .program
                    .as_mut()
                    .and_then(|program| program.child.try_wait().ok().flatten());
                if status.is_some_and(|status| status.code().is_some_and(|code| code != 0)) {
                    // Its address may have been taken while it was down; anything else is a crash.
                    let log = std::fs::read_to_string(&self.scraps[n].0).unwrap_or_default();
                    if !log.contains("Address already in use") {
                        self.record_violation(format!("n{n} ended by itself: {status:?} {log}"));
                    }
                    self.scraps[n].write("");
                    (place.program, place.back) =
                        (None, Some(Instant::now() + Duration::from_millis(300)));
                }
            }
        }
    }

    fn supervises(&self, n: usize) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 7919 + n as u64);
        let waited = self.ms();
        while !self.is_over() {
            let (turn, holds) = if self.alone {
                // On its own: within the first while, as a tool that starts all would.
                thread::sleep(Duration::from_secs_f64(
                    rng.random_range(0.0..self.scenario.down * 4.0) / 1000.0,
                ));
                (String::new(), 1.0)
            } else {
                let (code, text) = self.called(n, &["turn", "--to", NEW, "--wait-s", "15"]);
                let mut words = text.split_whitespace();
                let granted = (
                    words.next(),
                    words.next().and_then(|s| s.parse::<f64>().ok()),
                );
                match (code, granted) {
                    (Some(0), (Some(turn), Some(holds))) => (turn.to_owned(), holds),
                    (Some(0 | 3 | 4), _) => {
                        thread::sleep(Duration::from_millis(rng.random_range(300..1200)));
                        continue;
                    }
                    (code, _) => {
                        self.record_violation(format!("turn ended with {code:?}: {text}"));
                        return;
                    }
                }
            };
            let now = self.ms();
            self.seen
                .lock()
                .expect("no holder panics")
                .lease_waits_ms
                .push(now - waited);
            if !self.alone {
                self.is_out(n, true);
            }
            // Some scripts are slow, and begin shortly before their turn is over.
            let wait = if rng.random_bool(0.15) {
                holds * 0.9
            } else {
                0.1f64.min(holds * 0.5)
            };
            thread::sleep(Duration::from_secs_f64(wait));
            if self.alone {
                self.out_alone(n, true);
            }
            self.restarts(n, &turn);
            let from = Instant::now();
            while !self.healthy(n) && !self.is_over() && from.elapsed() < Duration::from_secs(60) {
                thread::sleep(NAP);
            }
            if self.alone {
                self.out_alone(n, false);
            } else {
                self.is_out(n, false);
            }
            return;
        }
    }

    /// Without agreement the limit is none: how many are out is still counted.
    fn out_alone(&self, n: usize, is: bool) {
        let mut out = self.out.lock().expect("no holder panics");
        out[n] = is;
        let many = out.iter().filter(|out| **out).count();
        let mut seen = self.seen.lock().expect("no holder panics");
        seen.max_out = seen.max_out.max(many);
    }

    /// Tells the process to end, waits for that, and starts the new version after a while.
    fn restarts(&self, n: usize, turn: &str) {
        let told = {
            let place = self.places[n].lock().expect("no holder panics");
            place.program.as_ref().map(Program::terminate).is_some()
        };
        let from = Instant::now();
        loop {
            let mut place = self.places[n].lock().expect("no holder panics");
            let ended = place
                .program
                .as_mut()
                .is_none_or(|p| p.child.try_wait().is_ok_and(|s| s.is_some()));
            let ended = ended || !told;
            // A supervisor's patience: what is stopped does not end by being told to.
            if ended || from.elapsed() > Duration::from_secs(6) {
                place.program = None;
                break;
            }
            drop(place);
            thread::sleep(NAP);
        }
        let mut place = self.places[n].lock().expect("no holder panics");
        (place.program, place.back, place.version) = (None, None, NEW);
        self.files[n].write(&text(&self.scenario, n, &self.relay, NEW, false));
        drop(place);
        thread::sleep(Duration::from_secs_f64(self.scenario.down / 1000.0));
        let mut place = self.places[n].lock().expect("no holder panics");
        if place.program.is_none() {
            self.starts(n, &mut place, Some(turn).filter(|turn| !turn.is_empty()));
        }
    }

    fn kills(&self, n: usize, back: f64) {
        let mut place = self.places[n].lock().expect("no holder panics");
        // Whoever holds it restarts it: what the supervisor has taken down is not killed.
        if place.program.take().is_some() {
            place.turn = None;
            place.back = Some(Instant::now() + Duration::from_secs_f64(back / 1000.0));
        }
    }

    fn stalls(&self, n: usize, lasts: f64) -> Option<(usize, Instant)> {
        let mut place = self.places[n].lock().expect("no holder panics");
        let program = place.program.as_mut()?;
        if program
            .child
            .try_wait()
            .is_ok_and(|status| status.is_some())
        {
            return None;
        }
        program.signal("-STOP");
        place.stalled = true;
        Some((n, Instant::now() + Duration::from_secs_f64(lasts / 1000.0)))
    }

    fn goes_on(&self, n: usize) {
        let mut place = self.places[n].lock().expect("no holder panics");
        if std::mem::replace(&mut place.stalled, false) {
            if let Some(program) = place.program.as_mut() {
                if program
                    .child
                    .try_wait()
                    .is_ok_and(|status| status.is_none())
                {
                    program.signal("-CONT");
                }
            }
        }
    }

    fn faults(&self, begin: f64) {
        let mut stalled: Vec<(usize, Instant)> = Vec::new();
        let mut events = self.scenario.events.clone().into_iter().peekable();
        while !self.is_over() && (events.peek().is_some() || !stalled.is_empty()) {
            thread::sleep(NAP);
            stalled.retain(|(n, until)| {
                let over = Instant::now() >= *until;
                if over {
                    self.goes_on(*n);
                }
                !over
            });
            while events
                .peek()
                .is_some_and(|event| self.ms() - begin >= event.at)
            {
                let Some(event) = events.next() else { break };
                self.apply_fault(event.what, &mut stalled);
            }
        }
        stalled.iter().for_each(|(n, _)| self.goes_on(*n));
    }

    fn apply_fault(&self, fault: Fault, stalled: &mut Vec<(usize, Instant)>) {
        let engine = |n: usize| format!("s-{n}");
        match fault {
            Fault::Links(way) => self.relay.links(LinkConditions {
                delay: way.delay.max(1.0),
                ..way
            }),
            Fault::Cut { side, one_way } => self.relay.cut(&side, one_way),
            Fault::CutLeader { one_way } => {
                self.leader()
                    .iter()
                    .for_each(|leader| self.relay.cut(&[*leader], one_way));
            }
            Fault::Heal => {
                self.relay.heal();
                self.links.iter().flatten().for_each(|link| link.cut(false));
            }
            Fault::Stall { who, lasts } => stalled.extend(self.stalls(who, lasts)),
            Fault::StallLeader { lasts } => {
                let leader = self.leader();
                stalled.extend(leader.and_then(|leader| self.stalls(leader, lasts)));
            }
            Fault::Kill { who, back } => self.kills(who, back),
            Fault::KillLeader { back } => self
                .leader()
                .iter()
                .for_each(|leader| self.kills(*leader, back)),
            Fault::KillHolder { back } => {
                let holder = self
                    .out
                    .lock()
                    .expect("no holder panics")
                    .iter()
                    .position(|out| *out);
                holder.iter().for_each(|holder| self.kills(*holder, back));
            }
            Fault::Drain { engines } => thread::scope(|scope| {
                for (at, n) in engines {
                    scope.spawn(move || {
                        if self.called(at, &["drain", &engine(n)]).0 == Some(0) {
                            let mut drained = self.drained.lock().expect("no holder panics");
                            drained[n] = true;
                            let many = drained.iter().filter(|drained| **drained).count();
                            self.seen
                                .lock()
                                .expect("no holder panics")
                                .record_drained(many);
                        }
                    });
                }
            }),
            Fault::Undrain { engine: n, at } => {
                self.drained.lock().expect("no holder panics")[n] = false;
                self.called(at, &["undrain", &engine(n)]);
            }
            Fault::Halt { at } => drop(self.called(at, &["halt"])),
            Fault::Resume { at } => drop(self.called(at, &["resume"])),
            Fault::Back { at } => drop(self.called(at, &["back"])),
            Fault::Limit { most } => {
                let scenario = Scenario {
                    most,
                    ..self.scenario.clone()
                };
                for n in 0..self.places.len() {
                    let place = self.places[n].lock().expect("no holder panics");
                    self.files[n].write(&text(&scenario, n, &self.relay, place.version, false));
                    if let Some(program) = place.program.as_ref().filter(|_| !place.stalled) {
                        program.signal("-HUP");
                    }
                }
            }
        }
    }

    /// Clients that go to any that is healthy, as a front layer lets them.
    fn clients(&self, k: u64) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 31 + k);
        let record = crate::record::Record::default();
        let mut id = k * 1_000_000;
        while !self.is_over() {
            id += 1;
            let n = rng.random_range(0..self.listens.len());
            let lives = |place: &Mutex<Place>| {
                let place = place.lock().expect("no holder panics");
                place
                    .program
                    .as_ref()
                    .map(|program| program.child.id())
                    .filter(|_| !place.stalled)
            };
            let before = lives(&self.places[n]);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", QUERY_WAIT);
            query.cost = Some(4.0);
            let got = send_query(self.listens[n], &query, &record);
            let same = before.is_some() && before == lives(&self.places[n]);
            self.all.fetch_add(1, Ordering::Relaxed);
            match got {
                Some(got) if got.status == 200 => drop(self.good.fetch_add(1, Ordering::Relaxed)),
                // A door that is closed already turns away at once; one that took the query in owes it an answer.
                None if same && got_in(&record, &query) && self.healthy(n) => {
                    self.lost.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
            thread::sleep(Duration::from_millis(rng.random_range(5..25)));
        }
    }
}

/// Whether its connection came up.
fn got_in(record: &crate::record::Record, query: &ClientQuery) -> bool {
    let asked = |entry: &crate::record::Entry| matches!(&entry.event, crate::record::EventKind::Asked { id, .. } if *id == query.id());
    record.entries().iter().rev().take(4).any(asked)
}
