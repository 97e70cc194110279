//! The plan of a soak's run: the number of dispatchers and engines, the settings and the faults with their times. All
//! are drawn from a seed.

use crate::engine::ReplyFault;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt;
use std::ops::RangeInclusive;

/// A family of faults; `--faults` selects some of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultFamily {
    /// Engines that slow down, fail, do not answer, close connections, reject queries as full or send malformed
    /// answers.
    Engines,
    /// Engines that drain, are removed, join cold or are replaced at their address.
    Endpoints,
    /// Links to engines that lose bytes, reset connections, split writes, drop idle connections or establish
    /// connections late.
    Links,
    /// A name service that is silent or slow.
    Names,
    /// SIGTERM, SIGKILL, SIGSTOP and SIGCONT, SIGHUP.
    Signals,
    /// Steps of the wall clock.
    Clock,
    /// System calls that fail, are interrupted or transfer fewer bytes than requested.
    Calls,
    /// Clients that disconnect together.
    Clients,
    /// Replies that are lost, late, repeated, out of order, truncated or followed by noise, and half-closed
    /// connections.
    Replies,
}

/// A fault, with the index of the engine or dispatcher that it affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// An engine runs slower by this factor.
    SlowEngine(usize, f64),
    /// A fraction of an engine's queries ends with an error.
    FailingEngine(usize, f64),
    /// An engine answers no new queries and no health checks.
    SilentEngine(usize),
    /// An engine closes the connection on a fraction of its requests.
    ResettingEngine(usize, f64),
    /// A fraction of an engine's answers is malformed.
    SpoilingEngine(usize, f64),
    /// An engine rejects a fraction of its queries as full.
    FullEngine(usize, f64),
    /// An engine drains and is removed, and a cold engine replaces it.
    DrainEngine(usize),
    /// An engine's replies or connections are faulty.
    FaultyReplies(usize, ReplyFault),
    /// A cold engine replaces an engine at its address.
    ReplaceEngine(usize),
    /// A cold engine joins.
    JoinEngine,
    /// Bytes from dispatchers to an engine are lost.
    CutToEngine(usize),
    /// Bytes from an engine to dispatchers are lost.
    CutFromEngine(usize),
    /// All connections to an engine are reset. During the fault, new connections are reset at random.
    ResetLink(usize),
    /// Bytes from and to an engine are forwarded in small pieces.
    SplitLink(usize),
    /// Idle connections to an engine are dropped silently.
    ForgetIdle(usize),
    /// Connections to an engine are established only after the fault ends.
    LateConnects(usize),
    /// The name service is silent.
    SilentNames,
    /// The name service answers with a delay (ms).
    SlowNames(u64),
    /// A dispatcher is terminated, and its replacement starts while it shuts down.
    Restart(usize),
    /// As `Restart`, with SIGHUP, a second SIGTERM, SIGSTOP and SIGCONT after the first SIGTERM.
    SignalSeries(usize),
    /// A dispatcher is killed by SIGKILL and started again.
    Crash(usize),
    /// A dispatcher is stopped by SIGSTOP for this time (ms).
    Stall(usize, u64),
    /// A dispatcher receives this number of SIGHUPs, some of them with an incomplete configuration.
    Reload(usize, u32),
    /// A dispatcher's wall clock is set to this offset from the real time (s), which lasts until the next step.
    StepClock(usize, i64),
    /// One in twenty of a dispatcher's calls that send, receive or read is interrupted (EINTR).
    Interrupt(usize),
    /// One in twenty of a dispatcher's socket calls fails for lack of buffers (ENOBUFS).
    NoBuffers(usize),
    /// Some of a dispatcher's reads and writes are short.
    ShortCalls(usize),
    /// Some of a dispatcher's calls of accept, socket and bind fail.
    FailAccepts(usize),
    /// All clients of a dispatcher disconnect.
    ClientsLeave(usize),
}

