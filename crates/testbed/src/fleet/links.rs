//! Conditions of the links between members: one seeded model, used in virtual time and by the relay on
//! real sockets.

use rand::RngExt;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// Delay, duplication and loss of the datagrams on a link.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LinkConditions {
    /// Probability that a copy is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub doubled: f64,
    /// Maximum delay (ms). Delays are drawn uniformly from 0 to this value, so that datagrams overtake
    /// each other.
    pub delay: f64,
    /// Probability that a copy is delayed by the scenario's `late` time instead of a drawn delay.
    pub late: f64,
}

impl LinkConditions {
    /// No loss and a short delay.
    pub const GOOD: LinkConditions = LinkConditions {
        loss: 0.0,
        doubled: 0.0,
        delay: 3.0,
        late: 0.0,
    };
    /// Heavy loss, duplicates, reordering and some very late datagrams.
    pub const BAD: LinkConditions = LinkConditions {
        loss: 0.3,
        doubled: 0.1,
        delay: 80.0,
        late: 0.01,
    };

    /// Draws the delay (ms) of each copy of one datagram, without the copies that are lost. A late copy is
    /// delayed by `late_ms`.
    pub fn draw_delays_ms(&self, late_ms: f64, rng: &mut Pcg32) -> Vec<f64> {
        let copies = if rng.random_bool(self.doubled) { 2 } else { 1 };
        let mut delays_ms = Vec::with_capacity(copies);
        for _ in 0..copies {
            if rng.random_bool(self.loss) {
                continue;
            }
            let is_late = rng.random_bool(self.late);
            delays_ms.push(if is_late {
                late_ms
            } else {
                rng.random_range(0.0..=self.delay)
            });
        }
        delays_ms
    }
}
