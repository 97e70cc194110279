//! Scenarios: a fleet, its release, and the faults to inject with their times. A scenario is generated from a seed,
//! selected by name, or read from a JSON file. The keys of these files must not change.

pub use super::links::LinkConditions;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// A fault or an operator's action.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Sets the conditions of all links.
    Links(LinkConditions),
    /// Cuts some members off from the others.
    Cut {
        /// The members on one side of the cut.
        side: Vec<usize>,
        /// Whether only the datagrams that they send are lost.
        one_way: bool,
    },
    /// Cuts the leader off from the others.
    CutLeader {
        /// Whether only the datagrams that it sends are lost.
        one_way: bool,
    },
    /// Ends all cuts.
    Heal,
    /// Stops a process for a time.
    Stall {
        /// The member.
        who: usize,
        /// Duration of the stop (ms).
        lasts: f64,
    },
    /// Stops the leader's process for a time.
    StallLeader {
        /// Duration of the stop (ms).
        lasts: f64,
    },
    /// Kills a process, which is started again without its state.
    Kill {
        /// The member.
        who: usize,
        /// Time until its restart (ms).
        back: f64,
    },
    /// Kills the leader's process.
    KillLeader {
        /// Time until its restart (ms).
        back: f64,
    },
    /// Kills the process of a member that holds a restart lease.
    KillHolder {
        /// Time until its restart (ms).
        back: f64,
    },
    /// Operators request drains of several engines at the same time.
    Drain {
        /// Pairs of the member at which the operator acts and the engine.
        engines: Vec<(usize, usize)>,
    },
    /// An operator returns an engine to service.
    Undrain {
        /// The engine.
        engine: usize,
        /// The member at which the operator acts.
        at: usize,
    },
    /// An operator halts the release.
    Halt {
        /// The member at which the operator acts.
        at: usize,
    },
    /// An operator resumes the release.
    Resume {
        /// The member at which the operator acts.
        at: usize,
    },
    /// An operator rolls the release back.
    Back {
        /// The member at which the operator acts.
        at: usize,
    },
    /// Changes the limit on dispatchers out in all operators' files, which the members reload.
    Limit {
        /// Maximum number of dispatchers allowed out at the same time.
        #[serde(rename = "most")]
        max_out: usize,
    },
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the fault (ms after the start of the release).
    pub at: f64,
    /// The fault or operator's action.
    pub what: Fault,
}

/// A fleet, and the faults during its release to another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// The scenario's name in reports.
    pub name: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// Number of dispatchers.
    pub members: usize,
    /// Number of voters, which are the first members.
    pub voters: usize,
    /// Number of zones, to which members are assigned round-robin.
    #[serde(rename = "halls")]
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Maximum number of dispatchers allowed out at the same time.
    #[serde(rename = "most")]
    pub max_out: usize,
    /// Maximum number of engines allowed drained at the same time.
    #[serde(rename = "most_engines")]
    pub max_engines: usize,
    /// Duration of a restart lease (ms).
    pub turn: f64,
    /// Duration of a restart (ms).
    pub down: f64,
    /// Delay of a late datagram (ms), the longest delay for which the voters guarantee correctness.
    pub late: f64,
    /// Faults, ordered by time.
    pub events: Vec<Event>,
    /// Time after the last fault within which the release must complete (ms). In virtual time, 0 stands for no limit.
    pub done_within: f64,
    /// Maximum duration of a run (ms).
    pub lasts: f64,
}

/// Names of the predefined scenarios, which also run on processes.
pub const NAMES: [&str; 9] = [
    "two-halves",
    "leader-one-way",
    "leader-stops",
    "voter-forgets",
    "hall-of-voters-lost",
    "holder-crashes",
    "killed-in-its-wave",
    "seven-in-ten",
    "halt-races",
];

/// Number of faults in a mixed scenario, injected one after the other.
const MIXED_FAULTS: usize = 7;
/// Delay between a cut and the drain requests on both sides of it (ms).
const DRAIN_DELAY_MS: f64 = 200.0;

fn cut(side: &[usize]) -> Fault {
    Fault::Cut {
        side: side.to_vec(),
        one_way: false,
    }
}

