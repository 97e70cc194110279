//! Dispatchers that exchange messages over a lossy network, in virtual time.

use crate::invariants::{three_levels, Invariants, EVALUATION_MS};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tansymux_service_levels::LevelStateMachine;

/// Dispatchers with the same configuration. Each change of level is checked against the invariants.
pub struct Fleet {
    pub machines: Vec<LevelStateMachine>,
    pub invariants: Vec<Invariants>,
    pub now_ms: f64,
    pub rng: Pcg32,
}

impl Fleet {
    pub fn new(machine_count: usize) -> Self {
        Fleet {
            machines: (0..machine_count)
                .map(|_| LevelStateMachine::new(three_levels()))
                .collect(),
            invariants: (0..machine_count).map(|_| Invariants::new()).collect(),
            now_ms: 0.0,
            rng: Pcg32::seed_from_u64(7),
        }
    }

    /// Runs all machines for `duration_ms`. `load(machine, now_ms)` is the reading of a machine; a message arrives if
    /// `is_connected(sender, receiver)`, except for a fraction `loss`.
    pub fn run(
        &mut self,
        duration_ms: f64,
        load: impl Fn(usize, f64) -> f64,
        is_connected: impl Fn(usize, usize) -> bool,
        loss: f64,
    ) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            for n in 0..self.machines.len() {
                let change = self.machines[n]
                    .evaluate(&[load(n, self.now_ms)], self.now_ms)
                    .cloned();
                self.invariants[n].check(change.as_ref());
                let Some(message) = self.machines[n].poll_message(self.now_ms) else {
                    continue;
                };
                for to in (0..self.machines.len()).filter(|to| *to != n) {
                    if is_connected(n, to) && !self.rng.random_bool(loss) {
                        self.machines[to].handle_peer_message(n as u32, &message, self.now_ms);
                    }
                }
            }
            self.now_ms += EVALUATION_MS;
        }
    }

    pub fn depths(&self) -> Vec<usize> {
        self.machines.iter().map(LevelStateMachine::depth).collect()
    }
}
