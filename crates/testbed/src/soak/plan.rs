//! What a soak plays: how many processes and engines, and which faults when, all drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt;
use std::ops::RangeInclusive;

/// What a run may inject; `--faults` chooses among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultFamily {
    /// Engines that slow down, fail, fall silent, reset or answer noise.
    Engines,
    /// Engines that drain, leave, join cold or are replaced under their address.
    Endpoints,
    /// Links to engines that are cut, reset, split, forget or come up late.
    Links,
    /// A name service that is silent, slow or old.
    Names,
    /// SIGTERM, SIGKILL, SIGSTOP and SIGCONT, SIGHUP.
    Signals,
    /// Steps of the wall clock.
    Clock,
    /// System calls that fail, are interrupted or fall short.
    Calls,
    /// Clients that leave together.
    Clients,
}

/// A fault, and whom it hits. Numbers are taken modulo what is there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// An engine runs so many times slower.
    SlowEngine(usize, f64),
    /// A fraction of an engine's queries ends with an error.
    FailingEngine(usize, f64),
    /// An engine answers nothing.
    SilentEngine(usize),
    /// A fraction of an engine's requests ends its connection.
    ResettingEngine(usize, f64),
    /// A fraction of an engine's answers is noise.
    SpoilingEngine(usize, f64),
    /// A fraction of an engine's queries is answered as full.
    FullEngine(usize, f64),
    /// An engine drains, then is gone, and comes back cold.
    DrainEngine(usize),
    /// Another engine starts under an engine's address, cold.
    ReplaceEngine(usize),
    /// A further engine joins, cold.
    JoinEngine,
    /// What dispatchers send to an engine is swallowed.
    CutToEngine(usize),
    /// What an engine answers is swallowed.
    CutFromEngine(usize),
    /// All connections to an engine are reset, and then as they come for a while.
    ResetLink(usize),
    /// Bytes come in small pieces.
    SplitLink(usize),
    /// Connections that idle are forgotten without a sign.
    ForgetIdle(usize),
    /// Connections come up late.
    LateConnects(usize),
    /// The name service is silent.
    SilentNames,
    /// It answers late (ms).
    SlowNames(u64),
    /// A dispatcher is told to end and another takes its place at once.
    Restart(usize),
    /// A dispatcher ends by SIGKILL and is started again.
    Crash(usize),
    /// A dispatcher is stopped for this time (ms).
    Stall(usize, u64),
    /// A dispatcher gets so many SIGHUPs in a row, some with half a file.
    Reload(usize, u32),
    /// A dispatcher's wall clock is stepped (s).
    StepClock(usize, i64),
    /// One call in twenty of a dispatcher is interrupted.
    Interrupt(usize),
    /// One call in twenty of a dispatcher lacks buffers.
    NoBuffers(usize),
    /// Reads and writes of a dispatcher are short.
    ShortCalls(usize),
    /// A dispatcher's accepts and sockets fail.
    FailAccepts(usize),
    /// The clients of a dispatcher leave.
    ClientsLeave(usize),
}

impl fmt::Display for SoakFault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// When it begins (ms).
    pub at_ms: f64,
    /// How long it lasts (ms), where it lasts.
    pub for_ms: f64,
    /// What it is.
    pub fault: SoakFault,
}

/// A run's plan.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakPlan {
    /// Its seed.
    pub seed: u64,
    /// Dispatchers.
    pub dispatchers: usize,
    /// Engines at the start.
    pub engines: usize,
    /// How long clients ask (s).
    pub seconds: f64,
    /// Whether engines send notes, clients tell estimates, and attempts can be cancelled.
    pub settings: SoakSettings,
    /// The faults, by their begin.
    pub faults: Vec<PlannedFault>,
}

/// What differs between runs in the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SoakSettings {
    /// Engines send notes on running queries.
    pub has_notes: bool,
    /// Clients tell the cost.
    pub has_estimates: bool,
    /// Attempts may be cancelled.
    pub allows_cancels: bool,
    /// Engines may be health-checked.
    pub allows_probes: bool,
}

/// Longest outage (s); played where a run is long enough.
const LONG_OUTAGE_S: f64 = 30.0;