impl fmt::Display for SoakFault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Its start, as time since the start of the run (ms).
    pub at_ms: f64,
    /// Its duration (ms). Faults without a duration ignore it.
    pub for_ms: f64,
    /// The fault.
    pub fault: SoakFault,
}

/// A run's plan.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakPlan {
    /// Its seed.
    pub seed: u64,
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The number of engines at the start.
    pub engines: usize,
    /// How long clients send queries (s).
    pub seconds: f64,
    /// The settings that differ between runs.
    pub settings: SoakSettings,
    /// The faults, in the order in which they start.
    pub faults: Vec<PlannedFault>,
}

/// The settings that differ between runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SoakSettings {
    /// Whether engines send progress notes.
    pub has_notes: bool,
    /// Whether clients declare the cost of their queries.
    pub has_estimates: bool,
    /// Whether dispatchers may cancel attempts.
    pub allows_cancels: bool,
    /// Whether dispatchers may send health checks.
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

/// Draws a run's longest deadline (ms). In half of the runs it is the longest for which the platform waits when it
/// terminates a process; in the others it is shorter.
fn draw_max_deadline_ms(rng: &mut Pcg64) -> f64 {
    if rng.random_bool(0.5) {
        MAX_DEADLINE_MS
    } else {
        f64::floor(rng.random_range(MIN_DEADLINE_MS..MAX_DEADLINE_MS))
    }
}

/// Lower bound of a run's longest deadline (ms).
const MIN_DEADLINE_MS: f64 = 300.0;
/// The longest deadline for which the platform waits when it terminates a process (ms).
const MAX_DEADLINE_MS: f64 = 3000.0;
/// Separates the deadlines' random numbers from those of the rest of the plan.
const DEADLINE_SEED: u64 = 0x6465_6164;
/// Offsets from the real time to which a dispatcher's wall clock may be set (s).
const CLOCK_STEPS_S: [i64; 6] = [-3600, -40, -3, 3, 40, 3600];
/// Fraction of the runs with faulty replies that start with only one or two engines.
const FEW_ENGINES_FRACTION: f64 = 0.5;
/// Duration of the long outage of the name service (s). Only runs longer than 1.3 times this duration include it.
const LONG_OUTAGE_S: f64 = 30.0;
/// The long outage of the name service.
const LONG_OUTAGE: PlannedFault = PlannedFault {
    at_ms: 2000.0,
    for_ms: LONG_OUTAGE_S * 1000.0,
    fault: SoakFault::SilentNames,
};

impl SoakPlan {
    /// Draws the plan of a seed.
    pub fn draw(
        seed: u64,
        processes: &RangeInclusive<usize>,
        seconds: f64,
        families: &[FaultFamily],
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let dispatchers = rng.random_range(processes.clone());
        let mut engines = rng.random_range(5..9);
        // With few engines, retries go to the engine of the previous attempt.
        if families.contains(&FaultFamily::Replies) && rng.random_bool(FEW_ENGINES_FRACTION) {
            engines = rng.random_range(1..3);
        }
        let settings = SoakSettings::draw(seed, &mut rng);
        let mut faults = Vec::new();
        // On average two to three faults overlap. One run in five begins with a longer time without faults.
        let first_fault_ms = if rng.random_bool(0.2) {
            0.35 * seconds * 1000.0
        } else {
            500.0
        };
        let count = (seconds * 1.6) as usize + 3;
        for _ in 0..count {
            let family = families[rng.random_range(0..families.len())];
            let begin_ms = first_fault_ms..(seconds * 1000.0 - 300.0).max(first_fault_ms + 1.0);
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

    /// The plan without its `nth` fault, for shrinking.
    pub fn without(&self, nth: usize) -> Self {
        let mut plan = self.clone();
        plan.faults.remove(nth);
        plan
    }
}

/// Draws a fault of a family. The engine, the dispatcher and the fraction are drawn for every family, so that a run's
/// later draws do not depend on whether a family uses them.
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
