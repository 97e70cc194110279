//! The plan of a soak's run: how many processes and engines there are, and when which faults are injected. All of it is
//! drawn from a seed.

use crate::engine::ReplyFault;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt;
use std::ops::RangeInclusive;

/// A family of faults; `--faults` selects some of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultFamily {
    /// Engines that slow down, fail, fall silent, reset or answer noise.
    Engines,
    /// Engines that drain, leave, join cold or are replaced under their address.
    Endpoints,
    /// Links to engines that are cut, reset, split, forget or come up late.
    Links,
    /// A name service that is silent, slow or out of date.
    Names,
    /// SIGTERM, SIGKILL, SIGSTOP and SIGCONT, SIGHUP.
    Signals,
    /// Steps of the wall clock.
    Clock,
    /// System calls that fail, are interrupted or fall short.
    Calls,
    /// Clients that leave together.
    Clients,
    /// Replies that are lost, late, repeated, out of order or broken off, and half-closed connections.
    Replies,
}

/// A fault, and the index of the engine or dispatcher that it affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// An engine runs slower by this factor.
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
    /// An engine's replies or connections are faulty.
    FaultyReplies(usize, ReplyFault),
    /// Another engine starts under an engine's address, cold.
    ReplaceEngine(usize),
    /// Another engine joins, cold.
    JoinEngine,
    /// Bytes from dispatchers to an engine are lost.
    CutToEngine(usize),
    /// Bytes from an engine to dispatchers are lost.
    CutFromEngine(usize),
    /// All connections to an engine are reset, and for a while also new ones.
    ResetLink(usize),
    /// Bytes are forwarded in small pieces.
    SplitLink(usize),
    /// Idle connections are dropped silently.
    ForgetIdle(usize),
    /// Connections are established late.
    LateConnects(usize),
    /// The name service is silent.
    SilentNames,
    /// The name service answers with a delay (ms).
    SlowNames(u64),
    /// A dispatcher is terminated and replaced by another at once.
    Restart(usize),
    /// The same, with SIGHUP, SIGTERM again, SIGSTOP and SIGCONT right after the first SIGTERM.
    SignalSeries(usize),
    /// A dispatcher ends by SIGKILL and is started again.
    Crash(usize),
    /// A dispatcher is stopped for this time (ms).
    Stall(usize, u64),
    /// A dispatcher gets this many SIGHUPs in a row, some of them with half a configuration.
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
    /// How long it lasts, for faults that have a duration (ms).
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
    /// How long clients send queries (s).
    pub seconds: f64,
    /// What engines and clients of the run support.
    pub settings: SoakSettings,
    /// The faults, by their begin.
    pub faults: Vec<PlannedFault>,
}

/// The settings that differ between runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SoakSettings {
    /// Whether engines send progress notes.
    pub has_notes: bool,
    /// Whether clients declare the cost of their queries.
    pub has_estimates: bool,
    /// Whether attempts may be cancelled.
    pub allows_cancels: bool,
    /// Whether engines answer health checks.
    pub allows_probes: bool,
    /// The longest deadline of all classes (ms).
    pub max_deadline_ms: f64,
}

impl SoakSettings {
    fn draw(seed: u64, rng: &mut Pcg64) -> Self {
        let mut deadline_rng = Pcg64::seed_from_u64(seed ^ DEADLINE_SEED);
        SoakSettings {
            max_deadline_ms: draw_max_deadline_ms(&mut deadline_rng),
            has_notes: rng.random_bool(0.6),
            has_estimates: rng.random_bool(0.7),
            allows_cancels: rng.random_bool(0.8),
            allows_probes: rng.random_bool(0.6),
        }
    }
}

/// Half of the runs have the longest deadlines that the platform waits for at a termination, the others shorter ones.
fn draw_max_deadline_ms(rng: &mut Pcg64) -> f64 {
    if rng.random_bool(0.5) {
        MAX_DEADLINE_MS
    } else {
        f64::floor(rng.random_range(MIN_DEADLINE_MS..MAX_DEADLINE_MS))
    }
}