impl SoakPlan {
    /// The plan of a seed.
    pub fn draw(
        seed: u64,
        processes: &RangeInclusive<usize>,
        seconds: f64,
        families: &[FaultFamily],
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let dispatchers = rng.random_range(processes.clone());
        let engines = rng.random_range(5..9);
        let settings = SoakSettings {
            has_notes: rng.random_bool(0.6),
            has_estimates: rng.random_bool(0.7),
            allows_cancels: rng.random_bool(0.8),
            allows_probes: rng.random_bool(0.6),
        };
        let mut faults = Vec::new();
        // Between two and three overlap at any time, on average; some runs begin with a quiet time.
        let quiet_ms = if rng.random_bool(0.2) {
            0.35 * seconds * 1000.0
        } else {
            500.0
        };
        let count = (seconds * 1.6) as usize + 3;
        for _ in 0..count {
            let family = families[rng.random_range(0..families.len())];
            let at_ms = rng.random_range(quiet_ms..(seconds * 1000.0 - 300.0).max(quiet_ms + 1.0));
            let for_ms = rng.random_range(300.0..2600.0);
            let fault = draw_fault(family, dispatchers, engines, &mut rng);
            faults.push(PlannedFault {
                at_ms,
                for_ms,
                fault,
            });
        }
        if seconds > 1.3 * LONG_OUTAGE_S && families.contains(&FaultFamily::Names) {
            faults.push(PlannedFault {
                at_ms: 2000.0,
                for_ms: LONG_OUTAGE_S * 1000.0,
                fault: SoakFault::SilentNames,
            });
        }
        faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        SoakPlan {
            seed,
            dispatchers,
            engines,
            seconds,
            settings,
            faults,
        }
    }

    /// The plan without one of its faults, for shrinking.
    pub fn without(&self, nth: usize) -> Self {
        let mut plan = self.clone();
        plan.faults.remove(nth);
        plan
    }
}

fn draw_fault(
    family: FaultFamily,
    dispatchers: usize,
    engines: usize,
    rng: &mut Pcg64,
) -> SoakFault {
    let d = rng.random_range(0..dispatchers);
    let e = rng.random_range(0..engines);
    let fraction = rng.random_range(0.2..0.8);
    match family {
        FaultFamily::Engines => match rng.random_range(0..6) {
            0 => SoakFault::SlowEngine(e, rng.random_range(3.0..10.0)),
            1 => SoakFault::FailingEngine(e, fraction),
            2 => SoakFault::SilentEngine(e),
            3 => SoakFault::ResettingEngine(e, fraction),
            4 => SoakFault::SpoilingEngine(e, fraction),
            _ => SoakFault::FullEngine(e, fraction),
        },
        FaultFamily::Endpoints => match rng.random_range(0..3) {
            0 => SoakFault::DrainEngine(e),
            1 => SoakFault::ReplaceEngine(e),
            _ => SoakFault::JoinEngine,
        },
        FaultFamily::Links => match rng.random_range(0..6) {
            0 => SoakFault::CutToEngine(e),
            1 => SoakFault::CutFromEngine(e),
            2 => SoakFault::ResetLink(e),
            3 => SoakFault::SplitLink(e),
            4 => SoakFault::ForgetIdle(e),
            _ => SoakFault::LateConnects(e),
        },
        FaultFamily::Names => match rng.random_range(0..2) {
            0 => SoakFault::SilentNames,
            _ => SoakFault::SlowNames(rng.random_range(100..2500)),
        },
        FaultFamily::Signals => match rng.random_range(0..5) {
            0 | 1 => SoakFault::Restart(d),
            2 => SoakFault::Crash(d),
            3 => SoakFault::Stall(d, rng.random_range(50..350)),
            _ => SoakFault::Reload(d, rng.random_range(1..12)),
        },
        FaultFamily::Clock => {
            let steps = [-3600, -40, -3, 3, 40, 3600];
            SoakFault::StepClock(d, steps[rng.random_range(0..steps.len())])
        }
        FaultFamily::Calls => match rng.random_range(0..4) {
            0 => SoakFault::Interrupt(d),
            1 => SoakFault::NoBuffers(d),
            2 => SoakFault::ShortCalls(d),
            _ => SoakFault::FailAccepts(d),
        },
        FaultFamily::Clients => SoakFault::ClientsLeave(d),
    }
}
