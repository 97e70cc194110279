//! What apply_fault a fleet, and when: from a seed, by name, or from a file.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// What a link does to datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LinkConditions {
    pub loss: f64,
    pub doubled: f64,
    /// Longest delay (ms): with it comes disorder.
    pub delay: f64,
    /// This part comes as late as the scenario says.
    pub late: f64,
}

impl LinkConditions {
    pub const GOOD: LinkConditions = LinkConditions {
        loss: 0.0,
        doubled: 0.0,
        delay: 3.0,
        late: 0.0,
    };
    pub const BAD: LinkConditions = LinkConditions {
        loss: 0.3,
        doubled: 0.1,
        delay: 80.0,
        late: 0.01,
    };
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// All links.
    Links(LinkConditions),
    /// Nothing goes between these and the others; one way: nothing from these to the others.
    Cut {
        side: Vec<usize>,
        one_way: bool,
    },
    /// The same round whoever leads.
    CutLeader {
        one_way: bool,
    },
    Heal,
    /// Stopped for so long (ms), and going on.
    Stall {
        who: usize,
        lasts: f64,
    },
    StallLeader {
        lasts: f64,
    },
    /// Killed, and started again after so long, knowing nothing.
    Kill {
        who: usize,
        back: f64,
    },
    KillLeader {
        back: f64,
    },
    KillHolder {
        back: f64,
    },
    /// Operators, at these members, at the same time.
    Drain {
        engines: Vec<(usize, usize)>,
    },
    Undrain {
        engine: usize,
        at: usize,
    },
    Halt {
        at: usize,
    },
    Resume {
        at: usize,
    },
    Back {
        at: usize,
    },
    /// The operators' files say so from now on, and all read them again.
    Limit {
        most: usize,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Milliseconds after the release's begin.
    pub at: f64,
    pub what: Fault,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub members: usize,
    pub voters: usize,
    #[serde(rename = "halls")]
    pub zones: usize,
    pub engines: usize,
    /// Most dispatchers and most engines out.
    pub most: usize,
    #[serde(rename = "most_engines")]
    pub max_engines: usize,
    /// How long a turn lasts (ms), and how long a restart takes.
    pub turn: f64,
    pub down: f64,
    /// How late a late datagram is (ms): what the voters allow for.
    pub late: f64,
    pub events: Vec<Event>,
    /// All must be released so long after the last fault (ms); 0: no such claim.
    pub done_within: f64,
    /// How long it is played (ms).
    pub lasts: f64,
}

/// The hard cases that are played on processes too.
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

impl Scenario {
    /// A release with nothing wrong.
    pub fn calm(seed: u64, members: usize) -> Self {
        let most = (members / 10).max(1);
        let voters = members.min(if members >= 30 { 5 } else { 3 });
        let rounds = (members as f64 / most as f64).ceil();
        Scenario {
            name: "calm".into(),
            seed,
            members,
            voters,
            zones: if members >= 6 { 2 } else { 1 },
            engines: 8,
            most,
            max_engines: 2,
            turn: 12_000.0,
            down: 1500.0,
            late: 10_000.0,
            events: Vec::new(),
            // A turn may be used at its very end, and a voter that was restarted keeps still for a while.
            done_within: 40_000.0 + 30_000.0 * voters as f64 + 12_000.0 * rounds,
            lasts: 140_000.0 + 30_000.0 * voters as f64 + 12_000.0 * rounds,
        }
    }

    /// All faults mixed, by the seed.
    pub fn mixed(seed: u64, members: usize) -> Self {
        let mut scenario = Scenario {
            name: "mixed".into(),
            ..Scenario::calm(seed, members)
        };
        let mut chance = Pcg32::seed_from_u64(seed ^ 0x5EED);
        let mut at = 2000.0;
        let mut all: Vec<usize> = (0..members).collect();
        for _ in 0..7 {
            let lasts = chance.random_range(1500.0..9000.0);
            let who = chance.random_range(0..members);
            all.shuffle(&mut chance);
            let side = all[..members / 2].to_vec();
            let one_way = chance.random_bool(0.3);
            let mut add = |after: f64, what: Fault| {
                scenario.events.push(Event {
                    at: at + after,
                    what,
                })
            };
            match chance.random_range(0..10) {
                0 => add(0.0, Fault::Links(LinkConditions::BAD)),
                1 => add(0.0, Fault::Cut { side, one_way }),
                2 => add(0.0, Fault::CutLeader { one_way }),
                3 => add(0.0, Fault::Stall { who, lasts }),
                4 => add(0.0, Fault::StallLeader { lasts }),
                5 => add(0.0, Fault::Kill { who, back: lasts }),
                6 => add(0.0, Fault::KillLeader { back: lasts }),
                7 => add(0.0, Fault::KillHolder { back: lasts }),
                8 => {
                    add(
                        0.0,
                        Fault::Cut {
                            side: side.clone(),
                            one_way: false,
                        },
                    );
                    add(
                        200.0,
                        Fault::Drain {
                            engines: vec![
                                (side[0], 0),
                                (all[members - 1], 1),
                                (side[0], 2),
                                (all[members - 1], 3),
                            ],
                        },
                    );
                }
                _ => {
                    add(0.0, Fault::Halt { at: who });
                    add(lasts, Fault::Resume { at: who });
                }
            }
            add(lasts, Fault::Heal);
            add(lasts, Fault::Links(LinkConditions::GOOD));
            at += lasts + chance.random_range(500.0..4000.0);
        }
        scenario.events.sort_by(|a, b| a.at.total_cmp(&b.at));
        scenario
    }

