//! A zone cut and returned, on real processes: evacuated by agreement, judged by each dispatcher alone, and neither, on
//! the same seeds.
//!
//! Start reading at [`compare`], then at [`play`].

use super::links::LinkConditions;
use super::relay::{EngineLink, Relay};
use super::{RunsOutcome, FLEET_KEY};
use crate::client::{send_query, ClientQuery, ClientResponse};
use crate::engine::{Engine, EngineSpec, QueryWork, RunContext};
use crate::program::{class, free_address, Config, Program, TempFile};
use crate::record::Record;
use crate::setup;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const ENGINES: usize = 2 * ZONES;
/// How long a restarted engine warms up (ms).
const WARM_UP_MS: f64 = 15_000.0;
/// Mean work of a look-up on one core, its latency objective and its longest wait (ms).
const WORK_MS: f64 = 40.0;
const LATENCY_OBJECTIVE_MS: f64 = 300.0;
const MAX_WAIT_MS: f64 = 1500.0;
const CLIENTS: usize = 64;
/// Until leaders are elected, members known and engines warm.
const SETTLING: Duration = Duration::from_millis(6000);
/// How often a run is watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(30);
/// The phase after the cut that is told apart from the rest, and the one in which the load peak is taken (ms).
const RETURN_PHASE_MS: f64 = 10_000.0;
const PEAK_PHASE_MS: f64 = 3000.0;
/// Shares of returning zones may add up to this at most; floats do not meet 1 exactly.
const MAX_SHARE_SUM: f64 = 1.001;

/// How dispatchers treat a zone that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The fleet evacuates it and lets it back in by agreement.
    Agreed,
    /// Each dispatcher judges alone.
    Alone,
    /// Zones mean nothing.
    Neither,
}

/// What one run is played with.
#[derive(Debug, Clone, Copy)]
pub struct ZoneCutPlan {
    /// All randomness comes from it.
    pub seed: u64,
    /// Dispatchers, spread over zones in turn.
    pub dispatchers: usize,
    /// Requests a second to all dispatchers together.
    pub queries_per_s: f64,
    /// When the cut begins (ms).
    pub cut_at_ms: f64,
    /// How long the cut lasts (ms).
    pub cut_for_ms: f64,
    /// How long the run goes on after the cut (ms).
    pub after_ms: f64,
    /// Loss between dispatchers, all the time.
    pub loss: f64,
}

impl ZoneCutPlan {
    /// A cut of seven seconds in a run of half a minute.
    pub fn short(seed: u64) -> Self {
        ZoneCutPlan {
            seed,
            dispatchers: 6,
            queries_per_s: 400.0,
            cut_at_ms: 4000.0,
            cut_for_ms: 7000.0,
            after_ms: 24_000.0,
            loss: 0.0,
        }
    }

    fn heal_at_ms(&self) -> f64 {
        self.cut_at_ms + self.cut_for_ms
    }

    fn lasts_ms(&self) -> f64 {
        self.cut_at_ms + self.cut_for_ms + self.after_ms
    }

    /// 0 before the cut, 1 during it, 2 in the first ten seconds after it, then 3.
    fn phase(&self, at_ms: f64) -> usize {
        if at_ms < self.cut_at_ms {
            0
        } else if at_ms < self.heal_at_ms() {
            1
        } else if at_ms < self.heal_at_ms() + RETURN_PHASE_MS {
            2
        } else {
            3
        }
    }

    /// Dispatchers outside the zone that is cut.
    fn outside(&self) -> Vec<usize> {
        (0..self.dispatchers).filter(|n| n % ZONES != 0).collect()
    }
}

/// What was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct ZoneCutReport {
    /// Queries answered within their objective, by phase.
    pub in_time: [u64; 4],
    /// Queries asked, by phase.
    pub asked: [u64; 4],
    /// Most threads on one engine of the zone in the three seconds after its return.
    pub peak_threads: f64,
    /// When all dispatchers outside had left the zone (ms after the cut's begin).
    pub evacuated_after_ms: Option<f64>,
    /// When all used it fully again (ms after the cut's end).
    pub restored_after_ms: Option<f64>,
    /// The most that the shares of returning zones added up to.
    pub max_share_sum: f64,
    /// Queries without an answer.
    pub unanswered: u64,
}