/// The shortest of the longest deadlines that are drawn (ms).
const MIN_DEADLINE_MS: f64 = 300.0;
/// The longest deadline for which the platform waits at a termination (ms).
const MAX_DEADLINE_MS: f64 = 3000.0;
/// Makes the deadlines' random numbers differ from the plan's.
const DEADLINE_SEED: u64 = 0x6465_6164;
/// Steps of a dispatcher's wall clock (s).
const CLOCK_STEPS_S: [i64; 6] = [-3600, -40, -3, 3, 40, 3600];
/// Fraction of the runs with faulty replies that have few engines.
const FEW_ENGINES_FRACTION: f64 = 0.5;
/// Duration of the long outage of the name service, which is part of runs that are long enough (s).
const LONG_OUTAGE_S: f64 = 30.0;
/// The long outage of the name service.
const LONG_OUTAGE: PlannedFault = PlannedFault {
    at_ms: 2000.0,
    for_ms: LONG_OUTAGE_S * 1000.0,
    fault: SoakFault::SilentNames,
};

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
        let mut engines = rng.random_range(5..9);
        // Where there are few, a retry goes to the engine that had the attempt before.
        if families.contains(&FaultFamily::Replies) && rng.random_bool(FEW_ENGINES_FRACTION) {
            engines = rng.random_range(1..3);
        }
        let settings = SoakSettings::draw(seed, &mut rng);
        let mut faults = Vec::new();
        // On average two to three faults overlap; some runs begin with a time without faults.
        let quiet_ms = if rng.random_bool(0.2) {
            0.35 * seconds * 1000.0
        } else {
            500.0
        };
        let count = (seconds * 1.6) as usize + 3;
        for _ in 0..count {
            let family = families[rng.random_range(0..families.len())];
            let begin_ms = quiet_ms..(seconds * 1000.0 - 300.0).max(quiet_ms + 1.0);
            faults.push(PlannedFault {
                at_ms: rng.random_range(begin_ms),
                for_ms: rng.random_range(300.0..2600.0),
                fault: draw_fault(family, dispatchers, engines, &mut rng),
            });
        }
        if seconds > 1.3 * LONG_OUTAGE_S && families.contains(&FaultFamily::Names) {
            faults.push(LONG_OUTAGE);
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

/// Draws a fault of a family. Engine, dispatcher and fraction are drawn for every family, so that a run's later draws do
/// not depend on the family.
fn draw_fault(
    family: FaultFamily,
    dispatchers: usize,
    engines: usize,
    rng: &mut Pcg64,
) -> SoakFault {
    let dispatcher = rng.random_range(0..dispatchers);
    let engine = rng.random_range(0..engines);
    let fraction = rng.random_range(0.2..0.8);
    match family {
        FaultFamily::Engines => draw_engine_fault(engine, fraction, rng),
        FaultFamily::Endpoints => match rng.random_range(0..3) {
            0 => SoakFault::DrainEngine(engine),
            1 => SoakFault::ReplaceEngine(engine),
            _ => SoakFault::JoinEngine,
        },
        FaultFamily::Links => draw_link_fault(engine, rng),
        FaultFamily::Names => match rng.random_range(0..2) {
            0 => SoakFault::SilentNames,
            _ => SoakFault::SlowNames(rng.random_range(100..2500)),
        },
        FaultFamily::Signals => match rng.random_range(0..6) {
            0 => SoakFault::SignalSeries(dispatcher),
            1 | 5 => SoakFault::Restart(dispatcher),
            2 => SoakFault::Crash(dispatcher),
            3 => SoakFault::Stall(dispatcher, rng.random_range(50..350)),
            _ => SoakFault::Reload(dispatcher, rng.random_range(1..12)),
        },
        FaultFamily::Clock => {
            let step_s = CLOCK_STEPS_S[rng.random_range(0..CLOCK_STEPS_S.len())];
            SoakFault::StepClock(dispatcher, step_s)
        }
        FaultFamily::Calls => match rng.random_range(0..4) {
            0 => SoakFault::Interrupt(dispatcher),
            1 => SoakFault::NoBuffers(dispatcher),
            2 => SoakFault::ShortCalls(dispatcher),
            _ => SoakFault::FailAccepts(dispatcher),
        },
        FaultFamily::Clients => SoakFault::ClientsLeave(dispatcher),
        FaultFamily::Replies => SoakFault::FaultyReplies(engine, draw_reply_fault(fraction, rng)),
    }
}

fn draw_reply_fault(fraction: f64, rng: &mut Pcg64) -> ReplyFault {
    match rng.random_range(0..9) {
        0 => ReplyFault::PagesOutOfOrder,
        1 => ReplyFault::PagesLost(fraction),
        2 => ReplyFault::Repeats,
        3 => ReplyFault::RepliesAfterFinal,
        4 => ReplyFault::Expires(fraction),
        5 => ReplyFault::BreaksOff(fraction),
        6 => ReplyFault::HalfCloses(fraction),
        7 => ReplyFault::ReadsLate,
        _ => ReplyFault::Noise(fraction),
    }
}

fn draw_engine_fault(engine: usize, fraction: f64, rng: &mut Pcg64) -> SoakFault {
    match rng.random_range(0..6) {
        0 => SoakFault::SlowEngine(engine, rng.random_range(3.0..10.0)),
        1 => SoakFault::FailingEngine(engine, fraction),
        2 => SoakFault::SilentEngine(engine),
        3 => SoakFault::ResettingEngine(engine, fraction),
        4 => SoakFault::SpoilingEngine(engine, fraction),
        _ => SoakFault::FullEngine(engine, fraction),
    }
}

fn draw_link_fault(engine: usize, rng: &mut Pcg64) -> SoakFault {
    match rng.random_range(0..6) {
        0 => SoakFault::CutToEngine(engine),
        1 => SoakFault::CutFromEngine(engine),
        2 => SoakFault::ResetLink(engine),
        3 => SoakFault::SplitLink(engine),
        4 => SoakFault::ForgetIdle(engine),
        _ => SoakFault::LateConnects(engine),
    }
}