fn drain(engines: &[(usize, usize)]) -> Fault {
    Fault::Drain {
        engines: engines.to_vec(),
    }
}

/// Drains that are requested at one member on each side of a cut.
fn drain_on_both_sides(inside: usize, outside: usize) -> Fault {
    drain(&[(inside, 0), (outside, 1), (inside, 2), (outside, 3)])
}

fn crash(who: usize, back: f64) -> Fault {
    Fault::Kill { who, back }
}

impl Scenario {
    /// A release without faults.
    pub fn calm(seed: u64, members: usize) -> Self {
        let max_out = (members / 10).max(1);
        let voters = members.min(if members >= 30 { 5 } else { 3 });
        let waves = (members as f64 / max_out as f64).ceil();
        Scenario {
            name: "calm".into(),
            seed,
            members,
            voters,
            zones: if members >= 6 { 2 } else { 1 },
            engines: 8,
            max_out,
            max_engines: 2,
            turn: 12_000.0,
            down: 1500.0,
            late: 10_000.0,
            events: Vec::new(),
            // A lease may be used just before it ends, and a restarted voter does not answer during its quarantine.
            done_within: 40_000.0 + 30_000.0 * voters as f64 + 12_000.0 * waves,
            lasts: 140_000.0 + 30_000.0 * voters as f64 + 12_000.0 * waves,
        }
    }

    fn add(&mut self, at: f64, what: Fault) {
        self.events.push(Event { at, what });
    }

    /// Ends all cuts and restores good links at time `at` (ms).
    fn end_network_faults(&mut self, at: f64) {
        self.add(at, Fault::Heal);
        self.add(at, Fault::Links(LinkConditions::GOOD));
    }

    fn sort_events(&mut self) {
        self.events.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    /// A release with a sequence of faults of all kinds, drawn from the seed.
    pub fn mixed(seed: u64, members: usize) -> Self {
        let mut scenario = Scenario::calm(seed, members);
        scenario.name = "mixed".into();
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5EED);
        let mut at = 2000.0;
        let mut shuffled: Vec<usize> = (0..members).collect();
        for _ in 0..MIXED_FAULTS {
            let lasts = rng.random_range(1500.0..9000.0);
            let who = rng.random_range(0..members);
            shuffled.shuffle(&mut rng);
            let one_way = rng.random_bool(0.3);
            let half = &shuffled[..members / 2];
            let fault = match rng.random_range(0..10) {
                0 => Fault::Links(LinkConditions::BAD),
                1 => Fault::Cut {
                    side: half.to_vec(),
                    one_way,
                },
                2 => Fault::CutLeader { one_way },
                3 => Fault::Stall { who, lasts },
                4 => Fault::StallLeader { lasts },
                5 => crash(who, lasts),
                6 => Fault::KillLeader { back: lasts },
                7 => Fault::KillHolder { back: lasts },
                8 => {
                    let outside = shuffled[members - 1];
                    scenario.add(at + DRAIN_DELAY_MS, drain_on_both_sides(half[0], outside));
                    cut(half)
                }
                _ => {
                    scenario.add(at + lasts, Fault::Resume { at: who });
                    Fault::Halt { at: who }
                }
            };
            scenario.add(at, fault);
            scenario.end_network_faults(at + lasts);
            at += lasts + rng.random_range(500.0..4000.0);
        }
        scenario.sort_events();
        scenario
    }

    /// The predefined scenario of this name, one of [`NAMES`]. The seed shifts the times of its faults.
    pub fn named(name: &str, seed: u64) -> Option<Self> {
        let members = if name == "seven-in-ten" { 10 } else { 5 };
        let mut scenario = Scenario {
            name: name.into(),
            ..Scenario::calm(seed, members)
        };
        if name == "hall-of-voters-lost" {
            scenario.zones = 2;
        }
        let shift_ms = (seed % 97) as f64 * 37.0;
        for (at, fault) in named_events(name, members)? {
            scenario.add(at + shift_ms, fault);
        }
        scenario.sort_events();
        Some(scenario)
    }