impl ZoneCutReport {
    fn record(&mut self, phase: usize, response: Option<&ClientResponse>) {
        self.asked[phase] += 1;
        match response {
            Some(response)
                if response.status == 200 && response.latency_ms <= LATENCY_OBJECTIVE_MS =>
            {
                self.in_time[phase] += 1;
            }
            Some(_) => {}
            None => self.unanswered += 1,
        }
    }

    /// Whether the agreed variant did not do what it promises.
    fn is_failed(&self) -> bool {
        self.evacuated_after_ms.is_none()
            || self.restored_after_ms.is_none()
            || self.max_share_sum > MAX_SHARE_SUM
            || self.unanswered > 0
    }

    fn line(&self, variant: Variant, seed: u64) -> String {
        let in_time = |phase: usize| self.in_time[phase] as f64 / self.asked[phase].max(1) as f64;
        let time = |at_ms: Option<f64>| {
            at_ms.map_or("-".into(), |at_ms| format!("{:.1} s", at_ms / 1000.0))
        };
        format!(
            "{variant:?} seed {seed}: in target before {:.3}, cut {:.3}, return {:.3}, after {:.3}; peak on a cold engine \
             {:.0} threads; left after {}, whole after {}; shares at most {:.2}; without an answer {}",
            in_time(0),
            in_time(1),
            in_time(2),
            in_time(3),
            self.peak_threads,
            time(self.evacuated_after_ms),
            time(self.restored_after_ms),
            self.max_share_sum,
            self.unanswered
        )
    }
}

/// The operators' file of dispatcher `n`.
fn operator_text(variant: Variant, n: usize, relay: &Relay) -> String {
    let zones = "halls { route { tier { hall: \"h0\" hall: \"h1\" hall: \"h2\" } } cut { quiet_s: 0.6 } climb { first: 0.1 over_s: 8 whole: 2 } }";
    let seeds: String = relay
        .public
        .iter()
        .take(3)
        .map(|address| format!("seed: \"{address}\" "))
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

/// The configuration of dispatcher `n`, which knows each engine by the address of its own link.
fn configuration(
    plan: &ZoneCutPlan,
    n: usize,
    listen: SocketAddr,
    engines: &[Engine],
    links: &[EngineLink],
) -> Config {
    let known: Vec<_> = engines
        .iter()
        .zip(links)
        .map(|(engine, link)| (engine.id.clone(), link.address))
        .collect();
    let classes = [class(
        "look",
        LATENCY_OBJECTIVE_MS,
        MAX_WAIT_MS,
        "read_like",
    )];
    let mut config = Config::new(listen, &known, &classes, &[1])
        .with("seed", format!("{:x}", plan.seed * 1000 + n as u64 + 1))
        .with("settings.balancers", plan.dispatchers)
        .with("settings.zone", format!("h{}", n % ZONES))
        .with("settings.limits.probes", true)
        .with("settings.family-info.tells-every-us", 100_000);
    for engine in 0..engines.len() {
        config = config.with(
            &format!("known.cmds.0.nodes.instances.{engine}.zone"),
            format!("h{}", engine % ZONES),
        );
    }
    config
}

/// Dispatchers, engines and the links between them.
struct Site {
    plan: ZoneCutPlan,
    programs: Vec<Program>,
    _operator_files: Vec<TempFile>,
    listen_addresses: Vec<SocketAddr>,
    engines: Vec<Engine>,
    /// For each dispatcher, its links to the engines.
    engine_links: Vec<Vec<EngineLink>>,
    relay: Relay,
    operator_texts: Vec<String>,
    context: Arc<RunContext>,
}

impl Site {
    fn start(exe: &Path, plan: ZoneCutPlan, variant: Variant) -> Self {
        let context = Arc::new(RunContext::default());
        let spec = EngineSpec {
            cold_from: 0.25,
            warm_after: WARM_UP_MS,
            progress_interval_ms: 100.0,
            ..EngineSpec::default()
        };
        let engines = setup::start_engines(ENGINES, spec, plan.seed * 100, &context);
        thread::sleep(Duration::from_millis(10));
        let relay = Relay::start(plan.dispatchers, 500.0, plan.seed);
        relay.set_conditions(LinkConditions {
            loss: plan.loss,
            delay: 1.0,
            ..LinkConditions::GOOD
        });
        let engine_links: Vec<Vec<EngineLink>> = (0..plan.dispatchers)
            .map(|_| {
                engines
                    .iter()
                    .map(|engine| EngineLink::start(engine.address))
                    .collect()
            })
            .collect();
        let listen_addresses: Vec<SocketAddr> =
            (0..plan.dispatchers).map(|_| free_address()).collect();
        let operator_texts: Vec<String> = (0..plan.dispatchers)
            .map(|n| operator_text(variant, n, &relay))
            .collect();
        let operator_files: Vec<TempFile> = operator_texts
            .iter()
            .map(|text| TempFile::new("zones.textproto", text))
            .collect();
        let programs: Vec<Program> = (0..plan.dispatchers)
            .map(|n| {
                let config =
                    configuration(&plan, n, listen_addresses[n], &engines, &engine_links[n]);
                let path = operator_files[n].0.display().to_string();
                Program::launch(exe, &config, &["--operator", &path], Stdio::null())
            })
            .collect();
        programs.iter().for_each(Program::wait_until_healthy);
        Site {
            plan,
            programs,
            _operator_files: operator_files,
            listen_addresses,
            engines,
            engine_links,
            relay,
            operator_texts,
            context,
        }
    }

    /// Cuts zone h0 off from all outside it, or heals it: links to engines and between dispatchers.
    fn set_cut(&self, cut: bool) {
        for (dispatcher, links) in self.engine_links.iter().enumerate() {
            for (engine, link) in links.iter().enumerate() {
                let dispatcher_inside = dispatcher % ZONES == 0;
                let engine_inside = engine % ZONES == 0;
                if dispatcher_inside != engine_inside {
                    link.set_cut(cut);
                }
            }
        }
        if cut {
            let inside: Vec<usize> = (0..self.engine_links.len()).step_by(ZONES).collect();
            self.relay.cut(&inside, false);
        } else {
            self.relay.heal();
        }
    }

    fn engines_inside(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().step_by(ZONES)
    }

    /// Whether all dispatchers outside count so many zones as evacuated.
    fn all_outside_count(&self, evacuated: u64) -> bool {
        self.plan
            .outside()
            .iter()
            .all(|n| self.programs[*n].counter("fleet_zones_out") == Some(evacuated))
    }

    fn stop(&self) {
        for link in self.engine_links.iter().flatten() {
            link.stop();
        }
        self.engines.iter().for_each(Engine::stop);
    }
}

/// One run: the site, its clients and what is observed.
struct ZoneCutRun<'a> {
    exe: &'a Path,
    variant: Variant,
    site: Site,
    begin: Instant,
    over: AtomicBool,
    next_id: AtomicU64,
    report: Mutex<ZoneCutReport>,
}

