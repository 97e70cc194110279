//! A zone cut and returned, on real processes: agreed, judged by each alone, and neither, on the same seeds.

use super::links::LinkConditions;
use super::relay::{EngineLink, Relay};
use super::FLEET_KEY;
use crate::client::{send_query, ClientQuery};
use crate::engine::{Engine, EngineSpec, QueryWork, RunContext};
use crate::program::{class, free_address, Config, Program, TempFile};
use crate::record::Record;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const WARM_UP_MS: f64 = 15_000.0;
/// Look-ups (ms of work) and the longest wait.
const WORK_MS: f64 = 40.0;
const MAX_WAIT_MS: f64 = 1500.0;
const LATENCY_OBJECTIVE_MS: f64 = 300.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Agreed,
    Alone,
    Neither,
}

/// The course of one run (ms).
#[derive(Debug, Clone, Copy)]
pub struct ZoneCutPlan {
    pub seed: u64,
    pub dispatchers: usize,
    /// Requests a second, over all.
    pub rate: f64,
    pub cut_at: f64,
    pub cut_for: f64,
    pub after: f64,
    /// Loss between dispatchers, all the time.
    pub loss: f64,
}

impl ZoneCutPlan {
    pub fn short(seed: u64) -> Self {
        ZoneCutPlan {
            seed,
            dispatchers: 6,
            rate: 400.0,
            cut_at: 4000.0,
            cut_for: 7000.0,
            after: 24_000.0,
            loss: 0.0,
        }
    }

    fn lasts(&self) -> f64 {
        self.cut_at + self.cut_for + self.after
    }
}

/// What was seen. Phases: before, while cut, the first ten seconds after, the rest.
#[derive(Debug, Clone, Default)]
pub struct ZoneCutReport {
    pub good: [u64; 4],
    pub all: [u64; 4],
    /// Limit threads on one engine of the zone in the three seconds after it was back.
    pub peak: f64,
    /// When all outside had left, and when all were whole again, after the cut's begin and end (ms).
    pub left: Option<f64>,
    pub whole: Option<f64>,
    /// Limit that the shares added up to, locate_program the step's part, at any look.
    pub over: f64,
    pub lost: u64,
}

struct Site {
    programs: Vec<Program>,
    _files: Vec<TempFile>,
    listens: Vec<SocketAddr>,
    engines: Vec<Engine>,
    links: Vec<Vec<EngineLink>>,
    relay: Relay,
    operators: Vec<String>,
    world: Arc<RunContext>,
}

fn operator(variant: Variant, n: usize, relay: &Relay) -> String {
    let zones = "halls { route { tier { hall: \"h0\" hall: \"h1\" hall: \"h2\" } } cut { quiet_s: 0.6 } climb { first: 0.1 over_s: 8 whole: 2 } }";
    let seeds: String = relay
        .public
        .iter()
        .take(3)
        .map(|at| format!("seed: \"{at}\" "))
        .collect();
    let fleet = format!(
        "fleet {{ name: \"n{n}\" listen: \"{}\" address: \"{}\" {seeds} voter: \"n0\" voter: \"n1\" voter: \"n2\"
           key: \"{FLEET_KEY}\" fresh: true version: \"v1\"
           timing {{ period_s: 0.4 timeout_s: 0.12 lead_s: 1 settle_s: 1 late_s: 0.3 }}
           zones {{ sure_s: 0.5 step_s: 1 hold_s: 1 term_s: 2 }} }}",
        relay.private[n], relay.public[n]
    );
    match variant {
        Variant::Agreed => format!("{zones}\n{fleet}"),
        Variant::Alone => zones.into(),
        Variant::Neither => String::new(),
    }
}