    /// The same scenario with times for processes: leases and faults are half as long, faults start after half the
    /// time, and restarts and the delays of late datagrams take less than a second.
    pub fn on_processes(mut self) -> Self {
        self.turn = 6000.0;
        self.down = 300.0;
        self.late = 800.0;
        self.engines = self.engines.min(4);
        for event in &mut self.events {
            event.at *= 0.5;
            match &mut event.what {
                Fault::Stall { lasts, .. } | Fault::StallLeader { lasts } => *lasts *= 0.5,
                Fault::Kill { back, .. }
                | Fault::KillLeader { back }
                | Fault::KillHolder { back } => *back *= 0.5,
                _ => {}
            }
        }
        let waves = (self.members as f64 / self.max_out as f64).ceil();
        self.done_within = 30_000.0 + 15_000.0 * self.voters as f64 + 10_000.0 * waves;
        self
    }

    /// The same scenario with loss on all links for the whole run. Healed links return to this loss.
    pub fn with_loss(mut self, loss: f64) -> Self {
        let lossy = LinkConditions {
            loss,
            ..LinkConditions::GOOD
        };
        for event in &mut self.events {
            if event.what == Fault::Links(LinkConditions::GOOD) {
                event.what = Fault::Links(lossy);
            }
        }
        let from_start = Event {
            at: 0.0,
            what: Fault::Links(lossy),
        };
        self.events.insert(0, from_start);
        self
    }

    /// End of the last fault (ms after the start of the release).
    pub fn last_fault_ms(&self) -> f64 {
        let end = |event: &Event| match event.what {
            Fault::Stall { lasts, .. } | Fault::StallLeader { lasts } => event.at + lasts,
            Fault::Kill { back, .. } | Fault::KillLeader { back } | Fault::KillHolder { back } => {
                event.at + back
            }
            _ => event.at,
        };
        self.events.iter().map(end).fold(0.0, f64::max)
    }
}

/// The faults of a predefined scenario, each with its time (ms after the start of the release).
fn named_events(name: &str, members: usize) -> Option<Vec<(f64, Fault)>> {
    Some(match name {
        "two-halves" => vec![
            (500.0, cut(&[0, 1])),
            (900.0, drain(&[(0, 0), (4, 1), (0, 2), (4, 3)])),
            (9000.0, Fault::Heal),
            (9400.0, drain(&[(1, 0), (3, 1), (2, 2), (4, 3)])),
        ],
        "leader-one-way" => vec![
            (1000.0, Fault::CutLeader { one_way: true }),
            (12_000.0, Fault::Heal),
        ],
        "leader-stops" => vec![
            (1200.0, Fault::StallLeader { lasts: 18_000.0 }),
            (24_000.0, Fault::StallLeader { lasts: 18_000.0 }),
        ],
        "voter-forgets" => vec![(1000.0, crash(1, 200.0)), (5000.0, crash(2, 200.0))],
        // Voters 0 and 2 are in the same zone and are the majority.
        "hall-of-voters-lost" => [0, 2, 4].map(|who| (1000.0, crash(who, 14_000.0))).into(),
        "holder-crashes" => (1..9)
            .map(f64::from)
            .map(|nth| (1500.0 * nth, Fault::KillHolder { back: 900.0 * nth }))
            .collect(),
        "killed-in-its-wave" => vec![(2500.0, crash(3, 5000.0)), (8000.0, crash(4, 5000.0))],
        "seven-in-ten" => (0..7)
            .map(|nth| (1500.0, crash((nth * 3) % 10, 4000.0)))
            .collect(),
        "halt-races" => halt_races(members),
        _ => return None,
    })
}

/// Halts and resumptions alternate, each at a different member.
fn halt_races(members: usize) -> Vec<(f64, Fault)> {
    let mut events = Vec::new();
    for round in 0..5 {
        let from_ms = 5000.0 * round as f64;
        let halted_at = round % members;
        let resumed_at = (round + 1) % members;
        events.push((1000.0 + from_ms, Fault::Halt { at: halted_at }));
        events.push((4000.0 + from_ms, Fault::Resume { at: resumed_at }));
    }
    events
}