    /// One of the hard cases by name, of which `NAMES` are all.
    pub fn named(name: &str, seed: u64) -> Option<Self> {
        let members = if name == "seven-in-ten" { 10 } else { 5 };
        let mut scenario = Scenario {
            name: name.into(),
            ..Scenario::calm(seed, members)
        };
        let jitter = (seed % 97) as f64 * 37.0;
        let mut add = |at: f64, what: Fault| {
            scenario.events.push(Event {
                at: at + jitter,
                what,
            })
        };
        match name {
            "two-halves" => {
                add(
                    500.0,
                    Fault::Cut {
                        side: vec![0, 1],
                        one_way: false,
                    },
                );
                add(
                    900.0,
                    Fault::Drain {
                        engines: vec![(0, 0), (4, 1), (0, 2), (4, 3)],
                    },
                );
                add(9000.0, Fault::Heal);
                add(
                    9400.0,
                    Fault::Drain {
                        engines: vec![(1, 0), (3, 1), (2, 2), (4, 3)],
                    },
                );
            }
            "leader-one-way" => {
                add(1000.0, Fault::CutLeader { one_way: true });
                add(12_000.0, Fault::Heal);
            }
            "leader-stops" => {
                add(1200.0, Fault::StallLeader { lasts: 18_000.0 });
                add(24_000.0, Fault::StallLeader { lasts: 18_000.0 });
            }
            "voter-forgets" => {
                add(
                    1000.0,
                    Fault::Kill {
                        who: 1,
                        back: 200.0,
                    },
                );
                add(
                    5000.0,
                    Fault::Kill {
                        who: 2,
                        back: 200.0,
                    },
                );
            }
            "hall-of-voters-lost" => {
                scenario.zones = 2;
                // Voters 0 and 2 stand in one zone, and are the majority.
                add(
                    1000.0,
                    Fault::Kill {
                        who: 0,
                        back: 14_000.0,
                    },
                );
                add(
                    1000.0,
                    Fault::Kill {
                        who: 2,
                        back: 14_000.0,
                    },
                );
                add(
                    1000.0,
                    Fault::Kill {
                        who: 4,
                        back: 14_000.0,
                    },
                );
            }
            "holder-crashes" => {
                (1..9).for_each(|n| {
                    add(
                        1500.0 * f64::from(n),
                        Fault::KillHolder {
                            back: 900.0 * f64::from(n),
                        },
                    )
                });
            }
            "killed-in-its-wave" => {
                add(
                    2500.0,
                    Fault::Kill {
                        who: 3,
                        back: 5000.0,
                    },
                );
                add(
                    8000.0,
                    Fault::Kill {
                        who: 4,
                        back: 5000.0,
                    },
                );
            }
            "seven-in-ten" => {
                (0..7).for_each(|n| {
                    add(
                        1500.0,
                        Fault::Kill {
                            who: (n * 3) % 10,
                            back: 4000.0,
                        },
                    )
                });
            }
            "halt-races" => (0..5).for_each(|n| {
                add(
                    1000.0 + 5000.0 * f64::from(n),
                    Fault::Halt {
                        at: n as usize % members,
                    },
                );
                add(
                    4000.0 + 5000.0 * f64::from(n),
                    Fault::Resume {
                        at: (n as usize + 1) % members,
                    },
                );
            }),
            _ => return None,
        }
        scenario.events.sort_by(|a, b| a.at.total_cmp(&b.at));
        Some(scenario)
    }

    /// The same with times for processes: turns and faults half as long, a program that ends within 4 s.
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
        let rounds = (self.members as f64 / self.most as f64).ceil();
        self.done_within = 30_000.0 + 15_000.0 * self.voters as f64 + 10_000.0 * rounds;
        self
    }

    /// The same with loss on all links all the time; faults that heal go back to that.
    pub fn with_loss(mut self, loss: f64) -> Self {
        let way = LinkConditions {
            loss,
            ..LinkConditions::GOOD
        };
        for event in &mut self.events {
            if event.what == Fault::Links(LinkConditions::GOOD) {
                event.what = Fault::Links(way);
            }
        }
        self.events.insert(
            0,
            Event {
                at: 0.0,
                what: Fault::Links(way),
            },
        );
        self
    }

    /// When the last fault is over (ms).
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