fn start(exe: &Path, course: &ZoneCutPlan, variant: Variant) -> Site {
    let world = Arc::new(RunContext::default());
    let spec = EngineSpec {
        cold_from: 0.25,
        warm_after: WARM_UP_MS,
        progress_interval_ms: 100.0,
        ..EngineSpec::default()
    };
    let engines: Vec<Engine> = (0..2 * ZONES)
        .map(|n| {
            Engine::start(
                &format!("s-{n}"),
                spec,
                course.seed * 100 + n as u64,
                world.clone(),
            )
        })
        .collect();
    // All are warm at first: their start lies back.
    thread::sleep(Duration::from_millis(10));
    let relay = Relay::start(course.dispatchers, 500.0, course.seed);
    relay.set_conditions(LinkConditions {
        loss: course.loss,
        delay: 1.0,
        ..LinkConditions::GOOD
    });
    let links: Vec<Vec<EngineLink>> = (0..course.dispatchers)
        .map(|_| {
            engines
                .iter()
                .map(|e| EngineLink::start(e.address))
                .collect()
        })
        .collect();
    let listens: Vec<SocketAddr> = (0..course.dispatchers).map(|_| free_address()).collect();
    let classes = [class(
        "look",
        LATENCY_OBJECTIVE_MS,
        MAX_WAIT_MS,
        "read_like",
    )];
    let operators: Vec<String> = (0..course.dispatchers)
        .map(|n| operator(variant, n, &relay))
        .collect();
    let files: Vec<TempFile> = operators
        .iter()
        .map(|text| TempFile::new("zones.textproto", text))
        .collect();
    let programs: Vec<Program> = (0..course.dispatchers)
        .map(|n| {
            let known: Vec<_> = engines
                .iter()
                .zip(&links[n])
                .map(|(e, l)| (e.id.clone(), l.address))
                .collect();
            let mut config = Config::new(listens[n], &known, &classes, &[1])
                .with("seed", format!("{:x}", course.seed * 1000 + n as u64 + 1))
                .with("settings.balancers", course.dispatchers)
                .with("settings.zone", format!("h{}", n % ZONES))
                .with("settings.limits.probes", true)
                .with("settings.family-info.tells-every-us", 100_000);
            for e in 0..engines.len() {
                config = config.with(
                    &format!("known.cmds.0.nodes.instances.{e}.zone"),
                    format!("h{}", e % ZONES),
                );
            }
            let path = files[n].0.display().to_string();
            Program::launch(exe, &config, &["--operator", &path], Stdio::null())
        })
        .collect();
    programs.iter().for_each(Program::wait_until_healthy);
    Site {
        programs,
        _files: files,
        listens,
        engines,
        links,
        relay,
        operators,
        world,
    }
}

impl Site {
    /// Cuts or heals zone h0: from all outside it, links to engines and between dispatchers.
    fn cut(&self, cut: bool) {
        for (n, links) in self
            .links
            .iter()
            .enumerate()
            .filter(|(n, _)| n % ZONES != 0)
        {
            let _ = n;
            links
                .iter()
                .enumerate()
                .filter(|(e, _)| e % ZONES == 0)
                .for_each(|(_, link)| link.set_cut(cut));
        }
        for links in self.links.iter().step_by(ZONES) {
            links
                .iter()
                .enumerate()
                .filter(|(e, _)| e % ZONES != 0)
                .for_each(|(_, link)| link.set_cut(cut));
        }
        if cut {
            let inside: Vec<usize> = (0..self.links.len()).step_by(ZONES).collect();
            self.relay.cut(&inside, false);
        } else {
            self.relay.heal();
        }
    }

    fn zones_out(&self, n: usize) -> Option<u64> {
        self.programs[n].counter("fleet_zones_out")
    }
}