impl ZoneCutRun<'_> {
    fn elapsed_ms(&self) -> f64 {
        self.begin.elapsed().as_secs_f64() * 1000.0
    }

    fn report(&self) -> MutexGuard<'_, ZoneCutReport> {
        self.report.lock().expect("no holder panics")
    }

    /// A client of dispatchers outside the zone: what runs in the zone is what the fleet sends there. The first
    /// dispatchers get far more queries than the last ones.
    fn run_client(&self, number: usize) {
        let plan = &self.site.plan;
        let outside = plan.outside();
        let mut rng = Pcg32::seed_from_u64(plan.seed * 7919 + number as u64);
        let record = Record::default();
        let mean_pause_s = CLIENTS as f64 / plan.queries_per_s;
        while !self.over.load(Ordering::Relaxed) {
            let lot: f64 = rng.random();
            let n = outside[((lot * lot) * outside.len() as f64) as usize];
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", MAX_WAIT_MS);
            query.cost = Some(WORK_MS);
            let truth = QueryWork {
                work: WORK_MS * rng.random_range(0.5..1.5),
                threads: 1.0,
                changes: false,
                tables: 0,
            };
            self.site.context.register(query.id(), truth);
            let phase = plan.phase(self.elapsed_ms());
            let response = send_query(self.site.listen_addresses[n], &query, &record);
            self.report().record(phase, response.as_ref());
            let pause_s = mean_pause_s * rng.random_range(0.3..1.7);
            thread::sleep(Duration::from_secs_f64(pause_s));
        }
    }

    /// Cuts and heals the zone in their time, and observes what dispatchers make of it.
    fn watch(&self) {
        let plan = self.site.plan;
        let mut cut = false;
        let mut healed = false;
        while self.elapsed_ms() < plan.lasts_ms() {
            thread::sleep(WATCH_INTERVAL);
            let now_ms = self.elapsed_ms();
            if !cut && now_ms >= plan.cut_at_ms {
                cut = true;
                self.site.set_cut(true);
            }
            if cut && !healed && now_ms >= plan.heal_at_ms() {
                healed = true;
                // They come back cold: what ran there is gone.
                self.site.engines_inside().for_each(Engine::restart_cold);
                self.site.set_cut(false);
            }
            if healed && now_ms < plan.heal_at_ms() + PEAK_PHASE_MS {
                let threads = self.site.engines_inside().map(Engine::threads);
                let peak = threads.fold(0.0, f64::max);
                let mut report = self.report();
                report.peak_threads = report.peak_threads.max(peak);
            }
            if self.variant == Variant::Agreed && cut {
                self.observe_agreement(healed, now_ms);
            }
        }
        self.over.store(true, Ordering::Relaxed);
    }

    /// Takes down when all outside have left the zone, when all use it again, and how much they were let in.
    fn observe_agreement(&self, healed: bool, now_ms: f64) {
        let plan = &self.site.plan;
        let known = self.report().clone();
        if !healed {
            if known.evacuated_after_ms.is_none() && self.site.all_outside_count(1) {
                let after_ms = self.elapsed_ms() - plan.cut_at_ms;
                self.report().evacuated_after_ms = Some(after_ms);
            }
            return;
        }
        if known.restored_after_ms.is_some() {
            return;
        }
        let is_settled = known.evacuated_after_ms.is_some() && now_ms > plan.heal_at_ms() + 1000.0;
        if is_settled && self.site.all_outside_count(0) {
            let after_ms = self.elapsed_ms() - plan.heal_at_ms();
            self.report().restored_after_ms = Some(after_ms);
        }
        let sum = share_sum(self.exe, &self.site.operator_texts[1]);
        let mut report = self.report();
        report.max_share_sum = report.max_share_sum.max(sum);
    }
}

