//! Cuts a zone off and heals it, on real processes. Three variants run on the same seeds: the fleet evacuates the zone
//! by agreement, each dispatcher decides alone, or dispatchers ignore zones.
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

/// Number of zones, to which dispatchers and engines are assigned round-robin.
const ZONES: usize = 3;
/// Mean work of a look-up on one core (ms).
const WORK_MS: f64 = 40.0;
/// Number of clients, each with one query at a time.
const CLIENTS: usize = 64;
/// Time before the run starts, for the election of leaders, the discovery of members and the warm-up of engines.
const SETTLING: Duration = Duration::from_millis(6000);
/// Interval at which a run is observed.
const WATCH_INTERVAL: Duration = Duration::from_millis(30);
/// Length of the phase after the cut that is reported separately (ms).
const RETURN_PHASE_MS: f64 = 10_000.0;
/// Time after the end of the cut in which the peak load of a returning engine is measured (ms).
const PEAK_PHASE_MS: f64 = 3000.0;
/// Maximum valid sum of the shares of returning zones: 1, with a tolerance for floating-point error.
const MAX_SHARE_SUM: f64 = 1.001;

/// How dispatchers treat a zone that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The fleet evacuates and restores the zone by agreement.
    Agreed,
    /// Each dispatcher decides alone.
    Alone,
    /// Dispatchers ignore zones.
    Neither,
}

/// The parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct ZoneCutPlan {
    /// The seed of all random draws.
    pub seed: u64,
    /// Number of dispatchers, which are assigned to zones round-robin.
    pub dispatchers: usize,
    /// Queries per second to all dispatchers together.
    pub queries_per_s: f64,
    /// Start of the cut (ms after the start of the run).
    pub cut_at_ms: f64,
    /// Duration of the cut (ms).
    pub cut_for_ms: f64,
    /// Duration of the run after the cut (ms).
    pub after_ms: f64,
    /// Probability that a datagram between dispatchers is lost, for the whole run.
    pub loss: f64,
}

impl ZoneCutPlan {
    /// A cut of 7 s in a run of 35 s.
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

    fn duration_ms(&self) -> f64 {
        self.cut_at_ms + self.cut_for_ms + self.after_ms
    }

    /// The phase of the run: 0 before the cut, 1 during the cut, 2 in the first 10 s after the cut, then 3.
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

    /// Indices of the dispatchers outside the zone that is cut.
    fn outside(&self) -> Vec<usize> {
        (0..self.dispatchers)
            .filter(|dispatcher| dispatcher % ZONES != 0)
            .collect()
    }
}

/// The observations of one run.
#[derive(Debug, Clone, Default)]
pub struct ZoneCutReport {
    /// Number of queries answered within their latency objective, by phase.
    pub in_time: [u64; 4],
    /// Number of queries sent, by phase.
    pub sent: [u64; 4],
    /// Maximum number of threads on one engine of the zone in the first 3 s after the end of the cut.
    pub peak_threads: f64,
    /// Time at which all dispatchers outside the zone had evacuated it (ms after the start of the cut).
    pub evacuated_after_ms: Option<f64>,
    /// Time at which all dispatchers outside the zone used it fully again (ms after the end of the cut).
    pub restored_after_ms: Option<f64>,
    /// Maximum sum of the shares of returning zones.
    pub max_share_sum: f64,
    /// Number of queries without an answer.
    pub unanswered: u64,
}

impl ZoneCutReport {
    fn record(&mut self, phase: usize, response: Option<&ClientResponse>) {
        self.sent[phase] += 1;
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

    /// Whether the zone was not evacuated or not restored, the shares were too large, or a query had no answer.
    fn is_failed(&self) -> bool {
        self.evacuated_after_ms.is_none()
            || self.restored_after_ms.is_none()
            || self.max_share_sum > MAX_SHARE_SUM
            || self.unanswered > 0
    }

    fn line(&self, variant: Variant, seed: u64) -> String {
        let in_time = |phase: usize| self.in_time[phase] as f64 / self.sent[phase].max(1) as f64;
        let time = |at_ms: Option<f64>| {
            at_ms.map_or("-".into(), |at_ms| format!("{:.1} s", at_ms / 1000.0))
        };
        format!(
            "{variant:?} seed {seed}: in time: before {:.3}, cut {:.3}, return {:.3}, after {:.3}; max threads on a cold \
             engine {:.0}; evacuated after {}, restored after {}; shares at most {:.2}; unanswered {}",
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

/// One run: the site, the state shared by its clients, and the observations.
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
        self.report.lock().expect("the lock is not poisoned")
    }

    /// Sends queries only to dispatchers outside the zone, so that all work in the zone was placed there from outside.
    /// The first dispatchers get far more queries than the last ones.
    fn run_client(&self, number: usize) {
        let plan = &self.site.plan;
        let outside = plan.outside();
        let mut rng = Pcg32::seed_from_u64(plan.seed * 7919 + number as u64);
        let record = Record::default();
        let mean_pause_s = CLIENTS as f64 / plan.queries_per_s;
        while !self.over.load(Ordering::Relaxed) {
            let draw: f64 = rng.random();
            let dispatcher = outside[((draw * draw) * outside.len() as f64) as usize];
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", MAX_WAIT_MS);
            query.cost = Some(WORK_MS);
            let work = QueryWork {
                result: ResultShape::OneRow,
                work_ms: WORK_MS * rng.random_range(0.5..1.5),
                threads: 1.0,
                changes_tables: false,
                tables: 0,
            };
            self.site.context.register(query.id(), work);
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
        while self.elapsed_ms() < plan.duration_ms() {
            thread::sleep(WATCH_INTERVAL);
            let now_ms = self.elapsed_ms();
            if !cut && now_ms >= plan.cut_at_ms {
                cut = true;
                self.site.set_cut(true);
            }
            if cut && !healed && now_ms >= plan.heal_at_ms() {
                healed = true;
                // The engines return cold. Queries that still run on them continue.
                self.site.engines_inside().for_each(Engine::restart_cold);
                self.site.set_cut(false);
            }
            if healed && now_ms < plan.heal_at_ms() + PEAK_PHASE_MS {
                let threads = self.site.engines_inside().map(Engine::running_threads);
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

    /// Records the times at which all dispatchers outside have evacuated the zone and use it again, and the maximum sum
    /// of shares.
    fn observe_agreement(&self, healed: bool, now_ms: f64) {
        let plan = &self.site.plan;
        let observed = self.report().clone();
        if !healed {
            if observed.evacuated_after_ms.is_none() && self.site.all_outside_report(1) {
                let after_ms = self.elapsed_ms() - plan.cut_at_ms;
                self.report().evacuated_after_ms = Some(after_ms);
            }
            return;
        }
        if observed.restored_after_ms.is_some() {
            return;
        }
        let is_settled =
            observed.evacuated_after_ms.is_some() && now_ms > plan.heal_at_ms() + 1000.0;
        if is_settled && self.site.all_outside_report(0) {
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

/// The sum of the shares of returning zones, as the leader reports it; 0 if the command fails.
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

/// Runs all variants on the same seeds. The outcome is failed if the agreed variant did not evacuate or restore the
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