/// Plays one run of one variant.
pub fn play(exe: &Path, course: ZoneCutPlan, variant: Variant) -> ZoneCutReport {
    let site = start(exe, &course, variant);
    // Leaders are elected, members found, engines warm.
    thread::sleep(Duration::from_millis(6000));
    let warm = Instant::now();
    let over = AtomicBool::new(false);
    let cycle = Mutex::new(ZoneCutReport::default());
    let next = AtomicU64::new(1);
    let begin = Instant::now();
    let ms = || begin.elapsed().as_secs_f64() * 1000.0;
    let (cut_at, heal_at) = (course.cut_at, course.cut_at + course.cut_for);
    let phase = |at: f64| match at {
        at if at < cut_at => 0,
        at if at < heal_at => 1,
        at if at < heal_at + 10_000.0 => 2,
        _ => 3,
    };
    let outside: Vec<usize> = (0..course.dispatchers).filter(|n| n % ZONES != 0).collect();
    let _ = warm;
    thread::scope(|scope| {
        // Clients come to those outside: what runs in the zone is what the fleet sends there. Some see far more.
        let clients = 64;
        for k in 0..clients {
            let (site, outside, over, cycle, next) = (&site, &outside, &over, &cycle, &next);
            scope.spawn(move || {
                let mut rng = Pcg32::seed_from_u64(course.seed * 7919 + k as u64);
                let record = Record::default();
                let pause = clients as f64 / course.rate;
                while !over.load(Ordering::Relaxed) {
                    let draw: f64 = rng.random();
                    let n = outside[((draw * draw) * outside.len() as f64) as usize];
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    let mut query =
                        ClientQuery::new(id, "/invoke/look", "look", "select 1", MAX_WAIT_MS);
                    query.cost = Some(WORK_MS);
                    let work = WORK_MS * rng.random_range(0.5..1.5);
                    let truth = QueryWork {
                        work,
                        threads: 1.0,
                        changes: false,
                        tables: 0,
                    };
                    site.world
                        .works
                        .lock()
                        .expect("no holder panics")
                        .insert(query.id(), truth);
                    let at = ms();
                    let got = send_query(site.listens[n], &query, &record);
                    let mut cycle = cycle.lock().expect("no holder panics");
                    cycle.all[phase(at)] += 1;
                    match got {
                        Some(got) if got.status == 200 && got.took <= LATENCY_OBJECTIVE_MS => {
                            cycle.good[phase(at)] += 1
                        }
                        Some(_) => {}
                        None => cycle.lost += 1,
                    }
                    drop(cycle);
                    let pause = pause * rng.random_range(0.3..1.7);
                    thread::sleep(Duration::from_secs_f64(pause));
                }
            });
        }
        let (mut cut, mut healed) = (false, false);
        while ms() < course.lasts() {
            thread::sleep(Duration::from_millis(30));
            let now = ms();
            if !cut && now >= cut_at {
                cut = true;
                site.cut(true);
            }
            if cut && !healed && now >= heal_at {
                healed = true;
                // They come back cold: whatever ran there is gone.
                site.engines
                    .iter()
                    .step_by(ZONES)
                    .for_each(Engine::restart_cold);
                site.cut(false);
            }
            if healed && now < heal_at + 3000.0 {
                let most = site
                    .engines
                    .iter()
                    .step_by(ZONES)
                    .map(Engine::threads)
                    .fold(0.0, f64::max);
                let mut cycle = cycle.lock().expect("no holder panics");
                cycle.peak = cycle.peak.max(most);
            }
            if variant == Variant::Agreed && cut {
                let all = |want: u64| outside.iter().all(|n| site.zones_out(*n) == Some(want));
                let known = cycle.lock().expect("no holder panics").clone();
                if !healed && known.left.is_none() && all(1) {
                    cycle.lock().expect("no holder panics").left = Some(ms() - cut_at);
                }
                if healed
                    && known.left.is_some()
                    && known.whole.is_none()
                    && now > heal_at + 1000.0
                    && all(0)
                {
                    cycle.lock().expect("no holder panics").whole = Some(ms() - heal_at);
                }
                if healed && known.whole.is_none() {
                    let sum = shares(exe, &site.operators[1]);
                    let mut cycle = cycle.lock().expect("no holder panics");
                    cycle.over = cycle.over.max(sum);
                }
            }
        }
        over.store(true, Ordering::Relaxed);
    });
    site.links.iter().flatten().for_each(EngineLink::stop);
    site.engines.iter().for_each(Engine::stop);
    drop(site);
    cycle.into_inner().unwrap_or_default()
}

/// What the leader says that the shares of returning zones add up to.
fn shares(exe: &Path, operator: &str) -> f64 {
    let file = TempFile::new("ask.textproto", operator);
    let path = file.0.display().to_string();
    let output = Command::new(exe)
        .args(["fleet", "zones", "--operator", &path])
        .output();
    let text = output
        .map(|o| String::from_utf8_lossy(&o.stdout).into_owned())
        .unwrap_or_default();
    let of = |line: &str| {
        line.split_whitespace()
            .skip_while(|w| *w != "shares")
            .nth(1)?
            .parse::<f64>()
            .ok()
    };
    text.lines().filter_map(of).fold(0.0, f64::max)
}

/// All arms on the same seeds, as a table.
pub fn compare(
    exe: &Path,
    seeds: std::ops::Range<u64>,
    of: impl Fn(u64) -> ZoneCutPlan,
) -> (String, bool) {
    let mut text = String::new();
    let mut broken = false;
    for variant in [Variant::Agreed, Variant::Alone, Variant::Neither] {
        for seed in seeds.clone() {
            let cycle = play(exe, of(seed), variant);
            let part = |n: usize| cycle.good[n] as f64 / cycle.all[n].max(1) as f64;
            let time =
                |at: Option<f64>| at.map_or("-".into(), |at| format!("{:.1} s", at / 1000.0));
            let _ = writeln!(
                text,
                "{variant:?} seed {seed}: in target before {:.3}, cut {:.3}, return {:.3}, after {:.3}; peak on a cold engine \
                 {:.0} threads; left after {}, whole after {}; shares at most {:.2}; without an answer {}",
                part(0),
                part(1),
                part(2),
                part(3),
                cycle.peak,
                time(cycle.left),
                time(cycle.whole),
                cycle.over,
                cycle.lost
            );
            broken |= variant == Variant::Agreed
                && (cycle.left.is_none()
                    || cycle.whole.is_none()
                    || cycle.over > 1.001
                    || cycle.lost > 0);
        }
    }
    (text, broken)
}
