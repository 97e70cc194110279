//! A zone is cut and returns, on real processes, in three variants on the same seeds: the fleet evacuates it by agreement,
//! each dispatcher decides alone, or zones have no meaning.
//!
//! Start reading at [`compare`], then at [`run`].

mod site;

use super::dispatcher_setup::{LATENCY_OBJECTIVE_MS, MAX_WAIT_MS};
use super::RunsOutcome;
use crate::client::{send_query, ClientQuery, ClientResponse};
use crate::engine::{Engine, QueryWork, ResultShape};
use crate::program::TempFile;
use crate::record::Record;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use site::Site;
use std::fmt::Write;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Zones over which dispatchers and engines are spread in turn.
const ZONES: usize = 3;
/// Mean work of a look-up on one core (ms).
const WORK_MS: f64 = 40.0;
/// Number of clients, each with one query at a time.
const CLIENTS: usize = 64;
/// Time until leaders are elected, members are known and engines are warm.
const SETTLING: Duration = Duration::from_millis(6000);
/// Interval at which a run is observed.
const WATCH_INTERVAL: Duration = Duration::from_millis(30);
/// Length of the phase after the cut that is reported separately (ms).
const RETURN_PHASE_MS: f64 = 10_000.0;
/// The peak load of a returning engine is taken within this time after the cut's end (ms).
const PEAK_PHASE_MS: f64 = 3000.0;
/// The largest valid sum of the shares of returning zones; sums of floats do not reach 1 exactly.
const MAX_SHARE_SUM: f64 = 1.001;

/// How dispatchers treat a zone that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The fleet evacuates and restores it by agreement.
    Agreed,
    /// Each dispatcher decides alone.
    Alone,
    /// Zones have no meaning.
    Neither,
}

/// The parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct ZoneCutPlan {
    /// The seed of all random draws.
    pub seed: u64,
    /// Number of dispatchers, spread over zones in turn.
    pub dispatchers: usize,
    /// Requests a second to all dispatchers together.
    pub queries_per_s: f64,
    /// When the cut begins (ms).
    pub cut_at_ms: f64,
    /// How long the cut lasts (ms).
    pub cut_for_ms: f64,
    /// Duration of the run after the cut (ms).
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
        (0..self.dispatchers)
            .filter(|dispatcher| dispatcher % ZONES != 0)
            .collect()
    }
}

/// What was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct ZoneCutReport {
    /// Queries answered within their objective, by phase.
    pub in_time: [u64; 4],
    /// Queries sent, by phase.
    pub asked: [u64; 4],
    /// The most threads on one engine of the zone in the three seconds after its return.
    pub peak_threads: f64,
    /// When all dispatchers outside the zone had evacuated it (ms after the cut's begin).
    pub evacuated_after_ms: Option<f64>,
    /// When all dispatchers used the zone fully again (ms after the cut's end).
    pub restored_after_ms: Option<f64>,
    /// The largest sum of the shares of returning zones.
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

    /// Whether the agreed variant failed to evacuate or restore the zone, exceeded its shares or left a query unanswered.
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

    /// Sends queries to dispatchers outside the zone, so that work in the zone is work that the fleet placed there. The
    /// first dispatchers get far more queries than the last ones.
    fn run_client(&self, number: usize) {
        let plan = &self.site.plan;
        let outside = plan.outside();
        let mut rng = Pcg32::seed_from_u64(plan.seed * 7919 + number as u64);
        let record = Record::default();
        let mean_pause_s = CLIENTS as f64 / plan.queries_per_s;
        while !self.over.load(Ordering::Relaxed) {
            let lot: f64 = rng.random();
            let dispatcher = outside[((lot * lot) * outside.len() as f64) as usize];
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", MAX_WAIT_MS);
            query.cost = Some(WORK_MS);
            let truth = QueryWork {
                result: ResultShape::OneRow,
                work: WORK_MS * rng.random_range(0.5..1.5),
                threads: 1.0,
                changes: false,
                tables: 0,
            };
            self.site.context.register(query.id(), truth);
            let phase = plan.phase(self.elapsed_ms());
            let response = send_query(self.site.listen_addresses[dispatcher], &query, &record);
            self.report().record(phase, response.as_ref());
            let pause_s = mean_pause_s * rng.random_range(0.3..1.7);
            thread::sleep(Duration::from_secs_f64(pause_s));
        }
    }

    /// Cuts and heals the zone at the planned times, and observes how dispatchers react.
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
                // The engines return cold, and without the queries that ran on them.
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

    /// Records when all dispatchers outside have evacuated the zone, when all use it again, and the sum of shares.
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

/// Runs one variant once.
pub fn run(exe: &Path, plan: ZoneCutPlan, variant: Variant) -> ZoneCutReport {
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

/// The sum of the shares of returning zones, as the leader reports it.
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

/// Runs all variants on the same seeds. The outcome is failed where the agreed variant did not evacuate or restore the
/// zone, granted shares of more than 1 in total, or left a query without an answer.
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
            let report = run(exe, plan(seed), variant);
            let _ = writeln!(outcome.table, "{}", report.line(variant, seed));
            outcome.failed |= variant == Variant::Agreed && report.is_failed();
        }
    }
    outcome
}