/// Plays one run of one variant.
pub fn play(exe: &Path, plan: ZoneCutPlan, variant: Variant) -> ZoneCutReport {
    let site = Site::start(exe, plan, variant);
    thread::sleep(SETTLING);
    let run = ZoneCutRun {
        exe,
        variant,
        site,
        begin: Instant::now(),
        over: AtomicBool::new(false),
        next_id: AtomicU64::new(1),
        report: Mutex::default(),
    };
    thread::scope(|scope| {
        let run = &run;
        for client in 0..CLIENTS {
            scope.spawn(move || run.run_client(client));
        }
        run.watch();
    });
    run.site.stop();
    run.report.into_inner().unwrap_or_default()
}

/// What the leader says that the shares of returning zones add up to.
fn share_sum(exe: &Path, operator_text: &str) -> f64 {
    let file = TempFile::new("ask.textproto", operator_text);
    let path = file.0.display().to_string();
    let output = Command::new(exe)
        .args(["fleet", "zones", "--operator", &path])
        .output();
    let text = output
        .map(|output| String::from_utf8_lossy(&output.stdout).into_owned())
        .unwrap_or_default();
    let shares_of = |line: &str| {
        line.split_whitespace()
            .skip_while(|word| *word != "shares")
            .nth(1)?
            .parse::<f64>()
            .ok()
    };
    text.lines().filter_map(shares_of).fold(0.0, f64::max)
}

/// All variants on the same seeds. The outcome failed where the agreed variant did not evacuate the zone, did not restore
/// it, gave out more than the whole, or left a query without an answer.
pub fn compare(
    exe: &Path,
    seeds: std::ops::Range<u64>,
    plan: impl Fn(u64) -> ZoneCutPlan,
) -> RunsOutcome {
    let mut outcome = RunsOutcome {
        table: String::new(),
        failed: false,
    };
    for variant in [Variant::Agreed, Variant::Alone, Variant::Neither] {
        for seed in seeds.clone() {
            let report = play(exe, plan(seed), variant);
            let _ = writeln!(outcome.table, "{}", report.line(variant, seed));
            outcome.failed |= variant == Variant::Agreed && report.is_failed();
        }
    }
    outcome
}
